#include "Jobs/diagnostic_limiter.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace rhubarbhaven::jobs {
namespace {

// Longer than any message or key of this system, in bytes.
constexpr std::size_t kMaxTextLength = 200;

}  // namespace

auto DiagnosticLimiter::ShouldLog(TimePoint now,
                                  const std::string& what,
                                  const std::string& why) -> bool {
  if (now - since_ >= options_.repeat_interval) {
    since_ = now;
    logged_.clear();
  }
  return logged_.size() < options_.max_diagnostics &&
         logged_.emplace(SanitizeForLog(what), SanitizeForLog(why)).second;
}

auto SanitizeForLog(const std::string& text) -> std::string {
  std::string line = text.substr(0, kMaxTextLength);
  std::replace_if(
      line.begin(), line.end(),
      [](unsigned char c) -> bool { return !absl::ascii_isprint(c); }, '?');
  return line;
}

}  // namespace rhubarbhaven::jobs

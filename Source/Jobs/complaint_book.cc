#include "Jobs/complaint_book.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace rhubarbhaven::jobs {
namespace {

// Longer than every message and key of this system, in bytes.
constexpr std::size_t kLongestText = 200;

}  // namespace

auto ComplaintBook::IsNew(TimePoint now,
                          const std::string& what,
                          const std::string& why) -> bool {
  if (now - since_ >= options_.repeat_after) {
    since_ = now;
    made_.clear();
  }
  return made_.size() < options_.most &&
         made_.emplace(ForLog(what), ForLog(why)).second;
}

auto ForLog(const std::string& text) -> std::string {
  std::string line = text.substr(0, kLongestText);
  std::replace_if(
      line.begin(), line.end(),
      [](unsigned char c) -> bool { return !absl::ascii_isprint(c); }, '?');
  return line;
}

}  // namespace rhubarbhaven::jobs

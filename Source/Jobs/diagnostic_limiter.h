#ifndef RHUBARBHAVEN_JOBS_DIAGNOSTIC_LIMITER_H_
#define RHUBARBHAVEN_JOBS_DIAGNOSTIC_LIMITER_H_

#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <utility>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

struct DiagnosticLimiterOptions {
  // A diagnostic that still applies is logged again after this.
  std::chrono::seconds repeat_interval{600};
  // Maximum number of diagnostics within that time; counters are not limited.
  std::size_t max_diagnostics = 100;
};

// Limits diagnostics about invalid input. Repeats of the same input and reason
// are logged once per interval, and a flood of distinct ones cannot fill the
// log.
class DiagnosticLimiter {
 public:
  explicit DiagnosticLimiter(DiagnosticLimiterOptions options = {})
      : options_(options) {}
  // Whether to log a diagnostic about `what` now.
  auto ShouldLog(TimePoint now, const std::string& what, const std::string& why)
      -> bool;

 private:
  DiagnosticLimiterOptions options_;
  TimePoint since_;
  std::set<std::pair<std::string, std::string>> logged_;
};

// Makes text from another writer safe for a log line: replaces unprintable
// characters and limits the length.
auto SanitizeForLog(const std::string& text) -> std::string;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_DIAGNOSTIC_LIMITER_H_

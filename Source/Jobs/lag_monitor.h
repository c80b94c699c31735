#ifndef RHUBARBHAVEN_JOBS_LAG_MONITOR_H_
#define RHUBARBHAVEN_JOBS_LAG_MONITOR_H_

#include <chrono>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

struct LagMonitorOptions {
  // Agents lose their leases when polls are delayed by some 4 s.
  std::chrono::milliseconds late_threshold{1000};
  std::chrono::milliseconds on_time_threshold{300};
};

// Reports when an owner's work becomes late and when it is on time again. Two
// thresholds keep a lag that varies about one of them from flooding the log.
class LagMonitor {
 public:
  enum class Change { kNone, kLate, kInTime };

  explicit LagMonitor(LagMonitorOptions options = {}) : options_(options) {}
  auto Record(Duration lag) -> Change;

 private:
  LagMonitorOptions options_;
  bool late_ = false;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_LAG_MONITOR_H_

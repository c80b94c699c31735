#ifndef RHUBARBHAVEN_JOBS_LAG_WATCH_H_
#define RHUBARBHAVEN_JOBS_LAG_WATCH_H_

#include <chrono>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

struct LagWatchOptions {
  // Agents lose their leases when polls are late by some 4 s.
  std::chrono::milliseconds late_from{1000};
  std::chrono::milliseconds in_time_below{300};
};

// Tells when an owner's work begins to be late and when it is in time again;
// nothing between the two, so that a lag about one bound makes no flood of
// lines.
class LagWatch {
 public:
  enum class Change { kNone, kLate, kInTime };

  explicit LagWatch(LagWatchOptions options = {}) : options_(options) {}
  auto Note(Duration lag) -> Change;

 private:
  LagWatchOptions options_;
  bool late_ = false;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_LAG_WATCH_H_

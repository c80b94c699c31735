#include "Jobs/lag_monitor.h"

namespace rhubarbhaven::jobs {

auto LagMonitor::Record(Duration lag) -> Change {
  if (!late_ && lag >= options_.late_threshold) {
    late_ = true;
    return Change::kLate;
  }
  if (late_ && lag < options_.on_time_threshold) {
    late_ = false;
    return Change::kInTime;
  }
  return Change::kNone;
}

}  // namespace rhubarbhaven::jobs

#include "Jobs/lag_watch.h"

namespace rhubarbhaven::jobs {

auto LagWatch::Note(Duration lag) -> Change {
  if (!late_ && lag >= options_.late_from) {
    late_ = true;
    return Change::kLate;
  }
  if (late_ && lag < options_.in_time_below) {
    late_ = false;
    return Change::kInTime;
  }
  return Change::kNone;
}

}  // namespace rhubarbhaven::jobs

#ifndef RHUBARBHAVEN_JOBS_RECENT_GAP_H_
#define RHUBARBHAVEN_JOBS_RECENT_GAP_H_

#include <algorithm>
#include <optional>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// The longest recent time without an event. It explains a loss that is detected
// only after the events have resumed.
class RecentGap {
 public:
  // `memory`: how long a gap that has ended is remembered.
  explicit RecentGap(Duration memory) : memory_(memory) {}

  auto OnEvent(TimePoint now) -> void {
    const Duration gap = Since(now);
    if (gap >= longest_ || now - ended_at_ > memory_) {
      longest_ = gap;
      ended_at_ = now;
    }
    last_ = now;
  }

  // Includes the time since the last event; none if there was no event.
  auto Longest(TimePoint now) const -> std::optional<Duration> {
    if (!last_) {
      return std::nullopt;
    }
    const bool remembered = now - ended_at_ <= memory_;
    return std::max(Since(now), remembered ? longest_ : Duration(0));
  }

 private:
  auto Since(TimePoint now) const -> Duration {
    return last_ ? now - *last_ : Duration(0);
  }

  Duration memory_;
  std::optional<TimePoint> last_;
  Duration longest_{0};
  TimePoint ended_at_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_RECENT_GAP_H_

#include "Base/stall_detector.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven {

auto StallDetector::OnIteration(TimePoint now,
                                Duration processor_time,
                                TimePoint next_due) -> std::optional<Stall> {
  const auto due = std::exchange(due_, std::max(now, next_due));
  const Duration used =
      processor_time - std::exchange(processor_time_, processor_time);
  if (!due || now - *due < limit_) {
    return std::nullopt;
  }
  return Stall{now - *due, used};
}

}  // namespace rhubarbhaven

#ifndef RHUBARBHAVEN_BASE_STALL_DETECTOR_H_
#define RHUBARBHAVEN_BASE_STALL_DETECTOR_H_

#include <optional>

#include "Base/time.h"

namespace rhubarbhaven {

// A time in which a loop made no progress.
struct Stall {
  Duration lasted{0};
  // Processor time that the loop's thread used meanwhile. A thread that stood
  // still, or was given no processor, has used hardly any.
  Duration processor_time{0};
};

// Detects that a loop did not run for some time: because its thread stood
// still, or because one iteration took too long.
class StallDetector {
 public:
  // `limit`: a shorter time without progress is no stall.
  explicit StallDetector(Duration limit) : limit_(limit) {}

  // Called once for each iteration. `processor_time`: of the thread so far.
  // `next_due`: when the next iteration begins at the latest if the thread can
  // run.
  auto OnIteration(TimePoint now, Duration processor_time, TimePoint next_due)
      -> std::optional<Stall>;

 private:
  Duration limit_;
  std::optional<TimePoint> due_;
  Duration processor_time_{0};
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_STALL_DETECTOR_H_

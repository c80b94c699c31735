#ifndef RHUBARBHAVEN_BASE_TIME_H_
#define RHUBARBHAVEN_BASE_TIME_H_

#include <chrono>

namespace rhubarbhaven {

// A process's own monotonic clock. It goes on while the process is stopped by
// a signal and while its machine is suspended, which std::chrono::steady_clock
// does not. A process that woke up would otherwise take a lease for valid that
// its owner has long taken for expired, and two runs of one task would be the
// result. Points of two processes are never compared.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
  static auto now() noexcept -> time_point;
};
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_TIME_H_

#ifndef RHUBARBHAVEN_BASE_TIME_H_
#define RHUBARBHAVEN_BASE_TIME_H_

#include <chrono>

namespace rhubarbhaven {

// Monotonic clock of a process. It advances while the process is stopped by a
// signal and, unlike std::chrono::steady_clock, while the machine is suspended.
// Otherwise a resumed process would treat a lease as valid that its owner has
// already declared expired, and two runs of one task would result. Time points
// of two processes are never compared.
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

// Processor time that the calling thread has used.
auto ThreadProcessorTime() -> Duration;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_TIME_H_

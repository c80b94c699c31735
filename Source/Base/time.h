#ifndef RHUBARBHAVEN_BASE_TIME_H_
#define RHUBARBHAVEN_BASE_TIME_H_

#include <chrono>

namespace rhubarbhaven {

// A process's own monotonic clock. It goes on while the process is stopped
// by a signal, so that a woken process finds its leases and credits expired.
// Points of two processes are never compared.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_TIME_H_

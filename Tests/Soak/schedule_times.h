#ifndef RHUBARBHAVEN_TESTS_SOAK_SCHEDULE_TIMES_H_
#define RHUBARBHAVEN_TESTS_SOAK_SCHEDULE_TIMES_H_

#include <chrono>

namespace rhubarbhaven::soak {

// Time in which entries and agents become ready.
inline constexpr std::chrono::milliseconds kWarmUp{6000};
// Fault-free time at the end of the load. Exceeds the bound within which
// long-running tasks must run.
inline constexpr std::chrono::milliseconds kFinalFaultFreeTime{11000};
inline constexpr std::chrono::milliseconds kMinFaultFreeTime{500};
// Exceeds the fault-free time that any check requires.
inline constexpr std::chrono::milliseconds kMaxFaultFreeTime{6000};
// From the begin of a series to its last fault's.
inline constexpr std::chrono::milliseconds kMaxOffset{2500};

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_SCHEDULE_TIMES_H_

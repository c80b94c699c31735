#ifndef RHUBARBHAVEN_TESTS_JOBS_EXPLORER_FAULTS_H_
#define RHUBARBHAVEN_TESTS_JOBS_EXPLORER_FAULTS_H_

#include <cstdint>

#include <gtest/gtest.h>

#include "Tests/Jobs/job_world.h"

namespace rhubarbhaven::jobs {

// Faults 0 to this one strike what is there; none adds or removes agents.
constexpr int64_t kLastPlainFault = 14;

// Where and for how long a fault strikes.
struct FaultPlace {
  int entry = 0;
  int agent = 0;
  std::chrono::milliseconds span{0};
};

// Makes the fault of this number, and says so in the trace.
auto MakeFault(JobWorld& world, int64_t fault, const FaultPlace& place) -> void;

// Seeds from EXPLORER_FIRST on, EXPLORER_COUNT of them; else 1 to `count`.
auto ExplorerSeeds(uint64_t count)
    -> testing::internal::ParamGenerator<uint64_t>;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_EXPLORER_FAULTS_H_

#ifndef RHUBARBHAVEN_TESTS_JOBS_EXPLORER_FAULTS_H_
#define RHUBARBHAVEN_TESTS_JOBS_EXPLORER_FAULTS_H_

#include <cstdint>

#include <gtest/gtest.h>

#include "Tests/Jobs/simulated_cluster.h"

namespace rhubarbhaven::jobs {

// Faults from 0 to this one affect existing processes and the log; none of them
// adds or removes agents.
constexpr int64_t kLastCommonFault = 14;

// Which processes a fault affects, and for how long.
struct FaultTarget {
  int entry = 0;
  int agent = 0;
  std::chrono::milliseconds span{0};
};

// Injects the fault with this number and traces it.
auto ApplyFault(SimulatedCluster& cluster,
                int64_t fault,
                const FaultTarget& target) -> void;

// Seeds from EXPLORER_FIRST on, EXPLORER_COUNT of them; by default from 1 to
// `count`.
auto ExplorerSeeds(uint64_t count)
    -> testing::internal::ParamGenerator<uint64_t>;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_EXPLORER_FAULTS_H_

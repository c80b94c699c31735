#ifndef RHUBARBHAVEN_TESTS_BENCHMARKS_ROUTING_BASELINE_CLUSTER_H_
#define RHUBARBHAVEN_TESTS_BENCHMARKS_ROUTING_BASELINE_CLUSTER_H_

#include "Tests/Benchmarks/Routing/request_workload.h"

namespace rhubarbhaven {

// Policies without admission: a request is sent at once and waits at the
// endpoint, first come, first served.
enum class Baseline { kRoundRobin, kRandom, kTwoChoices };

auto RunBaseline(Baseline policy, const Scenario& scenario, uint64_t seed)
    -> Figures;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TESTS_BENCHMARKS_ROUTING_BASELINE_CLUSTER_H_

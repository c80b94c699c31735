#ifndef RHUBARBHAVEN_TESTS_BENCHMARKS_ROUTING_BASELINE_CLUSTER_H_
#define RHUBARBHAVEN_TESTS_BENCHMARKS_ROUTING_BASELINE_CLUSTER_H_

#include "Tests/Benchmarks/Routing/request_workload.h"

namespace rhubarbhaven {

// Policies without admission control: a request is sent at once and is queued
// at the endpoint in order of arrival.
enum class Baseline { kRoundRobin, kRandom, kTwoChoices };

auto RunBaseline(Baseline policy, const Scenario& scenario, uint64_t seed)
    -> WorkloadSummary;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TESTS_BENCHMARKS_ROUTING_BASELINE_CLUSTER_H_

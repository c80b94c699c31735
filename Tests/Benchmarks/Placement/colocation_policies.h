#ifndef RHUBARBHAVEN_TESTS_BENCHMARKS_PLACEMENT_COLOCATION_POLICIES_H_
#define RHUBARBHAVEN_TESTS_BENCHMARKS_PLACEMENT_COLOCATION_POLICIES_H_

#include <memory>

#include "Tests/Benchmarks/Placement/colocation_world.h"

namespace rhubarbhaven::bench {

// The package's placer and worker health; with or without interference
// control, under the given weights.
auto MakeOwnPolicy(const schema::PartnerRules& rules,
                   const std::string& partner,
                   bool interference_control) -> std::unique_ptr<Policy>;

// Plain baselines by declared sizes: the first worker with room, or the one
// with the most room.
enum class Baseline { kFirstFit, kLeastLoaded };
auto MakeBaseline(Baseline baseline) -> std::unique_ptr<Policy>;

}  // namespace rhubarbhaven::bench

#endif  // RHUBARBHAVEN_TESTS_BENCHMARKS_PLACEMENT_COLOCATION_POLICIES_H_

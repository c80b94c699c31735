#ifndef RHUBARBHAVEN_TESTS_BENCHMARKS_PLACEMENT_COLOCATION_POLICIES_H_
#define RHUBARBHAVEN_TESTS_BENCHMARKS_PLACEMENT_COLOCATION_POLICIES_H_

#include <memory>

#include "Tests/Benchmarks/Placement/colocation_simulation.h"

namespace rhubarbhaven::bench {

// Returns a policy that uses the package's placer and worker health, with or
// without interference control, under the given weights.
auto MakeOwnPolicy(const schema::PartnerRules& rules,
                   const std::string& partner,
                   bool interference_control) -> std::unique_ptr<Policy>;

// Baselines that place by declared needs alone: on the first worker with room,
// or on the one with the most free processors.
enum class Baseline { kFirstFit, kLeastLoaded };
auto MakeBaseline(Baseline baseline) -> std::unique_ptr<Policy>;

}  // namespace rhubarbhaven::bench

#endif  // RHUBARBHAVEN_TESTS_BENCHMARKS_PLACEMENT_COLOCATION_POLICIES_H_

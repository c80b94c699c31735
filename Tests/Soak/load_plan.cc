#include "Tests/Soak/load_plan.h"

namespace rhubarbhaven::soak {
namespace {

using std::chrono::milliseconds;

// About half of an agent's capacity.
constexpr double kJobs = 1.2;
// Leaves room on the workers of a third of the agents.
constexpr double kFewJobs = 0.25;
constexpr int kFewLongRunning = 3;
// With payloads of these sizes, sent once for each start, the starts at 10
// agents take about 80 % of a thin link. The upper size is the largest that an
// entry accepts.
constexpr double kJobsWithPayloads = 1.6;
constexpr PayloadSizes kPayloads{3000, 4000};
// A burst exceeds what a thin link can send at the time.
constexpr int kBurstFactor = 4;
constexpr milliseconds kBurst{1500};
constexpr milliseconds kBurstEvery{12000};

}  // namespace

auto IsBurst(milliseconds since_begin) -> bool {
  return since_begin % kBurstEvery >= kBurstEvery - kBurst;
}

auto MakeLoadPlan(const SoakOptions& options) -> LoadPlan {
  LoadPlan plan{kJobs, 1, options.agents / 2 + 1, std::nullopt};
  if (options.faults == FaultSet::kSilent) {
    plan.jobs_per_agent_second = kFewJobs;
    plan.uncancelled_long_running = kFewLongRunning;
  }
  if (options.faults == FaultSet::kRate) {
    plan.jobs_per_agent_second = kJobsWithPayloads;
    plan.burst_factor = kBurstFactor;
    plan.payloads = kPayloads;
  }
  return plan;
}

}  // namespace rhubarbhaven::soak

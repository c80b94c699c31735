// Explores random orders of events and faults in virtual time around losses of
// power: all entries and agents end at once, workers live on, crash or do not
// answer, and heartbeats are late, lost, or of a process that has ended.

#include <gtest/gtest.h>

#include <string>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRounds = 6;
constexpr int kMaxFaults = 4;
constexpr int kAgents = 4;

auto InjectFault(SimulatedCluster& cluster) -> void {
  auto& time = cluster.time();
  const auto agent = static_cast<int>(time.Pick(0, kAgents - 1));
  const auto span = time.Milliseconds(200, 6000);
  cluster.RecordFault();
  switch (time.Pick(0, 6)) {
    case 0:
      cluster.worker(agent).Crash();
      break;
    case 1:
      cluster.worker(agent).CrashFor(span);
      break;
    case 2:
      cluster.PauseHeartbeats(span);
      break;
    case 3:
      cluster.DeliverLateHeartbeat(agent, span);
      cluster.worker(agent).Crash();
      break;
    case 4:
      cluster.worker(agent).SetUnresponsive(true);
      break;
    case 5:
      cluster.worker(agent).SetUnanswered(0.3);
      break;
    default: {
      const auto entry = static_cast<int>(time.Pick(0, cluster.entries() - 1));
      ApplyFault(cluster, time.Pick(0, kLastCommonFault), {entry, agent, span});
    }
  }
}

auto RunRound(SimulatedCluster& cluster) -> void {
  auto& time = cluster.time();
  cluster.Submit({static_cast<uint32_t>(time.Pick(1, 3)),
                  static_cast<uint32_t>(time.Pick(1, 2))});
  cluster.SubmitOpportunistic(static_cast<uint32_t>(time.Pick(1, 2)));
  if (cluster.long_running_jobs().size() < 2) {
    cluster.SubmitLongRunning(2);
  }
  cluster.RunFor(time.Milliseconds(100, 2500));
  for (auto faults = time.Pick(0, kMaxFaults); faults > 0; --faults) {
    InjectFault(cluster);
    cluster.RunFor(time.Milliseconds(10, 800));
  }
  cluster.LosePower(time.Milliseconds(200, 9500));
  for (auto faults = time.Pick(0, kMaxFaults); faults > 0; --faults) {
    cluster.RunFor(time.Milliseconds(10, 2500));
    InjectFault(cluster);
  }
  cluster.RunFor(time.Milliseconds(100, 4000));
  cluster.HealAll();
  cluster.RunFor(time.Milliseconds(3000, 12000));
}

class PowerLossExplorerTest : public testing::TestWithParam<uint64_t> {};

// Guards against a task in two places after all processes have lost power.
TEST_P(PowerLossExplorerTest, NoTaskRunsTwice) {
  SimulatedClusterOptions options;
  options.seed = GetParam();
  options.agents = kAgents;
  options.failing_runs = 0.1;
  options.paced_registration = true;
  options.keep_order = true;
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  for (int round = 0; round < kRounds; ++round) {
    RunRound(cluster);
  }
  cluster.HealAll();
  cluster.RunFor(seconds(60));
  cluster.CheckCompleted();
  cluster.CheckJobs();
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(cluster.Owner(), 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PowerLossExplorerTest, ExplorerSeeds(60));

}  // namespace
}  // namespace rhubarbhaven::jobs

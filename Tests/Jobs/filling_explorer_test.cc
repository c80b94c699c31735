// Explores random orders of events and faults in virtual time, with
// opportunistic tasks that are moved when their worker slows them.
//
// Checks that no task runs in two places or again after its end. A move is a
// stop in progress followed by a start; between the two, workers become
// unresponsive, crash or are lost, and owners change.

#include <gtest/gtest.h>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::seconds;

constexpr int kRounds = 12;
constexpr double kSlowedShare = 0.5;

auto RunRound(SimulatedCluster& cluster) -> void {
  auto& time = cluster.time();
  cluster.SubmitOpportunistic(static_cast<uint32_t>(time.Pick(1, 4)));
  if (time.Chance(0.5)) {
    cluster.Submit({static_cast<uint32_t>(time.Pick(1, 3))});
  }
  for (const int agent : cluster.Agents()) {
    cluster.worker(agent).SetSlowed(time.Chance(kSlowedShare));
  }
  // Long enough for the speed measurements to settle and a move to begin.
  cluster.RunFor(time.Milliseconds(500, 2500));
  const auto agents = static_cast<int64_t>(cluster.Agents().size());
  ApplyFault(cluster, time.Pick(0, kLastCommonFault),
             {static_cast<int>(time.Pick(0, cluster.entries() - 1)),
              static_cast<int>(time.Pick(0, agents - 1)),
              time.Milliseconds(300, 9000)});
  cluster.RunFor(time.Milliseconds(100, 3000));
  if (time.Chance(0.4)) {
    cluster.HealAll();
  }
}

class FillingExplorerTest : public testing::TestWithParam<uint64_t> {};

TEST_P(FillingExplorerTest, MovedTasksRunInOnePlace) {
  SimulatedClusterOptions options;
  options.seed = GetParam();
  options.failing_runs = 0.1;
  options.paced_registration = true;
  options.keep_order = true;
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  for (int round = 0; round < kRounds; ++round) {
    RunRound(cluster);
  }
  cluster.HealAll();
  for (const int agent : cluster.Agents()) {
    cluster.worker(agent).SetSlowed(false);
  }
  cluster.RunFor(seconds(90));
  cluster.CheckCompleted();
  cluster.CheckJobs();
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(cluster.Owner(), 0);
  EXPECT_FALSE(cluster.accepted().empty());
}

INSTANTIATE_TEST_SUITE_P(Seeds, FillingExplorerTest, ExplorerSeeds(60));

}  // namespace
}  // namespace rhubarbhaven::jobs

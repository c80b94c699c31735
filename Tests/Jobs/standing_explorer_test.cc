// Explores random orders of events and faults in virtual time, with jobs of all
// kinds and ample room.
//
// Checks that no job is starved for 3 s while no fault is active and there is
// room. Such a job may wait for a wake-up of placement that never comes, for a
// worker that stays rejected, or for a run that no worker has.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::seconds;

constexpr int kRounds = 8;
constexpr int kMaxFaults = 3;
constexpr std::size_t kMaxLongRunning = 2;
constexpr std::size_t kMinAgents = 3;
constexpr std::size_t kMaxAgents = 6;

enum : int64_t {
  kRemoveUnplanned = kLastCommonFault + 1,
  kRemovePlanned,
  kDrain,
  kAdd,
  kStopOwner,
  kFaults,
};

auto SubmitJobs(SimulatedCluster& cluster) -> void {
  auto& time = cluster.time();
  cluster.Submit({static_cast<uint32_t>(time.Pick(1, 3)),
                  static_cast<uint32_t>(time.Pick(1, 2))});
  cluster.SubmitOpportunistic(static_cast<uint32_t>(time.Pick(1, 2)));
  const auto long_running_jobs = cluster.long_running_jobs();
  if (long_running_jobs.size() < kMaxLongRunning) {
    cluster.SubmitLongRunning(1);
  } else if (time.Chance(0.5)) {
    cluster.Cancel(long_running_jobs.front());
  }
}

auto InjectFault(SimulatedCluster& cluster) -> void {
  auto& time = cluster.time();
  const auto agents = cluster.Agents();
  const auto pick = time.Pick(0, static_cast<int64_t>(agents.size()) - 1);
  const int agent = agents[static_cast<std::size_t>(pick)];
  const auto entry = static_cast<int>(time.Pick(0, cluster.entries() - 1));
  const FaultTarget target{entry, agent, time.Milliseconds(300, 6000)};
  const auto fault = time.Pick(0, kFaults - 1);
  const bool removable = agents.size() > kMinAgents;
  cluster.RecordFault();
  if (fault <= kLastCommonFault) {
    ApplyFault(cluster, fault, target);
    return;
  }
  cluster.Trace("SCALE " + std::to_string(fault) + " agent " +
                std::to_string(agent));
  switch (fault) {
    case kRemoveUnplanned:
    case kRemovePlanned:
      if (removable) {
        cluster.RemoveAgent(agent, fault == kRemovePlanned);
      }
      break;
    case kDrain:
      cluster.worker(agent).SetDraining(true);
      time.After(time.Milliseconds(500, 4000), [&cluster, agent]() -> void {
        cluster.RecordFault();
        cluster.worker(agent).SetDraining(false);
      });
      break;
    case kAdd:
      if (agents.size() < kMaxAgents) {
        cluster.AddAgent();
      }
      break;
    default:
      cluster.StopEntry(std::max(cluster.Owner(), 0));
  }
}

auto RunRound(SimulatedCluster& cluster) -> void {
  auto& time = cluster.time();
  SubmitJobs(cluster);
  for (auto faults = time.Pick(1, kMaxFaults); faults > 0; --faults) {
    InjectFault(cluster);
    cluster.RunFor(time.Milliseconds(50, 2500));
  }
  SubmitJobs(cluster);
  cluster.RunFor(time.Milliseconds(100, 2000));
  cluster.HealAll();
  cluster.RunFor(time.Milliseconds(6000, 14000));
  // Submits jobs again when no fault has been active for some time.
  SubmitJobs(cluster);
  cluster.RunFor(time.Milliseconds(500, 4000));
}

class StandingExplorerTest : public testing::TestWithParam<uint64_t> {};

// Guards against jobs that are starved although their tasks could run.
TEST_P(StandingExplorerTest, JobsWithRoomHaveSomethingRunning) {
  SimulatedClusterOptions options;
  options.seed = GetParam();
  options.agents = 4;
  options.failing_runs = 0.1;
  options.paced_registration = true;
  options.keep_order = true;
  options.check_starvation = true;
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  for (int round = 0; round < kRounds; ++round) {
    RunRound(cluster);
  }
  cluster.HealAll();
  cluster.RunFor(seconds(60));
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(cluster.Owner(), 0);
  EXPECT_FALSE(cluster.accepted().empty());
}

INSTANTIATE_TEST_SUITE_P(Seeds, StandingExplorerTest, ExplorerSeeds(60));

}  // namespace
}  // namespace rhubarbhaven::jobs

// Explores random orders of events and faults in virtual time, with some jobs
// that crash the workers that start them.
//
// Checks that such a task is not started without limit, and that no other job
// is marked as failed because of a task that ran beside it. Owners change, and
// links and the log fail; the agents, which report crashes, keep running.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kAgents = 6;
constexpr int kRounds = 12;

// Faults of `ApplyFault` that affect entries, links and the log.
constexpr std::array<int64_t, 9> kFaults = {0, 2, 4, 5, 6, 7, 8, 10, 14};

auto InjectFault(SimulatedCluster& cluster) -> void {
  auto& time = cluster.time();
  const auto fault = kFaults.at(static_cast<std::size_t>(
      time.Pick(0, static_cast<int64_t>(kFaults.size()) - 1)));
  const auto entry = static_cast<int>(time.Pick(0, cluster.entries() - 1));
  const auto agent = static_cast<int>(time.Pick(0, kAgents - 1));
  ApplyFault(cluster, fault, {entry, agent, time.Milliseconds(300, 4000)});
}

auto SubmitCrashing(SimulatedCluster& cluster) -> void {
  auto& time = cluster.time();
  JobStep step;
  step.set_count(static_cast<uint32_t>(time.Pick(1, 3)));
  step.set_estimated_ms(500);
  step.set_long_running(time.Chance(0.3));
  cluster.SubmitCrashing(step, time.Milliseconds(0, 100));
}

class CrashExplorerTest : public testing::TestWithParam<uint64_t> {};

TEST_P(CrashExplorerTest, OnlyTasksThatCrashWorkersFail) {
  SimulatedClusterOptions options;
  options.seed = GetParam();
  options.agents = kAgents;
  options.keep_order = true;
  options.paced_registration = true;
  options.restart_delay = milliseconds(GetParam() % 3 == 0 ? 8000 : 3300);
  SimulatedCluster cluster(options);
  auto& time = cluster.time();
  cluster.RunFor(seconds(4));
  cluster.SubmitLongRunning(4);
  for (int round = 0; round < kRounds; ++round) {
    cluster.Submit({static_cast<uint32_t>(time.Pick(1, 5)),
                    static_cast<uint32_t>(time.Pick(1, 3))});
    if (round % 4 == 1) {
      SubmitCrashing(cluster);
    }
    if (time.Chance(0.6)) {
      InjectFault(cluster);
    }
    cluster.RunFor(time.Milliseconds(500, 4000));
    if (time.Chance(0.4)) {
      cluster.HealAll();
    }
  }
  cluster.HealAll();
  cluster.RunFor(seconds(90));
  cluster.CheckCompleted();
  cluster.CheckJobs();
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CrashExplorerTest, ExplorerSeeds(40));

}  // namespace
}  // namespace rhubarbhaven::jobs

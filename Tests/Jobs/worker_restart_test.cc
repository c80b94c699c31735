// Workers that crash and start again under their name: they are called by the
// name, hold nothing of before, and their clocks and counts begin anew.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What else fails at the time of the restart.
enum class ConcurrentFault {
  kNothing,
  kOwnerKilled,
  kAgentKilled,
  kLogDown,
  kEarlierHeartbeat,
};

struct RestartCase {
  std::string name;
  milliseconds down{0};
  ConcurrentFault fault = ConcurrentFault::kNothing;
  // Time from the crash to this fault.
  milliseconds at{0};
};

class WorkerRestartTest : public testing::TestWithParam<RestartCase> {
 protected:
  static constexpr int kWorker = 0;

  WorkerRestartTest() : cluster_(Options()) {}

  static auto Options() -> SimulatedClusterOptions {
    SimulatedClusterOptions options;
    options.agents = 6;
    options.keep_order = true;
    options.paced_registration = true;
    options.workers_keep_names = true;
    options.check_long_running = true;
    return options;
  }

  auto InjectFault() -> void {
    switch (GetParam().fault) {
      case ConcurrentFault::kNothing:
        break;
      case ConcurrentFault::kOwnerKilled:
        cluster_.KillEntry(std::max(cluster_.Owner(), 0), seconds(3));
        break;
      case ConcurrentFault::kAgentKilled:
        cluster_.KillAgent(kWorker, milliseconds(200));
        break;
      case ConcurrentFault::kLogDown:
        cluster_.log().SetMode(VirtualLog::Mode::kRejects);
        cluster_.time().After(seconds(4), [this]() -> void {
          cluster_.log().SetMode(VirtualLog::Mode::kServes);
        });
        break;
      case ConcurrentFault::kEarlierHeartbeat:
        break;
    }
  }

  SimulatedCluster cluster_;
};

// Guards against tasks that stay down for good: a process that has started
// again under the name of the one before was taken for it.
TEST_P(WorkerRestartTest, RunsOfTheEarlierProcessAreStartedAgain) {
  cluster_.RunFor(seconds(4));
  cluster_.SubmitLongRunning(12);
  for (int job = 0; job < 4; ++job) {
    cluster_.Submit({4, 2});
    cluster_.RunFor(seconds(1));
  }
  cluster_.Submit({12});
  cluster_.RunFor(milliseconds(600));
  ASSERT_GT(cluster_.worker(kWorker).running(), 0U);
  cluster_.RecordFault();
  if (GetParam().fault == ConcurrentFault::kEarlierHeartbeat) {
    cluster_.DeliverLateHeartbeat(kWorker, GetParam().down + seconds(2));
  }
  cluster_.worker(kWorker).CrashFor(GetParam().down);
  cluster_.time().After(GetParam().at, [this]() -> void { InjectFault(); });
  for (int job = 0; job < 10; ++job) {
    cluster_.Submit({3});
    cluster_.RunFor(seconds(2));
  }
  cluster_.RunFor(seconds(40));
  cluster_.CheckCompleted();
  cluster_.CheckJobs();
  for (const auto& task : cluster_.long_running_jobs()) {
    for (int index = 0; index < 12; ++index) {
      EXPECT_TRUE(cluster_.RunsAnywhere(task + ".0.0." + std::to_string(index)))
          << index;
    }
  }
  for (const auto& problem : cluster_.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    WorkerRestartTest,
    testing::Values(
        RestartCase{"at_once", milliseconds(1)},
        RestartCase{"after_2_s", seconds(2)},
        // The lease has expired by then.
        RestartCase{"after_12_s", seconds(12)},
        RestartCase{"owner_killed_before", seconds(2),
                    ConcurrentFault::kOwnerKilled, milliseconds(500)},
        RestartCase{"owner_killed_at_the_restart", seconds(2),
                    ConcurrentFault::kOwnerKilled, milliseconds(2200)},
        RestartCase{"agent_killed_before", seconds(2),
                    ConcurrentFault::kAgentKilled, milliseconds(1700)},
        RestartCase{"agent_killed_at_the_restart", seconds(2),
                    ConcurrentFault::kAgentKilled, milliseconds(2100)},
        RestartCase{"log_down", seconds(2), ConcurrentFault::kLogDown,
                    milliseconds(1000)},
        RestartCase{"late_heartbeat", seconds(2),
                    ConcurrentFault::kEarlierHeartbeat}),
    [](const auto& info) { return info.param.name; });

constexpr int kRounds = 14;
constexpr int kExplorerAgents = 6;

// Faults of `ApplyFault` on entries, agents, links, the log, and calls to
// workers.
constexpr std::array<int64_t, 14> kFaults = {0, 1, 2,  3,  4,  5,  6,
                                             7, 8, 10, 11, 12, 13, 14};

class WorkerRestartExplorerTest : public testing::TestWithParam<uint64_t> {};

// Guards against the same in any order of events, and against tasks that run in
// two places because a call for one process was carried out by the next one.
TEST_P(WorkerRestartExplorerTest, TasksRunOnceAndAllJobsEnd) {
  SimulatedClusterOptions options;
  options.seed = GetParam();
  options.agents = kExplorerAgents;
  options.keep_order = true;
  options.paced_registration = true;
  options.workers_keep_names = true;
  SimulatedCluster cluster(options);
  auto& time = cluster.time();
  cluster.RunFor(seconds(4));
  cluster.SubmitLongRunning(6);
  for (int round = 0; round < kRounds; ++round) {
    cluster.Submit({static_cast<uint32_t>(time.Pick(1, 8)),
                    static_cast<uint32_t>(time.Pick(1, 3))});
    const auto agent = static_cast<int>(time.Pick(0, kExplorerAgents - 1));
    if (time.Chance(0.6)) {
      cluster.RecordFault();
      cluster.worker(agent).CrashFor(time.Milliseconds(1, 3000));
    }
    if (time.Chance(0.5)) {
      const auto fault = kFaults.at(static_cast<std::size_t>(
          time.Pick(0, static_cast<int64_t>(kFaults.size()) - 1)));
      const auto entry = static_cast<int>(time.Pick(0, cluster.entries() - 1));
      ApplyFault(cluster, fault, {entry, agent, time.Milliseconds(300, 4000)});
    }
    cluster.RunFor(time.Milliseconds(300, 4000));
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

INSTANTIATE_TEST_SUITE_P(Seeds, WorkerRestartExplorerTest, ExplorerSeeds(60));

}  // namespace
}  // namespace rhubarbhaven::jobs

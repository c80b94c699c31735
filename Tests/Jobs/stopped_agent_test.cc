// Agents that are told to stop, for good or for a restart, around the end of an
// owner. What they record must spare the next owner the wait for leases of the
// previous one, and must not let a task run in two places.

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kTasks = 6;
constexpr int kLostWorker = 0;

auto Options(uint64_t seed) -> SimulatedClusterOptions {
  SimulatedClusterOptions options;
  options.seed = seed;
  options.entries = 5;
  options.paced_registration = true;
  options.keep_order = true;
  options.check_long_running = true;
  return options;
}

struct StoppedForGoodCase {
  std::string name;
  // When the agent is told to stop; the first owner is lost at zero.
  milliseconds told_at{0};
  // When its worker is gone, without a word; with the agent's process if not
  // set.
  std::optional<milliseconds> worker_gone_at;
  // When the later owners are lost.
  std::vector<milliseconds> next_owners_lost_at;
};

class StoppedForGoodTest : public testing::TestWithParam<StoppedForGoodCase> {
 protected:
  StoppedForGoodTest() : cluster_(MakeOptions()) {}

  static auto MakeOptions() -> SimulatedClusterOptions {
    auto options = Options(1);
    options.allow_reconciliation = false;
    return options;
  }

  auto RemoveOwner() -> void {
    const int owner = cluster_.Owner();
    if (owner >= 0) {
      cluster_.RemoveEntry(owner);
    }
  }

  SimulatedCluster cluster_;
};

// Guards against tasks that stay down for some 20 s although there is room. An
// agent is told to stop and leaves with its worker, and the owner is lost for
// good at about that time. The agent left nothing in the log, so the next owner
// waited for leases of the lost one, and one that followed it waited again.
TEST_P(StoppedForGoodTest, DoesNotDelayTasksOfALaterOwner) {
  cluster_.RunFor(seconds(4));
  cluster_.SubmitLongRunning(kTasks);
  cluster_.RunFor(seconds(2));
  const TimePoint lost_at = cluster_.time().now() + seconds(1);
  cluster_.time().At(lost_at, [this]() -> void { RemoveOwner(); });
  for (const auto next : GetParam().next_owners_lost_at) {
    cluster_.time().At(lost_at + next, [this]() -> void { RemoveOwner(); });
  }
  cluster_.time().At(lost_at + GetParam().told_at, [this]() -> void {
    cluster_.StopAgentForGood(kLostWorker);
  });
  if (GetParam().worker_gone_at) {
    cluster_.time().At(lost_at + *GetParam().worker_gone_at, [this]() -> void {
      cluster_.RemoveWorker(kLostWorker);
    });
  }
  cluster_.RunFor(seconds(40));
  EXPECT_GE(cluster_.Owner(), 0);
  for (const auto& problem : cluster_.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    StoppedForGoodTest,
    testing::Values(
        StoppedForGoodCase{"before_the_owner", milliseconds(-400), {}, {}},
        StoppedForGoodCase{"with_the_owner", milliseconds(0), {}, {}},
        StoppedForGoodCase{"between_two_owners", milliseconds(600), {}, {}},
        StoppedForGoodCase{"as_the_next_owner_is_lost",
                           milliseconds(3400),
                           {},
                           {milliseconds(3600)}},
        StoppedForGoodCase{"after_its_worker",
                           milliseconds(3500),
                           milliseconds(-200),
                           {milliseconds(6500)}},
        StoppedForGoodCase{"before_three_owners",
                           milliseconds(-400),
                           {},
                           {milliseconds(5000), milliseconds(10000)}}),
    [](const auto& info) { return info.param.name; });

struct RestartInsideCase {
  std::string name;
  // The cut begins this long after the agent was told to stop.
  milliseconds cut_after{0};
  // Time until the agent's next process starts.
  milliseconds down{0};
};

class RestartInsideTest : public testing::TestWithParam<RestartInsideCase> {};

// Guards against a task that runs in two places. An agent records that it was
// told to stop and is restarted; then it is cut off together with its owner,
// which goes on. The owner outside relies on the record and starts elsewhere
// what the agent's next process keeps running inside.
TEST_P(RestartInsideTest, NextProcessRunsNothingThatRunsElsewhere) {
  constexpr int kPhases = 12;
  constexpr milliseconds kPhaseStep{90};
  for (int phase = 0; phase < kPhases; ++phase) {
    auto options = Options(static_cast<uint64_t>(phase) + 1);
    options.agents = 4;
    SimulatedCluster cluster(options);
    cluster.RunFor(seconds(4));
    cluster.SubmitLongRunning(8);
    cluster.RunFor(seconds(3) + phase * kPhaseStep);
    cluster.StopAgent(0, GetParam().down);
    cluster.RunFor(GetParam().cut_after);
    const int owner = cluster.Owner();
    ASSERT_GE(owner, 0);
    cluster.Isolate({owner}, {0, 1}, seconds(14));
    cluster.RunFor(seconds(50));
    EXPECT_GE(cluster.Owner(), 0);
    cluster.CheckJobs();
    for (const auto& problem : cluster.problems()) {
      ADD_FAILURE() << "phase " << phase << ": " << problem;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RestartInsideTest,
    testing::Values(
        RestartInsideCase{"as_it_stops", milliseconds(10), milliseconds(300)},
        RestartInsideCase{"while_it_is_down", milliseconds(150),
                          milliseconds(300)},
        RestartInsideCase{"as_it_starts", milliseconds(310), milliseconds(300)},
        RestartInsideCase{"before_its_worker_reports", milliseconds(500),
                          milliseconds(300)},
        RestartInsideCase{"once_it_is_granted_to", milliseconds(1500),
                          milliseconds(300)},
        RestartInsideCase{"down_for_longer", milliseconds(100),
                          milliseconds(2500)}),
    [](const auto& info) { return info.param.name; });

enum : int64_t {
  kRestartAgent = kLastCommonFault + 1,
  kRestartSeveral,
  kStopForGood,
  kRemoveOwner,
  kIsolateOwner,
  kFaults,
};

constexpr std::size_t kMinAgents = 3;
constexpr int kMaxLostEntries = 3;

auto InjectFault(SimulatedCluster& cluster, int* lost_entries) -> void {
  auto& time = cluster.time();
  const auto agents = cluster.Agents();
  const int agent = agents[static_cast<std::size_t>(
      time.Pick(0, static_cast<int64_t>(agents.size()) - 1))];
  const auto entry = static_cast<int>(time.Pick(0, cluster.entries() - 1));
  const auto fault = time.Pick(0, kFaults - 1);
  cluster.RecordFault();
  if (fault <= kLastCommonFault) {
    ApplyFault(cluster, fault, {entry, agent, time.Milliseconds(300, 9000)});
    return;
  }
  cluster.Trace("STOP " + std::to_string(fault) + " agent " +
                std::to_string(agent));
  switch (fault) {
    case kRestartAgent:
      cluster.StopAgent(agent, time.Milliseconds(50, 3000));
      break;
    case kRestartSeveral:
      for (const int other : agents) {
        if (time.Chance(0.6)) {
          cluster.StopAgent(other, time.Milliseconds(50, 3000));
        }
      }
      break;
    case kStopForGood:
      if (agents.size() > kMinAgents) {
        cluster.StopAgentForGood(agent);
      }
      break;
    case kRemoveOwner:
      if (*lost_entries < kMaxLostEntries && cluster.Owner() >= 0) {
        ++*lost_entries;
        cluster.RemoveEntry(cluster.Owner());
      }
      break;
    default: {
      std::set<int> inside;
      for (const int other : agents) {
        if (time.Chance(0.5)) {
          inside.insert(other);
        }
      }
      cluster.Isolate({std::max(0, cluster.Owner())}, inside,
                      time.Milliseconds(2000, 17000));
    }
  }
}

class StoppedAgentExplorerTest : public testing::TestWithParam<uint64_t> {};

// Explores random orders of stops and restarts of agents beside other faults:
// no task runs in two places, and long-running tasks run again.
TEST_P(StoppedAgentExplorerTest, TasksRunInOnePlaceWhicheverAgentsStop) {
  constexpr int kRounds = 14;
  auto options = Options(GetParam());
  options.entries = 6;
  options.agents = 6;
  SimulatedCluster cluster(options);
  auto& time = cluster.time();
  int lost_entries = 0;
  cluster.RunFor(seconds(4));
  cluster.SubmitLongRunning(6);
  for (int round = 0; round < kRounds; ++round) {
    cluster.Submit({static_cast<uint32_t>(time.Pick(1, 3)),
                    static_cast<uint32_t>(time.Pick(1, 2))});
    InjectFault(cluster, &lost_entries);
    if (time.Chance(0.6)) {
      cluster.RunFor(time.Milliseconds(0, 800));
      InjectFault(cluster, &lost_entries);
    }
    cluster.RunFor(time.Milliseconds(200, 5000));
    if (time.Chance(0.5)) {
      cluster.HealAll();
    }
    if (time.Chance(0.2)) {
      cluster.HealAll();
      cluster.RunFor(time.Milliseconds(15000, 30000));
    }
  }
  cluster.HealAll();
  cluster.RunFor(seconds(60));
  EXPECT_GE(cluster.Owner(), 0);
  cluster.CheckCompleted();
  cluster.CheckJobs();
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, StoppedAgentExplorerTest, ExplorerSeeds(40));

}  // namespace
}  // namespace rhubarbhaven::jobs

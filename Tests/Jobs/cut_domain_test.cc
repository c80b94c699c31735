// An owner that is isolated together with some of its agents and entries, from
// the log and from all others, while another entry outside takes over.
//
// Checks that no task runs in two places or starts after its end was recorded.
// The isolation lasts longer than a lease, and mostly shorter than the owner
// goes on without the log.

#include <gtest/gtest.h>

#include <cstddef>
#include <set>
#include <string>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 4;
constexpr int kAgents = 6;

auto Options(uint64_t seed) -> SimulatedClusterOptions {
  SimulatedClusterOptions options;
  options.seed = seed;
  options.entries = kEntries;
  options.agents = kAgents;
  options.paced_registration = true;
  options.keep_order = true;
  options.check_long_running = true;
  return options;
}

struct CutCase {
  std::string name;
  // Jobs whose tasks end, submitted over the last second before the cut.
  int short_jobs = 0;
  uint32_t long_running_tasks = 0;
  uint32_t opportunistic_tasks = 0;
  // Agents with numbers below this one are isolated with the owner.
  int agents_inside = 3;
  // One agent inside and one outside are killed for good this long before the
  // cut; none if zero.
  milliseconds killed_before{0};
  milliseconds duration{6000};
};

constexpr int kKilledInside = 0;
constexpr int kKilledOutside = kAgents - 1;
constexpr int kPhasesPerCut = 8;
constexpr milliseconds kPhaseStep{130};

class CutDomainTest : public testing::TestWithParam<CutCase> {
 protected:
  static auto RunCase(const CutCase& cut_case, int phase) -> void {
    SimulatedCluster cluster(Options(static_cast<uint64_t>(phase) + 1));
    cluster.RunFor(seconds(4));
    if (cut_case.long_running_tasks > 0) {
      cluster.SubmitLongRunning(cut_case.long_running_tasks);
    }
    if (cut_case.opportunistic_tasks > 0) {
      cluster.SubmitOpportunistic(cut_case.opportunistic_tasks);
    }
    // Each phase cuts at another point between two renewals and between two
    // polls.
    cluster.RunFor(seconds(3) + phase * kPhaseStep);
    if (cut_case.killed_before > milliseconds(0)) {
      cluster.RemoveAgent(kKilledInside, /*planned=*/false);
      cluster.RemoveAgent(kKilledOutside, /*planned=*/false);
      cluster.RunFor(cut_case.killed_before);
    }
    for (int job = 0; job < cut_case.short_jobs; ++job) {
      cluster.Submit({2, 2});
      cluster.RunFor(milliseconds(1000) / cut_case.short_jobs);
    }
    const int owner = cluster.Owner();
    ASSERT_GE(owner, 0);
    std::set<int> agents;
    for (int agent = 0; agent < cut_case.agents_inside; ++agent) {
      agents.insert(agent);
    }
    cluster.Isolate({owner}, agents, cut_case.duration);
    cluster.RunFor(cut_case.duration + seconds(40));
    EXPECT_GE(cluster.Owner(), 0);
    cluster.CheckCompleted();
    cluster.CheckJobs();
    for (const auto& problem : cluster.problems()) {
      ADD_FAILURE() << "phase " << phase << ": " << problem;
    }
  }
};

// Guards against an owner that treats the end of a lease as the end of what
// runs under it, although a successor has renewed that lease.
TEST_P(CutDomainTest, StartsNothingThatASuccessorMayHold) {
  for (int phase = 0; phase < kPhasesPerCut; ++phase) {
    RunCase(GetParam(), phase);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CutDomainTest,
    testing::Values(CutCase{"short_tasks", 6},
                    CutCase{"lasting_tasks", 0, 8},
                    CutCase{"filling_tasks", 0, 0, 8},
                    CutCase{"all_kinds", 5, 5, 3},
                    CutCase{"all_kinds_for_longer", 5, 5, 3, 3, milliseconds(0),
                            milliseconds(10000)},
                    CutCase{"almost_to_the_limit", 5, 5, 3, 3, milliseconds(0),
                            milliseconds(15000)},
                    CutCase{"beyond_the_limit", 5, 5, 3, 3, milliseconds(0),
                            milliseconds(24000)},
                    CutCase{"just_the_lease", 5, 5, 3, 3, milliseconds(0),
                            milliseconds(5500)},
                    CutCase{"one_agent_inside", 5, 5, 3, 1},
                    CutCase{"one_agent_outside", 5, 5, 3, 5},
                    CutCase{"killed_just_before", 5, 5, 0, 3, milliseconds(300),
                            milliseconds(8000)},
                    CutCase{"killed_long_before", 5, 5, 0, 3,
                            milliseconds(4500), milliseconds(8000)}),
    [](const auto& info) { return info.param.name; });

struct OutageCase {
  std::string name;
  VirtualLog::Mode mode = VirtualLog::Mode::kRejects;
  milliseconds duration{0};
};

class OutageTest : public testing::TestWithParam<OutageCase> {};

// Enough tasks to fill all agents but one and a half.
constexpr uint32_t kOutageTasks = 18;
// Time from the return of the log: a renewal of the claim, and a start.
constexpr milliseconds kMaxRecoveryTime{1500};

// Guards against an owner that does not restart the tasks of a lost worker
// after the log has returned, although it has been the only owner throughout.
TEST_P(OutageTest, TasksOfALostWorkerRestartSoonAfterwards) {
  SimulatedCluster cluster(Options(1));
  cluster.RunFor(seconds(4));
  cluster.SubmitLongRunning(kOutageTasks);
  cluster.RunFor(seconds(3));
  const int owner = cluster.Owner();
  ASSERT_GE(owner, 0);
  cluster.log().SetMode(GetParam().mode);
  int lost = 0;
  while (cluster.worker(lost).running() == 0) {
    ++lost;
  }
  cluster.RemoveAgent(lost, /*planned=*/false);
  const auto running = [&cluster]() -> std::size_t {
    std::size_t runs = 0;
    for (const int agent : cluster.Agents()) {
      runs += cluster.worker(agent).running();
    }
    return runs;
  };
  ASSERT_LT(running(), kOutageTasks);
  cluster.RunFor(GetParam().duration);
  cluster.HealAll();
  const TimePoint restored_at = cluster.time().now();
  while (running() < kOutageTasks &&
         cluster.time().now() < restored_at + seconds(30)) {
    cluster.RunFor(milliseconds(10));
  }
  EXPECT_LE(cluster.time().now() - restored_at, kMaxRecoveryTime);
  EXPECT_EQ(cluster.Owner(), owner);
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    OutageTest,
    testing::Values(OutageCase{"refuses", VirtualLog::Mode::kRejects,
                               milliseconds(8000)},
                    OutageCase{"refuses_for_long", VirtualLog::Mode::kRejects,
                               milliseconds(13000)},
                    OutageCase{"silent", VirtualLog::Mode::kUnresponsive,
                               milliseconds(8000)}),
    [](const auto& info) { return info.param.name; });

constexpr int kRounds = 8;
// Upper limit on long-running tasks. The others need room beside them, or they
// would wait for ever.
constexpr std::size_t kMaxLongRunning = 14;

// Isolates the owner with some of the agents, and sometimes one more entry.
auto IsolateOwner(SimulatedCluster& cluster) -> milliseconds {
  auto& time = cluster.time();
  const auto inside = static_cast<int>(time.Pick(1, kAgents - 1));
  std::set<int> agents;
  while (static_cast<int>(agents.size()) < inside) {
    agents.insert(static_cast<int>(time.Pick(0, kAgents - 1)));
  }
  std::set<int> entries{std::max(0, cluster.Owner())};
  if (time.Chance(0.4)) {
    entries.insert(static_cast<int>(time.Pick(0, kEntries - 1)));
  }
  const auto span = time.Milliseconds(2000, 18000);
  cluster.Trace("CUT owner " + std::to_string(*entries.begin()) + " with " +
                std::to_string(inside) + " agents for ms " +
                std::to_string(span.count()));
  cluster.Isolate(entries, agents, span);
  return span;
}

auto SubmitRandomJob(SimulatedCluster& cluster) -> void {
  auto& time = cluster.time();
  const auto tasks = static_cast<uint32_t>(time.Pick(1, 4));
  if (time.Chance(0.2) &&
      cluster.long_running_tasks() + tasks <= kMaxLongRunning) {
    cluster.SubmitLongRunning(tasks);
  } else if (time.Chance(0.2)) {
    cluster.SubmitOpportunistic(tasks);
  } else {
    cluster.Submit({tasks, static_cast<uint32_t>(time.Pick(1, 3))});
  }
}

auto InjectFault(SimulatedCluster& cluster) -> void {
  auto& time = cluster.time();
  const auto entry = static_cast<int>(time.Pick(0, kEntries - 1));
  const auto agent = static_cast<int>(time.Pick(0, kAgents - 1));
  const auto span = time.Milliseconds(300, 9000);
  cluster.RecordFault();
  ApplyFault(cluster, time.Pick(0, kLastCommonFault), {entry, agent, span});
}

class CutExplorerTest : public testing::TestWithParam<uint64_t> {};

TEST_P(CutExplorerTest, EveryTaskRunsInOnePlaceWhateverIsIsolated) {
  SimulatedCluster cluster(Options(GetParam()));
  auto& time = cluster.time();
  cluster.RunFor(seconds(4));
  for (int round = 0; round < kRounds; ++round) {
    const auto jobs = time.Pick(1, 4);
    for (int64_t job = 0; job < jobs; ++job) {
      SubmitRandomJob(cluster);
      cluster.RunFor(time.Milliseconds(10, 600));
    }
    if (time.Chance(0.4)) {
      InjectFault(cluster);
      cluster.RunFor(time.Milliseconds(0, 3000));
    }
    const auto span = IsolateOwner(cluster);
    if (time.Chance(0.3)) {
      InjectFault(cluster);
    }
    cluster.RunFor(span + time.Milliseconds(0, 4000));
    if (time.Chance(0.6)) {
      cluster.HealAll();
      cluster.RunFor(time.Milliseconds(0, 8000));
    }
  }
  cluster.HealAll();
  cluster.RunFor(seconds(90));
  EXPECT_GE(cluster.Owner(), 0);
  EXPECT_FALSE(cluster.accepted().empty());
  cluster.CheckCompleted();
  cluster.CheckJobs();
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CutExplorerTest, ExplorerSeeds(60));

}  // namespace
}  // namespace rhubarbhaven::jobs

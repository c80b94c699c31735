// An owner that is cut off together with a part of its agents and entries, from
// the log and from all others, while another entry takes over outside.
//
// Symptom watched for: a task that runs in two places, or starts after its end
// was noted. The cut lasts longer than a lease, and mostly shorter than the
// owner goes on without the log.

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

auto Options(uint64_t seed) -> JobWorldOptions {
  JobWorldOptions options;
  options.seed = seed;
  options.entries = kEntries;
  options.agents = kAgents;
  options.paced_registration = true;
  options.keep_order = true;
  options.check_lasting = true;
  return options;
}

struct CutCase {
  std::string name;
  // Jobs of tasks that end, handed in over the last second before the cut.
  int short_jobs = 0;
  uint32_t lasting_tasks = 0;
  uint32_t filling_tasks = 0;
  // Agents with numbers below this one are cut off with the owner.
  int agents_inside = 3;
  // One agent inside and one outside are killed so long before the cut, for
  // good; none if zero.
  milliseconds killed_before{0};
  milliseconds lasts{6000};
};

constexpr int kKilledInside = 0;
constexpr int kKilledOutside = kAgents - 1;
constexpr int kMomentsOfACut = 8;
constexpr milliseconds kBetweenMoments{130};

class CutDomainTest : public testing::TestWithParam<CutCase> {
 protected:
  static auto Play(const CutCase& story, int moment) -> void {
    JobWorld world(Options(static_cast<uint64_t>(moment) + 1));
    world.RunFor(seconds(4));
    if (story.lasting_tasks > 0) {
      world.SubmitLasting(story.lasting_tasks);
    }
    if (story.filling_tasks > 0) {
      world.SubmitFilling(story.filling_tasks);
    }
    // Each moment is another one between two renewals and two polls.
    world.RunFor(seconds(3) + moment * kBetweenMoments);
    if (story.killed_before > milliseconds(0)) {
      world.RemoveAgent(kKilledInside, /*planned=*/false);
      world.RemoveAgent(kKilledOutside, /*planned=*/false);
      world.RunFor(story.killed_before);
    }
    for (int job = 0; job < story.short_jobs; ++job) {
      world.Submit({2, 2});
      world.RunFor(milliseconds(1000) / story.short_jobs);
    }
    const int owner = world.Owner();
    ASSERT_GE(owner, 0);
    std::set<int> agents;
    for (int agent = 0; agent < story.agents_inside; ++agent) {
      agents.insert(agent);
    }
    world.CutOff({owner}, agents, story.lasts);
    world.RunFor(story.lasts + seconds(40));
    EXPECT_GE(world.Owner(), 0);
    world.CheckCompleted();
    world.CheckJobs();
    for (const auto& problem : world.problems()) {
      ADD_FAILURE() << "moment " << moment << ": " << problem;
    }
  }
};

// Guards against an owner that takes the end of a lease for the end of what
// runs under it, while a successor has renewed that lease.
TEST_P(CutDomainTest, StartsNothingThatASuccessorMayHold) {
  for (int moment = 0; moment < kMomentsOfACut; ++moment) {
    Play(GetParam(), moment);
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
  VirtualLog::Mode mode = VirtualLog::Mode::kRefuses;
  milliseconds lasts{0};
};

class OutageTest : public testing::TestWithParam<OutageCase> {};

// Fills all agents but one and a half.
constexpr uint32_t kTasksInAnOutage = 18;
// From the log's return: a renewal of the claim, and a start.
constexpr milliseconds kBackWithin{1500};

// Guards against an owner that leaves the tasks of a lost worker down after the
// log is back, although it has been the only one all along.
TEST_P(OutageTest, TasksOfALostWorkerRunSoonAfterIt) {
  JobWorld world(Options(1));
  world.RunFor(seconds(4));
  world.SubmitLasting(kTasksInAnOutage);
  world.RunFor(seconds(3));
  const int owner = world.Owner();
  ASSERT_GE(owner, 0);
  world.log().SetMode(GetParam().mode);
  int lost = 0;
  while (world.worker(lost).running() == 0) {
    ++lost;
  }
  world.RemoveAgent(lost, /*planned=*/false);
  const auto running = [&world]() -> std::size_t {
    std::size_t runs = 0;
    for (const int agent : world.Agents()) {
      runs += world.worker(agent).running();
    }
    return runs;
  };
  ASSERT_LT(running(), kTasksInAnOutage);
  world.RunFor(GetParam().lasts);
  world.HealAll();
  const TimePoint back = world.time().now();
  while (running() < kTasksInAnOutage &&
         world.time().now() < back + seconds(30)) {
    world.RunFor(milliseconds(10));
  }
  EXPECT_LE(world.time().now() - back, kBackWithin);
  EXPECT_EQ(world.Owner(), owner);
  for (const auto& problem : world.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    OutageTest,
    testing::Values(
        OutageCase{"refuses", VirtualLog::Mode::kRefuses, milliseconds(8000)},
        OutageCase{"refuses_for_long", VirtualLog::Mode::kRefuses,
                   milliseconds(13000)},
        OutageCase{"silent", VirtualLog::Mode::kSilent, milliseconds(8000)}),
    [](const auto& info) { return info.param.name; });

constexpr int kRounds = 8;
// At most; the others have room beside them, or they would wait for ever.
constexpr std::size_t kMostLasting = 14;

// Cuts off the owner with some of the agents, and sometimes one more entry.
auto CutOffTheOwner(JobWorld& world) -> milliseconds {
  auto& time = world.time();
  const auto inside = static_cast<int>(time.Pick(1, kAgents - 1));
  std::set<int> agents;
  while (static_cast<int>(agents.size()) < inside) {
    agents.insert(static_cast<int>(time.Pick(0, kAgents - 1)));
  }
  std::set<int> entries{std::max(0, world.Owner())};
  if (time.Chance(0.4)) {
    entries.insert(static_cast<int>(time.Pick(0, kEntries - 1)));
  }
  const auto span = time.Milliseconds(2000, 18000);
  world.Trace("CUT owner " + std::to_string(*entries.begin()) + " with " +
              std::to_string(inside) + " agents for ms " +
              std::to_string(span.count()));
  world.CutOff(entries, agents, span);
  return span;
}

auto SubmitSome(JobWorld& world) -> void {
  auto& time = world.time();
  const auto tasks = static_cast<uint32_t>(time.Pick(1, 4));
  if (time.Chance(0.2) && world.lasting_tasks() + tasks <= kMostLasting) {
    world.SubmitLasting(tasks);
  } else if (time.Chance(0.2)) {
    world.SubmitFilling(tasks);
  } else {
    world.Submit({tasks, static_cast<uint32_t>(time.Pick(1, 3))});
  }
}

auto InjectFault(JobWorld& world) -> void {
  auto& time = world.time();
  const auto entry = static_cast<int>(time.Pick(0, kEntries - 1));
  const auto agent = static_cast<int>(time.Pick(0, kAgents - 1));
  const auto span = time.Milliseconds(300, 9000);
  world.NoteFault();
  MakeFault(world, time.Pick(0, kLastPlainFault), {entry, agent, span});
}

class CutExplorerTest : public testing::TestWithParam<uint64_t> {};

TEST_P(CutExplorerTest, EveryTaskRunsInOnePlaceWhoeverIsCutOff) {
  JobWorld world(Options(GetParam()));
  auto& time = world.time();
  world.RunFor(seconds(4));
  for (int round = 0; round < kRounds; ++round) {
    const auto jobs = time.Pick(1, 4);
    for (int64_t job = 0; job < jobs; ++job) {
      SubmitSome(world);
      world.RunFor(time.Milliseconds(10, 600));
    }
    if (time.Chance(0.4)) {
      InjectFault(world);
      world.RunFor(time.Milliseconds(0, 3000));
    }
    const auto span = CutOffTheOwner(world);
    if (time.Chance(0.3)) {
      InjectFault(world);
    }
    world.RunFor(span + time.Milliseconds(0, 4000));
    if (time.Chance(0.6)) {
      world.HealAll();
      world.RunFor(time.Milliseconds(0, 8000));
    }
  }
  world.HealAll();
  world.RunFor(seconds(90));
  EXPECT_GE(world.Owner(), 0);
  EXPECT_FALSE(world.accepted().empty());
  world.CheckCompleted();
  world.CheckJobs();
  for (const auto& problem : world.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CutExplorerTest, ExplorerSeeds(60));

}  // namespace
}  // namespace rhubarbhaven::jobs

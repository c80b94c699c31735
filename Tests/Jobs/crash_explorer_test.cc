// Random orders of events and faults over virtual time, with jobs of which some
// crash the workers that start them.
//
// Watched for: such a task that is started without end, or a sound job that is
// given up for what ran beside it. Owners change, links and the log fail; the
// agents, which tell of crashes, go on.

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

// Of `MakeFault`: those of entries, links and the log.
constexpr std::array<int64_t, 9> kFaults = {0, 2, 4, 5, 6, 7, 8, 10, 14};

auto InjectFault(JobWorld& world) -> void {
  auto& time = world.time();
  const auto fault = kFaults.at(static_cast<std::size_t>(
      time.Pick(0, static_cast<int64_t>(kFaults.size()) - 1)));
  const auto entry = static_cast<int>(time.Pick(0, world.entries() - 1));
  const auto agent = static_cast<int>(time.Pick(0, kAgents - 1));
  MakeFault(world, fault, {entry, agent, time.Milliseconds(300, 4000)});
}

auto SubmitCrashing(JobWorld& world) -> void {
  auto& time = world.time();
  JobStep step;
  step.set_count(static_cast<uint32_t>(time.Pick(1, 3)));
  step.set_estimated_ms(500);
  step.set_long_running(time.Chance(0.3));
  world.SubmitCrashing(step, time.Milliseconds(0, 100));
}

class CrashExplorerTest : public testing::TestWithParam<uint64_t> {};

TEST_P(CrashExplorerTest, OnlyWhatCrashesWorkersIsGivenUp) {
  JobWorldOptions options;
  options.seed = GetParam();
  options.agents = kAgents;
  options.keep_order = true;
  options.paced_registration = true;
  options.back_after_crash = milliseconds(GetParam() % 3 == 0 ? 8000 : 3300);
  JobWorld world(options);
  auto& time = world.time();
  world.RunFor(seconds(4));
  world.SubmitLasting(4);
  for (int round = 0; round < kRounds; ++round) {
    world.Submit({static_cast<uint32_t>(time.Pick(1, 5)),
                  static_cast<uint32_t>(time.Pick(1, 3))});
    if (round % 4 == 1) {
      SubmitCrashing(world);
    }
    if (time.Chance(0.6)) {
      InjectFault(world);
    }
    world.RunFor(time.Milliseconds(500, 4000));
    if (time.Chance(0.4)) {
      world.HealAll();
    }
  }
  world.HealAll();
  world.RunFor(seconds(90));
  world.CheckCompleted();
  world.CheckJobs();
  for (const auto& problem : world.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CrashExplorerTest, ExplorerSeeds(40));

}  // namespace
}  // namespace rhubarbhaven::jobs

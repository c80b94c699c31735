// Random orders of events and faults over virtual time, with tasks that fill
// and are moved when their worker slows them.
//
// Symptom watched for: a task that runs in two places, or again after its end:
// a move is a stop that is under way and a start that follows it, and workers
// fall silent, crash or are lost, and owners change, between the two.

#include <gtest/gtest.h>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::seconds;

constexpr int kRounds = 12;
constexpr double kSlowingChance = 0.5;

auto PlayRound(JobWorld& world) -> void {
  auto& time = world.time();
  world.SubmitFilling(static_cast<uint32_t>(time.Pick(1, 4)));
  if (time.Chance(0.5)) {
    world.Submit({static_cast<uint32_t>(time.Pick(1, 3))});
  }
  for (const int agent : world.Agents()) {
    world.worker(agent).SetSlowing(time.Chance(kSlowingChance));
  }
  // Long enough for figures to settle and a move to begin.
  world.RunFor(time.Milliseconds(500, 2500));
  const auto agents = static_cast<int64_t>(world.Agents().size());
  MakeFault(world, time.Pick(0, kLastPlainFault),
            {static_cast<int>(time.Pick(0, world.entries() - 1)),
             static_cast<int>(time.Pick(0, agents - 1)),
             time.Milliseconds(300, 9000)});
  world.RunFor(time.Milliseconds(100, 3000));
  if (time.Chance(0.4)) {
    world.HealAll();
  }
}

class FillingExplorerTest : public testing::TestWithParam<uint64_t> {};

TEST_P(FillingExplorerTest, MovedTasksRunInOnePlace) {
  JobWorldOptions options;
  options.seed = GetParam();
  options.failing_runs = 0.1;
  options.paced_registration = true;
  options.keep_order = true;
  JobWorld world(options);
  world.RunFor(seconds(4));
  for (int round = 0; round < kRounds; ++round) {
    PlayRound(world);
  }
  world.HealAll();
  for (const int agent : world.Agents()) {
    world.worker(agent).SetSlowing(false);
  }
  world.RunFor(seconds(90));
  world.CheckCompleted();
  world.CheckJobs();
  for (const auto& problem : world.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(world.Owner(), 0);
  EXPECT_FALSE(world.accepted().empty());
}

INSTANTIATE_TEST_SUITE_P(Seeds, FillingExplorerTest, ExplorerSeeds(60));

}  // namespace
}  // namespace rhubarbhaven::jobs

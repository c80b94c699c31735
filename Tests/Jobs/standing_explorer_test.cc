// Random orders of events and faults over virtual time, with jobs of all kinds
// and ample room.
//
// Symptom watched for: a job has nothing running for 3 s although no fault is
// in force and there is room: a wake-up of placement that never comes, a worker
// that stays refused, a run that nobody has.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::seconds;

constexpr int kRounds = 8;
constexpr int kMostFaults = 3;
constexpr std::size_t kMostLasting = 2;
constexpr std::size_t kFewestAgents = 3;
constexpr std::size_t kMostAgents = 6;

enum : int64_t {
  kVanish = kLastPlainFault + 1,
  kLeave,
  kDrain,
  kAdd,
  kStopOwner,
  kFaults,
};

auto SubmitJobs(JobWorld& world) -> void {
  auto& time = world.time();
  world.Submit({static_cast<uint32_t>(time.Pick(1, 3)),
                static_cast<uint32_t>(time.Pick(1, 2))});
  world.SubmitFilling(static_cast<uint32_t>(time.Pick(1, 2)));
  const auto lasting = world.lasting();
  if (lasting.size() < kMostLasting) {
    world.SubmitLasting(1);
  } else if (time.Chance(0.5)) {
    world.Cancel(lasting.front());
  }
}

auto InjectFault(JobWorld& world) -> void {
  auto& time = world.time();
  const auto agents = world.Agents();
  const auto pick = time.Pick(0, static_cast<int64_t>(agents.size()) - 1);
  const int agent = agents[static_cast<std::size_t>(pick)];
  const auto entry = static_cast<int>(time.Pick(0, world.entries() - 1));
  const FaultPlace place{entry, agent, time.Milliseconds(300, 6000)};
  const auto fault = time.Pick(0, kFaults - 1);
  const bool may_go = agents.size() > kFewestAgents;
  world.NoteFault();
  if (fault <= kLastPlainFault) {
    MakeFault(world, fault, place);
    return;
  }
  world.Trace("SCALE " + std::to_string(fault) + " agent " +
              std::to_string(agent));
  switch (fault) {
    case kVanish:
    case kLeave:
      if (may_go) {
        world.RemoveAgent(agent, fault == kLeave);
      }
      break;
    case kDrain:
      world.worker(agent).SetDraining(true);
      time.After(time.Milliseconds(500, 4000), [&world, agent]() -> void {
        world.NoteFault();
        world.worker(agent).SetDraining(false);
      });
      break;
    case kAdd:
      if (agents.size() < kMostAgents) {
        world.AddAgent();
      }
      break;
    default:
      world.StopEntry(std::max(world.Owner(), 0));
  }
}

auto PlayRound(JobWorld& world) -> void {
  auto& time = world.time();
  SubmitJobs(world);
  for (auto faults = time.Pick(1, kMostFaults); faults > 0; --faults) {
    InjectFault(world);
    world.RunFor(time.Milliseconds(50, 2500));
  }
  SubmitJobs(world);
  world.RunFor(time.Milliseconds(100, 2000));
  world.HealAll();
  world.RunFor(time.Milliseconds(6000, 14000));
  // Without a fault since a while.
  SubmitJobs(world);
  world.RunFor(time.Milliseconds(500, 4000));
}

class StandingExplorerTest : public testing::TestWithParam<uint64_t> {};

// Guards against jobs that stand although they could run.
TEST_P(StandingExplorerTest, JobsWithRoomHaveSomethingRunning) {
  JobWorldOptions options;
  options.seed = GetParam();
  options.agents = 4;
  options.failing_runs = 0.1;
  options.paced_registration = true;
  options.keep_order = true;
  options.check_standing = true;
  JobWorld world(options);
  world.RunFor(seconds(4));
  for (int round = 0; round < kRounds; ++round) {
    PlayRound(world);
  }
  world.HealAll();
  world.RunFor(seconds(60));
  for (const auto& problem : world.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(world.Owner(), 0);
  EXPECT_FALSE(world.accepted().empty());
}

INSTANTIATE_TEST_SUITE_P(Seeds, StandingExplorerTest, ExplorerSeeds(60));

}  // namespace
}  // namespace rhubarbhaven::jobs

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "Placement/placement.h"
#include "Tests/Tasks/task_world.h"

namespace rhubarbhaven::test {
namespace {

constexpr uint64_t kVersion = 7;
constexpr milliseconds kUnverified{30000};

auto Options(uint32_t seed) -> WorldOptions {
  WorldOptions options;
  options.seed = seed;
  options.owner.unverified_limit =
      std::chrono::duration_cast<seconds>(kUnverified);
  return options;
}

auto Objects(const std::string& command)
    -> std::vector<schema::VersionedObject> {
  return {MakeInstance(0), MakeInstance(1),
          MakeJob("job", 1, command, kVersion)};
}

auto Task() -> schema::TaskId {
  return MakeTask("job", 0, kVersion);
}

auto Name() -> std::string {
  return TaskName(Task());
}

// Runs the job's one task for a while; the world's other instance is free.
auto Begin(TaskWorld* world, const std::string& command = "run 7200000")
    -> void {
  world->SetConfig(Objects(command));
  world->RunFor(seconds(10));
  ASSERT_EQ(world->starts(Name()), 1);
  ASSERT_GE(world->RunsOn(Name()), 0);
}

// Changes the instance on which the task runs.
auto ChangeInstance(TaskWorld* world,
                    const std::function<auto(schema::Instance*)->void>& change)
    -> void {
  std::vector<schema::VersionedObject> objects = Objects("run 7200000");
  change(objects[static_cast<std::size_t>(world->RunsOn(Name()))]
             .mutable_object()
             ->mutable_instance());
  world->SetConfig(objects);
}

struct MoveCase {
  const char* name;
  std::function<auto(TaskWorld*)->void> act;
  // Time from the act to the start elsewhere; no start within `latest` if
  // `never` is set.
  milliseconds earliest;
  milliseconds latest;
  bool never = false;
};

auto KillInstance(TaskWorld* world) -> void {
  const int instance = world->RunsOn(Name());
  world->Kill(Target::kAgent, instance);
  world->Kill(Target::kWorker, instance);
}

// The owner loses the log only; the next one never reaches the task's agent.
auto PartOwners(TaskWorld* world) -> void {
  const int instance = world->RunsOn(Name());
  const int old = world->owner();
  world->CutFromLog(old, true);
  world->CutLink(1 - old, instance, true);
}

class WhatMovesATask : public testing::TestWithParam<MoveCase> {};

// Symptom: a task runs twice, or stays on an instance that is gone.
// Sequence: each of the events that may be taken for the end of an instance.
// Cause: silence is no proof; what is proof, and when, is what the table says.
TEST_P(WhatMovesATask, OnlyOnProof) {
  std::vector<int64_t> times;
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    TaskWorld world(Options(seed));
    Begin(&world);
    const TimePoint acted = world.now();
    GetParam().act(&world);
    const bool moved = world.RunUntil(
        GetParam().latest, [&]() -> bool { return world.starts(Name()) > 1; });
    ASSERT_EQ(world.broken(), "") << "seed " << seed;
    ASSERT_EQ(moved, !GetParam().never) << "seed " << seed << world.Describe();
    const auto took =
        std::chrono::duration_cast<milliseconds>(world.now() - acted);
    EXPECT_GE(took, GetParam().earliest);
    times.push_back(took.count());
  }
  if (!GetParam().never) {
    std::sort(times.begin(), times.end());
    std::printf("move %s: %ld to %ld ms, half within %ld ms\n", GetParam().name,
                static_cast<long>(times.front()),
                static_cast<long>(times.back()),
                static_cast<long>(times[times.size() / 2]));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Events,
    WhatMovesATask,
    testing::Values(
        // Lease 6 s, worker's lease 6 s, margin 2 s from the last grant.
        MoveCase{"InstanceGone", KillInstance, seconds(13), seconds(18)},
        MoveCase{"OperatorSaysLost",
                 [](TaskWorld* world) -> void {
                   const uint64_t incarnation =
                       world->log().tasks().at(Name()).instance_incarnation();
                   ChangeInstance(world, [&](schema::Instance* instance) {
                     instance->set_lost_incarnation(incarnation);
                   });
                   KillInstance(world);
                 },
                 milliseconds(0), seconds(3)},
        MoveCase{"WorkerRestarted",
                 [](TaskWorld* world) -> void {
                   const int instance = world->RunsOn(Name());
                   world->Kill(Target::kWorker, instance);
                   world->Restart(Target::kWorker, instance);
                 },
                 milliseconds(0), seconds(5)},
        MoveCase{"Draining",
                 [](TaskWorld* world) -> void {
                   ChangeInstance(world, [](schema::Instance* instance) {
                     instance->set_draining(true);
                   });
                 },
                 milliseconds(0), seconds(5)},
        MoveCase{"AgentRestarted",
                 [](TaskWorld* world) -> void {
                   const int instance = world->RunsOn(Name());
                   world->Kill(Target::kAgent, instance);
                   world->Restart(Target::kAgent, instance);
                 },
                 seconds(0), seconds(120), true},
        MoveCase{"OwnerKilled",
                 [](TaskWorld* world) -> void {
                   world->Kill(Target::kOwner, world->owner());
                 },
                 seconds(0), seconds(120), true},
        MoveCase{"LogDownForAWhile",
                 [](TaskWorld* world) -> void {
                   world->set_log_down(true);
                   world->RunFor(seconds(20));
                   world->set_log_down(false);
                 },
                 seconds(0), seconds(120), true},
        // 30 s that the old owner may renew, then leases and margin as above.
        MoveCase{"OwnersParted", PartOwners, seconds(44), seconds(60)}),
    [](const auto& param) { return param.param.name; });

// Symptom: the platform's log is away for hours and running tasks die.
// Sequence: the log goes down, the owner's claim grows old, tasks run on.
// Cause: an owner that may not renew its claim stops renewing leases.
TEST(Outage, LongOutageKillsNoTask) {
  WorldOptions options = Options(3);
  options.owner.unverified_limit = std::chrono::hours(24);
  TaskWorld world(options);
  Begin(&world, "run 14400000");
  world.set_log_down(true);
  world.RunFor(std::chrono::hours(5));
  EXPECT_EQ(world.starts(Name()), 1);
  EXPECT_TRUE(world.finished().empty());
  world.set_log_down(false);
  EXPECT_TRUE(world.RunUntil(seconds(30), [&]() -> bool {
    return world.finished().contains(Name());
  }));
  EXPECT_EQ(world.starts(Name()), 1);
  EXPECT_EQ(world.broken(), "");
}

// Symptom: a replaced owner leases to an agent, and the new owner, which
// counts only its own leases, moves a task that still runs.
// Sequence: the owner is cut off from the log, another takes over and leases
// to the agent; the agent restarts, forgets the fence, and reaches only the
// old owner.
// Cause: the old owner's grant looks as good as any to who knows no fence.
TEST(Outage, ReplacedOwnerCannotLeaseToRestartedAgent) {
  TaskWorld world(Options(5));
  Begin(&world);
  const int old = world.owner();
  const int instance = world.RunsOn(Name());
  world.CutFromLog(old, true);
  ASSERT_TRUE(world.RunUntil(seconds(60), [&]() -> bool {
    return world.keeper(instance).fence() == world.log().fence() &&
           world.owner() != old;
  }));
  world.Kill(Target::kAgent, instance);
  world.Restart(Target::kAgent, instance);
  world.CutLink(1 - old, instance, true);
  world.RunFor(seconds(20));
  EXPECT_EQ(world.keeper(instance).fence(), 0U);
  EXPECT_GT(world.count("grant_withheld"), 0);
  EXPECT_EQ(world.broken(), "");
}

// Takeover of a cell whose owner died: from its death to the next owner's
// first placement, in virtual time.
TEST(Takeover, NextOwnerPlacesWithinSeconds) {
  std::vector<int64_t> owned;
  std::vector<int64_t> placed;
  for (uint32_t seed = 1; seed <= 50; ++seed) {
    WorldOptions options = Options(seed);
    options.entries = 3;
    TaskWorld world(options);
    Begin(&world);
    const TimePoint died = world.now();
    const int old = world.owner();
    world.Kill(Target::kOwner, old);
    auto objects = Objects("run 7200000");
    objects.push_back(MakeJob("next", 1, "run 1000", kVersion + 1));
    world.SetConfig(objects);
    const auto since = [&]() -> int64_t {
      return std::chrono::duration_cast<milliseconds>(world.now() - died)
          .count();
    };
    ASSERT_TRUE(world.RunUntil(seconds(30),
                               [&]() -> bool { return world.owner() != old; }));
    owned.push_back(since());
    const std::string next = TaskName(MakeTask("next", 0, kVersion + 1));
    ASSERT_TRUE(world.RunUntil(
        seconds(30), [&]() -> bool { return world.starts(next) == 1; }));
    placed.push_back(since());
  }
  std::sort(owned.begin(), owned.end());
  std::sort(placed.begin(), placed.end());
  std::printf("takeover: owned half within %ld ms, at most %ld ms\n",
              static_cast<long>(owned[owned.size() / 2]),
              static_cast<long>(owned.back()));
  std::printf("takeover: task started half within %ld ms, at most %ld ms\n",
              static_cast<long>(placed[placed.size() / 2]),
              static_cast<long>(placed.back()));
  // The claim's timeout is 6 s.
  EXPECT_LE(owned.back(), 7500);
  EXPECT_LE(placed.back(), 10500);
}

// Symptom: after a planned stop the cell stands still for the claim's timeout.
TEST(Takeover, ReleaseHandsOverAtOnce) {
  TaskWorld world(Options(9));
  Begin(&world);
  const int old = world.owner();
  world.ReleaseCell(old);
  EXPECT_TRUE(world.RunUntil(milliseconds(1500), [&]() -> bool {
    return world.owner() >= 0 && world.owner() != old;
  }));
  world.RunFor(seconds(60));
  EXPECT_EQ(world.starts(Name()), 1);
  EXPECT_EQ(world.broken(), "");
}

// Symptom: a job is cancelled and its task runs on, or runs again.
TEST(Cancel, StopsOnceAndForAll) {
  TaskWorld world(Options(11));
  Begin(&world);
  auto objects = Objects("run 7200000");
  objects[2].mutable_object()->mutable_job()->set_cancelled(true);
  world.SetConfig(objects);
  EXPECT_TRUE(world.RunUntil(seconds(5), [&]() -> bool {
    const schema::TaskState& state = world.log().tasks().at(Name());
    return !state.placed() && state.last_outcome() == schema::CANCELLED;
  })) << world.Describe();
  world.RunFor(seconds(30));
  EXPECT_EQ(world.RunsOn(Name()), -1);
  EXPECT_EQ(world.starts(Name()), 1);
}

// Symptom: an agent is stopped as planned and its task's work is lost.
TEST(Leave, ChecksPointsAndHandsOver) {
  TaskWorld world(Options(13));
  Begin(&world);
  const int instance = world.RunsOn(Name());
  world.LeaveAgent(instance);
  EXPECT_TRUE(world.RunUntil(
      seconds(10), [&]() -> bool { return world.keeper(instance).idle(); }));
  EXPECT_TRUE(world.RunUntil(seconds(5), [&]() -> bool {
    return world.starts(Name()) == 2;
  })) << world.Describe();
  EXPECT_EQ(world.RunsOn(Name()), 1 - instance);
  EXPECT_EQ(world.log().tasks().at(Name()).evictions(), 1U);
  EXPECT_NE(world.log().tasks().at(Name()).checkpoint(), "");
}

// Symptom: declared sizes are too small and an instance is overfilled.
// Sequence: two tasks that fit as declared use more; a third is waiting.
TEST(Capacity, LargerOfDeclaredAndSeenCounts) {
  WorldOptions options = Options(15);
  options.instances = 1;
  TaskWorld world(options);
  world.SetConfig(
      {MakeInstance(0), MakeJob("big", 1, "run 60000 use 12000", kVersion)});
  world.RunFor(seconds(10));
  world.SetConfig({MakeInstance(0),
                   MakeJob("big", 1, "run 60000 use 12000", kVersion),
                   MakeJob("next", 1, "run 1000", kVersion + 1)});
  world.RunFor(seconds(20));
  const std::string next = TaskName(MakeTask("next", 0, kVersion + 1));
  EXPECT_EQ(world.starts(next), 0) << world.Describe();
  world.RunFor(seconds(45));
  EXPECT_EQ(world.starts(next), 1);
}

}  // namespace
}  // namespace rhubarbhaven::test

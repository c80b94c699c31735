#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "Placement/placement.h"
#include "Tests/Tasks/task_world.h"

namespace rhubarbhaven::test {
namespace {

constexpr uint64_t kVersion = 7;
constexpr milliseconds kUnverified{30000};

auto Options(uint32_t seed) -> SimulationOptions {
  SimulationOptions options;
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

// Runs the job's only task for a while; the other instance is free.
auto Begin(SimulatedTaskCluster* cluster,
           const std::string& command = "run 7200000") -> void {
  cluster->SetConfig(Objects(command));
  cluster->RunFor(seconds(10));
  ASSERT_EQ(cluster->starts(Name()), 1);
  ASSERT_GE(cluster->RunningInstance(Name()), 0);
}

// Changes the instance on which the task runs.
auto ChangeInstance(SimulatedTaskCluster* cluster,
                    const std::function<auto(schema::Instance*)->void>& change)
    -> void {
  std::vector<schema::VersionedObject> objects = Objects("run 7200000");
  change(objects[static_cast<std::size_t>(cluster->RunningInstance(Name()))]
             .mutable_object()
             ->mutable_instance());
  cluster->SetConfig(objects);
}

struct MoveCase {
  const char* name;
  std::function<auto(SimulatedTaskCluster*)->void> act;
  // Time from the event to the start on another instance. If `never` is set, no
  // start may occur within `latest`.
  milliseconds earliest;
  milliseconds latest;
  bool never = false;
};

auto KillInstance(SimulatedTaskCluster* cluster) -> void {
  const int instance = cluster->RunningInstance(Name());
  cluster->Kill(Target::kAgent, instance);
  cluster->Kill(Target::kWorker, instance);
}

// The owner loses only the log; its successor never reaches the task's agent.
auto PartitionOwners(SimulatedTaskCluster* cluster) -> void {
  const int instance = cluster->RunningInstance(Name());
  const int old = cluster->owner();
  cluster->SetLogDisconnected(old, true);
  cluster->SetLinkDisconnected(1 - old, instance, true);
}

class TaskRelocation : public testing::TestWithParam<MoveCase> {};

// Guards against a task that runs twice or stays on an instance that is gone.
// An unresponsive instance has not necessarily terminated; the table lists what
// proves that it has, and when.
TEST_P(TaskRelocation, OnlyOnProof) {
  std::vector<int64_t> times;
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    SimulatedTaskCluster cluster(Options(seed));
    Begin(&cluster);
    const TimePoint acted = cluster.now();
    GetParam().act(&cluster);
    const bool moved = cluster.RunUntil(GetParam().latest, [&]() -> bool {
      return cluster.starts(Name()) > 1;
    });
    ASSERT_EQ(cluster.violation(), "") << "seed " << seed;
    ASSERT_EQ(moved, !GetParam().never)
        << "seed " << seed << cluster.Describe();
    const auto took =
        std::chrono::duration_cast<milliseconds>(cluster.now() - acted);
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
    TaskRelocation,
    testing::Values(
        // The agent's lease of 6 s, the worker's lease of 6 s and a margin of 2
        // s, counted from the last grant.
        MoveCase{"InstanceGone", KillInstance, seconds(13), seconds(18)},
        MoveCase{"OperatorSaysLost",
                 [](SimulatedTaskCluster* cluster) -> void {
                   const uint64_t incarnation =
                       cluster->log().tasks().at(Name()).instance_incarnation();
                   ChangeInstance(cluster, [&](schema::Instance* instance) {
                     instance->set_lost_incarnation(incarnation);
                   });
                   KillInstance(cluster);
                 },
                 milliseconds(0), seconds(3)},
        MoveCase{"WorkerRestarted",
                 [](SimulatedTaskCluster* cluster) -> void {
                   const int instance = cluster->RunningInstance(Name());
                   cluster->Kill(Target::kWorker, instance);
                   cluster->Restart(Target::kWorker, instance);
                 },
                 milliseconds(0), seconds(5)},
        MoveCase{"Draining",
                 [](SimulatedTaskCluster* cluster) -> void {
                   ChangeInstance(cluster, [](schema::Instance* instance) {
                     instance->set_draining(true);
                   });
                 },
                 milliseconds(0), seconds(5)},
        MoveCase{"AgentRestarted",
                 [](SimulatedTaskCluster* cluster) -> void {
                   const int instance = cluster->RunningInstance(Name());
                   cluster->Kill(Target::kAgent, instance);
                   cluster->Restart(Target::kAgent, instance);
                 },
                 seconds(0), seconds(120), true},
        MoveCase{"OwnerKilled",
                 [](SimulatedTaskCluster* cluster) -> void {
                   cluster->Kill(Target::kOwner, cluster->owner());
                 },
                 seconds(0), seconds(120), true},
        MoveCase{"LogDownForAWhile",
                 [](SimulatedTaskCluster* cluster) -> void {
                   cluster->set_log_down(true);
                   cluster->RunFor(seconds(20));
                   cluster->set_log_down(false);
                 },
                 seconds(0), seconds(120), true},
        // The old owner may renew leases for 30 s; leases and margin follow as
        // above.
        MoveCase{"OwnersParted", PartitionOwners, seconds(44), seconds(60)}),
    [](const auto& param) { return param.param.name; });

// Guards against running tasks being stopped when the log is unavailable for
// hours. The owner cannot renew its claim during the outage but must continue
// to renew leases.
TEST(Outage, LongOutageKillsNoTask) {
  SimulationOptions options = Options(3);
  options.owner.unverified_limit = std::chrono::hours(24);
  SimulatedTaskCluster cluster(options);
  Begin(&cluster, "run 14400000");
  cluster.set_log_down(true);
  cluster.RunFor(std::chrono::hours(5));
  EXPECT_EQ(cluster.starts(Name()), 1);
  EXPECT_TRUE(cluster.finished().empty());
  cluster.set_log_down(false);
  EXPECT_TRUE(cluster.RunUntil(seconds(30), [&]() -> bool {
    return cluster.finished().contains(Name());
  }));
  EXPECT_EQ(cluster.starts(Name()), 1);
  EXPECT_EQ(cluster.violation(), "");
}

// Guards against a replaced owner granting a lease to an agent, so that the new
// owner, which accounts only for its own leases, moves a task that still runs.
// The owner is cut off from the log; another takes over and grants the agent a
// lease; the agent restarts, loses its record of the fence and reaches only the
// old owner. Without a known fence it accepts a grant from any owner.
TEST(Outage, ReplacedOwnerCannotLeaseToRestartedAgent) {
  SimulatedTaskCluster cluster(Options(5));
  Begin(&cluster);
  const int old = cluster.owner();
  const int instance = cluster.RunningInstance(Name());
  cluster.SetLogDisconnected(old, true);
  ASSERT_TRUE(cluster.RunUntil(seconds(60), [&]() -> bool {
    return cluster.supervisor(instance).fence() == cluster.log().fence() &&
           cluster.owner() != old;
  }));
  cluster.Kill(Target::kAgent, instance);
  cluster.Restart(Target::kAgent, instance);
  cluster.SetLinkDisconnected(1 - old, instance, true);
  cluster.RunFor(seconds(20));
  EXPECT_EQ(cluster.supervisor(instance).fence(), 0U);
  EXPECT_GT(cluster.count("grant_withheld"), 0);
  EXPECT_EQ(cluster.violation(), "");
}

// Takeover of a cell whose owner was killed: measures the time from the kill to
// the next owner's claim and to the first task it starts, in virtual time.
TEST(Takeover, NextOwnerPlacesWithinSeconds) {
  std::vector<int64_t> owned;
  std::vector<int64_t> placed;
  for (uint32_t seed = 1; seed <= 50; ++seed) {
    SimulationOptions options = Options(seed);
    options.entries = 3;
    SimulatedTaskCluster cluster(options);
    Begin(&cluster);
    const TimePoint died = cluster.now();
    const int old = cluster.owner();
    cluster.Kill(Target::kOwner, old);
    auto objects = Objects("run 7200000");
    objects.push_back(MakeJob("next", 1, "run 1000", kVersion + 1));
    cluster.SetConfig(objects);
    const auto since = [&]() -> int64_t {
      return std::chrono::duration_cast<milliseconds>(cluster.now() - died)
          .count();
    };
    ASSERT_TRUE(cluster.RunUntil(
        seconds(30), [&]() -> bool { return cluster.owner() != old; }));
    owned.push_back(since());
    const std::string next = TaskName(MakeTask("next", 0, kVersion + 1));
    ASSERT_TRUE(cluster.RunUntil(
        seconds(30), [&]() -> bool { return cluster.starts(next) == 1; }));
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
  // The claim timeout is 6 s.
  EXPECT_LE(owned.back(), 7500);
  EXPECT_LE(placed.back(), 10500);
}

// Guards against a cell without an owner for the claim timeout after a planned
// stop.
TEST(Takeover, ReleaseHandsOverAtOnce) {
  SimulatedTaskCluster cluster(Options(9));
  Begin(&cluster);
  const int old = cluster.owner();
  cluster.ReleaseCell(old);
  EXPECT_TRUE(cluster.RunUntil(milliseconds(1500), [&]() -> bool {
    return cluster.owner() >= 0 && cluster.owner() != old;
  }));
  cluster.RunFor(seconds(60));
  EXPECT_EQ(cluster.starts(Name()), 1);
  EXPECT_EQ(cluster.violation(), "");
}

// Guards against a task that continues to run, or runs again, after its job was
// cancelled.
TEST(Cancel, StopsAndStaysStopped) {
  SimulatedTaskCluster cluster(Options(11));
  Begin(&cluster);
  auto objects = Objects("run 7200000");
  objects[2].mutable_object()->mutable_job()->set_cancelled(true);
  cluster.SetConfig(objects);
  EXPECT_TRUE(cluster.RunUntil(seconds(5), [&]() -> bool {
    const schema::TaskState& state = cluster.log().tasks().at(Name());
    return !state.placed() && state.last_outcome() == schema::CANCELLED;
  })) << cluster.Describe();
  cluster.RunFor(seconds(30));
  EXPECT_EQ(cluster.RunningInstance(Name()), -1);
  EXPECT_EQ(cluster.starts(Name()), 1);
}

// Guards against losing a task's progress when its agent is stopped as planned.
TEST(Leave, CheckpointsAndHandsOver) {
  SimulatedTaskCluster cluster(Options(13));
  Begin(&cluster);
  const int instance = cluster.RunningInstance(Name());
  cluster.LeaveAgent(instance);
  EXPECT_TRUE(cluster.RunUntil(seconds(10), [&]() -> bool {
    return cluster.supervisor(instance).idle();
  }));
  EXPECT_TRUE(cluster.RunUntil(seconds(5), [&]() -> bool {
    return cluster.starts(Name()) == 2;
  })) << cluster.Describe();
  EXPECT_EQ(cluster.RunningInstance(Name()), 1 - instance);
  EXPECT_EQ(cluster.log().tasks().at(Name()).evictions(), 1U);
  EXPECT_NE(cluster.log().tasks().at(Name()).checkpoint(), "");
}

// Guards against overloading an instance when declared sizes are too small. A
// task uses more than it declares while another is waiting.
TEST(Capacity, LargerOfDeclaredAndSeenCounts) {
  SimulationOptions options = Options(15);
  options.instances = 1;
  SimulatedTaskCluster cluster(options);
  cluster.SetConfig(
      {MakeInstance(0), MakeJob("big", 1, "run 60000 use 12000", kVersion)});
  cluster.RunFor(seconds(10));
  cluster.SetConfig({MakeInstance(0),
                     MakeJob("big", 1, "run 60000 use 12000", kVersion),
                     MakeJob("next", 1, "run 1000", kVersion + 1)});
  cluster.RunFor(seconds(20));
  const std::string next = TaskName(MakeTask("next", 0, kVersion + 1));
  EXPECT_EQ(cluster.starts(next), 0) << cluster.Describe();
  cluster.RunFor(seconds(45));
  EXPECT_EQ(cluster.starts(next), 1);
}

}  // namespace
}  // namespace rhubarbhaven::test

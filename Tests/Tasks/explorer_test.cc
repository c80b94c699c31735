#include <gtest/gtest.h>

#include "Placement/placement.h"
#include "Tests/Tasks/task_world.h"

namespace rhubarbhaven::test {
namespace {

constexpr uint64_t kLongVersion = 7;
constexpr uint64_t kBadVersion = 8;
constexpr uint32_t kLongTasks = 3;
constexpr milliseconds kRunLimit{400000};

auto Configure(SimulatedTaskCluster* cluster,
               int instances,
               const char* command) -> void {
  std::vector<schema::VersionedObject> objects;
  objects.reserve(static_cast<std::size_t>(instances) + 2);
  for (int i = 0; i < instances; ++i) {
    objects.push_back(MakeInstance(i));
  }
  objects.push_back(MakeJob("long", kLongTasks, command, kLongVersion));
  objects.push_back(MakeJob("bad", 1, "fail", kBadVersion));
  cluster->SetConfig(objects);
}

// True if every task of "long" has finished and "bad" has failed after its
// maximum number of attempts.
auto AllDone(SimulatedTaskCluster* cluster) -> bool {
  for (uint32_t i = 0; i < kLongTasks; ++i) {
    const auto known = cluster->log().tasks().find(
        TaskName(MakeTask("long", i, kLongVersion)));
    if (known == cluster->log().tasks().end() ||
        known->second.last_outcome() != schema::FINISHED) {
      return false;
    }
  }
  const auto bad =
      cluster->log().tasks().find(TaskName(MakeTask("bad", 0, kBadVersion)));
  return bad != cluster->log().tasks().end() && bad->second.failures() == 2 &&
         !bad->second.placed();
}

auto RunSimulation(const SimulationOptions& options) -> void {
  SimulatedTaskCluster cluster(options);
  Configure(&cluster, options.instances, "run 9000");
  cluster.RunFor(seconds(8));
  cluster.Evict(MakeTask("long", 0, kLongVersion));
  const bool done =
      cluster.RunUntil(kRunLimit, [&]() -> bool { return AllDone(&cluster); });
  ASSERT_EQ(cluster.violation(), "") << "seed " << options.seed;
  ASSERT_TRUE(done) << "not all tasks ended, seed " << options.seed << "\n"
                    << cluster.Describe();
}

struct StepCase {
  const char* name;
  Step step;
};

class FaultPairs : public testing::TestWithParam<StepCase> {};

// Guards against a task that runs twice, is never run again or exceeds the
// capacity. Two of worker, agent and owner are killed, frozen or disconnected
// at a step in a task's lifetime, the second at the same time or while the
// first is still unavailable. The fault is an action based on state from before
// the outage.
TEST_P(FaultPairs, RunsOnceInOnePlace) {
  const Target targets[] = {Target::kWorker, Target::kAgent, Target::kOwner};
  const FaultKind kinds[] = {FaultKind::kKill, FaultKind::kFreeze,
                             FaultKind::kDisconnect};
  const milliseconds downtimes[] = {milliseconds(1500), milliseconds(9000),
                                    milliseconds(25000)};
  uint32_t seed = 1;
  // Every pair of (target, kind, downtime), at one of the first occurrences of
  // the step.
  constexpr int kFaults = 27;
  constexpr int kOccurrences = 3;
  for (int pair = 0; pair < kFaults * kFaults; ++pair) {
    const int first = pair % kFaults;
    const int second = pair / kFaults;
    const int nth = 1 + pair % kOccurrences;
    const auto fault = [&](int index, int at) -> Fault {
      return {GetParam().step, at, targets[index % 3], kinds[index / 3 % 3],
              downtimes[index / 9]};
    };
    SimulationOptions options;
    options.seed = seed++;
    options.lose = 10;
    options.repeat = 10;
    options.delay = 10;
    options.hold = 10;
    options.owner.unverified_limit = seconds(15);
    // The second fault occurs at the same time or at the next occurrence of the
    // step.
    options.faults = {fault(first, nth), fault(second, nth + pair % 2)};
    RunSimulation(options);
    ASSERT_FALSE(HasFatalFailure()) << "pair " << pair;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Steps,
    FaultPairs,
    testing::Values(StepCase{"Place", Step::kPlace},
                    StepCase{"StartSent", Step::kStartSent},
                    StepCase{"StartDone", Step::kStartDone},
                    StepCase{"RenewDone", Step::kRenewDone},
                    StepCase{"CheckpointDone", Step::kCheckpointDone},
                    StepCase{"StopDone", Step::kStopDone},
                    StepCase{"End", Step::kEnd}),
    [](const auto& param) { return param.param.name; });

// Guards against the same failures under event orders that the table above does
// not cover. Processes are killed, frozen and restarted and links and the log
// fail and recover in a seeded random order, with messages and answers lost,
// delayed and duplicated.
TEST(Explorer, RandomFaults) {
  constexpr uint32_t kSeeds = 300;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.entries = 3;
    options.instances = 3;
    options.lose = 30;
    options.repeat = 30;
    options.delay = 30;
    options.hold = 50;
    options.owner.unverified_limit = seconds(15);
    SimulatedTaskCluster cluster(options);
    Configure(&cluster, options.instances, "run 50000");
    std::mt19937 random(seed);
    for (int round = 0; round < 20; ++round) {
      const auto target = static_cast<Target>(random() % 3);
      const int index = static_cast<int>(random() % 3);
      const milliseconds time(random() % 20000);
      switch (random() % 6) {
        case 0:
          cluster.Kill(target, index);
          break;
        case 1:
          cluster.Freeze(target, index, time);
          break;
        case 2:
          cluster.SetLogDisconnected(index, true);
          break;
        case 3:
          cluster.SetLinkDisconnected(index, static_cast<int>(random() % 3),
                                      true);
          break;
        case 4:
          cluster.set_log_down(true);
          break;
        default:
          cluster.Evict(MakeTask("long", index, kLongVersion));
          break;
      }
      cluster.RunFor(milliseconds(random() % 8000));
      cluster.Restart(target, index);
      cluster.SetLogDisconnected(index, false);
      cluster.set_log_down(false);
      ASSERT_EQ(cluster.violation(), "") << "seed " << seed;
    }
    for (int entry = 0; entry < 3; ++entry) {
      for (int instance = 0; instance < 3; ++instance) {
        cluster.SetLinkDisconnected(entry, instance, false);
      }
    }
    const bool done = cluster.RunUntil(
        kRunLimit, [&]() -> bool { return AllDone(&cluster); });
    ASSERT_EQ(cluster.violation(), "") << "seed " << seed;
    ASSERT_TRUE(done) << "not all tasks ended, seed " << seed << "\n"
                      << cluster.Describe();
  }
}

}  // namespace
}  // namespace rhubarbhaven::test

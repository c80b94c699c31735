#include <gtest/gtest.h>

#include "Placement/placement.h"
#include "Tests/Tasks/task_world.h"

namespace rhubarbhaven::test {
namespace {

constexpr uint64_t kLongVersion = 7;
constexpr uint64_t kBadVersion = 8;
constexpr uint32_t kLongTasks = 3;
constexpr milliseconds kRunLimit{400000};

auto Configure(TaskWorld* world, int instances, const char* command) -> void {
  std::vector<schema::VersionedObject> objects;
  objects.reserve(static_cast<std::size_t>(instances) + 2);
  for (int i = 0; i < instances; ++i) {
    objects.push_back(MakeInstance(i));
  }
  objects.push_back(MakeJob("long", kLongTasks, command, kLongVersion));
  objects.push_back(MakeJob("bad", 1, "fail", kBadVersion));
  world->SetConfig(objects);
}

// Every task of "long" has finished, "bad" was given up after its attempts.
auto AllDone(TaskWorld* world) -> bool {
  for (uint32_t i = 0; i < kLongTasks; ++i) {
    const auto known =
        world->log().tasks().find(TaskName(MakeTask("long", i, kLongVersion)));
    if (known == world->log().tasks().end() ||
        known->second.last_outcome() != schema::FINISHED) {
      return false;
    }
  }
  const auto bad =
      world->log().tasks().find(TaskName(MakeTask("bad", 0, kBadVersion)));
  return bad != world->log().tasks().end() && bad->second.failures() == 2 &&
         !bad->second.placed();
}

auto RunWorld(const WorldOptions& options) -> void {
  TaskWorld world(options);
  Configure(&world, options.instances, "run 9000");
  world.RunFor(seconds(8));
  world.Evict(MakeTask("long", 0, kLongVersion));
  const bool done =
      world.RunUntil(kRunLimit, [&]() -> bool { return AllDone(&world); });
  ASSERT_EQ(world.broken(), "") << "seed " << options.seed;
  ASSERT_TRUE(done) << "not all tasks ended, seed " << options.seed << "\n"
                    << world.Describe();
}

struct StepCase {
  const char* name;
  Step step;
};

class FaultPairs : public testing::TestWithParam<StepCase> {};

// Symptom: a task runs twice, never again, or over the capacity.
// Sequence: two of worker, agent and owner are killed, frozen or cut off, the
// second at once or while the first is still away, at a step of a task's life.
// Cause: an act that rests on what the process knew before it was away.
TEST_P(FaultPairs, OnePlaceAndOnce) {
  const Target targets[] = {Target::kWorker, Target::kAgent, Target::kOwner};
  const FaultKind kinds[] = {FaultKind::kKill, FaultKind::kFreeze,
                             FaultKind::kCut};
  const milliseconds downs[] = {milliseconds(1500), milliseconds(9000),
                                milliseconds(25000)};
  uint32_t seed = 1;
  // Every pair of (target, kind, time away), at one of the first occurrences
  // of the step.
  constexpr int kFaults = 27;
  constexpr int kOccurrences = 3;
  for (int pair = 0; pair < kFaults * kFaults; ++pair) {
    const int first = pair % kFaults;
    const int second = pair / kFaults;
    const int nth = 1 + pair % kOccurrences;
    const auto fault = [&](int index, int at) -> Fault {
      return {GetParam().step, at, targets[index % 3], kinds[index / 3 % 3],
              downs[index / 9]};
    };
    WorldOptions options;
    options.seed = seed++;
    options.lose = 10;
    options.repeat = 10;
    options.delay = 10;
    options.hold = 10;
    options.owner.unverified_limit = seconds(15);
    // The second strikes at the same moment, or at the step's next occurrence.
    options.faults = {fault(first, nth), fault(second, nth + pair % 2)};
    RunWorld(options);
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

// Symptom: as above.
// Sequence: processes die, freeze and wake and links and log go and come in a
// seeded random order, with messages and answers lost, late and repeated.
// Cause: orders of events that nobody thought of.
TEST(Explorer, RandomFaults) {
  constexpr uint32_t kSeeds = 300;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    WorldOptions options;
    options.seed = seed;
    options.entries = 3;
    options.instances = 3;
    options.lose = 30;
    options.repeat = 30;
    options.delay = 30;
    options.hold = 50;
    options.owner.unverified_limit = seconds(15);
    TaskWorld world(options);
    Configure(&world, options.instances, "run 50000");
    std::mt19937 random(seed);
    for (int round = 0; round < 20; ++round) {
      const auto target = static_cast<Target>(random() % 3);
      const int index = static_cast<int>(random() % 3);
      const milliseconds time(random() % 20000);
      switch (random() % 6) {
        case 0:
          world.Kill(target, index);
          break;
        case 1:
          world.Freeze(target, index, time);
          break;
        case 2:
          world.CutFromLog(index, true);
          break;
        case 3:
          world.CutLink(index, static_cast<int>(random() % 3), true);
          break;
        case 4:
          world.set_log_down(true);
          break;
        default:
          world.Evict(MakeTask("long", index, kLongVersion));
          break;
      }
      world.RunFor(milliseconds(random() % 8000));
      world.Restart(target, index);
      world.CutFromLog(index, false);
      world.set_log_down(false);
      ASSERT_EQ(world.broken(), "") << "seed " << seed;
    }
    for (int entry = 0; entry < 3; ++entry) {
      for (int instance = 0; instance < 3; ++instance) {
        world.CutLink(entry, instance, false);
      }
    }
    const bool done =
        world.RunUntil(kRunLimit, [&]() -> bool { return AllDone(&world); });
    ASSERT_EQ(world.broken(), "") << "seed " << seed;
    ASSERT_TRUE(done) << "not all tasks ended, seed " << seed << "\n"
                      << world.Describe();
  }
}

}  // namespace
}  // namespace rhubarbhaven::test

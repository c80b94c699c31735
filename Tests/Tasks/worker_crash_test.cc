// Tasks under which instances start anew, soon after each start or late.

#include <gtest/gtest.h>

#include <string>

#include "Placement/placement.h"
#include "Tests/Tasks/task_world.h"

namespace rhubarbhaven::test {
namespace {

constexpr uint64_t kVersion = 7;
constexpr int kCrashes = 8;
constexpr milliseconds kDown{4000};
constexpr milliseconds kLongestWait{60000};

struct CrashCase {
  std::string name;
  // From the start of the task to the crash of its instance's worker.
  milliseconds after{200};
  // The cell's owner is killed after each crash.
  bool owner_ends = false;
  bool given_up = false;
};

class TaskCrashTest : public testing::TestWithParam<CrashCase> {
 protected:
  static auto Name() -> std::string {
    return TaskName(MakeTask("job", 0, kVersion));
  }

  // The task starts, and its worker crashes and comes back. False if the task
  // does not start any more.
  static auto CrashOnce(TaskWorld* world) -> bool {
    const bool runs = world->RunUntil(
        kLongestWait, [world]() -> bool { return world->RunsOn(Name()) >= 0; });
    if (!runs) {
      return false;
    }
    const int instance = world->RunsOn(Name());
    world->RunFor(GetParam().after);
    world->Kill(Target::kWorker, instance);
    const int owner = world->owner();
    if (GetParam().owner_ends && owner >= 0) {
      world->Kill(Target::kOwner, owner);
    }
    world->RunFor(kDown);
    world->Restart(Target::kWorker, instance);
    if (GetParam().owner_ends && owner >= 0) {
      world->Restart(Target::kOwner, owner);
    }
    return true;
  }
};

// Guards against a task that crashes its instances being started without end,
// and against one given up that only ran there when they crashed.
TEST_P(TaskCrashTest, IsGivenUpOnlyIfItCrashesItsInstances) {
  WorldOptions options;
  TaskWorld world(options);
  world.SetConfig({MakeInstance(0), MakeInstance(1),
                   MakeJob("job", 1, "run 7200000", kVersion)});
  int crashes = 0;
  while (crashes < kCrashes && CrashOnce(&world)) {
    ++crashes;
  }
  EXPECT_EQ(world.broken(), "");
  if (GetParam().given_up) {
    EXPECT_GE(crashes, 2) << "given up on too little";
    EXPECT_LE(crashes, 5) << world.Describe();
  } else {
    EXPECT_EQ(crashes, kCrashes) << world.Describe();
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    TaskCrashTest,
    testing::Values(
        CrashCase{"soon", milliseconds(200), false, true},
        CrashCase{"soon_and_the_owner_ends", milliseconds(200), true, true},
        CrashCase{"late", seconds(40), false, false},
        CrashCase{"late_and_the_owner_ends", seconds(40), true, false}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::test

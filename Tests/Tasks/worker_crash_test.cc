// Tasks whose instances crash, shortly after each start or later.

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
  // Time from the start of the task to the crash of its instance's worker.
  milliseconds after{200};
  // The cell's owner is killed after each crash.
  bool owner_killed = false;
  bool expect_failed = false;
};

class TaskCrashTest : public testing::TestWithParam<CrashCase> {
 protected:
  static auto Name() -> std::string {
    return TaskName(MakeTask("job", 0, kVersion));
  }

  // Waits for the task to run, then crashes its worker and restarts it. Returns
  // false if the task is not started again.
  static auto CrashOnce(SimulatedTaskCluster* cluster) -> bool {
    const bool runs = cluster->RunUntil(kLongestWait, [cluster]() -> bool {
      return cluster->RunningInstance(Name()) >= 0;
    });
    if (!runs) {
      return false;
    }
    const int instance = cluster->RunningInstance(Name());
    cluster->RunFor(GetParam().after);
    cluster->Kill(Target::kWorker, instance);
    const int owner = cluster->owner();
    if (GetParam().owner_killed && owner >= 0) {
      cluster->Kill(Target::kOwner, owner);
    }
    cluster->RunFor(kDown);
    cluster->Restart(Target::kWorker, instance);
    if (GetParam().owner_killed && owner >= 0) {
      cluster->Restart(Target::kOwner, owner);
    }
    return true;
  }
};

// Guards against starting a task that crashes its instances without limit, and
// against marking a task as failed that was only running when its instances
// crashed.
TEST_P(TaskCrashTest, FailsOnlyIfItCrashesItsInstances) {
  SimulationOptions options;
  SimulatedTaskCluster cluster(options);
  cluster.SetConfig({MakeInstance(0), MakeInstance(1),
                     MakeJob("job", 1, "run 7200000", kVersion)});
  int crashes = 0;
  while (crashes < kCrashes && CrashOnce(&cluster)) {
    ++crashes;
  }
  EXPECT_EQ(cluster.violation(), "");
  if (GetParam().expect_failed) {
    EXPECT_GE(crashes, 2) << "marked as failed after too few crashes";
    EXPECT_LE(crashes, 5) << cluster.Describe();
  } else {
    EXPECT_EQ(crashes, kCrashes) << cluster.Describe();
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

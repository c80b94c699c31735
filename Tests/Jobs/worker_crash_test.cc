// Tasks that crash the workers that start them, among tasks that do not.

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kCheckInterval{50};
// Time from the crash of a worker until its owner is killed: before a heartbeat
// of the restarted worker arrives, as it arrives, and when its task runs again.
constexpr milliseconds kBeforeWorkerRestart{1500};
constexpr milliseconds kAtWorkerRestart{3600};
constexpr milliseconds kAfterTaskRestart{4500};
constexpr milliseconds kOwnerDowntime{2500};

auto PlainStep(uint32_t count) -> JobStep {
  JobStep step;
  step.set_count(count);
  step.set_estimated_ms(500);
  return step;
}

auto LongRunningStep() -> JobStep {
  JobStep step;
  step.set_count(2);
  step.set_long_running(true);
  return step;
}

auto OpportunisticStep() -> JobStep {
  JobStep step = PlainStep(2);
  step.set_uses_spare_processors(true);
  step.set_checkpointing(true);
  step.set_image("filler");
  return step;
}

auto DuplicatedStep() -> JobStep {
  JobStep step = PlainStep(2);
  step.set_allow_duplicates(true);
  return step;
}

// What else fails with each crash.
enum class ConcurrentFault { kNothing, kOwnerKilled, kAgentKilled };

struct CrashCase {
  std::string name;
  JobStep step;
  ConcurrentFault fault = ConcurrentFault::kNothing;
  // Time from the crash to this fault.
  milliseconds at{0};
  // Time from the start of a run to the crash of its worker.
  milliseconds crash_after{10};
  // Time from the crash to the restart of the worker.
  milliseconds restart_after{3300};
};

class WorkerCrashTest : public testing::TestWithParam<CrashCase> {
 protected:
  WorkerCrashTest() : cluster_(Options()) {}

  static auto Options() -> SimulatedClusterOptions {
    SimulatedClusterOptions options;
    options.agents = 6;
    options.keep_order = true;
    options.paced_registration = true;
    options.restart_delay = GetParam().restart_after;
    return options;
  }

  auto InjectFault() -> void {
    switch (GetParam().fault) {
      case ConcurrentFault::kNothing:
        break;
      case ConcurrentFault::kOwnerKilled:
        cluster_.time().After(GetParam().at, [this]() -> void {
          cluster_.KillEntry(std::max(cluster_.Owner(), 0), kOwnerDowntime);
        });
        break;
      case ConcurrentFault::kAgentKilled:
        cluster_.time().After(GetParam().at, [this]() -> void {
          for (const int agent : cluster_.Agents()) {
            if (cluster_.worker(agent).down()) {
              cluster_.KillAgent(agent, milliseconds(200));
            }
          }
        });
    }
  }

  // Runs the simulation and injects the fault after each crash under the task
  // of the job.
  auto RunFor(const std::string& job, Duration span) -> void {
    const TimePoint end = cluster_.time().now() + span;
    int crashes = cluster_.crashes(job);
    while (cluster_.time().now() < end) {
      cluster_.RunFor(kCheckInterval);
      if (cluster_.crashes(job) > crashes) {
        crashes = cluster_.crashes(job);
        InjectFault();
      }
    }
  }

  SimulatedCluster cluster_;
};

// Guards against a task that crashes its workers and is started without limit.
TEST_P(WorkerCrashTest, FailsTheTaskAndRunsTheOthers) {
  cluster_.RunFor(seconds(4));
  cluster_.SubmitLongRunning(4);
  cluster_.Submit({4, 2});
  cluster_.RunFor(milliseconds(500));
  const std::string job =
      cluster_.SubmitCrashing(GetParam().step, GetParam().crash_after);
  for (int round = 0; round < 10; ++round) {
    cluster_.Submit({3});
    RunFor(job, seconds(3));
  }
  RunFor(job, seconds(60));
  EXPECT_GE(cluster_.crashes(job), 2) << "failed after too few crashes";
  cluster_.CheckJobs();
  for (const auto& problem : cluster_.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    WorkerCrashTest,
    testing::Values(
        CrashCase{"plain", PlainStep(2)},
        CrashCase{"lasting", LongRunningStep()},
        CrashCase{"filling", OpportunisticStep()},
        CrashCase{"duplicated", DuplicatedStep()},
        CrashCase{"at_once", PlainStep(2), ConcurrentFault::kNothing,
                  milliseconds(0), milliseconds(0)},
        CrashCase{"late_in_its_work", PlainStep(2), ConcurrentFault::kNothing,
                  milliseconds(0), milliseconds(150)},
        // The lease has expired by then.
        CrashCase{"worker_away_for_long", PlainStep(2),
                  ConcurrentFault::kNothing, milliseconds(0), milliseconds(10),
                  seconds(9)},
        CrashCase{"plain_owner_ends_before_the_next_life", PlainStep(2),
                  ConcurrentFault::kOwnerKilled, kBeforeWorkerRestart},
        CrashCase{"plain_owner_ends_with_the_next_life", PlainStep(2),
                  ConcurrentFault::kOwnerKilled, kAtWorkerRestart},
        CrashCase{"plain_owner_ends_after_the_restart", PlainStep(2),
                  ConcurrentFault::kOwnerKilled, kAfterTaskRestart},
        CrashCase{"lasting_owner_ends_before_the_next_life", LongRunningStep(),
                  ConcurrentFault::kOwnerKilled, kBeforeWorkerRestart},
        CrashCase{"lasting_owner_ends_with_the_next_life", LongRunningStep(),
                  ConcurrentFault::kOwnerKilled, kAtWorkerRestart},
        CrashCase{"filling_owner_ends_before_the_next_life",
                  OpportunisticStep(), ConcurrentFault::kOwnerKilled,
                  kBeforeWorkerRestart},
        CrashCase{"plain_agent_ends", PlainStep(2),
                  ConcurrentFault::kAgentKilled, milliseconds(1000)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

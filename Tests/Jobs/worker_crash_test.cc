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

constexpr milliseconds kLook{50};
// After the crash of a worker until its owner ends: before the worker's next
// life is heard, as it is heard, and when its task runs again.
constexpr milliseconds kBeforeNextLife{1500};
constexpr milliseconds kWithNextLife{3600};
constexpr milliseconds kAfterRestart{4500};
constexpr milliseconds kOwnerAway{2500};

auto PlainStep(uint32_t count) -> JobStep {
  JobStep step;
  step.set_count(count);
  step.set_estimated_ms(500);
  return step;
}

auto LastingStep() -> JobStep {
  JobStep step;
  step.set_count(2);
  step.set_long_running(true);
  return step;
}

auto FillingStep() -> JobStep {
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

// What goes wrong beside each crash.
enum class Beside { kNothing, kOwnerEnds, kAgentEnds };

struct CrashCase {
  std::string name;
  JobStep step;
  Beside beside = Beside::kNothing;
  // After the crash.
  milliseconds at{0};
  // From a run's start to the crash of its worker.
  milliseconds crash_after{10};
  // From the crash to the worker's next life.
  milliseconds back_after{3300};
};

class WorkerCrashTest : public testing::TestWithParam<CrashCase> {
 protected:
  WorkerCrashTest() : world_(Options()) {}

  static auto Options() -> JobWorldOptions {
    JobWorldOptions options;
    options.agents = 6;
    options.keep_order = true;
    options.paced_registration = true;
    options.back_after_crash = GetParam().back_after;
    return options;
  }

  auto Disturb() -> void {
    switch (GetParam().beside) {
      case Beside::kNothing:
        break;
      case Beside::kOwnerEnds:
        world_.time().After(GetParam().at, [this]() -> void {
          world_.KillEntry(std::max(world_.Owner(), 0), kOwnerAway);
        });
        break;
      case Beside::kAgentEnds:
        world_.time().After(GetParam().at, [this]() -> void {
          for (const int agent : world_.Agents()) {
            if (world_.worker(agent).down()) {
              world_.KillAgent(agent, milliseconds(200));
            }
          }
        });
    }
  }

  // Plays on, with what goes wrong after each crash under the job's task.
  auto RunFor(const std::string& job, Duration span) -> void {
    const TimePoint end = world_.time().now() + span;
    int crashes = world_.crashes(job);
    while (world_.time().now() < end) {
      world_.RunFor(kLook);
      if (world_.crashes(job) > crashes) {
        crashes = world_.crashes(job);
        Disturb();
      }
    }
  }

  JobWorld world_;
};

// Guards against a task that crashes its workers being started without end.
TEST_P(WorkerCrashTest, TaskIsGivenUpAndOthersGoOn) {
  world_.RunFor(seconds(4));
  world_.SubmitLasting(4);
  world_.Submit({4, 2});
  world_.RunFor(milliseconds(500));
  const std::string job =
      world_.SubmitCrashing(GetParam().step, GetParam().crash_after);
  for (int round = 0; round < 10; ++round) {
    world_.Submit({3});
    RunFor(job, seconds(3));
  }
  RunFor(job, seconds(60));
  EXPECT_GE(world_.crashes(job), 2) << "given up on too little";
  world_.CheckJobs();
  for (const auto& problem : world_.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    WorkerCrashTest,
    testing::Values(
        CrashCase{"plain", PlainStep(2)},
        CrashCase{"lasting", LastingStep()},
        CrashCase{"filling", FillingStep()},
        CrashCase{"duplicated", DuplicatedStep()},
        CrashCase{"at_once", PlainStep(2), Beside::kNothing, milliseconds(0),
                  milliseconds(0)},
        CrashCase{"late_in_its_work", PlainStep(2), Beside::kNothing,
                  milliseconds(0), milliseconds(150)},
        // The lease has run out by then.
        CrashCase{"worker_away_for_long", PlainStep(2), Beside::kNothing,
                  milliseconds(0), milliseconds(10), seconds(9)},
        CrashCase{"plain_owner_ends_before_the_next_life", PlainStep(2),
                  Beside::kOwnerEnds, kBeforeNextLife},
        CrashCase{"plain_owner_ends_with_the_next_life", PlainStep(2),
                  Beside::kOwnerEnds, kWithNextLife},
        CrashCase{"plain_owner_ends_after_the_restart", PlainStep(2),
                  Beside::kOwnerEnds, kAfterRestart},
        CrashCase{"lasting_owner_ends_before_the_next_life", LastingStep(),
                  Beside::kOwnerEnds, kBeforeNextLife},
        CrashCase{"lasting_owner_ends_with_the_next_life", LastingStep(),
                  Beside::kOwnerEnds, kWithNextLife},
        CrashCase{"filling_owner_ends_before_the_next_life", FillingStep(),
                  Beside::kOwnerEnds, kBeforeNextLife},
        CrashCase{"plain_agent_ends", PlainStep(2), Beside::kAgentEnds,
                  milliseconds(1000)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

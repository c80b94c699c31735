// Tasks of a worker that does not answer its agent, while the agent follows its
// owner. The events are written out with their times, so that a test stays the
// same sequence whatever else changes.

#include <gtest/gtest.h>

#include <string>

#include "Tests/Jobs/job_world.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::seconds;

// Before that an earlier process of the agent may have renewed the worker's
// lease, for 10 s at most.
constexpr seconds kWorkerIsKnown{12};
constexpr uint32_t kTasks = 6;
constexpr int kSilentWorker = 0;

auto Options() -> JobWorldOptions {
  JobWorldOptions options;
  options.paced_registration = true;
  options.keep_order = true;
  options.check_lasting = true;
  return options;
}

auto ExpectNoProblems(const JobWorld& world) -> void {
  for (const auto& problem : world.problems()) {
    ADD_FAILURE() << problem;
  }
}

// Symptom: tasks that last stay down for as long as their worker is silent,
// with room for them elsewhere. Sequence: a worker falls silent; the owner does
// not know it yet and starts tasks there; the worker stays silent. Cause: each
// repeat of a start carried a later deadline, so the agent could never be sure
// that the worker's lease had run out.
TEST(SilentWorkerTest, ItsTasksRunElsewhereOnceItsLeaseIsOver) {
  JobWorld world(Options());
  world.RunFor(kWorkerIsKnown);
  world.worker(kSilentWorker).SetSilent(true);
  const std::string job = world.SubmitLasting(kTasks);
  // A lease of 5 s with its margins, and 6 s in which a lost task is to be
  // back.
  world.RunFor(seconds(12));
  for (uint32_t index = 0; index < kTasks; ++index) {
    const auto task = job + ".0.0." + std::to_string(index);
    bool runs = false;
    for (const int number : world.Agents()) {
      runs =
          runs || (number != kSilentWorker && world.worker(number).Runs(task));
    }
    EXPECT_TRUE(runs) << task;
  }
  ExpectNoProblems(world);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

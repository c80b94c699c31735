// Tasks of a worker that does not answer its agent, while the agent follows its
// owner. The events are written out with their times, so that a test stays the
// same sequence whatever else changes.

#include <gtest/gtest.h>

#include <string>
#include <tuple>

#include "Tests/Jobs/job_world.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
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

// When the tasks are handed in after the worker fell silent, and how long it is
// silent: around the length of its lease.
using Silence = std::tuple<milliseconds, milliseconds>;

class SilenceTest : public testing::TestWithParam<Silence> {};

// Symptom: a task runs in two places. Sequence: a worker falls silent; the
// owner does not know it yet and starts tasks there; the calls get no answer
// and are made again; the worker's lease runs out and its agent says so; the
// worker answers again while a call is under way. Cause: the owner took the
// starts without a result for lost with the lease and placed their tasks
// elsewhere; the agent made the call once more, under a new lease, and the
// worker carried it out.
TEST_P(SilenceTest, StartsWithoutAResultRunInOnePlace) {
  JobWorld world(Options());
  world.RunFor(kWorkerIsKnown);
  const auto [hand_in_after, span] = GetParam();
  world.worker(kSilentWorker).SetSilent(true);
  world.RunFor(hand_in_after);
  world.SubmitLasting(kTasks);
  world.RunFor(span - hand_in_after);
  world.worker(kSilentWorker).SetSilent(false);
  world.RunFor(seconds(30));
  world.CheckJobs();
  ExpectNoProblems(world);
}

INSTANTIATE_TEST_SUITE_P(
    Spans,
    SilenceTest,
    testing::Combine(
        testing::Range(milliseconds(0), milliseconds(600), milliseconds(60)),
        testing::Range(milliseconds(5000),
                       milliseconds(6500),
                       milliseconds(100))),
    [](const auto& info) {
      return std::to_string(std::get<0>(info.param).count()) + "_" +
             std::to_string(std::get<1>(info.param).count()) + "ms";
    });

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

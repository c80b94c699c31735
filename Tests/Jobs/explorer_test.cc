// Random orders of events and faults over virtual time.
//
// Symptom watched for: a task that runs in two places or again after its end,
// an accepted job that never completes. The faults come in series and overlap:
// processes killed and frozen, links cut, the log away, slow, forgetful or
// losing answers, workers crashed, silent, or carrying orders out late.

#include <gtest/gtest.h>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::seconds;

auto InjectFault(JobWorld& world, const JobWorldOptions& options) -> void {
  auto& time = world.time();
  const auto entry = static_cast<int>(time.Pick(0, options.entries - 1));
  const auto agent = static_cast<int>(time.Pick(0, options.agents - 1));
  const auto span = time.Milliseconds(300, 9000);
  const auto fault = time.Pick(0, kLastPlainFault);
  MakeFault(world, fault, {entry, agent, span});
}

// Seeds that once showed a fault come first, with their cause.
class ExplorerTest : public testing::TestWithParam<uint64_t> {};

TEST_P(ExplorerTest, EveryJobRunsOnceWhateverFails) {
  JobWorldOptions options;
  options.seed = GetParam();
  options.failing_runs = 0.1;
  JobWorld world(options);
  world.RunFor(seconds(4));
  for (int round = 0; round < 12; ++round) {
    world.Submit({static_cast<uint32_t>(world.time().Pick(1, 5)),
                  static_cast<uint32_t>(world.time().Pick(1, 4))});
    InjectFault(world, options);
    if (world.time().Chance(0.5)) {
      InjectFault(world, options);
    }
    world.RunFor(world.time().Milliseconds(200, 4000));
    if (world.time().Chance(0.4)) {
      world.HealAll();
    }
  }
  world.HealAll();
  world.RunFor(seconds(90));
  world.CheckCompleted();
  for (const auto& problem : world.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(world.Owner(), 0);
  EXPECT_FALSE(world.accepted().empty());
  for (const auto& job : world.accepted()) {
    for (int entry = 0; entry < options.entries; ++entry) {
      EXPECT_EQ(world.StateOf(entry, job), JOB_COMPLETED)
          << "entry " << entry << " job " << job;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ExplorerTest, ExplorerSeeds(150));

// Seeds that once showed a fault.
INSTANTIATE_TEST_SUITE_P(
    Kept,
    ExplorerTest,
    testing::Values(
        // An agent without a worker's heartbeat named no worker, and the owner
        // took its runs for lost.
        12,
        14,
        29,
        // An entry refused callers for good after one refusal by the log.
        166,
        // An owner began on a fold that lacked records.
        327,
        754,
        764,
        // A restarted agent refused a start that had been carried out.
        1000,
        // A silent worker's old listing was told again after its runs had been
        // taken for lost.
        3203));

}  // namespace
}  // namespace rhubarbhaven::jobs

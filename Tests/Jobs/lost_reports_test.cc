// Reports that are lost while workers do not answer for a moment, in virtual
// time.

#include <gtest/gtest.h>

#include <cstdint>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::seconds;

constexpr int kRounds = 60;
// Share of the orders whose answers are lost.
constexpr double kAnswersLost = 0.6;

// The agent reaches no entry for a moment, and its worker does not answer for
// longer. The lease of the worker does not expire.
auto InjectShortFault(SimulatedCluster& cluster,
                      const SimulatedClusterOptions& options) -> void {
  auto& time = cluster.time();
  const auto agent = static_cast<int>(time.Pick(0, options.agents - 1));
  const auto cut = time.Milliseconds(600, 1200);
  for (int entry = 0; entry < options.entries; ++entry) {
    cluster.CutLink(entry, agent, cut);
  }
  cluster.worker(agent).SetUnresponsive(true);
  time.After(cut + time.Milliseconds(300, 1200), [&cluster, agent]() -> void {
    cluster.worker(agent).SetUnresponsive(false);
  });
}

class LostReportsTest : public testing::TestWithParam<uint64_t> {};

// Guards against a task that starts again after it is done. A worker carries
// out a start, and its answers are lost until the run is over; the report with
// the end and the result of the start is lost; the next one has the result
// alone, since the worker does not answer at this moment.
TEST_P(LostReportsTest, DoneTasksDoNotStartAgain) {
  SimulatedClusterOptions options;
  options.seed = GetParam();
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  for (int agent = 0; agent < options.agents; ++agent) {
    cluster.worker(agent).SetAnswersLost(kAnswersLost);
  }
  for (int round = 0; round < kRounds; ++round) {
    cluster.Submit({static_cast<uint32_t>(cluster.time().Pick(1, 4))});
    InjectShortFault(cluster, options);
    cluster.RunFor(cluster.time().Milliseconds(800, 3000));
  }
  cluster.HealAll();
  cluster.RunFor(seconds(60));
  cluster.CheckCompleted();
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_FALSE(cluster.accepted().empty());
}

// Seeds in which the sequence occurred.
INSTANTIATE_TEST_SUITE_P(Regressions, LostReportsTest, testing::Values(37, 62));

INSTANTIATE_TEST_SUITE_P(Seeds, LostReportsTest, ExplorerSeeds(30));

}  // namespace
}  // namespace rhubarbhaven::jobs

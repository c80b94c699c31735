// An owner that is lost just after its claim, beside agents that are gone.

#include <gtest/gtest.h>

#include <string>

#include "Tests/Jobs/simulated_cluster.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

struct LostClaimantCase {
  std::string name;
  // Time from the claim of the second owner to its loss.
  milliseconds lost_after{0};
};

class LostClaimantTest : public testing::TestWithParam<LostClaimantCase> {};

// Guards against tasks that stay down for some 20 s although there is room. The
// next owner is lost before it has heard from a majority of the agents and has
// stated when the first owner's grants are over, so that the one after it waits
// for all that the first one could grant.
TEST_P(LostClaimantTest, TasksRunAgainSoon) {
  constexpr uint32_t kTasks = 12;
  constexpr seconds kMaxDownTime{7};
  SimulatedClusterOptions options;
  options.entries = 5;
  options.agents = 10;
  options.paced_registration = true;
  options.keep_order = true;
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  cluster.SubmitLongRunning(kTasks);
  cluster.RunFor(seconds(5));
  cluster.KillAgent(0, minutes(10));
  cluster.KillAgent(1, minutes(10));
  cluster.RunFor(milliseconds(400));
  cluster.RemoveEntry(cluster.Owner());
  int claimant = -1;
  while (claimant == -1) {
    cluster.RunFor(milliseconds(1));
    for (int entry = 0; entry < cluster.entries(); ++entry) {
      claimant = cluster.FenceOf(entry) != 0 ? entry : claimant;
    }
  }
  cluster.RunFor(GetParam().lost_after);
  cluster.RemoveEntry(claimant);
  cluster.RunFor(kMaxDownTime);
  std::size_t running = 0;
  for (const int agent : cluster.Agents()) {
    running += cluster.worker(agent).running();
  }
  EXPECT_EQ(running, kTasks);
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

// Before a majority has answered.
INSTANTIATE_TEST_SUITE_P(
    Early,
    LostClaimantTest,
    testing::Values(LostClaimantCase{"at_once", milliseconds(0)},
                    LostClaimantCase{"after_5_ms", milliseconds(5)},
                    LostClaimantCase{"after_10_ms", milliseconds(10)},
                    LostClaimantCase{"after_20_ms", milliseconds(20)},
                    LostClaimantCase{"after_30_ms", milliseconds(30)},
                    LostClaimantCase{"after_40_ms", milliseconds(40)},
                    LostClaimantCase{"after_60_ms", milliseconds(60)}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    Later,
    LostClaimantTest,
    testing::Values(LostClaimantCase{"after_100_ms", milliseconds(100)},
                    LostClaimantCase{"after_200_ms", milliseconds(200)},
                    LostClaimantCase{"after_600_ms", milliseconds(600)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

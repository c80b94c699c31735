// An agent that goes without having been told to stop, beside an owner that
// never comes back.

#include <gtest/gtest.h>

#include <string>

#include "Tests/Jobs/simulated_cluster.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct GoneAgentCase {
  std::string name;
  // When the agent and its worker are gone; the owner is lost at zero.
  milliseconds gone_at{0};
};

class GoneAgentTest : public testing::TestWithParam<GoneAgentCase> {};

// Guards against tasks that stay down for some 20 s although there is room. An
// agent loses power with its worker, and the owner is lost for good at about
// that time. Nobody tells the next owner that the agent is not cut off together
// with the lost one, which would grant for 16 s more.
TEST_P(GoneAgentTest, DoesNotDelayTasksOfALaterOwner) {
  SimulatedClusterOptions options;
  options.entries = 4;
  options.paced_registration = true;
  options.keep_order = true;
  options.check_long_running = true;
  options.allow_reconciliation = false;
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  cluster.SubmitLongRunning(6);
  cluster.RunFor(seconds(2));
  const TimePoint lost_at = cluster.time().now() + seconds(1);
  cluster.time().At(
      lost_at, [&cluster]() -> void { cluster.RemoveEntry(cluster.Owner()); });
  cluster.time().At(lost_at + GetParam().gone_at, [&cluster]() -> void {
    cluster.RemoveAgent(0, /*planned=*/false);
  });
  cluster.RunFor(seconds(40));
  EXPECT_GE(cluster.Owner(), 0);
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    GoneAgentTest,
    testing::Values(GoneAgentCase{"before_the_owner", milliseconds(-400)},
                    GoneAgentCase{"with_the_owner", milliseconds(0)},
                    GoneAgentCase{"between_two_owners", milliseconds(600)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

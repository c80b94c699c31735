// An owner that reaches the log and none of its agents.

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "Tests/Jobs/simulated_cluster.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kAgents = 6;
constexpr uint32_t kTasks = 10;

struct UnreachableCase {
  std::string name;
  uint64_t seed = 1;
  seconds cut{12};
};

class UnreachableAgentsTest : public testing::TestWithParam<UnreachableCase> {
 protected:
  static auto Options() -> SimulatedClusterOptions {
    SimulatedClusterOptions options;
    options.seed = GetParam().seed;
    options.entries = 4;
    options.agents = kAgents;
    options.paced_registration = true;
    options.keep_order = true;
    return options;
  }

  static auto Running(SimulatedCluster& cluster) -> std::size_t {
    std::size_t runs = 0;
    for (const int agent : cluster.Agents()) {
      runs += cluster.worker(agent).running();
    }
    return runs;
  }
};

// Guards against long-running tasks that stay down for as long as their owner
// is cut off from all agents: its renewals are stored, so that no other entry
// claims, although every other one reaches the agents.
TEST_P(UnreachableAgentsTest, AnotherEntryTakesOver) {
  constexpr seconds kMaxDownTime{7};
  SimulatedCluster cluster(Options());
  cluster.RunFor(seconds(4));
  cluster.SubmitLongRunning(kTasks);
  cluster.RunFor(seconds(5));
  const int owner = cluster.Owner();
  ASSERT_GE(owner, 0);
  for (const int agent : cluster.Agents()) {
    cluster.CutLink(owner, agent, GetParam().cut);
  }
  cluster.RunFor(kMaxDownTime);
  EXPECT_NE(cluster.Owner(), owner);
  EXPECT_EQ(Running(cluster), kTasks);
  cluster.RunFor(seconds(20));
  EXPECT_EQ(Running(cluster), kTasks);
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

// Guards against entries that replace each other for as long as all agents are
// gone, since each of them reaches none.
TEST_P(UnreachableAgentsTest,
       EntriesDoNotReplaceEachOtherWhileAllAgentsAreGone) {
  SimulatedCluster cluster(Options());
  cluster.RunFor(seconds(6));
  const int owner = cluster.Owner();
  ASSERT_GE(owner, 0);
  const uint64_t fence = cluster.FenceOf(owner);
  for (const int agent : cluster.Agents()) {
    cluster.KillAgent(agent, seconds(30));
  }
  cluster.RunFor(seconds(29));
  ASSERT_GE(cluster.Owner(), 0);
  EXPECT_LE(cluster.FenceOf(cluster.Owner()), fence + 1);
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         UnreachableAgentsTest,
                         testing::Values(UnreachableCase{"first", 1},
                                         UnreachableCase{"second", 2},
                                         UnreachableCase{"third", 3},
                                         UnreachableCase{"longer", 4,
                                                         seconds(25)}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

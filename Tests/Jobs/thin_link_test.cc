// Tests of owners whose links carry little more than the orders that they send.

#include <gtest/gtest.h>

#include <string>

#include "Tests/Jobs/simulated_cluster.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::seconds;

struct ThinLinkCase {
  std::string name;
  uint64_t seed = 1;
  int agents = 0;
  // Submitted at once.
  int jobs = 0;
  uint32_t tasks_per_job = 0;
};

class ThinLinkTest : public testing::TestWithParam<ThinLinkCase> {};

// Guards against an owner that is replaced again and again, since starts that
// it sends several times, or large reads, fill its link before its renewals.
TEST_P(ThinLinkTest, OwnerStaysDuringABurst) {
  SimulatedClusterOptions options;
  options.seed = GetParam().seed;
  options.agents = GetParam().agents;
  options.payload_bytes = 4000;
  options.link_bytes_per_second = 250000;
  options.check_long_running = true;
  SimulatedCluster cluster(options);
  cluster.SubmitLongRunning(8);
  cluster.RunFor(seconds(6));
  const int owner = cluster.Owner();
  ASSERT_GE(owner, 0);
  const uint64_t fence = cluster.FenceOf(owner);
  for (int job = 0; job < GetParam().jobs; ++job) {
    cluster.Submit({GetParam().tasks_per_job});
  }
  cluster.RunFor(seconds(40));
  EXPECT_EQ(cluster.Owner(), owner);
  EXPECT_EQ(cluster.FenceOf(owner), fence);
  EXPECT_EQ(cluster.lapsed_runs(), 0);
  EXPECT_GE(cluster.starts(),
            GetParam().jobs * static_cast<int>(GetParam().tasks_per_job));
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

// With 20 agents, the link carries each start with its payload once, but not
// twice.
INSTANTIATE_TEST_SUITE_P(
    Table,
    ThinLinkTest,
    testing::Values(ThinLinkCase{"long_jobs_1", 1, 20, 20, 80},
                    ThinLinkCase{"long_jobs_2", 2, 20, 20, 80},
                    ThinLinkCase{"long_jobs_3", 3, 20, 20, 80},
                    ThinLinkCase{"more_agents_2", 2, 24, 20, 80},
                    ThinLinkCase{"more_agents_5", 5, 24, 20, 80},
                    ThinLinkCase{"many_jobs_1", 1, 16, 60, 16},
                    ThinLinkCase{"many_jobs_2", 2, 16, 60, 16},
                    ThinLinkCase{"many_jobs_3", 3, 16, 60, 16}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

#include <gtest/gtest.h>

#include "Tests/Placement/placement_builders.h"

namespace rhubarbhaven::testing {
namespace {

using Verdict = WorkerHealth::Verdict;

struct Ending {
  int64_t at = 0;
  std::string instance;
  std::string job;
  schema::TaskOutcome outcome = schema::FAILED;
};

struct HealthCase {
  std::string name;
  std::vector<Ending> endings;
  int64_t checked_at = 0;
  Verdict bad = Verdict::kHealthy;
  Verdict good = Verdict::kHealthy;
};

class HealthTest : public ::testing::TestWithParam<HealthCase> {};

// Guards against a broken worker that receives and fails one task after
// another, and against healthy workers that are quarantined because a broken
// job has failed on all of them. A failure alone does not show whether the job
// or the worker is at fault; only the outcomes of the same job on other workers
// do. Each row lists the endings in order.
TEST_P(HealthTest, ClassifiesWorkers) {
  const HealthCase& row = GetParam();
  WorkerHealth health{WorkerHealthOptions{}};
  for (const Ending& ending : row.endings) {
    if (health.Check(At(ending.at), ending.instance) == Verdict::kProbe) {
      health.OnProbeStarted(At(ending.at), ending.instance);
    }
    health.OnTaskEnded(At(ending.at), ending.instance, Task(ending.job),
                       ending.outcome);
  }
  EXPECT_EQ(health.Check(At(row.checked_at), "bad"), row.bad);
  EXPECT_EQ(health.Check(At(row.checked_at), "good"), row.good);
  EXPECT_EQ(health.QuarantineReason("bad").empty(),
            row.bad == Verdict::kHealthy);
}

auto Cases() -> std::vector<HealthCase> {
  const auto finished = schema::FINISHED;
  // Three jobs that fail on "bad" and then finish on "good".
  const std::vector<Ending> proof = {{1, "bad", "x"},
                                     {2, "bad", "y"},
                                     {3, "bad", "z"},
                                     {4, "good", "x", finished},
                                     {5, "good", "y", finished},
                                     {6, "good", "z", finished}};
  const auto after = [&](std::vector<Ending> more) -> std::vector<Ending> {
    std::vector<Ending> all = proof;
    all.insert(all.end(), more.begin(), more.end());
    return all;
  };
  std::vector<Ending> everywhere;
  for (const std::string job : {"a", "b", "c", "d", "e", "f", "g"}) {
    everywhere.push_back({1, "good", job});
    everywhere.push_back({2, "bad", job});
  }
  return {
      {"FailsWhatFinishesElsewhere", proof, 10, Verdict::kQuarantined},
      {"TwoJobsAreNotEnough", {proof.begin(), proof.end() - 1}, 10},
      {"SameJobAgainCountsOnce",
       {{1, "bad", "x"},
        {2, "bad", "x"},
        {3, "bad", "x"},
        {4, "good", "x", finished}},
       10},
      {"SuccessEndsTheRow",
       {{1, "bad", "x"},
        {2, "bad", "y"},
        {3, "bad", "w", finished},
        {4, "bad", "z"},
        {5, "good", "x", finished},
        {6, "good", "y", finished},
        {7, "good", "z", finished}},
       10},
      {"JobsFailEverywhere", everywhere, 10},
      {"SharedOutageAfterSuccess",
       {{1, "good", "x", finished},
        {1, "good", "y", finished},
        {1, "good", "z", finished},
        {2, "bad", "x"},
        {2, "good", "x"},
        {3, "bad", "y"},
        {3, "good", "y"},
        {4, "bad", "z"},
        {4, "good", "z"}},
       10},
      {"ManyJobsTriedNowhereElse",
       {{1, "bad", "a"},
        {2, "bad", "b"},
        {3, "bad", "c"},
        {4, "bad", "d"},
        {5, "bad", "e"},
        {6, "bad", "f"}},
       10,
       Verdict::kQuarantined},
      {"EvictionsSayNothing",
       {{1, "bad", "x", schema::EVICTED},
        {2, "bad", "y", schema::LOST},
        {3, "bad", "z", schema::CANCELLED},
        {4, "good", "x", finished},
        {5, "good", "y", finished},
        {6, "good", "z", finished}},
       10},
      {"ProbeAfterThePause", proof, 67, Verdict::kProbe},
      {"ProbeFinishes", after({{70, "bad", "x", finished}}), 71},
      {"ProbeFailsPauseDoubles", after({{70, "bad", "x"}}), 189,
       Verdict::kQuarantined},
      {"ProbeAgainAfterDoublePause", after({{70, "bad", "x"}}), 190,
       Verdict::kProbe},
      {"ProbeWithBrokenJobKeepsThePause",
       after({{60, "good", "broken"}, {70, "bad", "broken"}}), 131,
       Verdict::kProbe},
      {"ProbeEvictedIsTriedAgain", after({{70, "bad", "x", schema::EVICTED}}),
       71, Verdict::kProbe},
  };
}

INSTANTIATE_TEST_SUITE_P(Table,
                         HealthTest,
                         ::testing::ValuesIn(Cases()),
                         [](const auto& info) { return info.param.name; });

TEST(WorkerHealthTest, OneProbeAtATimeAndFailedJobsTryElsewhere) {
  WorkerHealth health{WorkerHealthOptions{}};
  for (const std::string job : {"a", "b", "c", "d", "e", "f"}) {
    health.OnTaskEnded(At(1), "bad", Task(job), schema::FAILED);
  }
  ASSERT_EQ(health.Check(At(62), "bad"), Verdict::kProbe);
  health.OnProbeStarted(At(62), "bad");
  EXPECT_EQ(health.Check(At(63), "bad"), Verdict::kQuarantined);
  EXPECT_TRUE(health.HasFailedOn("bad", "coop", "a"));
  EXPECT_FALSE(health.HasFailedOn("good", "coop", "a"));
}

}  // namespace
}  // namespace rhubarbhaven::testing

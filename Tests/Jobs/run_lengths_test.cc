#include "Jobs/run_lengths.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

const RunLengthKey kKey{"queue", 0, "image"};

struct LoadCase {
  std::string name;
  // What callers' estimates are multiplied by to get the usual run time.
  double ratio = 1;
};

class RunLengthsLoadTest : public testing::TestWithParam<LoadCase> {};

// Guards against estimates that stay wrong, and against stragglers that spoil
// them: 3 of 100 runs take seven times as long, the others vary by a third.
TEST_P(RunLengthsLoadTest, LearnsTheUsualRatio) {
  constexpr int kRuns = 400;
  constexpr double kStragglers = 0.03;
  constexpr double kStragglerFactor = 7;
  std::mt19937 random(1);
  std::lognormal_distribution<double> spread(0, 0.33);
  std::bernoulli_distribution straggles(kStragglers);
  RunLengths lengths;
  double error_before = 0;
  double error_after = 0;
  for (int run = 0; run < kRuns; ++run) {
    const double expected = lengths.ExpectedRatio(kKey).value_or(1.0);
    error_before += std::abs(std::log(GetParam().ratio));
    error_after += std::abs(std::log(GetParam().ratio / expected));
    lengths.Record(kKey, GetParam().ratio * spread(random) *
                             (straggles(random) ? kStragglerFactor : 1.0));
  }
  EXPECT_NEAR(*lengths.ExpectedRatio(kKey), GetParam().ratio,
              0.15 * GetParam().ratio);
  if (GetParam().ratio != 1) {
    EXPECT_LT(error_after, error_before / 2);
  }
}

INSTANTIATE_TEST_SUITE_P(Ratios,
                         RunLengthsLoadTest,
                         testing::Values(LoadCase{"half", 0.5},
                                         LoadCase{"right", 1.0},
                                         LoadCase{"twice", 2.0}),
                         [](const auto& info) { return info.param.name; });

TEST(RunLengthsTest, KnowsNothingFromAFewRuns) {
  RunLengths lengths;
  for (int run = 0; run < 7; ++run) {
    lengths.Record(kKey, 3);
  }
  EXPECT_FALSE(lengths.ExpectedRatio(kKey));
  lengths.Record(kKey, 3);
  EXPECT_NEAR(*lengths.ExpectedRatio(kKey), 3, 0.01);
}

TEST(RunLengthsTest, KeepsImagesApart) {
  const RunLengthKey other{"queue", 0, "other image"};
  RunLengths lengths;
  for (int run = 0; run < 20; ++run) {
    lengths.Record(kKey, 0.5);
    lengths.Record(other, 2);
  }
  EXPECT_NEAR(*lengths.ExpectedRatio(kKey), 0.5, 0.01);
  EXPECT_NEAR(*lengths.ExpectedRatio(other), 2, 0.01);
}

// Guards against figures that outlive the work that they were learned from.
TEST(RunLengthsTest, FollowsAQueueWhoseWorkChanges) {
  RunLengths lengths;
  for (int run = 0; run < 1000; ++run) {
    lengths.Record(kKey, 0.5);
  }
  for (int run = 0; run < 300; ++run) {
    lengths.Record(kKey, 2);
  }
  EXPECT_NEAR(*lengths.ExpectedRatio(kKey), 2, 0.2);
}

// Guards against memory that grows with the number of queues and images.
TEST(RunLengthsTest, ForgetsTheLeastRecentlyUsedKeys) {
  RunLengths lengths;
  for (uint32_t step = 0; step < 300; ++step) {
    for (int run = 0; run < 8; ++run) {
      lengths.Record({"queue", step, ""}, 2);
    }
  }
  EXPECT_EQ(lengths.size(), 256U);
  EXPECT_FALSE(lengths.ExpectedRatio({"queue", 0, ""}));
  EXPECT_TRUE(lengths.ExpectedRatio({"queue", 299, ""}));
  EXPECT_EQ(lengths.Learned().lengths_size(), 64);
  EXPECT_LE(lengths.Learned().ByteSizeLong(), 8192U);
}

// Guards against a new owner that starts from callers' estimates again.
TEST(RunLengthsTest, NextOwnerStartsFromTheRecord) {
  RunLengths earlier;
  for (int run = 0; run < 100; ++run) {
    earlier.Record(kKey, 2);
  }
  RunLengths next;
  next.Load(earlier.Learned());
  EXPECT_NEAR(*next.ExpectedRatio(kKey), 2, 0.01);
  EXPECT_FALSE(next.HasChanged());
  for (int run = 0; run < 100; ++run) {
    next.Record(kKey, 0.5);
  }
  EXPECT_NEAR(*next.ExpectedRatio(kKey), 0.5, 0.1);
  EXPECT_TRUE(next.HasChanged());
}

TEST(RunLengthsTest, IgnoresRatiosThatAreNoNumbers) {
  RunLengths lengths;
  for (int run = 0; run < 20; ++run) {
    lengths.Record(kKey, 0);
    lengths.Record(kKey, std::nan(""));
  }
  EXPECT_FALSE(lengths.ExpectedRatio(kKey));
}

struct StepCase {
  std::string name;
  std::optional<double> ratio;
  std::vector<milliseconds> known;
  std::size_t unknown = 0;
  milliseconds expected{0};
};

class StepRunTimesTest : public testing::TestWithParam<StepCase> {};

// Guards against an expectation that follows the shortest tasks of a step,
// which end first.
TEST_P(StepRunTimesTest, TasksOfAStepTellOfEachOther) {
  const auto& param = GetParam();
  EXPECT_NEAR(
      static_cast<double>(ExpectedRunTime(milliseconds(1000), param.ratio,
                                          {param.known, param.unknown})
                              .count()),
      static_cast<double>(param.expected.count()),
      0.02 * static_cast<double>(param.expected.count()));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    StepRunTimesTest,
    testing::Values(StepCase{"nothing_known", {}, {}, 20, milliseconds(1000)},
                    StepCase{"learned_ratio", 2.0, {}, 20, milliseconds(2000)},
                    StepCase{"first_end_is_no_median",
                             2.0,
                             {milliseconds(500)},
                             19,
                             milliseconds(2000)},
                    StepCase{"first_end_is_longer_than_expected",
                             {},
                             {milliseconds(3000)},
                             19,
                             milliseconds(3000)},
                    StepCase{"most_tasks_are_known",
                             {},
                             std::vector<milliseconds>(15, milliseconds(2000)),
                             5,
                             milliseconds(1915)},
                    StepCase{"no_more_than_eight_times_the_estimate",
                             {},
                             std::vector<milliseconds>(20, milliseconds(90000)),
                             0,
                             milliseconds(8000)}),
    [](const auto& info) { return info.param.name; });

// The owner's part: what it learns from reports and ends.
class OwnerRunLengthsTest : public JobOwnerTest {
 protected:
  // All started tasks end well this long after their start.
  auto EndAll(milliseconds after) -> void {
    for (const auto& [agent, starts] : std::map(starts_)) {
      Report(agent, Started(agent, 0));
    }
    now_ += after;
    for (const auto& [agent, starts] : std::map(starts_)) {
      auto report = ReportOf(agent);
      for (const auto& [number, start] : starts) {
        auto* end = report.add_ended();
        end->set_number(number);
        *end->mutable_task() = start.task();
        end->set_run(start.run());
        end->set_end(RUN_DONE);
      }
      Report(agent, report);
    }
  }
};

// Guards against an owner that ignores how long runs take, and one that loses
// it at a takeover.
TEST_F(OwnerRunLengthsTest, LearnsFromEndsAndStoresThat) {
  PutJob({Step(8)});
  Begin();
  ReportAll();
  ASSERT_EQ(Starts(), 8U);
  EndAll(milliseconds(2500));
  ASSERT_EQ(run_lengths_.size(), 8U);
  EXPECT_NEAR(run_lengths_.front().by_estimate, 2.5, 0.1);
  now_ += seconds(10);
  ReportAll();
  StoreBatch();
  ASSERT_EQ(fold_.run_lengths().lengths_size(), 1);
  EXPECT_NEAR(fold_.run_lengths().lengths(0).median(), 2.5, 0.1);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

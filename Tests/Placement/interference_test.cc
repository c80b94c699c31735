// Tests how the interference model attributes slowdowns from late reports, and
// which steps it takes.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <limits>

#include "Tests/Placement/placement_builders.h"

namespace rhubarbhaven::testing {
namespace {

constexpr uint32_t kTargetUs = 10000;

class InterferenceTest : public ::testing::Test {
 protected:
  InterferenceTest() : model_(InterferenceOptions{}) {
    schema::Service service;
    service.set_name("rating");
    service.set_target_p99_ms(kTargetUs / 1000);
    for (const std::string instance : {"a", "b"}) {
      model_.SetService(instance, "coop", service);
    }
  }

  // Reports a p99 of `slowdown` times its target, measured at `measured`.
  auto Report(int64_t now, int64_t measured, double slowdown)
      -> std::vector<InterferenceAction> {
    schema::UsageReport report;
    report.set_service_p99_us(static_cast<uint32_t>(kTargetUs * slowdown));
    return model_.OnReport(At(now), At(measured), "a", report);
  }

  // Sends a report every ten seconds, each thirty seconds late, and returns the
  // steps taken.
  auto Steps(int64_t from, int64_t to, double slowdown)
      -> std::vector<InterferenceStep> {
    std::vector<InterferenceStep> steps;
    for (int64_t measured = from; measured < to; measured += 10) {
      for (const InterferenceAction& action :
           Report(measured + 30, measured, slowdown)) {
        steps.push_back(action.step);
      }
    }
    return steps;
  }

  auto Slowdown(int64_t now, const std::string& job) const -> double {
    return model_.ExpectedSlowdown(At(now), "b", "coop", job);
  }

  InterferenceModel model_;
};

// A harmless task must not be throttled for the slowdown that its predecessor
// caused. "loud" runs and stops and "calm" starts, then reports arrive that
// were measured while "loud" ran. The failure occurs if a report is attributed
// to the tasks running when it arrives instead of when it was measured.
TEST_F(InterferenceTest, LateReportIsAttributedToTasksRunningThen) {
  Steps(-200, 0, 0.8);
  model_.OnStarted(At(0), "a", Task("loud"), false);
  model_.OnStopped(At(60), "a", Task("loud"));
  model_.OnStarted(At(60), "a", Task("calm"), false);
  for (int64_t measured = 10; measured < 60; measured += 10) {
    for (const InterferenceAction& action :
         Report(measured + 60, measured, 1.6)) {
      EXPECT_NE(action.task.job(), "calm");
    }
  }
  EXPECT_GT(Slowdown(120, "loud"), 1.3);
  EXPECT_LT(Slowdown(120, "calm"), 1.02);
}

// A window must be used only once. A worker repeats the service's p99 in the
// report of each task; counting each repetition as an observation would make
// noise trigger steps at once.
TEST_F(InterferenceTest, RepeatedWindowIsLearnedOnce) {
  model_.OnStarted(At(0), "a", Task("loud"), false);
  Report(40, 10, 1.6);
  const double once = Slowdown(40, "loud");
  for (int repeat = 0; repeat < 20; ++repeat) {
    Report(40, 10, 1.6);
  }
  EXPECT_EQ(Slowdown(40, "loud"), once);
}

TEST_F(InterferenceTest, TooOldReportIsIgnored) {
  model_.OnStarted(At(0), "a", Task("loud"), false);
  Report(400, 10, 3);
  EXPECT_EQ(Slowdown(400, "loud"), 1);
}

TEST_F(InterferenceTest, TasksNamedByTheWorkerCountAfterATakeover) {
  schema::UsageReport report;
  report.set_service_p99_us(2 * kTargetUs);
  *report.add_beside() = Task("loud");
  model_.OnReport(At(40), At(10), "a", report);
  EXPECT_GT(Slowdown(40, "loud"), 1.05);
}

TEST_F(InterferenceTest, DecaysWithoutReports) {
  Steps(-200, 0, 0.8);
  model_.OnStarted(At(0), "a", Task("loud"), false);
  Steps(10, 100, 1.2);
  model_.OnStopped(At(100), "a", Task("loud"));
  const double fresh = Slowdown(130, "loud");
  EXPECT_GT(fresh, 1.2);
  EXPECT_LT(Slowdown(130 + 7200, "loud"), 1 + (fresh - 1) * 0.6);
}

// Of two jobs that run together, the slowdown caused by the new one is not
// attributed to the one whose effect is already known.
TEST_F(InterferenceTest, AttributesSlowdownByUncertainty) {
  Steps(-200, 0, 0.8);
  model_.OnStarted(At(0), "a", Task("calm"), false);
  Steps(0, 300, 0.8);
  model_.OnStarted(At(300), "a", Task("loud"), false);
  Steps(310, 400, 1.4);
  EXPECT_GT(Slowdown(430, "loud"), 1.3);
  EXPECT_LT(Slowdown(430, "calm"), 1.1);
}

// A job with a known effect is excluded from instances whose service is near
// its target. It is not excluded where the service is well below its target,
// and not permanently where reports have stopped.
TEST_F(InterferenceTest, PlacementCostFollowsTheLoad) {
  Steps(-200, 0, 0.8);
  model_.OnStarted(At(0), "a", Task("loud"), false);
  Steps(10, 100, 1.2);
  model_.OnStopped(At(100), "a", Task("loud"));
  const auto cost = [&](int64_t now, const std::string& job) -> double {
    return model_.PlacementCost(At(now), "a", "coop", job);
  };
  Steps(110, 200, 0.95);
  EXPECT_EQ(cost(230, "loud"), std::numeric_limits<double>::infinity());
  EXPECT_EQ(cost(230, "calm"), 0);
  EXPECT_LT(cost(230 + 600, "loud"), 1);
  // The peak of 0.95 decays only over hours.
  Steps(1000, 9000, 0.5);
  EXPECT_LT(cost(9030, "loud"), 1);
}

// A task must not be throttled and unthrottled with every report. The p99
// rises, falls by throttling and stays near the target. The failure occurs if
// both directions use the same threshold and no time must pass between the
// steps.
TEST_F(InterferenceTest, HysteresisKeepsThrottled) {
  Steps(-200, 0, 0.85);
  model_.OnStarted(At(0), "a", Task("loud"), false);
  EXPECT_THAT(Steps(10, 60, 1.3),
              ::testing::ElementsAre(InterferenceStep::kThrottle));
  EXPECT_THAT(Steps(100, 400, 0.97), ::testing::IsEmpty());
  // Below the threshold for reverting steps, but not with "loud" unthrottled.
  EXPECT_THAT(Steps(400, 500, 0.9), ::testing::IsEmpty());
  const auto released = Steps(500, 700, 0.5);
  EXPECT_THAT(released, ::testing::ElementsAre(InterferenceStep::kUnthrottle));
}

TEST_F(InterferenceTest, HoldsBetweenAStepAndItsOpposite) {
  Steps(-200, 0, 0.85);
  model_.OnStarted(At(0), "a", Task("loud"), false);
  ASSERT_THAT(Steps(10, 20, 1.2), ::testing::SizeIs(1));
  EXPECT_THAT(Steps(20, 40, 0.3), ::testing::IsEmpty());
  EXPECT_THAT(Steps(40, 60, 0.3),
              ::testing::ElementsAre(InterferenceStep::kUnthrottle));
}

// A load wave for which throttling is not sufficient: the task is throttled
// first and moved after the wait.
struct WaveCase {
  std::string name;
  schema::PartnerRules rules;
  bool costly = false;
  // Duration of the wave in seconds, and whether the task is moved at its end.
  int64_t lasts = 0;
  bool moved = false;
};

class WaveTest : public InterferenceTest,
                 public ::testing::WithParamInterface<WaveCase> {};

TEST_P(WaveTest, ThrottlesThenMoves) {
  const WaveCase& row = GetParam();
  model_.SetRules("coop", row.rules);
  Steps(-200, 0, 0.8);
  model_.OnStarted(At(0), "a", Task("loud"), row.costly);
  const std::vector<InterferenceStep> steps = Steps(10, row.lasts, 2.0);
  ASSERT_FALSE(steps.empty());
  EXPECT_EQ(steps.front(), InterferenceStep::kThrottle);
  EXPECT_EQ(steps.back() == InterferenceStep::kMove, row.moved);
  EXPECT_LE(steps.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    Weights,
    WaveTest,
    ::testing::Values(
        WaveCase{"TailMovesAfterAMinute", Weights(6, 2, 2), false, 120, true},
        WaveCase{"TailNotAtOnce", Weights(6, 2, 2), false, 60, false},
        WaveCase{"EvictionsWaitLonger", Weights(2, 4, 4), false, 120, false},
        WaveCase{"EvictionsMoveInTheEnd", Weights(2, 4, 4), false, 400, true},
        WaveCase{"CostlyStays", Weights(2, 4, 4), true, 400, false}),
    [](const auto& info) { return info.param.name; });

// A throttled task must not be moved when throttling was effective. After the
// task is throttled, reports arrive that are two minutes old. The failure
// occurs if a measurement from before a step is taken as the result of that
// step.
TEST_F(InterferenceTest, ReportFromBeforeTheStepMovesNoTask) {
  model_.SetRules("coop", Weights(6, 2, 2));
  Steps(-200, 0, 0.8);
  model_.OnStarted(At(0), "a", Task("loud"), false);
  ASSERT_THAT(Steps(10, 20, 2.0),
              ::testing::ElementsAre(InterferenceStep::kThrottle));
  for (int64_t measured = 20; measured < 40; measured += 4) {
    EXPECT_THAT(Report(measured + 130, measured, 2.0), ::testing::IsEmpty());
  }
}

// No step is taken against a task when the service is slow because of its own
// load.
TEST_F(InterferenceTest, OwnLoadThrottlesNoTask) {
  model_.OnStarted(At(0), "a", Task("calm"), false);
  Steps(0, 600, 0.8);
  model_.OnStopped(At(600), "a", Task("calm"));
  Steps(640, 900, 1.5);
  model_.OnStarted(At(930), "a", Task("calm", 1), false);
  EXPECT_THAT(Steps(940, 1200, 1.5), ::testing::IsEmpty());
}

}  // namespace
}  // namespace rhubarbhaven::testing

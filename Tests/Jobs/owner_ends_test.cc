// Tests of an owner that learns of a run's end and of its order's result
// separately.

#include <gtest/gtest.h>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr uint64_t kEnd = 1;

class OwnerEndsTest : public JobOwnerTest {
 protected:
  // Starts one task on agent-0.
  auto StartTask() -> StartOrder {
    Begin();
    PutJob({Step(1)});
    Report("agent-0", ReportOf("agent-0"));
    return starts_["agent-0"].begin()->second;
  }

  static auto WithResult(AgentReport report,
                         const StartOrder& start,
                         OrderOutcome outcome,
                         uint64_t after_end) -> AgentReport {
    auto* result = report.add_results();
    result->set_order(start.order());
    result->set_outcome(outcome);
    result->set_after_end(after_end);
    return report;
  }

  static auto WithEnd(AgentReport report, const StartOrder& start, RunEnd end)
      -> AgentReport {
    auto* row = report.add_ended();
    row->set_number(kEnd);
    *row->mutable_task() = start.task();
    row->set_run(start.run());
    row->set_end(end);
    return report;
  }

  // A report without a listing: the worker does not answer at present.
  static auto WithoutListing(AgentReport report) -> AgentReport {
    report.set_complete(false);
    return report;
  }

  auto WaitForReplacement() -> void {
    now_ += milliseconds(600);
    owner_.Tick(now_);
  }

  auto Decisions(const std::string& what) const -> std::size_t {
    return std::count_if(decisions_.begin(), decisions_.end(),
                         [&what](const OwnerDecision& decision) -> bool {
                           return decision.what == what;
                         });
  }
};

struct ResultCase {
  std::string name;
  OrderOutcome outcome = ORDER_RUN_OVER;
  // Whether a report with the result alone comes first.
  bool result_first = true;
  // As stated by the agent; zero from agents of versions without the field.
  uint64_t after_end = kEnd;
};

class ResultBesideEndTest : public OwnerEndsTest,
                            public testing::WithParamInterface<ResultCase> {};

// Guards against a task that is done and starts again: the report with the end
// of its run is lost, and the next one has only the result that the run is
// over, since the worker does not answer.
TEST_P(ResultBesideEndTest, TaskThatIsDoneDoesNotStartAgain) {
  const auto start = StartTask();
  const auto& [name, outcome, result_first, after_end] = GetParam();
  if (result_first) {
    Report("agent-0", WithoutListing(WithResult(ReportOf("agent-0"), start,
                                                outcome, after_end)));
    WaitForReplacement();
  }
  Report("agent-0",
         WithEnd(WithResult(ReportOf("agent-0"), start, outcome, after_end),
                 start, RUN_DONE));
  StoreBatch();
  WaitForReplacement();
  EXPECT_EQ(Decisions("place"), 1U);
  EXPECT_EQ(Decisions("end_ignored"), 0U);
  EXPECT_EQ(fold_.Find(kJobId)->state(), JOB_COMPLETED);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ResultBesideEndTest,
    testing::Values(
        ResultCase{"run_over", ORDER_RUN_OVER},
        ResultCase{"revoked_start", ORDER_REFUSED},
        ResultCase{"outdated_start", ORDER_OUTDATED},
        ResultCase{"in_one_report", ORDER_RUN_OVER, /*result_first=*/false},
        ResultCase{"in_one_report_of_an_earlier_version", ORDER_RUN_OVER,
                   /*result_first=*/false, /*after_end=*/0}),
    [](const auto& info) { return info.param.name; });

// Guards against a task that waits for good for an end that can't come: the
// lease of its worker has expired, so that no end of its run counts.
TEST_F(OwnerEndsTest, ResultOfALapsedWorkerAwaitsNoEnd) {
  const auto start = StartTask();
  auto report = WithoutListing(
      WithResult(ReportOf("agent-0"), start, ORDER_RUN_OVER, kEnd));
  report.set_worker_silent(true);
  Report("agent-0", report);
  WaitForReplacement();
  EXPECT_EQ(Decisions("start_refused"), 0U);
  report.set_worker_lapsed(true);
  report.set_sent_us(++sent_us_);
  Report("agent-0", report);
  EXPECT_EQ(Decisions("start_refused"), 1U);
}

// Guards against a task that starts once more after an end that is acknowledged
// but does not count, from an agent of a version whose results name no end.
TEST_F(OwnerEndsTest, EndOfAnUnknownRunCountsWhileTheLeaseHolds) {
  const auto start = StartTask();
  Report("agent-0", WithoutListing(WithResult(ReportOf("agent-0"), start,
                                              ORDER_RUN_OVER, 0)));
  Report("agent-0", WithEnd(ReportOf("agent-0"), start, RUN_DONE));
  StoreBatch();
  WaitForReplacement();
  EXPECT_EQ(Decisions("end_of_unknown_run"), 1U);
  EXPECT_EQ(Decisions("place"), 1U);
  EXPECT_EQ(fold_.Find(kJobId)->state(), JOB_COMPLETED);
}

// Guards against an end that counts although the task was started elsewhere
// after the lease of its worker had expired.
TEST_F(OwnerEndsTest, EndOfALostRunDoesNotCount) {
  const auto start = StartTask();
  Report("agent-0", Started("agent-0", 10));
  auto lapsed = WithoutListing(ReportOf("agent-0"));
  lapsed.set_worker_lapsed(true);
  Report("agent-0", lapsed);
  Report("agent-1", ReportOf("agent-1"));
  Report("agent-0", WithEnd(ReportOf("agent-0"), start, RUN_DONE));
  StoreBatch();
  EXPECT_EQ(Decisions("end_ignored"), 1U);
  EXPECT_NE(fold_.Find(kJobId)->state(), JOB_COMPLETED);
}

struct EarlyOccurrenceCase {
  std::string name;
  // Whether the run of the earlier owner has ended when this one begins.
  bool ended = false;
};

class EarlyOccurrenceTest
    : public OwnerEndsTest,
      public testing::WithParamInterface<EarlyOccurrenceCase> {
 protected:
  static auto TaskOf(uint32_t index) -> TaskName {
    TaskName task;
    task.set_job(kJobId);
    task.set_index(index);
    return task;
  }

  auto PassTime(milliseconds time) -> void {
    wall_time_ += time;
    now_ += time;
    owner_.Tick(now_);
  }
};

// Guards against an occurrence whose tasks run twice: the clock of the owner
// before was ahead, and its run ends, or is found, before the occurrence is due
// by the clock of this one.
TEST_P(EarlyOccurrenceTest, TaskOfAnEarlierOwnerDoesNotStartAgain) {
  PutJob({Step(2)}, /*occurrences=*/2);
  Begin();
  auto report = ReportOf("agent-0");
  constexpr uint64_t kEarlierRun = 5;
  if (GetParam().ended) {
    auto* end = report.add_ended();
    end->set_number(kEnd);
    *end->mutable_task() = TaskOf(0);
    end->set_run(kEarlierRun);
    end->set_end(RUN_DONE);
  } else {
    auto* row = report.add_running();
    *row->mutable_task() = TaskOf(0);
    row->set_run(kEarlierRun);
  }
  Report("agent-0", report);
  // The first occurrence is due at 1,000 ms.
  for (int passed = 0; passed < 4; ++passed) {
    Report("agent-1", ReportOf("agent-1"));
    PassTime(milliseconds(240));
  }
  EXPECT_EQ(Starts(), 0U);
  EXPECT_TRUE(stops_.empty());
  PassTime(milliseconds(60));
  ASSERT_EQ(Starts(), 1U);
  for (const auto& [agent, starts] : starts_) {
    for (const auto& [number, start] : starts) {
      EXPECT_EQ(start.task().index(), 1U);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         EarlyOccurrenceTest,
                         testing::Values(EarlyOccurrenceCase{"ended", true},
                                         EarlyOccurrenceCase{"running", false}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

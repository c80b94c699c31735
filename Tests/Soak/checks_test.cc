#include "Tests/Soak/checks.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbhaven::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kJob[] = "b000000000000001";

auto FirstTask() -> jobs::TaskName {
  jobs::TaskName task;
  task.set_job(kJob);
  return task;
}

auto SubmitWith(Checks* checks, unsigned status) -> void {
  checks->SubmitSent(kJob);
  checks->SubmitAnswered(kJob, status);
}

auto QueryAfter(Checks* checks, seconds after, unsigned status) -> void {
  checks->StateAnswered(kJob, 0, Clock::now() + after, status,
                        R"({"State":"running"})");
}

struct CheckCase {
  std::string name;
  std::function<auto(Checks*)->void> act;
  // Guarantees that the actions violate.
  std::vector<Guarantee> violations;
};

class ChecksTest : public testing::TestWithParam<CheckCase> {};

// Guards against checks that miss a violation or report allowed behaviour as
// one.
TEST_P(ChecksTest, ReportsTheViolatedGuarantee) {
  FaultFreePeriods fault_free;
  Checks checks(Clock::now(), &fault_free);
  GetParam().act(&checks);
  std::vector<Guarantee> violations;
  for (const auto& item : checks.violations()) {
    violations.push_back(item.guarantee);
  }
  EXPECT_EQ(violations, GetParam().violations);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ChecksTest,
    testing::Values(CheckCase{"accepted_job_unknown_after_the_bound",
                              [](Checks* checks) -> void {
                                SubmitWith(checks, 200);
                                QueryAfter(checks, seconds(4), 410);
                              },
                              {Guarantee::kKnown}},
                    CheckCase{"accepted_job_unknown_within_the_bound",
                              [](Checks* checks) -> void {
                                SubmitWith(checks, 200);
                                QueryAfter(checks, seconds(2), 410);
                              },
                              {}},
                    CheckCase{"entry_does_not_answer_at_the_end",
                              [](Checks* checks) -> void {
                                checks->ExpectKnown(kJob, 0, /*known=*/false);
                              },
                              {Guarantee::kKnown}},
                    CheckCase{"runs_before_it_is_refused",
                              [](Checks* checks) -> void {
                                checks->SubmitSent(kJob);
                                checks->Started("worker-0", FirstTask(), 1);
                                checks->SubmitAnswered(kJob, 503);
                              },
                              {Guarantee::kRejectedNeverRuns}},
                    CheckCase{"runs_after_it_was_refused",
                              [](Checks* checks) -> void {
                                SubmitWith(checks, 503);
                                checks->Started("worker-0", FirstTask(), 1);
                              },
                              {Guarantee::kRejectedNeverRuns}},
                    CheckCase{"runs_after_a_refusal_and_no_answer",
                              [](Checks* checks) -> void {
                                SubmitWith(checks, 0);
                                SubmitWith(checks, 503);
                                checks->Started("worker-0", FirstTask(), 1);
                              },
                              {}},
                    CheckCase{"cancelled_and_running_after_the_bound",
                              [](Checks* checks) -> void {
                                SubmitWith(checks, 200);
                                checks->CancelAnswered(kJob, 1, 410);
                                QueryAfter(checks, seconds(5), 200);
                              },
                              {Guarantee::kCancelled}},
                    CheckCase{"cancel_was_not_acknowledged",
                              [](Checks* checks) -> void {
                                SubmitWith(checks, 200);
                                checks->CancelAnswered(kJob, 1, 503);
                                QueryAfter(checks, seconds(5), 200);
                              },
                              {}},
                    CheckCase{"runs_twice",
                              [](Checks* checks) -> void {
                                checks->DuplicateRunSeen(
                                    "b000000000000001.0.0.0 runs twice");
                              },
                              {Guarantee::kRunsOnce}},
                    CheckCase{"short_job_is_not_over",
                              [](Checks* checks) -> void {
                                SubmitWith(checks, 200);
                                checks->ExpectOver(kJob);
                              },
                              {Guarantee::kCompletes}},
                    CheckCase{"daemon_is_gone",
                              [](Checks* checks) -> void {
                                checks->DaemonEnded("entry-0");
                              },
                              {Guarantee::kStaysUp}}),
    [](const auto& info) -> std::string { return info.param.name; });

enum class Late { kStart, kAnswer };

struct CancelCase {
  std::string name;
  Late late = Late::kStart;
  // From the acknowledged cancel to the start or the question.
  milliseconds after_cancel{0};
  // Fault that is active from the cancel on.
  std::optional<FaultKind> fault = std::nullopt;
  // From the end of the fault to the start or the question; empty if the fault
  // is still active.
  std::optional<milliseconds> after_fault = std::nullopt;
  bool violates = false;
};

class CancelBoundTest : public testing::TestWithParam<CancelCase> {};

// Guards against excuses that hide late starts, and against checks that deny
// the excuses of other faults.
TEST_P(CancelBoundTest, IsExcusedOnlyByFaultsThatAllowIt) {
  TimePoint now = Clock::now();
  FaultFreePeriods fault_free;
  Checks checks(now, &fault_free, [&now]() -> TimePoint { return now; });
  SubmitWith(&checks, 200);
  checks.CancelAnswered(kJob, 1, 200);
  const TimePoint late_at = now + GetParam().after_cancel;
  if (GetParam().fault) {
    fault_free.Begin(*GetParam().fault, now);
  }
  if (GetParam().after_fault) {
    fault_free.End(*GetParam().fault, late_at - *GetParam().after_fault);
  }
  now = late_at;
  if (GetParam().late == Late::kStart) {
    checks.Started("worker-0", FirstTask(), 1);
  } else {
    checks.StateAnswered(kJob, 0, now, 200, R"({"State":"running"})");
  }
  EXPECT_EQ(checks.violations().size(), GetParam().violates ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    CancelBoundTest,
    testing::Values(
        CancelCase{.name = "start_within_the_bound",
                   .after_cancel = milliseconds(2900)},
        CancelCase{.name = "start_after_the_bound",
                   .after_cancel = milliseconds(3100),
                   .violates = true},
        CancelCase{.name = "start_while_the_owner_is_slow",
                   .after_cancel = milliseconds(3100),
                   .fault = FaultKind::kSlowProcess,
                   .violates = true},
        CancelCase{.name = "start_within_the_bound_while_the_owner_is_slow",
                   .after_cancel = milliseconds(2900),
                   .fault = FaultKind::kSlowProcess},
        CancelCase{.name = "start_while_orders_are_slow",
                   .after_cancel = milliseconds(3100),
                   .fault = FaultKind::kSlowOrders,
                   .violates = true},
        CancelCase{.name = "start_while_an_entry_is_frozen",
                   .after_cancel = milliseconds(9000),
                   .fault = FaultKind::kFreeze},
        CancelCase{.name = "start_while_a_link_to_the_log_is_slow",
                   .after_cancel = milliseconds(9000),
                   .fault = FaultKind::kDelayRequests},
        CancelCase{.name = "start_soon_after_another_fault",
                   .after_cancel = milliseconds(9000),
                   .fault = FaultKind::kFreeze,
                   .after_fault = milliseconds(3900)},
        CancelCase{.name = "start_long_after_another_fault",
                   .after_cancel = milliseconds(9000),
                   .fault = FaultKind::kFreeze,
                   .after_fault = milliseconds(4100),
                   .violates = true},
        CancelCase{.name = "answer_within_the_bound",
                   .late = Late::kAnswer,
                   .after_cancel = milliseconds(2900)},
        CancelCase{.name = "answer_after_the_bound",
                   .late = Late::kAnswer,
                   .after_cancel = milliseconds(3100),
                   .violates = true},
        CancelCase{.name = "answer_while_the_owner_is_slow",
                   .late = Late::kAnswer,
                   .after_cancel = milliseconds(9000),
                   .fault = FaultKind::kSlowProcess},
        CancelCase{.name = "answer_while_orders_are_slow",
                   .late = Late::kAnswer,
                   .after_cancel = milliseconds(9000),
                   .fault = FaultKind::kSlowOrders},
        CancelCase{.name = "answer_soon_after_the_owner_was_slow",
                   .late = Late::kAnswer,
                   .after_cancel = milliseconds(9000),
                   .fault = FaultKind::kSlowProcess,
                   .after_fault = milliseconds(3900)},
        CancelCase{.name = "answer_long_after_the_owner_was_slow",
                   .late = Late::kAnswer,
                   .after_cancel = milliseconds(9000),
                   .fault = FaultKind::kSlowProcess,
                   .after_fault = milliseconds(4100),
                   .violates = true}),
    [](const auto& info) -> std::string { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::soak

#include "Tests/Soak/checks.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace rhubarbhaven::soak {
namespace {

using std::chrono::seconds;

constexpr char kJob[] = "b000000000000001";

auto FirstTask() -> jobs::TaskName {
  jobs::TaskName task;
  task.set_job(kJob);
  return task;
}

auto HandInWith(Checks* checks, unsigned status) -> void {
  checks->HandedIn(kJob);
  checks->HandInAnswered(kJob, status);
}

auto AskLater(Checks* checks, seconds after, unsigned status) -> void {
  checks->StateAnswered(kJob, 0, Clock::now() + after, status,
                        R"({"State":"running"})");
}

struct CheckCase {
  std::string name;
  std::function<auto(Checks*)->void> act;
  // Promises that are broken by it.
  std::vector<Promise> broken;
};

class ChecksTest : public testing::TestWithParam<CheckCase> {};

// Guards against a check that passes over what it is there for, or blames what
// is allowed.
TEST_P(ChecksTest, NamesThePromise) {
  Calm calm;
  Checks checks(Clock::now(), &calm);
  GetParam().act(&checks);
  std::vector<Promise> broken;
  for (const auto& item : checks.broken()) {
    broken.push_back(item.promise);
  }
  EXPECT_EQ(broken, GetParam().broken);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ChecksTest,
    testing::Values(CheckCase{"accepted_job_unknown_after_the_bound",
                              [](Checks* checks) -> void {
                                HandInWith(checks, 200);
                                AskLater(checks, seconds(4), 410);
                              },
                              {Promise::kKnown}},
                    CheckCase{"accepted_job_unknown_within_the_bound",
                              [](Checks* checks) -> void {
                                HandInWith(checks, 200);
                                AskLater(checks, seconds(2), 410);
                              },
                              {}},
                    CheckCase{"entry_does_not_answer_at_the_end",
                              [](Checks* checks) -> void {
                                checks->ExpectKnown(kJob, 0, /*known=*/false);
                              },
                              {Promise::kKnown}},
                    CheckCase{"runs_before_it_is_refused",
                              [](Checks* checks) -> void {
                                checks->HandedIn(kJob);
                                checks->Started("worker-0", FirstTask(), 1);
                                checks->HandInAnswered(kJob, 503);
                              },
                              {Promise::kRefused}},
                    CheckCase{"runs_after_it_was_refused",
                              [](Checks* checks) -> void {
                                HandInWith(checks, 503);
                                checks->Started("worker-0", FirstTask(), 1);
                              },
                              {Promise::kRefused}},
                    CheckCase{"runs_after_a_refusal_and_no_answer",
                              [](Checks* checks) -> void {
                                HandInWith(checks, 0);
                                HandInWith(checks, 503);
                                checks->Started("worker-0", FirstTask(), 1);
                              },
                              {}},
                    CheckCase{"cancelled_and_running_after_the_bound",
                              [](Checks* checks) -> void {
                                HandInWith(checks, 200);
                                checks->CancelAnswered(kJob, 1, 410);
                                AskLater(checks, seconds(5), 200);
                              },
                              {Promise::kCancelled}},
                    CheckCase{"cancel_was_not_acknowledged",
                              [](Checks* checks) -> void {
                                HandInWith(checks, 200);
                                checks->CancelAnswered(kJob, 1, 503);
                                AskLater(checks, seconds(5), 200);
                              },
                              {}},
                    CheckCase{"runs_twice",
                              [](Checks* checks) -> void {
                                checks->TwiceSeen(
                                    "b000000000000001.0.0.0 runs twice");
                              },
                              {Promise::kOnce}},
                    CheckCase{"short_job_is_not_over",
                              [](Checks* checks) -> void {
                                HandInWith(checks, 200);
                                checks->ExpectOver(kJob);
                              },
                              {Promise::kCompletes}},
                    CheckCase{"daemon_is_gone",
                              [](Checks* checks) -> void {
                                checks->DaemonEnded("entry-0");
                              },
                              {Promise::kAlive}}),
    [](const auto& info) -> std::string { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::soak

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <thread>

#include "Tests/Support/deployment.h"

namespace rhubarbhaven::test {
namespace {

constexpr char kPath[] = "/call/rufisque/results/rating?ms=300";
constexpr char kSlowPath[] = "/call/rufisque/results/rating?ms=1500";

auto VerdictOf(const HttpClientAnswer& answer) -> std::string {
  return HeaderOf(answer.http, "rhubarbhaven-verdict");
}

// Guards against a request that runs twice, such as a double charge, because
// entries have no record of each other's runs: the caller repeats its request
// through another entry while the first is in progress and after it is done.
TEST(Once, RepeatedThroughAnotherEntry) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  HttpClientAnswer first;
  std::thread caller([&deployment, &first]() -> void {
    first = deployment.Post(0, kPath, "bill-1");
  });
  const auto during = deployment.Post(1, kPath, "bill-1");
  caller.join();
  const auto after = deployment.Post(1, kPath, "bill-1");
  EXPECT_EQ(VerdictOf(first), "answered");
  EXPECT_EQ(during.http.body(), first.http.body());
  EXPECT_EQ(after.http.body(), first.http.body());
  EXPECT_EQ(deployment.CountRuns("bill-1"), 1);
}

// Guards against a request that runs again because the record of its run is
// lost with a process: the request runs, every agent and entry is killed and
// restarted, and the caller repeats the request.
TEST(Once, RepeatedAfterEveryProcessRestarted) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  const auto first = deployment.Post(0, kPath, "bill-2");
  ASSERT_EQ(VerdictOf(first), "answered");
  // The outcome is written to the log asynchronously; the entry that received
  // the answer must not be killed before the outcome is stored.
  ASSERT_TRUE(WaitFor(
      [&deployment, &first]() -> bool {
        return deployment.Post(1, kPath, "bill-2").http.body() ==
               first.http.body();
      },
      kTestTimeout));
  for (const char* name :
       {"agent-0", "agent-1", "agent-2", "entry-0", "entry-1"}) {
    deployment.process(name).Kill();
    deployment.Start(name);
  }
  ASSERT_TRUE(deployment.WaitReady(0, 3));
  HttpClientAnswer again;
  EXPECT_TRUE(WaitFor(
      [&deployment, &again]() -> bool {
        again = deployment.Post(0, kPath, "bill-2");
        return VerdictOf(again) == "answered";
      },
      kTestTimeout));
  EXPECT_EQ(again.http.body(), first.http.body());
  EXPECT_EQ(deployment.CountRuns("bill-2"), 1);
}

// Guards against a request that runs a second time on another agent because a
// lost answer is treated as "not run": the agents are killed during the run,
// and the caller repeats the request through the other entry.
TEST(Once, AgentKilledDuringTheRun) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  HttpClientAnswer first;
  std::thread caller([&deployment, &first]() -> void {
    first =
        deployment.Post(0, "/call/rufisque/results/rating?ms=1500", "bill-3");
  });
  ASSERT_TRUE(WaitFor(
      [&deployment]() -> bool { return deployment.CountRuns("bill-3") == 1; },
      kTestTimeout));
  for (const char* name : {"agent-0", "agent-1", "agent-2"}) {
    deployment.process(name).Kill();
    deployment.Start(name);
  }
  caller.join();
  EXPECT_EQ(VerdictOf(first), "may_have_run");
  ASSERT_TRUE(deployment.WaitReady(1, 3));
  EXPECT_EQ(VerdictOf(deployment.Post(1, kSlowPath, "bill-3")), "may_have_run");
  EXPECT_EQ(deployment.CountRuns("bill-3"), 1);
}

// Guards against an idempotent request that runs without a stored record, and
// so may run twice, or that is delayed instead of rejected, while the log is
// down.
TEST(Once, RejectedAtOnceWhileTheLogIsDown) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  ASSERT_EQ(VerdictOf(deployment.Post(0, kPath, "bill-4")), "answered");
  deployment.process("log").Kill();
  HttpClientAnswer refused;
  EXPECT_TRUE(WaitFor(
      [&deployment, &refused]() -> bool {
        refused = deployment.Post(0, kPath, "bill-5");
        return HeaderOf(refused.http, "rhubarbhaven-reason") ==
               "log_unavailable";
      },
      kTestTimeout));
  EXPECT_EQ(VerdictOf(refused), "not_run");
  EXPECT_NE(HeaderOf(refused.http, "retry-after"), "");
  EXPECT_EQ(deployment.CountRuns("bill-5"), 0);
}

// Guards against a request that runs twice, or is reported as "not run" after
// it ran, because an append is sent again under another sequence number: the
// log's answers to appends are lost.
TEST(Once, AppendAnswersLost) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  ASSERT_TRUE(deployment.PostFault("log", "lose_answers=3"));
  for (int i = 0; i < 4; ++i) {
    const std::string key = absl::StrCat("lost-", i);
    const auto answer = deployment.Post(i % 2, kPath, key);
    const int runs = deployment.CountRuns(key);
    EXPECT_LE(runs, 1);
    if (VerdictOf(answer) == "answered") {
      EXPECT_EQ(runs, 1);
    }
    if (VerdictOf(answer) == "not_run") {
      EXPECT_EQ(runs, 0);
    }
  }
}

}  // namespace
}  // namespace rhubarbhaven::test

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

// Symptom: a member is billed twice. Sequence: the caller repeats its request
// through another entry while the first is in progress, and after it is done.
// Cause: entries that do not know of each other's runs.
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
  EXPECT_EQ(deployment.RunsOf("bill-1"), 1);
}

// Symptom: it runs again after a restart. Sequence: the request runs, then
// every agent, or every entry, is killed and started anew; the caller repeats.
// Cause: a memory of runs that dies with a process.
TEST(Once, RepeatedAfterEveryProcessRestarted) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  const auto first = deployment.Post(0, kPath, "bill-2");
  ASSERT_EQ(VerdictOf(first), "answered");
  // The outcome reaches the log in the background; the entry that saw the
  // answer dies only once it is there.
  ASSERT_TRUE(WaitFor(
      [&deployment, &first]() -> bool {
        return deployment.Post(1, kPath, "bill-2").http.body() ==
               first.http.body();
      },
      kPatience));
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
      kPatience));
  EXPECT_EQ(again.http.body(), first.http.body());
  EXPECT_EQ(deployment.RunsOf("bill-2"), 1);
}

// Symptom: it runs a second time elsewhere. Sequence: the agent that runs it
// is killed in the middle; the caller repeats through both entries. Cause: a
// lost answer taken for "not run".
TEST(Once, AgentKilledDuringTheRun) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  HttpClientAnswer first;
  std::thread caller([&deployment, &first]() -> void {
    first =
        deployment.Post(0, "/call/rufisque/results/rating?ms=1500", "bill-3");
  });
  ASSERT_TRUE(WaitFor(
      [&deployment]() -> bool { return deployment.RunsOf("bill-3") == 1; },
      kPatience));
  for (const char* name : {"agent-0", "agent-1", "agent-2"}) {
    deployment.process(name).Kill();
    deployment.Start(name);
  }
  caller.join();
  EXPECT_EQ(VerdictOf(first), "may_have_run");
  ASSERT_TRUE(deployment.WaitReady(1, 3));
  EXPECT_EQ(VerdictOf(deployment.Post(1, kSlowPath, "bill-3")), "may_have_run");
  EXPECT_EQ(deployment.RunsOf("bill-3"), 1);
}

// Symptom: a request may run twice after the log forgot it, or is held back.
// Sequence: the log is down. Cause: running without the record.
TEST(Once, RefusedAtOnceWhileTheLogIsDown) {
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
      kPatience));
  EXPECT_EQ(VerdictOf(refused), "not_run");
  EXPECT_NE(HeaderOf(refused.http, "retry-after"), "");
  EXPECT_EQ(deployment.RunsOf("bill-5"), 0);
}

// Symptom: it runs twice, or the caller is told "not run" after it ran.
// Sequence: the log's answers to appends are lost. Cause: an append sent again
// under another number.
TEST(Once, AppendAnswersLost) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  ASSERT_TRUE(deployment.PostFault("log", "lose_answers=3"));
  for (int i = 0; i < 4; ++i) {
    const std::string key = absl::StrCat("lost-", i);
    const auto answer = deployment.Post(i % 2, kPath, key);
    const int runs = deployment.RunsOf(key);
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

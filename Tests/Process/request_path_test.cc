#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <thread>

#include "Tests/Support/deployment.h"

namespace rhubarbhaven::test {
namespace {

using std::chrono::milliseconds;

auto VerdictOf(const HttpClientAnswer& answer) -> std::string {
  return HeaderOf(answer.http, "rhubarbhaven-verdict");
}

// One request with an id of its own; true if the answer is whole and its own.
auto AskOwn(Deployment& deployment, int entry, const std::string& id) -> bool {
  HttpClientRequest request;
  request.url = "/call/rufisque/results/coupon?ms=2";
  auto& header = request.headers.emplace_back();
  header.set_name("Rhubarbhaven-Request-Id");
  header.set_value(id);
  const auto answer = deployment.Call(entry, std::move(request));
  return VerdictOf(answer) == "answered" &&
         absl::StrContains(answer.http.body(), "id=" + id + " ");
}

// Symptom: a caller gets another caller's answer. Sequence: many callers at
// once through two entries. Cause it guards against: answers matched by
// connection or order instead of by attempt.
TEST(RequestPath, EveryCallerGetsItsOwnAnswer) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  constexpr int kThreads = 8;
  constexpr int kRequests = 50;
  std::atomic<int> own = 0;
  std::vector<std::thread> callers;
  callers.reserve(kThreads);
  for (int caller = 0; caller < kThreads; ++caller) {
    callers.emplace_back([&deployment, &own, caller]() -> void {
      for (int i = 0; i < kRequests; ++i) {
        own += AskOwn(deployment, caller % 2, absl::StrCat(caller, "-", i));
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(own, kThreads * kRequests);
}

// Symptom: callers see errors while one agent of three is gone. Sequence: an
// agent is killed under load. Cause: repeatable requests not tried elsewhere.
TEST(RequestPath, AgentKilledUnderLoad) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  int own = 0;
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    if (i == kRequests / 4) {
      deployment.process("agent-1").Kill();
    }
    own += AskOwn(deployment, i % 2, absl::StrCat("k", i));
  }
  // At most the requests in progress at the kill may be unknown.
  EXPECT_GE(own, kRequests - 2);
  EXPECT_TRUE(WaitFor(
      [&deployment]() -> bool {
        return deployment.EndpointsInState(0, "ready") == 2;
      },
      kPatience));
}

// Symptom: a request runs long after its caller was told that it did not.
// Sequence: an agent is frozen, requests pile up in its socket, it wakes.
// Cause: an offer that is not recognised as stale on the agent's own clock.
TEST(RequestPath, WokenAgentRunsNothingStale) {
  Deployment deployment({.agents = 1, .workers = false});
  ASSERT_TRUE(deployment.StartAll());
  ASSERT_TRUE(AskOwn(deployment, 0, "before"));
  deployment.process("agent-0").Freeze();
  std::set<std::string> not_run;
  for (int i = 0; i < 5; ++i) {
    const std::string key = absl::StrCat("stale-", i);
    HttpClientRequest request;
    request.method = "POST";
    request.url = "/call/rufisque/results/rating";
    for (const auto& [name, value] :
         {std::pair("Idempotency-Key", key),
          std::pair("Rhubarbhaven-Deadline-Ms", std::string("700"))}) {
      auto& header = request.headers.emplace_back();
      header.set_name(name);
      header.set_value(value);
    }
    const auto answer = deployment.Call(0, std::move(request));
    ASSERT_NE(VerdictOf(answer), "answered");
    if (VerdictOf(answer) == "not_run") {
      not_run.insert(key);
    }
  }
  // Past the life of every credit, on the agent's clock.
  std::this_thread::sleep_for(milliseconds(1500));
  deployment.process("agent-0").Wake();
  ASSERT_TRUE(WaitFor(
      [&deployment]() -> bool { return AskOwn(deployment, 0, "after"); },
      kPatience));
  for (const auto& key : not_run) {
    EXPECT_EQ(deployment.RunsOf(key), 0) << key;
  }
  for (int i = 0; i < 5; ++i) {
    EXPECT_LE(deployment.RunsOf(absl::StrCat("stale-", i)), 1);
  }
}

// Symptom: nobody serves although endpoints are well. Sequence: one entry is
// killed. Cause: endpoints bound to one entry.
TEST(RequestPath, OtherEntryServesWhenOneIsKilled) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  deployment.process("entry-0").Kill();
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(AskOwn(deployment, 1, absl::StrCat("e", i)));
  }
  deployment.Start("entry-0");
  ASSERT_TRUE(deployment.WaitReady(0, 3));
  EXPECT_TRUE(AskOwn(deployment, 0, "again"));
}

// Symptom: requests fail in a platform outage. Sequence: the log goes down,
// then an agent and an entry are started anew. Cause: the request path or
// discovery waits for the log.
TEST(RequestPath, ServesAndDiscoversWhileTheLogIsDown) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  deployment.process("log").Kill();
  deployment.process("agent-2").Kill();
  deployment.process("entry-0").Kill();
  EXPECT_TRUE(AskOwn(deployment, 1, "outage"));
  deployment.Start("agent-2");
  deployment.Start("entry-0");
  // The configuration comes from the other entry.
  ASSERT_TRUE(deployment.WaitReady(0, 3));
  ASSERT_TRUE(deployment.WaitReady(1, 3));
  EXPECT_TRUE(WaitFor(
      [&deployment]() -> bool { return AskOwn(deployment, 0, "learnt"); },
      kPatience));
}

}  // namespace
}  // namespace rhubarbhaven::test

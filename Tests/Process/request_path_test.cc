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

// Sends a request with the given id. Returns whether the complete answer to
// that request was received.
auto ReceivesOwnAnswer(Deployment& deployment, int entry, const std::string& id)
    -> bool {
  HttpClientRequest request;
  request.url = "/call/rufisque/results/coupon?ms=2";
  auto& header = request.headers.emplace_back();
  header.set_name("Rhubarbhaven-Request-Id");
  header.set_value(id);
  const auto answer = deployment.Call(entry, std::move(request));
  return VerdictOf(answer) == "answered" &&
         absl::StrContains(answer.http.body(), "id=" + id + " ");
}

// Guards against a caller that receives another caller's answer because answers
// are matched by connection or order instead of by attempt: many callers send
// requests through two entries concurrently.
TEST(RequestPath, EveryCallerGetsItsOwnAnswer) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  constexpr int kThreads = 8;
  constexpr int kRequests = 50;
  std::atomic<int> own_answers = 0;
  std::vector<std::thread> callers;
  callers.reserve(kThreads);
  for (int caller = 0; caller < kThreads; ++caller) {
    callers.emplace_back([&deployment, &own_answers, caller]() -> void {
      for (int i = 0; i < kRequests; ++i) {
        own_answers += ReceivesOwnAnswer(deployment, caller % 2,
                                         absl::StrCat(caller, "-", i));
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(own_answers, kThreads * kRequests);
}

// Guards against errors for callers when one of three agents is killed under
// load, because repeatable requests are not retried on another agent.
TEST(RequestPath, AgentKilledUnderLoad) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  int own_answers = 0;
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    if (i == kRequests / 4) {
      deployment.process("agent-1").Kill();
    }
    own_answers += ReceivesOwnAnswer(deployment, i % 2, absl::StrCat("k", i));
  }
  // Only requests in progress at the time of the kill may fail.
  EXPECT_GE(own_answers, kRequests - 2);
  EXPECT_TRUE(WaitFor(
      [&deployment]() -> bool {
        return deployment.EndpointsInState(0, "ready") == 2;
      },
      kTestTimeout));
}

// Guards against a request that runs long after its caller was told that it did
// not run, because the agent does not detect by its own clock that an offer is
// stale: an agent is suspended, requests accumulate in its socket, and it is
// resumed.
TEST(RequestPath, ResumedAgentRunsNoStaleRequest) {
  Deployment deployment({.agents = 1, .workers = false});
  ASSERT_TRUE(deployment.StartAll());
  ASSERT_TRUE(ReceivesOwnAnswer(deployment, 0, "before"));
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
  // Longer than the lifetime of every credit, by the agent's clock.
  std::this_thread::sleep_for(milliseconds(1500));
  deployment.process("agent-0").Resume();
  ASSERT_TRUE(WaitFor(
      [&deployment]() -> bool {
        return ReceivesOwnAnswer(deployment, 0, "after");
      },
      kTestTimeout));
  for (const auto& key : not_run) {
    EXPECT_EQ(deployment.CountRuns(key), 0) << key;
  }
  for (int i = 0; i < 5; ++i) {
    EXPECT_LE(deployment.CountRuns(absl::StrCat("stale-", i)), 1);
  }
}

// Guards against endpoints that are bound to one entry: when that entry is
// killed, no requests are served although the endpoints are healthy.
TEST(RequestPath, OtherEntryServesWhenOneIsKilled) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  deployment.process("entry-0").Kill();
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(ReceivesOwnAnswer(deployment, 1, absl::StrCat("e", i)));
  }
  deployment.Start("entry-0");
  ASSERT_TRUE(deployment.WaitReady(0, 3));
  EXPECT_TRUE(ReceivesOwnAnswer(deployment, 0, "again"));
}

// Guards against requests that fail in a platform outage because the request
// path or discovery waits for the log: the log goes down, then an agent and an
// entry are restarted.
TEST(RequestPath, ServesAndDiscoversWhileTheLogIsDown) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  deployment.process("log").Kill();
  deployment.process("agent-2").Kill();
  deployment.process("entry-0").Kill();
  EXPECT_TRUE(ReceivesOwnAnswer(deployment, 1, "outage"));
  deployment.Start("agent-2");
  deployment.Start("entry-0");
  // The configuration comes from the other entry.
  ASSERT_TRUE(deployment.WaitReady(0, 3));
  ASSERT_TRUE(deployment.WaitReady(1, 3));
  EXPECT_TRUE(WaitFor(
      [&deployment]() -> bool {
        return ReceivesOwnAnswer(deployment, 0, "learnt");
      },
      kTestTimeout));
}

}  // namespace
}  // namespace rhubarbhaven::test

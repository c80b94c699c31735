#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <thread>

#include "Tests/Support/deployment.h"

namespace rhubarbhaven::test {
namespace {

// Threads that send requests to both entries until they are stopped. Like a
// load balancer, they skip an entry whose health check fails.
class Callers {
 public:
  explicit Callers(Deployment* deployment) : deployment_(deployment) {
    constexpr int kThreads = 6;
    for (int i = 0; i < kThreads; ++i) {
      threads_.emplace_back([this, i]() -> void { Run(i); });
    }
  }
  Callers(const Callers&) = delete;
  auto operator=(const Callers&) -> Callers& = delete;
  ~Callers() { Stop(); }

  auto Stop() -> void {
    stop_ = true;
    for (auto& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }
  auto answered() const -> int { return answered_; }
  auto failed() const -> int { return failed_; }

 private:
  auto Run(int seed) -> void {
    for (int i = seed; !stop_; ++i) {
      int entry = i % 2;
      constexpr uint32_t kOk = 200;
      if (deployment_->Get(entry, "/health/ready").http.status() != kOk) {
        entry = 1 - entry;
      }
      const auto answer =
          deployment_->Get(entry, "/call/rufisque/results/slow?ms=40");
      const bool ok =
          HeaderOf(answer.http, "rhubarbhaven-verdict") == "answered";
      ++(ok ? answered_ : failed_);
    }
  }

  Deployment* deployment_;
  std::atomic<bool> stop_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> failed_ = 0;
  std::vector<std::thread> threads_;
};

class PlannedStop : public testing::TestWithParam<std::string> {};

// Guards against requests that are cut off, lost or rejected during a planned
// stop (SIGTERM under load) because a process exits, or stops answering, before
// it has finished the requests that it has accepted.
TEST_P(PlannedStop, CutsOffNothing) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  Callers callers(&deployment);
  ASSERT_TRUE(WaitFor([&callers]() -> bool { return callers.answered() > 50; },
                      kTestTimeout));
  deployment.process(GetParam()).Signal(SIGTERM);
  EXPECT_EQ(deployment.process(GetParam()).WaitExit(kTestTimeout), 0);
  const int at_stop = callers.answered();
  ASSERT_TRUE(
      WaitFor([&callers,
               at_stop]() -> bool { return callers.answered() > at_stop + 50; },
              kTestTimeout));
  callers.Stop();
  EXPECT_EQ(callers.failed(), 0);
}

INSTANTIATE_TEST_SUITE_P(Roles,
                         PlannedStop,
                         testing::Values("entry-0", "agent-1"),
                         [](const auto& info) -> std::string {
                           return info.param == "entry-0" ? "Entry" : "Agent";
                         });

// Guards against an endpoint that still receives requests after its agent was
// asked to stop, because entries are notified late or only through the log: the
// agent receives SIGTERM while a long request runs and the log is down.
TEST(PlannedStopOfAgent, GetsNoNewWork) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  deployment.process("log").Kill();
  std::thread slow([&deployment]() -> void {
    const auto answer =
        deployment.Get(0, "/call/rufisque/results/long?ms=1500");
    EXPECT_EQ(HeaderOf(answer.http, "rhubarbhaven-verdict"), "answered");
  });
  deployment.process("agent-0").Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const std::string before = deployment.process("endpoint-0").Output();
  for (int i = 0; i < 60; ++i) {
    deployment.Get(i % 2, "/call/rufisque/results/b");
  }
  EXPECT_EQ(deployment.process("endpoint-0").Output(), before);
  slow.join();
}

}  // namespace
}  // namespace rhubarbhaven::test

// Tests of how many log lines the owner writes when much happens at once.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr int kWorkerCount = 10;
constexpr uint32_t kRunsPerWorker = 50;
constexpr uint32_t kRunCount = kWorkerCount * kRunsPerWorker;
constexpr uint32_t kMillicoresPerRun = 1000;
constexpr std::size_t kMaxTasksPerLine = 20;
// Longer than a lease with its margin.
constexpr seconds kPastTheLease{7};

class OwnerLogTest : public JobOwnerTest {
 protected:
  static auto AgentName(int worker) -> std::string {
    return "agent-" + std::to_string(worker);
  }

  static auto WithCapacityFor(AgentReport report, uint32_t runs)
      -> AgentReport {
    report.mutable_capacity()->set_millicores(runs * kMillicoresPerRun);
    return report;
  }

  // Stores one job whose tasks fill all workers.
  auto FillWorkers() -> void {
    for (int worker = 0; worker < kWorkerCount; ++worker) {
      PutAgent(AgentName(worker));
    }
    PutJob({Step(kRunCount)});
    Begin();
    for (int worker = 0; worker < kWorkerCount; ++worker) {
      Report(AgentName(worker),
             WithCapacityFor(ReportOf(AgentName(worker)), kRunsPerWorker));
    }
    for (uint32_t tick = 0; tick < kRunCount && Starts() < kRunCount; ++tick) {
      owner_.Tick(now_);
    }
    ASSERT_EQ(Starts(), kRunCount);
    for (int worker = 0; worker < kWorkerCount; ++worker) {
      Report(AgentName(worker),
             WithCapacityFor(Started(AgentName(worker), 1), kRunsPerWorker));
    }
    decisions_.clear();
  }

  auto Crash(const std::string& agent) -> void {
    auto report = WithCapacityFor(ReportOf(agent), 0);
    report.set_worker_id("next-life-of-" + agent);
    Report(agent, report);
  }

  auto LeaveAsPlanned(const std::string& agent) -> void {
    AgentReport report;
    report.set_fence(kFence);
    report.set_sent_us(++sent_us_);
    report.set_left_worker_id("life-of-" + agent);
    Report(agent, report);
  }

  auto Lines(const std::string& what) const -> std::vector<OwnerDecision> {
    std::vector<OwnerDecision> lines;
    for (const auto& decision : decisions_) {
      if (decision.what == what) {
        lines.push_back(decision);
      }
    }
    return lines;
  }
};

// Guards against a line for each run: the log's rate limit would suppress such
// lines precisely when many workers are lost at once.
TEST_F(OwnerLogTest, OneLineForEachLostWorkerWithItsCause) {
  constexpr int kCrashCount = 4;
  constexpr int kLeaveCount = 3;
  FillWorkers();
  for (int worker = 0; worker < kCrashCount; ++worker) {
    Crash(AgentName(worker));
  }
  for (int worker = kCrashCount; worker < kCrashCount + kLeaveCount; ++worker) {
    LeaveAsPlanned(AgentName(worker));
  }
  now_ += kPastTheLease;
  owner_.Tick(now_);
  std::map<std::string, std::string> causes;
  std::size_t runs = 0;
  for (const auto& line : Lines("lost")) {
    EXPECT_TRUE(causes.emplace(line.agent, line.why).second) << line.agent;
    EXPECT_EQ(line.some_tasks.size(), kMaxTasksPerLine);
    runs += line.runs;
  }
  EXPECT_EQ(runs, kRunCount);
  ASSERT_EQ(causes.size(), std::size_t{kWorkerCount});
  EXPECT_EQ(causes.at(AgentName(0)), "its worker has crashed");
  EXPECT_EQ(causes.at(AgentName(kCrashCount)), "its worker has left");
  EXPECT_EQ(causes.at(AgentName(kWorkerCount - 1)),
            "its agent does not answer and the lease has expired");
}

// Guards against a line for each run of a large job that is cancelled, and
// against stops that are missing from the line.
TEST_F(OwnerLogTest, OneLineForTheStopsOfACancelledJob) {
  FillWorkers();
  Put(MakeCancellation(kJobId));
  owner_.Tick(now_);
  std::size_t stops = 0;
  for (const auto& [agent, orders] : stops_) {
    stops += orders.size();
  }
  EXPECT_EQ(stops, kRunCount);
  const auto lines = Lines("stop");
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines.front().runs, kRunCount);
  EXPECT_EQ(lines.front().why, "its job was cancelled");
  EXPECT_EQ(lines.front().some_tasks.size(), kMaxTasksPerLine);
}

// Guards against lines about one run that no longer name it.
TEST_F(OwnerLogTest, LineOfOneRunNamesTaskAndRun) {
  PutJob({Step(1)});
  Begin();
  Report("agent-0", ReportOf("agent-0"));
  Report("agent-0", Started("agent-0", 1));
  Crash("agent-0");
  const auto lines = Lines("lost");
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines.front().runs, 1U);
  EXPECT_EQ(lines.front().task.job(), kJobId);
  EXPECT_NE(lines.front().run, 0U);
  EXPECT_TRUE(lines.front().some_tasks.empty());
}

}  // namespace
}  // namespace rhubarbhaven::jobs

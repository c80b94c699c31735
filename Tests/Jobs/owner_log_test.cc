// How many lines the owner writes when much happens at once.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr int kWorkers = 10;
constexpr uint32_t kRunsOfAWorker = 50;
constexpr uint32_t kRuns = kWorkers * kRunsOfAWorker;
constexpr uint32_t kMillicoresOfARun = 1000;
constexpr std::size_t kMostTasksOfALine = 20;
// Longer than a lease with its margin.
constexpr seconds kPastTheLease{7};

class OwnerLogTest : public JobOwnerTest {
 protected:
  static auto AgentName(int worker) -> std::string {
    return "agent-" + std::to_string(worker);
  }

  static auto RoomFor(AgentReport report, uint32_t runs) -> AgentReport {
    report.mutable_capacity()->set_millicores(runs * kMillicoresOfARun);
    return report;
  }

  // One job, whose tasks fill all workers.
  auto FillWorkers() -> void {
    for (int worker = 0; worker < kWorkers; ++worker) {
      PutAgent(AgentName(worker));
    }
    PutJob({Step(kRuns)});
    Begin();
    for (int worker = 0; worker < kWorkers; ++worker) {
      Report(AgentName(worker),
             RoomFor(ReportOf(AgentName(worker)), kRunsOfAWorker));
    }
    for (uint32_t turn = 0; turn < kRuns && Starts() < kRuns; ++turn) {
      owner_.Tick(now_);
    }
    ASSERT_EQ(Starts(), kRuns);
    for (int worker = 0; worker < kWorkers; ++worker) {
      Report(AgentName(worker),
             RoomFor(Started(AgentName(worker), 1), kRunsOfAWorker));
    }
    decisions_.clear();
  }

  auto Crash(const std::string& agent) -> void {
    auto report = RoomFor(ReportOf(agent), 0);
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

// Guards against a line for each run: the log's rate leaves them out just when
// many workers are lost at once.
TEST_F(OwnerLogTest, OneLineForAWorkerThatIsLostAndItsCause) {
  constexpr int kCrashed = 4;
  constexpr int kLeft = 3;
  FillWorkers();
  for (int worker = 0; worker < kCrashed; ++worker) {
    Crash(AgentName(worker));
  }
  for (int worker = kCrashed; worker < kCrashed + kLeft; ++worker) {
    LeaveAsPlanned(AgentName(worker));
  }
  now_ += kPastTheLease;
  owner_.Tick(now_);
  std::map<std::string, std::string> causes;
  std::size_t runs = 0;
  for (const auto& line : Lines("lost")) {
    EXPECT_TRUE(causes.emplace(line.agent, line.why).second) << line.agent;
    EXPECT_EQ(line.some_tasks.size(), kMostTasksOfALine);
    runs += line.runs;
  }
  EXPECT_EQ(runs, kRuns);
  ASSERT_EQ(causes.size(), std::size_t{kWorkers});
  EXPECT_EQ(causes.at(AgentName(0)), "its worker has crashed");
  EXPECT_EQ(causes.at(AgentName(kCrashed)), "its worker has left");
  EXPECT_EQ(causes.at(AgentName(kWorkers - 1)),
            "its agent does not answer and the lease has expired");
}

// Guards against a line for each run of a large job that is cancelled, and
// against stops that are left out of the line.
TEST_F(OwnerLogTest, OneLineForTheStopsOfACancelledJob) {
  FillWorkers();
  Put(MakeCancellation(kId));
  owner_.Tick(now_);
  std::size_t stops = 0;
  for (const auto& [agent, orders] : stops_) {
    stops += orders.size();
  }
  EXPECT_EQ(stops, kRuns);
  const auto lines = Lines("stop");
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines.front().runs, kRuns);
  EXPECT_EQ(lines.front().why, "its job was cancelled");
  EXPECT_EQ(lines.front().some_tasks.size(), kMostTasksOfALine);
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
  EXPECT_EQ(lines.front().task.job(), kId);
  EXPECT_NE(lines.front().run, 0U);
  EXPECT_TRUE(lines.front().some_tasks.empty());
}

}  // namespace
}  // namespace rhubarbhaven::jobs

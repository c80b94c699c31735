#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gtest/gtest.h>

#include <csignal>
#include <map>
#include <set>
#include <thread>

#include "Tests/Support/deployment.h"

namespace rhubarbhaven::test {
namespace {

auto Job(const std::string& name, int tasks, const std::string& command)
    -> std::string {
  return absl::StrCat(R"({"name":")", name, R"(","tasks":)", tasks,
                      R"(,"command":")", command,
                      R"(","need":{"millicores":2000,"memory_mb":1000}})");
}

auto CountState(Deployment& deployment, const std::string& state) -> int {
  int count = 0;
  for (const auto& task : deployment.Tasks()) {
    count += task.state() == state ? 1 : 0;
  }
  return count;
}

auto WaitState(Deployment& deployment, const std::string& state, int tasks)
    -> bool {
  return WaitFor(
      [&]() -> bool { return CountState(deployment, state) == tasks; },
      kTestTimeout);
}

auto FieldOf(const std::string& line, const std::string& name) -> std::string {
  for (const auto& word : absl::StrSplit(line, ' ')) {
    const std::pair<std::string, std::string> field =
        absl::StrSplit(word, absl::MaxSplits('=', 1));
    if (field.first == name) {
      return field.second;
    }
  }
  return "";
}

// Expects that every task has finished exactly once according to the workers.
auto ExpectFinishedOnce(Deployment& deployment, std::size_t tasks) -> void {
  std::map<std::string, int> finishes;
  const std::string events = deployment.WorkerEvents();
  for (const auto& line : absl::StrSplit(events, '\n')) {
    if (FieldOf(std::string(line), "event") == "finish") {
      // The name identifies the task; it does not include the attempt.
      ++finishes[FieldOf(std::string(line), "name")];
    }
  }
  EXPECT_EQ(finishes.size(), tasks);
  for (const auto& [name, count] : finishes) {
    EXPECT_EQ(count, 1) << name;
  }
}

TEST(TaskPath, JobRunsToItsEnd) {
  Deployment deployment({});
  ASSERT_TRUE(deployment.StartAll());
  ASSERT_EQ(deployment.Apply({Job("compaction", 6, "run 300")}), 0);
  EXPECT_TRUE(WaitState(deployment, "finished", 6));
  ExpectFinishedOnce(deployment, 6);
}

struct Fault {
  std::string name;
  // Injects the fault while tasks run.
  std::function<auto(Deployment&)->void> inject;
};

auto PrintTo(const Fault& fault, std::ostream* out) -> void {
  *out << fault.name;
}

auto Restart(Deployment& deployment, const std::string& name) -> void {
  deployment.process(name).Kill();
  deployment.Start(name);
}

// Suspends a process for longer than any lease, then resumes it.
auto Pause(Deployment& deployment, const std::string& name) -> void {
  constexpr std::chrono::seconds kLongerThanLeases{6};
  deployment.process(name).Freeze();
  std::this_thread::sleep_for(kLongerThanLeases);
  deployment.process(name).Resume();
}

class TaskFault : public testing::TestWithParam<Fault> {};

// Guards against a task that runs twice, runs in two places or never runs again
// because an order, lease or record outlives the process or the state that it
// is based on: the named processes are killed or suspended while tasks run.
TEST_P(TaskFault, EveryTaskFinishesOnce) {
  Deployment deployment({});
  ASSERT_TRUE(deployment.StartAll());
  constexpr int kTasks = 6;
  ASSERT_EQ(deployment.Apply({Job("compaction", kTasks, "run 3000")}), 0);
  ASSERT_TRUE(WaitState(deployment, "running", kTasks));
  GetParam().inject(deployment);
  EXPECT_TRUE(WaitState(deployment, "finished", kTasks));
  ExpectFinishedOnce(deployment, kTasks);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    TaskFault,
    testing::Values(
        Fault{"AgentKilled",
              [](Deployment& d) -> void { Restart(d, "agent-0"); }},
        Fault{"AgentFrozen",
              [](Deployment& d) -> void { Pause(d, "agent-0"); }},
        Fault{"WorkerKilled",
              [](Deployment& d) -> void { Restart(d, "worker-1"); }},
        Fault{"OwnerKilled",
              [](Deployment& d) -> void {
                Restart(d, "entry-0");
                Restart(d, "entry-1");
              }},
        Fault{"OwnersFrozen",
              [](Deployment& d) -> void {
                Pause(d, "entry-0");
                Pause(d, "entry-1");
              }},
        Fault{"LogDownForLong", [](Deployment& d) -> void { Pause(d, "log"); }},
        Fault{"AgentAndOwnersKilled",
              [](Deployment& d) -> void {
                Restart(d, "agent-2");
                Restart(d, "entry-0");
                Restart(d, "entry-1");
              }},
        Fault{"EveryDaemonKilled",
              [](Deployment& d) -> void {
                for (const char* name :
                     {"entry-0", "entry-1", "agent-0", "agent-1", "agent-2"}) {
                  d.process(name).Kill();
                }
                for (const char* name :
                     {"entry-0", "entry-1", "agent-0", "agent-1", "agent-2"}) {
                  d.Start(name);
                }
              }}),
    [](const testing::TestParamInfo<Fault>& info) -> std::string {
      return info.param.name;
    });

// Guards against running tasks that are stopped in a platform outage because
// their leases depend on the log: the log is down for longer than every lease.
TEST(TaskPath, RunningTasksOutliveALogOutage) {
  Deployment deployment({});
  ASSERT_TRUE(deployment.StartAll());
  ASSERT_EQ(deployment.Apply({Job("long", 3, "run 9000")}), 0);
  ASSERT_TRUE(WaitState(deployment, "running", 3));
  Pause(deployment, "log");
  EXPECT_TRUE(WaitState(deployment, "finished", 3));
  for (const auto& task : deployment.Tasks()) {
    EXPECT_EQ(task.attempt(), 1) << task.index();
  }
}

// Guards against work that is lost when an agent with running tasks receives
// SIGTERM, because tasks are stopped without a checkpoint or a record.
TEST(TaskPath, PlannedStopMovesTasks) {
  Deployment deployment({});
  ASSERT_TRUE(deployment.StartAll());
  ASSERT_EQ(deployment.Apply({Job("moved", 6, "run 4000")}), 0);
  ASSERT_TRUE(WaitState(deployment, "running", 6));
  deployment.process("agent-0").Signal(SIGTERM);
  EXPECT_EQ(deployment.process("agent-0").WaitExit(kTestTimeout), 0);
  EXPECT_TRUE(WaitState(deployment, "finished", 6));
  ExpectFinishedOnce(deployment, 6);
}

// Guards against a cancelled job that continues to run because an order is sent
// once and lost, or because a stop is not confirmed.
TEST(TaskPath, CancelledJobStops) {
  Deployment deployment({});
  ASSERT_TRUE(deployment.StartAll());
  ASSERT_EQ(deployment.Apply({Job("doomed", 4, "run 60000")}), 0);
  ASSERT_TRUE(WaitState(deployment, "running", 4));
  EXPECT_EQ(deployment.Client({"cancel", "rufisque/doomed"}), 0);
  EXPECT_TRUE(WaitState(deployment, "cancelled", 4));
}

// Guards against a job that fits on no instance and blocks others without an
// explanation, because the queue is served strictly in order: the job is
// submitted before one that fits.
TEST(TaskPath, JobThatCanNeverRunIsExplainedAndBlocksNoOther) {
  Deployment deployment({});
  ASSERT_TRUE(deployment.StartAll());
  ASSERT_EQ(deployment.Apply({R"({"name":"huge","tasks":1,"command":"run 100",)"
                              R"("need":{"millicores":99000,"memory_mb":1}})",
                              Job("small", 3, "run 200")}),
            0);
  EXPECT_TRUE(WaitState(deployment, "finished", 3));
  std::string text;
  EXPECT_EQ(deployment.Client({"explain", "rufisque/huge/0"}, &text), 0);
  EXPECT_TRUE(absl::StrContains(text, "never")) << text;
}

}  // namespace
}  // namespace rhubarbhaven::test

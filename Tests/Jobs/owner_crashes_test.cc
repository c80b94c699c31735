// Tests of which worker crashes an owner attributes to a task.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr milliseconds kEarly{10};
constexpr milliseconds kLate{2000};

struct RecordCase {
  std::string name;
  // How long each run lasted before its worker crashed.
  std::vector<milliseconds> run_time;
  bool long_running = false;
  bool likely_cause = false;
  bool certain_cause = false;
};

class CrashRecordTest : public testing::TestWithParam<RecordCase> {};

TEST_P(CrashRecordTest, AttributesCrashesByRunTimes) {
  CrashRecord record;
  uint64_t run = 0;
  for (const auto run_time : GetParam().run_time) {
    EXPECT_TRUE(record.Record(++run, run_time));
    EXPECT_FALSE(record.Record(run, run_time)) << "counts a run twice";
  }
  EXPECT_EQ(record.likely_cause(), GetParam().likely_cause);
  EXPECT_EQ(record.certain_cause(GetParam().long_running),
            GetParam().certain_cause);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CrashRecordTest,
    testing::Values(
        RecordCase{"twice_soon", {kEarly, kEarly}, false, false, false},
        RecordCase{"thrice_soon", {kEarly, kEarly, kEarly}, false, true, false},
        RecordCase{"lasting_always_soon",
                   {kEarly, kEarly, kEarly, kEarly, kEarly},
                   true,
                   true,
                   true},
        RecordCase{"once_sound",
                   {kEarly, kEarly, kLate, kEarly},
                   false,
                   false,
                   false},
        RecordCase{"always_late",
                   {kLate, kLate, kLate, kLate, kLate},
                   false,
                   false,
                   true},
        // The task had run for long beside the task that crashed its workers.
        RecordCase{"lasting_always_late",
                   {kLate, kLate, kLate, kLate, kLate, kLate},
                   true,
                   false,
                   false}),
    [](const auto& info) { return info.param.name; });

// An owner whose workers crash one after the other. It learns of a crash from
// the agent's report, or only from the next worker process.
class OwnerCrashesTest : public JobOwnerTest {
 protected:
  OwnerCrashesTest() {
    for (const char* agent : {"agent-2", "agent-3"}) {
      PutAgent(agent);
    }
  }

  // Sends reports of all workers in their current state, with the runs that
  // have started there.
  auto ReportWorkers() -> void {
    for (const auto& [agent, worker] : owner_.workers()) {
      Report(agent, ReportOfWorker(agent));
    }
  }

  auto ReportOfWorker(const std::string& agent) -> AgentReport {
    auto report = Started(agent, 1);
    report.set_worker_id(WorkerIdOf(agent));
    report.set_incarnation(incarnations_[agent] + 1);
    return report;
  }

  auto WorkerIdOf(const std::string& agent) -> std::string {
    return agent + "-life-" + std::to_string(worker_numbers_[agent]);
  }

  // Crashes the worker; its next process reports at once. If `reported`, its
  // agent lists the runs of the crashed process; otherwise the agent has
  // restarted meanwhile.
  auto Crash(const std::string& agent,
             bool reported,
             milliseconds run_time = kEarly) -> void {
    const auto starts = starts_[agent];
    starts_[agent].clear();
    ++worker_numbers_[agent];
    incarnations_[agent] += reported ? 0 : 1;
    auto report = ReportOfWorker(agent);
    if (reported) {
      for (const auto& [number, start] : starts) {
        auto* row = report.add_crashed();
        *row->mutable_task() = start.task();
        row->set_run(start.run());
        row->set_ran_ms(static_cast<uint64_t>(run_time.count()));
        row->set_worker_id("life-before");
        row->set_number(++crash_rows_);
      }
    }
    now_ += milliseconds(100);
    Report(agent, report);
    ReportWorkers();
  }

  // Returns the agent on which the task's newest run was started.
  auto AgentOf(uint32_t index) const -> std::string {
    std::string agent_name;
    uint64_t newest = 0;
    for (const auto& [agent, starts] : starts_) {
      for (const auto& [number, start] : starts) {
        if (start.task().index() == index && number > newest) {
          newest = number;
          agent_name = agent;
        }
      }
    }
    return agent_name;
  }

  auto State() -> JobState {
    StoreBatch();
    const auto* job = fold_.Find(kJobId);
    return job == nullptr ? JOB_QUEUED : job->state();
  }

  auto BeginWithJob(const std::vector<JobStep>& steps) -> void {
    PutClaim();
    PutJob(steps);
    Begin();
    ReportWorkers();
    ReportWorkers();
  }

  uint64_t crash_rows_ = 0;
  std::map<std::string, int> worker_numbers_;
  std::map<std::string, uint64_t> incarnations_;
};

// Guards against losing a task's crashes when the agent restarts before it has
// reported them.
TEST_F(OwnerCrashesTest, CrashThatNoAgentReportsCounts) {
  BeginWithJob({Step(1)});
  for (int crash = 0; crash < 3; ++crash) {
    ASSERT_NE(State(), JOB_FAILED);
    Crash(AgentOf(0), /*reported=*/false);
  }
  EXPECT_EQ(State(), JOB_FAILED);
}

// Guards against a new owner that restarts the count of crashes at zero.
TEST_F(OwnerCrashesTest, CountSurvivesATakeover) {
  BeginWithJob({Step(1)});
  Crash(AgentOf(0), /*reported=*/true);
  Crash(AgentOf(0), /*reported=*/true);
  ASSERT_NE(State(), JOB_FAILED);
  const auto& stored = fold_.Find(kJobId)->progress.occurrences(0).steps(0);
  EXPECT_EQ(stored.crashes().at(0).in_row(), 2U);
  const std::string last = AgentOf(0);
  Begin();
  ReportWorkers();
  Crash(last, /*reported=*/true);
  EXPECT_EQ(State(), JOB_FAILED);
}

// Guards against a crash report that is acknowledged before its owner has
// stored it, and against an agent that repeats the report forever.
TEST_F(OwnerCrashesTest, CrashIsAcknowledgedOnceItIsStored) {
  BeginWithJob({Step(1)});
  const std::string agent = AgentOf(0);
  StoreBatch();
  Crash(agent, /*reported=*/true);
  now_ += seconds(1);
  owner_.Tick(now_);
  EXPECT_EQ(crashes_logged_[agent], 0U);
  StoreBatch();
  now_ += seconds(1);
  owner_.Tick(now_);
  EXPECT_EQ(crashes_logged_[agent], crash_rows_);
}

// Guards against a gang that is marked as failed sooner because it has more
// members.
TEST_F(OwnerCrashesTest, RunOfAGangCountsOnce) {
  auto step = Step(4);
  step.set_gang(true);
  step.set_max_per_worker(1);
  BeginWithJob({step});
  for (const char* agent : {"agent-0", "agent-1", "agent-2"}) {
    Crash(agent, /*reported=*/true);
  }
  EXPECT_NE(State(), JOB_FAILED);
}

// Guards against long-running tasks being marked as failed for crashes caused
// by what ran beside them.
TEST_F(OwnerCrashesTest, LateCrashesAreNotAttributedToALongRunningTask) {
  auto step = Step(1);
  step.set_long_running(true);
  BeginWithJob({step});
  for (int crash = 0; crash < 8; ++crash) {
    Crash(AgentOf(0), /*reported=*/true, kLate);
  }
  EXPECT_EQ(State(), JOB_RUNNING);
}

// Guards against old crashes that are still attributed to a task after it has
// run without a crash.
TEST_F(OwnerCrashesTest, RunWithoutACrashClearsATask) {
  auto step = Step(1);
  step.set_long_running(true);
  BeginWithJob({step});
  for (int crash = 0; crash < 4; ++crash) {
    Crash(AgentOf(0), /*reported=*/true);
    now_ += seconds(4);
    ReportWorkers();
  }
  EXPECT_EQ(State(), JOB_RUNNING);
}

// Guards against tasks that cause no crashes but are marked as failed because
// they run beside the cause of their first crash again: suspected tasks are
// placed on separate workers.
TEST_F(OwnerCrashesTest, SuspectsOfOneCrashArePlacedSeparately) {
  BeginWithJob({Step(3)});
  const std::string first = AgentOf(0);
  ASSERT_EQ(AgentOf(1), first);
  ASSERT_EQ(AgentOf(2), first);
  Crash(first, /*reported=*/true);
  EXPECT_NE(AgentOf(0), AgentOf(1));
  EXPECT_NE(AgentOf(1), AgentOf(2));
  EXPECT_NE(AgentOf(0), AgentOf(2));
}

// Guards against tasks that cause no crashes but are marked as failed for three
// crashes that involved another task as well: one more attempt shows which of
// them is the cause.
TEST_F(OwnerCrashesTest, EquallySuspectedTasksAreTriedOnceMore) {
  BeginWithJob({Step(2)});
  const std::string agent = AgentOf(0);
  ASSERT_EQ(AgentOf(1), agent);
  auto report = ReportOfWorker(agent);
  for (uint64_t run = 1; run <= 3; ++run) {
    for (uint32_t index = 0; index < 2; ++index) {
      auto* row = report.add_crashed();
      row->mutable_task()->set_job(kJobId);
      row->mutable_task()->set_index(index);
      row->set_run(run);
      row->set_worker_id("earlier-life-" + std::to_string(run));
      row->set_number(++crash_rows_);
    }
  }
  Report(agent, report);
  ASSERT_NE(State(), JOB_FAILED);
  Crash(agent, /*reported=*/true);
  ASSERT_NE(AgentOf(0), AgentOf(1));
  Crash(AgentOf(0), /*reported=*/true);
  EXPECT_EQ(State(), JOB_FAILED);
}

// Guards against a long-running task that does not start, although there is
// room, because each worker runs some suspected task.
TEST_F(OwnerCrashesTest, TaskOnItsLastAttemptWaitsBrieflyForAWorkerOfItsOwn) {
  auto step = Step(5);
  step.set_long_running(true);
  PutJob({step});
  Begin();
  auto report = ReportOfWorker("agent-0");
  for (uint64_t run = 1; run <= 2; ++run) {
    for (uint32_t index = 0; index < 5; ++index) {
      auto* row = report.add_crashed();
      row->mutable_task()->set_job(kJobId);
      row->mutable_task()->set_index(index);
      row->set_run(run);
      row->set_worker_id("earlier-life-" + std::to_string(run));
      row->set_number(++crash_rows_);
    }
  }
  Report("agent-0", report);
  ReportWorkers();
  const auto running = [this]() -> std::size_t {
    std::size_t runs = 0;
    for (const auto& [agent, worker] : owner_.workers()) {
      runs += worker->runs.size();
    }
    return runs;
  };
  ASSERT_EQ(running(), 4U) << "one worker for each";
  // The starts have not been answered yet, so none of the four tasks is known
  // to run without a crash.
  for (const auto waited : {milliseconds(700), milliseconds(850)}) {
    EXPECT_EQ(running(), 4U);
    now_ += waited;
    for (const auto& [agent, worker] : owner_.workers()) {
      auto unanswered = ReportOf(agent);
      unanswered.set_worker_id(WorkerIdOf(agent));
      unanswered.set_incarnation(incarnations_[agent] + 1);
      Report(agent, unanswered);
    }
  }
  EXPECT_EQ(running(), 5U);
}

// Guards against the planned end of a worker being attributed to its tasks as a
// crash.
TEST_F(OwnerCrashesTest, EndOfADrainedWorkerIsNoCrash) {
  BeginWithJob({Step(1)});
  for (int end = 0; end < 4; ++end) {
    const std::string agent = AgentOf(0);
    auto draining = ReportOfWorker(agent);
    draining.set_draining(true);
    Report(agent, draining);
    Crash(agent, /*reported=*/false);
  }
  EXPECT_NE(State(), JOB_FAILED);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

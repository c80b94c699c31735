// What an owner holds against a task when workers crash under it, and what it
// does not.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr milliseconds kSoon{10};
constexpr milliseconds kLate{2000};

struct RecordCase {
  std::string name;
  // How long the runs went on before their workers crashed.
  std::vector<milliseconds> ran;
  bool long_running = false;
  bool likely_cause = false;
  bool certain_cause = false;
};

class CrashRecordTest : public testing::TestWithParam<RecordCase> {};

TEST_P(CrashRecordTest, ConvictsByWhatItHasSeen) {
  CrashRecord record;
  uint64_t run = 0;
  for (const auto ran : GetParam().ran) {
    EXPECT_TRUE(record.Record(++run, ran));
    EXPECT_FALSE(record.Record(run, ran)) << "counts a run twice";
  }
  EXPECT_EQ(record.likely_cause(), GetParam().likely_cause);
  EXPECT_EQ(record.certain_cause(GetParam().long_running),
            GetParam().certain_cause);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CrashRecordTest,
    testing::Values(
        RecordCase{"twice_soon", {kSoon, kSoon}, false, false, false},
        RecordCase{"thrice_soon", {kSoon, kSoon, kSoon}, false, true, false},
        RecordCase{"lasting_always_soon",
                   {kSoon, kSoon, kSoon, kSoon, kSoon},
                   true,
                   true,
                   true},
        RecordCase{"once_sound",
                   {kSoon, kSoon, kLate, kSoon},
                   false,
                   false,
                   false},
        RecordCase{"always_late",
                   {kLate, kLate, kLate, kLate, kLate},
                   false,
                   false,
                   true},
        // It was there for long, beside what crashed its workers.
        RecordCase{"lasting_always_late",
                   {kLate, kLate, kLate, kLate, kLate, kLate},
                   true,
                   false,
                   false}),
    [](const auto& info) { return info.param.name; });

// Workers crash one after the other under an owner that is told by agents, or
// only by the life that follows.
class OwnerCrashesTest : public JobOwnerTest {
 protected:
  OwnerCrashesTest() {
    for (const char* agent : {"agent-2", "agent-3"}) {
      PutAgent(agent);
    }
  }

  // Reports of all workers as they are, with what has started there.
  auto ReportWorkers() -> void {
    for (const auto& [agent, worker] : owner_.workers()) {
      Report(agent, ReportOfLife(agent));
    }
  }

  auto ReportOfLife(const std::string& agent) -> AgentReport {
    auto report = Started(agent, 1);
    report.set_worker_id(LifeOf(agent));
    report.set_incarnation(incarnations_[agent] + 1);
    return report;
  }

  auto LifeOf(const std::string& agent) -> std::string {
    return agent + "-life-" + std::to_string(lives_[agent]);
  }

  // The worker crashes, and its next life is there at once. `told`: its agent
  // lists what ran there; else it has started anew meanwhile.
  auto Crash(const std::string& agent, bool told, milliseconds ran = kSoon)
      -> void {
    const auto starts = starts_[agent];
    starts_[agent].clear();
    ++lives_[agent];
    incarnations_[agent] += told ? 0 : 1;
    auto report = ReportOfLife(agent);
    if (told) {
      for (const auto& [number, start] : starts) {
        auto* row = report.add_crashed();
        *row->mutable_task() = start.task();
        row->set_run(start.run());
        row->set_ran_ms(static_cast<uint64_t>(ran.count()));
        row->set_worker_id("life-before");
        row->set_number(++crash_rows_);
      }
    }
    now_ += milliseconds(100);
    Report(agent, report);
    ReportWorkers();
  }

  // Where the task's newest run was started.
  auto PlaceOf(uint32_t index) const -> std::string {
    std::string place;
    uint64_t newest = 0;
    for (const auto& [agent, starts] : starts_) {
      for (const auto& [number, start] : starts) {
        if (start.task().index() == index && number > newest) {
          newest = number;
          place = agent;
        }
      }
    }
    return place;
  }

  auto State() -> JobState {
    StoreBatch();
    const auto* job = fold_.Find(kId);
    return job == nullptr ? JOB_QUEUED : job->state();
  }

  auto Play(const std::vector<JobStep>& steps) -> void {
    PutClaim();
    PutJob(steps);
    Begin();
    ReportWorkers();
    ReportWorkers();
  }

  uint64_t crash_rows_ = 0;
  std::map<std::string, int> lives_;
  std::map<std::string, uint64_t> incarnations_;
};

// Guards against a task whose crashes are forgotten with its agent.
TEST_F(OwnerCrashesTest, CrashOfWhichNoAgentTellsCounts) {
  Play({Step(1)});
  for (int crash = 0; crash < 3; ++crash) {
    ASSERT_NE(State(), JOB_FAILED);
    Crash(PlaceOf(0), /*told=*/false);
  }
  EXPECT_EQ(State(), JOB_FAILED);
}

// Guards against a next owner that begins to count anew.
TEST_F(OwnerCrashesTest, CountSurvivesATakeover) {
  Play({Step(1)});
  Crash(PlaceOf(0), /*told=*/true);
  Crash(PlaceOf(0), /*told=*/true);
  ASSERT_NE(State(), JOB_FAILED);
  const auto& stored = fold_.Find(kId)->progress.occurrences(0).steps(0);
  EXPECT_EQ(stored.crashes().at(0).in_row(), 2U);
  const std::string last = PlaceOf(0);
  Begin();
  ReportWorkers();
  Crash(last, /*told=*/true);
  EXPECT_EQ(State(), JOB_FAILED);
}

// Guards against an agent that is let go of what its owner has not stored, and
// against one that tells it for ever.
TEST_F(OwnerCrashesTest, CrashIsAcknowledgedOnceItIsStored) {
  Play({Step(1)});
  const std::string agent = PlaceOf(0);
  StoreBatch();
  Crash(agent, /*told=*/true);
  now_ += seconds(1);
  owner_.Tick(now_);
  EXPECT_EQ(crashes_logged_[agent], 0U);
  StoreBatch();
  now_ += seconds(1);
  owner_.Tick(now_);
  EXPECT_EQ(crashes_logged_[agent], crash_rows_);
}

// Guards against a gang that is given up sooner for having more members.
TEST_F(OwnerCrashesTest, RunOfAGangCountsOnce) {
  auto step = Step(4);
  step.set_gang(true);
  step.set_max_per_worker(1);
  Play({step});
  for (const char* agent : {"agent-0", "agent-1", "agent-2"}) {
    Crash(agent, /*told=*/true);
  }
  EXPECT_NE(State(), JOB_FAILED);
}

// Guards against tasks that last being given up for what ran beside them.
TEST_F(OwnerCrashesTest, TaskThatLastsIsNotBlamedForLateCrashes) {
  auto step = Step(1);
  step.set_long_running(true);
  Play({step});
  for (int crash = 0; crash < 8; ++crash) {
    Crash(PlaceOf(0), /*told=*/true, kLate);
  }
  EXPECT_EQ(State(), JOB_RUNNING);
}

// Guards against old crashes that are held against a task that has run well.
TEST_F(OwnerCrashesTest, SoundRunClearsATask) {
  auto step = Step(1);
  step.set_long_running(true);
  Play({step});
  for (int crash = 0; crash < 4; ++crash) {
    Crash(PlaceOf(0), /*told=*/true);
    now_ += seconds(4);
    ReportWorkers();
  }
  EXPECT_EQ(State(), JOB_RUNNING);
}

// Guards against sound tasks that are given up as they meet the cause of their
// first crash again: suspects are kept apart.
TEST_F(OwnerCrashesTest, SuspectsOfOneCrashAreKeptApart) {
  Play({Step(3)});
  const std::string first = PlaceOf(0);
  ASSERT_EQ(PlaceOf(1), first);
  ASSERT_EQ(PlaceOf(2), first);
  Crash(first, /*told=*/true);
  EXPECT_NE(PlaceOf(0), PlaceOf(1));
  EXPECT_NE(PlaceOf(1), PlaceOf(2));
  EXPECT_NE(PlaceOf(0), PlaceOf(2));
}

// Guards against sound tasks that are given up for three crashes which another
// task was in as well: one more tells which of them is the cause.
TEST_F(OwnerCrashesTest, TasksThatAreEquallySuspectAreTriedOnceMore) {
  Play({Step(2)});
  const std::string agent = PlaceOf(0);
  ASSERT_EQ(PlaceOf(1), agent);
  auto report = ReportOfLife(agent);
  for (uint64_t run = 1; run <= 3; ++run) {
    for (uint32_t index = 0; index < 2; ++index) {
      auto* row = report.add_crashed();
      row->mutable_task()->set_job(kId);
      row->mutable_task()->set_index(index);
      row->set_run(run);
      row->set_worker_id("earlier-life-" + std::to_string(run));
      row->set_number(++crash_rows_);
    }
  }
  Report(agent, report);
  ASSERT_NE(State(), JOB_FAILED);
  Crash(agent, /*told=*/true);
  ASSERT_NE(PlaceOf(0), PlaceOf(1));
  Crash(PlaceOf(0), /*told=*/true);
  EXPECT_EQ(State(), JOB_FAILED);
}

// Guards against a task that lasts staying down, with room for it, as each
// worker runs some suspect.
TEST_F(OwnerCrashesTest, TaskOnItsLastTryWaitsForAWorkerOfItsOwnNotForLong) {
  auto step = Step(5);
  step.set_long_running(true);
  PutJob({step});
  Begin();
  auto report = ReportOfLife("agent-0");
  for (uint64_t run = 1; run <= 2; ++run) {
    for (uint32_t index = 0; index < 5; ++index) {
      auto* row = report.add_crashed();
      row->mutable_task()->set_job(kId);
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
  // The starts have no answer yet, so that none of the four is known to be
  // sound.
  for (const auto waited : {milliseconds(700), milliseconds(850)}) {
    EXPECT_EQ(running(), 4U);
    now_ += waited;
    for (const auto& [agent, worker] : owner_.workers()) {
      auto unanswered = ReportOf(agent);
      unanswered.set_worker_id(LifeOf(agent));
      unanswered.set_incarnation(incarnations_[agent] + 1);
      Report(agent, unanswered);
    }
  }
  EXPECT_EQ(running(), 5U);
}

// Guards against the end of a worker as planned being held against its tasks.
TEST_F(OwnerCrashesTest, WorkerThatDrainedHasNotCrashed) {
  Play({Step(1)});
  for (int end = 0; end < 4; ++end) {
    const std::string agent = PlaceOf(0);
    auto draining = ReportOfLife(agent);
    draining.set_draining(true);
    Report(agent, draining);
    Crash(agent, /*told=*/false);
  }
  EXPECT_NE(State(), JOB_FAILED);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

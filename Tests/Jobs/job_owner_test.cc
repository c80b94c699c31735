// Where an owner starts tasks and what their ends mean.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

TEST_F(JobOwnerTest, NextStepWaitsForAllTasksOfTheOneBefore) {
  auto second = Step(1);
  second.add_after(0);
  PutJob({Step(2), second});
  Begin();
  ReportAll();
  ASSERT_EQ(Starts(), 2U);
  uint64_t number = 0;
  for (const auto& [agent, starts] : std::map(starts_)) {
    for (const auto& [order, start] : starts) {
      auto report = ReportOf(agent);
      auto* end = report.add_ended();
      end->set_number(++number);
      *end->mutable_task() = start.task();
      end->set_run(start.run());
      end->set_end(RUN_DONE);
      EXPECT_EQ(Starts(), 2U);
      Report(agent, report);
    }
  }
  EXPECT_EQ(Starts(), 3U);
}

// Symptom: a job hangs on a worker whose tasks stand still.
TEST_F(JobOwnerTest, RunWithoutProgressIsStoppedAndStartedElsewhere) {
  PutJob({Step(1)});
  Begin();
  ReportAll();
  const std::string agent = starts_.begin()->first;
  const std::string other = agent == "agent-0" ? "agent-1" : "agent-0";
  for (int round = 0; round < 10; ++round) {
    Report(agent, Started(agent, 10));
    Report(other, ReportOf(other));
    now_ += milliseconds(300);
  }
  ASSERT_EQ(stops_[agent].size(), 1U);
  EXPECT_EQ(Starts(), 1U);
  auto report = ReportOf(agent);
  auto* end = report.add_ended();
  end->set_number(1);
  *end->mutable_task() = starts_[agent].begin()->second.task();
  end->set_run(starts_[agent].begin()->second.run());
  end->set_end(RUN_STOPPED);
  Report(agent, report);
  EXPECT_EQ(starts_[other].size(), 1U);
}

// Symptom: a task that lasts stays down although a worker has room, until
// something else happens in the cell. Sequence: the only worker fails the task
// three times and is set aside for 3 s; the task may be tried again after 50
// ms, which finds no worker; nothing else runs. Cause: the owner kept one time
// to look again, the earliest, and forgot that the worker would be taken back.
TEST_F(JobOwnerTest, WorkerThatWasSetAsideIsTakenBackWithoutAnotherEvent) {
  Begin();
  auto drains = ReportOf("agent-1");
  drains.set_draining(true);
  Report("agent-0", ReportOf("agent-0"));
  Report("agent-1", drains);
  auto step = Step(1);
  step.set_long_running(true);
  PutJob({step});
  owner_.Tick(now_);
  constexpr uint64_t kFailures = 3;
  for (uint64_t failure = 1; failure <= kFailures; ++failure) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
    ASSERT_EQ(starts_["agent-0"].size(), failure);
    auto report = ReportOf("agent-0");
    const auto& start = starts_["agent-0"].rbegin()->second;
    auto* result = report.add_results();
    result->set_order(start.order());
    result->set_outcome(ORDER_DONE);
    auto* end = report.add_ended();
    end->set_number(failure);
    *end->mutable_task() = start.task();
    end->set_run(start.run());
    end->set_end(RUN_FAILED);
    Report("agent-0", report);
  }
  const TimePoint failed_at = now_;
  while (now_ < failed_at + seconds(5)) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
  }
  EXPECT_EQ(starts_["agent-0"].size(), kFailures + 1);
}

// Symptom: a task stays down, and the log does not say whether the cell is full
// or the owner does not know of the room. Cause: a task that found no worker
// left no line.
TEST_F(JobOwnerTest, LogSaysWhyATaskWaitsOnAndNotTooOften) {
  Begin();
  auto drains = ReportOf("agent-1");
  drains.set_draining(true);
  Report("agent-0", ReportOf("agent-0"));
  Report("agent-1", drains);
  PutJob({Step(5)});
  for (int round = 0; round < 110; ++round) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
    Report("agent-1", drains);
    owner_.OnRules();
  }
  EXPECT_EQ(waits_, (std::vector<std::string>{"draining 1, no room 1",
                                              "draining 1, no room 1"}));
}

struct SlowedCase {
  std::string name;
  // As told of a run that wants 1000 millicores.
  uint32_t millicores = 0;
  uint32_t percent = 0;
  bool checkpointing = false;
  bool other_worker = true;
  bool moves = false;
};

class SlowedFillerTest : public JobOwnerTest,
                         public testing::WithParamInterface<SlowedCase> {};

// The load: tasks of 3 s that fill beside serving ones. Symptom: jobs are late
// by one task that took 10 s, while others of its step took 3. Cause: its agent
// slowed it to a tenth for the runs beside it, and it stayed there although
// another worker would have let it run.
TEST_P(SlowedFillerTest, MovesIfItEndsSoonerElsewhere) {
  const auto& param = GetParam();
  auto step = Step(1);
  step.set_uses_spare_processors(true);
  step.set_estimated_ms(3000);
  step.set_checkpointing(param.checkpointing);
  PutJob({step});
  Begin();
  ReportAll();
  const std::string agent = starts_.begin()->first;
  const std::string other = agent == "agent-0" ? "agent-1" : "agent-0";
  for (int round = 0; round < 5; ++round) {
    auto report = Started(agent, param.percent);
    report.mutable_running(0)->set_load(param.millicores);
    Report(agent, report);
    if (param.other_worker) {
      Report(other, ReportOf(other));
    }
    now_ += milliseconds(300);
  }
  EXPECT_EQ(stops_[agent].size(), param.moves ? 1U : 0U);
  EXPECT_EQ(Starts(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    SlowedFillerTest,
    testing::Values(SlowedCase{"slowed_to_a_tenth", 100, 10, true, true, true},
                    SlowedCase{"stands_still", 0, 10, true, true, true},
                    SlowedCase{"at_full_speed", 1000, 10, true, true, false},
                    SlowedCase{"nearly_done", 200, 96, true, true, false},
                    // It would begin again.
                    SlowedCase{"half_done_without_checkpoints", 500, 50, false,
                               true, false},
                    SlowedCase{"slowed_without_checkpoints", 100, 10, false,
                               true, true},
                    SlowedCase{"no_other_worker", 100, 10, true, false, false}),
    [](const auto& info) { return info.param.name; });

TEST_F(JobOwnerTest, ProgressKeepsARunWhereItIs) {
  PutJob({Step(1)});
  Begin();
  ReportAll();
  const std::string agent = starts_.begin()->first;
  for (uint32_t round = 0; round < 20; ++round) {
    Report(agent, Started(agent, 10 + round));
    now_ += milliseconds(300);
  }
  EXPECT_TRUE(stops_[agent].empty());
}

TEST_F(JobOwnerTest, JobFailsAfterItsAttempts) {
  PutJob({Step(1)});
  Begin();
  ReportAll();
  uint64_t number = 0;
  for (int attempt = 0; attempt < 2; ++attempt) {
    for (const auto& [agent, starts] : std::map(starts_)) {
      for (const auto& [order, start] : starts) {
        auto report = ReportOf(agent);
        auto* end = report.add_ended();
        end->set_number(++number);
        *end->mutable_task() = start.task();
        end->set_run(start.run());
        end->set_end(RUN_FAILED);
        Report(agent, report);
        starts_[agent].erase(order);
      }
    }
    now_ += milliseconds(200);
    ReportAll();
  }
  EXPECT_EQ(Starts(), 0U);
  bool failed = false;
  for (const auto& record : owner_.TakeBatch()) {
    JobProgress progress;
    if (ParseKey(record.key).kind == RecordKind::kProgress &&
        progress.ParseFromString(record.value)) {
      failed = failed || progress.state() == JOB_FAILED;
    }
  }
  EXPECT_TRUE(failed);
}

TEST_F(JobOwnerTest, OccurrencesStartWhenTheyAreDue) {
  PutJob({Step(1)}, /*occurrences=*/3);
  Begin();
  ReportAll();
  EXPECT_EQ(Starts(), 0U);
  for (const auto& [wall, starts] : std::vector<std::pair<int, std::size_t>>{
           {999, 0}, {1000, 1}, {1499, 1}, {1500, 2}, {2600, 3}}) {
    now_ += milliseconds(wall) - wall_;
    wall_ = milliseconds(wall);
    ReportAll();
    EXPECT_EQ(Starts(), starts) << wall;
  }
}

// A queue with a policy: nothing starts before it has answered, then only where
// it allows; a ticket that a worker refused is asked for again.
TEST_F(JobOwnerTest, TicketsSayWhereAStepMayRun) {
  rules_.set_needs_ticket(true);
  PutJob({Step(2)});
  Begin();
  ReportAll();
  EXPECT_EQ(Starts(), 0U);
  ASSERT_FALSE(advice_calls_.empty());
  const auto calls = advice_calls_.size();
  EXPECT_EQ(advice_calls_.back().step.job(), kId);
  on_advice_(now_, {true, {{"life-of-agent-1", "ticket"}}, seconds(3)});
  ReportAll();
  EXPECT_EQ(starts_["agent-0"].size(), 0U);
  ASSERT_EQ(starts_["agent-1"].size(), 2U);
  EXPECT_EQ(starts_["agent-1"].begin()->second.ticket(), "ticket");
  EXPECT_EQ(advice_calls_.size(), calls);
  auto report = ReportOf("agent-1");
  for (const auto& [number, start] : starts_["agent-1"]) {
    auto* result = report.add_results();
    result->set_order(number);
    result->set_outcome(ORDER_BAD_TICKET);
  }
  now_ += seconds(1);
  Report("agent-1", report);
  ReportAll();
  EXPECT_EQ(advice_calls_.size(), calls + 1);
  EXPECT_EQ(starts_["agent-1"].size(), 2U);
}

// Symptom watched for: the owner reads freed memory, and room stays taken.
// Sequence: the record of a job that runs is dropped from the log.
struct LastRunCase {
  std::string name;
  // The start of the cancelled job is refused; else its worker ends.
  bool refused = false;
};

class LastRunTest : public JobOwnerTest,
                    public testing::WithParamInterface<LastRunCase> {};

// Guards against cancelled jobs that stay in memory and in the log for good,
// since their last run did not end by a row of a listing.
TEST_P(LastRunTest, CancelledJobIsDroppedHoweverItEnds) {
  PutJob({Step(1)});
  Begin();
  ReportAll();
  const std::string agent = starts_.begin()->first;
  const uint64_t order = starts_[agent].begin()->first;
  Put(MakeCancellation(kId));
  auto report = ReportOf(agent);
  if (GetParam().refused) {
    auto* result = report.add_results();
    result->set_order(order);
    result->set_outcome(ORDER_REFUSED);
  } else {
    report.set_worker_id("next-life-of-" + agent);
  }
  Report(agent, report);
  now_ += JobOwnerOptions().ended_job_retention + seconds(1);
  owner_.Tick(now_);
  bool dropped = false;
  for (const auto& record : owner_.TakeBatch()) {
    dropped = dropped || (record.key == MakeKey(RecordKind::kJob, kId) &&
                          record.value.empty());
  }
  EXPECT_TRUE(dropped);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LastRunTest,
                         testing::Values(LastRunCase{"start_refused", true},
                                         LastRunCase{"worker_ended", false}),
                         [](const auto& info) { return info.param.name; });

TEST_F(JobOwnerTest, JobWhoseRecordIsDroppedGivesItsRoomBack) {
  Begin();
  ReportAll();
  PutJob({Step(8)});
  owner_.Tick(now_);
  ASSERT_EQ(Starts(), 8U);
  Put({MakeKey(RecordKind::kJob, kId), "", 0});
  for (const char* agent : {"agent-0", "agent-1"}) {
    EXPECT_EQ(owner_.workers().at(agent)->held.millicores, 0) << agent;
  }
}

// A policy that is asked for tickets, with a cell in which nothing else
// happens.
class TicketWaitTest : public JobOwnerTest {
 protected:
  auto AskFirst(const JobStep& step) -> void {
    rules_.set_needs_ticket(true);
    PutJob({step});
    Begin();
    Report("agent-0", ReportOf("agent-0"));
    ASSERT_EQ(advice_calls_.size(), 1U);
  }

  // Both workers report for a while and nothing else happens.
  auto Wait() -> void {
    for (int round = 0; round < 20; ++round) {
      now_ += milliseconds(100);
      ReportAll();
    }
  }
};

// Symptom: a task that needs a ticket waits until something else happens in the
// cell. Sequence: the policy's answer is lost, for one with the connection.
// Cause: the question was marked as to be asked again, but nobody looked.
TEST_F(TicketWaitTest, AsksAgainAfterAnAnswerWasLost) {
  AskFirst(Step(1));
  on_advice_(now_, {});
  Wait();
  EXPECT_EQ(advice_calls_.size(), 2U);
}

// As above. Sequence: a worker joins less than the least pause between two
// questions after the last one.
TEST_F(TicketWaitTest, AsksAboutAWorkerThatJoinsRightAfterAQuestion) {
  AskFirst(Step(5));
  on_advice_(now_, {true, {{"life-of-agent-0", "ticket"}}, seconds(9)});
  owner_.Tick(now_);
  now_ += milliseconds(100);
  ReportAll();
  Wait();
  EXPECT_EQ(advice_calls_.size(), 2U);
}

// As above. Sequence: a worker refuses a ticket right after it was given.
TEST_F(TicketWaitTest, AsksAgainAfterATicketWasRefused) {
  AskFirst(Step(1));
  on_advice_(now_, {true, {{"life-of-agent-0", "ticket"}}, seconds(9)});
  owner_.Tick(now_);
  ASSERT_EQ(starts_["agent-0"].size(), 1U);
  auto report = ReportOf("agent-0");
  auto* result = report.add_results();
  result->set_order(starts_["agent-0"].begin()->first);
  result->set_outcome(ORDER_BAD_TICKET);
  Report("agent-0", report);
  Wait();
  EXPECT_EQ(advice_calls_.size(), 2U);
}

// Symptom: a task waits beside room until something else happens. Sequence: a
// worker tells of more room than before. Cause: only a worker that begins to
// take runs made the owner look again.
TEST_F(JobOwnerTest, RoomThatGrowsIsUsedAtOnce) {
  Begin();
  for (const char* agent : {"agent-0", "agent-1"}) {
    auto small = ReportOf(agent);
    small.mutable_capacity()->set_millicores(500);
    Report(agent, small);
  }
  PutJob({Step(1)});
  owner_.Tick(now_);
  ASSERT_EQ(Starts(), 0U);
  Report("agent-0", ReportOf("agent-0"));
  EXPECT_EQ(Starts(), 1U);
}

struct GangCase {
  std::string name;
  uint32_t members = 0;
  std::size_t starts = 0;
  // Of the gang's members; zero for no limit.
  uint32_t max_per_worker = 0;
};

class GangTest : public JobOwnerTest,
                 public testing::WithParamInterface<GangCase> {};

// Symptom watched for: more members of a gang on a worker than its step allows.
// Sequence: all members find their place before the first one is started.
// Cause: only tasks that were started were counted.
TEST_P(GangTest, StartsWholeOrNotAtAll) {
  auto step = Step(GetParam().members);
  step.set_gang(true);
  step.set_max_per_worker(GetParam().max_per_worker);
  PutJob({step});
  Begin();
  ReportAll();
  EXPECT_EQ(Starts(), GetParam().starts);
  std::set<uint64_t> runs;
  for (const auto& [agent, starts] : starts_) {
    for (const auto& [order, start] : starts) {
      runs.insert(start.run());
    }
  }
  EXPECT_LE(runs.size(), 1U);
  for (const auto& [agent, starts] : starts_) {
    if (GetParam().max_per_worker > 0) {
      EXPECT_LE(starts.size(), GetParam().max_per_worker) << agent;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         GangTest,
                         testing::Values(GangCase{"fits", 8, 8, 0},
                                         GangCase{"one_too_many", 9, 0, 0},
                                         GangCase{"spread", 4, 4, 2},
                                         GangCase{"too_few_workers", 5, 0, 2}),
                         [](const auto& info) { return info.param.name; });

struct PlaceCase {
  std::string name;
  std::function<auto(JobStep*)->void> change;
  std::size_t starts = 0;
};

class PlaceTest : public JobOwnerTest,
                  public testing::WithParamInterface<PlaceCase> {};

TEST_P(PlaceTest, KeepsTheStepsRules) {
  auto step = Step(6);
  GetParam().change(&step);
  PutJob({step});
  Begin();
  for (const char* agent : {"agent-0", "agent-1"}) {
    auto report = ReportOf(agent);
    report.add_labels("kind");
    report.add_labels(std::string("rack-of-") + agent);
    Report(agent, report);
  }
  EXPECT_EQ(Starts(), GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    PlaceTest,
    testing::Values(
        PlaceCase{"no_rule", [](JobStep*) {}, 6},
        PlaceCase{
            "label_of_one",
            [](JobStep* step) { step->set_required_label("rack-of-agent-1"); },
            4},
        PlaceCase{"label_of_none",
                  [](JobStep* step) { step->set_required_label("other"); }, 0},
        PlaceCase{"two_a_worker",
                  [](JobStep* step) { step->set_max_per_worker(2); }, 4},
        PlaceCase{
            "memory",
            [](JobStep* step) { step->mutable_need()->set_memory_mb(2000); },
            4},
        PlaceCase{
            "accelerator",
            [](JobStep* step) { step->mutable_need()->set_accelerators(1); },
            0}),
    [](const auto& info) { return info.param.name; });

struct StrangeRecord {
  std::string name;
  KeyedRecord record;
};

auto AgentRecord(const std::string& key,
                 const std::string& name,
                 const std::string& endpoint) -> KeyedRecord {
  AgentEntry entry;
  entry.set_name(name);
  entry.set_link_endpoint(endpoint);
  return MakeRecord(RecordKind::kAgent, key, entry);
}

// Progress that calls the first task of these steps done.
auto ProgressOf(const std::vector<uint32_t>& steps, uint32_t occurrence)
    -> KeyedRecord {
  JobProgress progress;
  progress.set_state(JOB_RUNNING);
  auto* known = progress.add_occurrences();
  known->set_number(occurrence);
  for (const uint32_t number : steps) {
    auto* step = known->add_steps();
    step->set_number(number);
    step->set_done("\x01");
  }
  return MakeRecord(RecordKind::kProgress, kId, progress);
}

class StrangeRecordTest : public JobOwnerTest,
                          public testing::WithParamInterface<StrangeRecord> {};

// Symptom: after a takeover nothing starts for up to 20 s. Sequence: another
// writer puts an entry that names no agent; a new owner begins. Cause: the
// entry was taken for an agent, whose listing the census waited for. Likewise
// progress that the job cannot have made ended the owner, or hung its job.
TEST_P(StrangeRecordTest, HoldsNothingUp) {
  Put(GetParam().record);
  PutJob({Step(2)});
  Put(GetParam().record);
  PutClaim();
  Begin();
  ReportAll();
  EXPECT_EQ(Starts(), 2U);
  EXPECT_TRUE(owner_.reconciliation_done());
  Put(GetParam().record);
  now_ += milliseconds(300);
  ReportAll();
  EXPECT_EQ(Starts(), 2U);
  EXPECT_EQ(owner_.workers().size(), 2U);
  EXPECT_EQ(polls_.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    StrangeRecordTest,
    testing::Values(
        StrangeRecord{"agent_garbage",
                      {MakeKey(RecordKind::kAgent, "ghost"), "\xff\xff", 0}},
        StrangeRecord{"agent_cut",
                      {MakeKey(RecordKind::kAgent, "ghost"),
                       std::string("\x0a\x05ghost\x12\x09tcp", 12), 0}},
        StrangeRecord{"agent_without_name", AgentRecord("ghost", "", "there")},
        StrangeRecord{"agent_of_another_name",
                      AgentRecord("ghost", "phantom", "there")},
        StrangeRecord{"agent_of_a_name_in_use",
                      AgentRecord("ghost", "agent-0", "there")},
        StrangeRecord{"agent_without_endpoint",
                      AgentRecord("ghost", "ghost", "")},
        StrangeRecord{"good_agent_overwritten",
                      {MakeKey(RecordKind::kAgent, "agent-0"), "{}", 0}},
        StrangeRecord{"progress_of_an_unknown_step", ProgressOf({9}, 0)},
        StrangeRecord{"progress_of_an_absurd_step",
                      ProgressOf({UINT32_MAX}, 0)},
        StrangeRecord{"progress_of_a_step_twice", ProgressOf({0, 0}, 0)},
        StrangeRecord{"progress_of_an_unknown_occurrence", ProgressOf({0}, 5)},
        StrangeRecord{"progress_of_an_absurd_occurrence",
                      ProgressOf({0}, UINT32_MAX)},
        StrangeRecord{"claim_garbage",
                      {MakeKey(RecordKind::kClaim), "\xff\xff", 0}},
        StrangeRecord{"ends_of_another_worker",
                      {MakeKey(RecordKind::kWorkerEnds, "life-of-agent-0"),
                       std::string("\x0a\x01x\x10\x7f", 5), 0}}),
    [](const auto& info) { return info.param.name; });

struct ServiceCase {
  std::string name;
  // Of the queue's rules, and of what the workers report.
  std::string of_queue;
  std::string of_workers;
  std::size_t starts = 0;
};

class ServiceTest : public JobOwnerTest,
                    public testing::WithParamInterface<ServiceCase> {};

// Symptom watched for: a task at a worker of no service that a queue names.
TEST_P(ServiceTest, OnlyWorkersOfTheQueuesServiceRunItsTasks) {
  rules_.set_service(GetParam().of_queue);
  PutJob({Step(2)});
  Begin();
  for (const char* agent : {"agent-0", "agent-1"}) {
    auto report = ReportOf(agent);
    report.set_service(GetParam().of_workers);
    Report(agent, report);
  }
  EXPECT_EQ(Starts(), GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ServiceTest,
    testing::Values(ServiceCase{"same", "service", "service", 2},
                    ServiceCase{"other", "service", "other", 0},
                    ServiceCase{"longer", "service", "service-2", 0},
                    ServiceCase{"none_of_the_worker", "service", "", 0},
                    ServiceCase{"none_of_the_queue", "", "service", 0},
                    ServiceCase{"none_at_all", "", "", 0}),
    [](const auto& info) { return info.param.name; });

// Guards against leases that run out while a burst of wide steps is placed:
// reports that wait for the owner's turn to end are not taken in.
TEST_F(JobOwnerTest, PlacesABurstInSeveralTurns) {
  constexpr uint32_t kBurst = 250;
  Begin();
  auto report = ReportOf("agent-0");
  report.mutable_capacity()->set_millicores(1000 * kBurst);
  Report("agent-0", report);
  PutJob({Step(kBurst)});
  owner_.Tick(now_);
  EXPECT_GT(Starts(), 0U);
  EXPECT_LT(Starts(), kBurst);
  while (owner_.next_wake() <= now_) {
    owner_.Tick(now_);
  }
  EXPECT_EQ(Starts(), kBurst);
}

// Guards against a cell that is asked again and again for room it has not got:
// of a backlog, only the worker that has room again is asked.
TEST_F(JobOwnerTest, ABacklogGoesWhereRoomComes) {
  Begin();
  ReportAll();
  PutJob({Step(11)});
  owner_.Tick(now_);
  ASSERT_EQ(Starts(), 8U);
  auto report = Started("agent-1", 50);
  auto* ended = report.add_ended();
  ended->set_number(1);
  *ended->mutable_task() = starts_["agent-1"].begin()->second.task();
  ended->set_run(starts_["agent-1"].begin()->second.run());
  ended->set_end(RUN_DONE);
  Report("agent-1", report);
  EXPECT_EQ(starts_["agent-0"].size(), 4U);
  EXPECT_EQ(starts_["agent-1"].size(), 5U);
  EXPECT_THAT(owner_.FindIndexErrors(now_), testing::IsEmpty());
}

}  // namespace
}  // namespace rhubarbhaven::jobs

// Tests of where an owner starts tasks and how it handles their ends.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

TEST_F(JobOwnerTest, NextStepWaitsForAllTasksOfThePreviousOne) {
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

// Guards against a job that hangs because its runs on a worker have stalled.
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

// Guards against a long-running task that is not restarted, although a worker
// has room, until some other event occurs. The only worker fails the task three
// times and is quarantined for 3 s; the retry after 50 ms finds no worker, and
// nothing else runs. The owner kept only the earliest time for its next scan
// and lost the time at which the worker is reinstated.
TEST_F(JobOwnerTest, QuarantinedWorkerIsReinstatedWithoutAnotherEvent) {
  Begin();
  auto draining = ReportOf("agent-1");
  draining.set_draining(true);
  Report("agent-0", ReportOf("agent-0"));
  Report("agent-1", draining);
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

// Guards against a task that found no worker and left no log line, so that the
// log does not show whether the cell is full or the owner does not know of the
// room.
TEST_F(JobOwnerTest, LogRepeatsWhyATaskWaitsButNotTooOften) {
  Begin();
  auto draining = ReportOf("agent-1");
  draining.set_draining(true);
  Report("agent-0", ReportOf("agent-0"));
  Report("agent-1", draining);
  PutJob({Step(5)});
  for (int round = 0; round < 110; ++round) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
    Report("agent-1", draining);
    owner_.OnRules();
  }
  EXPECT_EQ(wait_reasons_, (std::vector<std::string>{"draining 1, no room 1",
                                                     "draining 1, no room 1"}));
}

struct ThrottledCase {
  std::string name;
  // As reported of a run that requests 1000 millicores.
  uint32_t millicores = 0;
  uint32_t percent = 0;
  bool checkpointing = false;
  bool other_worker = true;
  bool moves = false;
};

class ThrottledOpportunisticTaskTest
    : public JobOwnerTest,
      public testing::WithParamInterface<ThrottledCase> {};

// Guards against jobs delayed by one task that takes 10 s while the others of
// its step take 3 s. With opportunistic tasks of 3 s beside serving ones, an
// agent throttled one task to a tenth for the sake of the runs beside it, and
// the task remained there although another worker would have let it run.
TEST_P(ThrottledOpportunisticTaskTest, MovesIfItWouldFinishSoonerElsewhere) {
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
    ThrottledOpportunisticTaskTest,
    testing::Values(
        ThrottledCase{"slowed_to_a_tenth", 100, 10, true, true, true},
        ThrottledCase{"stands_still", 0, 10, true, true, true},
        ThrottledCase{"at_full_speed", 1000, 10, true, true, false},
        ThrottledCase{"nearly_done", 200, 96, true, true, false},
        // It would start from the beginning.
        ThrottledCase{"half_done_without_checkpoints", 500, 50, false, true,
                      false},
        ThrottledCase{"slowed_without_checkpoints", 100, 10, false, true, true},
        ThrottledCase{"no_other_worker", 100, 10, true, false, false}),
    [](const auto& info) { return info.param.name; });

TEST_F(JobOwnerTest, RunWithProgressIsNotMoved) {
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
    now_ += milliseconds(wall) - wall_time_;
    wall_time_ = milliseconds(wall);
    ReportAll();
    EXPECT_EQ(Starts(), starts) << wall;
  }
}

struct DistantDueTime {
  std::string name;
  uint64_t first_due_unix_ms = 0;
  uint64_t interval_ms = 0;
  // Starts that are due at once.
  std::size_t starts = 0;
};

class DistantDueTimeTest : public JobOwnerTest,
                           public testing::WithParamInterface<DistantDueTime> {
};

// Guards against an owner that takes a whole processor: the time until a job is
// due overflowed, and its timer was always in the past.
TEST_P(DistantDueTimeTest, OwnerWaits) {
  Job job;
  job.set_id(kJobId);
  *job.add_steps() = Step(1);
  job.set_occurrences(kMaxOccurrences);
  job.set_first_due_unix_ms(GetParam().first_due_unix_ms);
  job.set_interval_ms(GetParam().interval_ms);
  wall_time_ = milliseconds(2000);
  Put(MakeRecord(RecordKind::kJob, kJobId, job));
  Begin();
  ReportAll();
  ReportAll();
  EXPECT_EQ(Starts(), GetParam().starts);
  EXPECT_GT(owner_.next_wake(), now_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    DistantDueTimeTest,
    testing::Values(
        DistantDueTime{"year_9999", 253402300799000, 1000, 0},
        DistantDueTime{"largest_number", uint64_t{1} << 53, uint64_t{1} << 53,
                       0},
        DistantDueTime{"beyond_the_range", UINT64_MAX, UINT64_MAX, 0},
        // The second one would wrap around to the first.
        DistantDueTime{"largest_interval", 1000, uint64_t{1} << 63, 1}),
    [](const auto& info) { return info.param.name; });

// In a queue with a policy, nothing starts before the policy has answered, and
// then only where it allows. A ticket that a worker rejected is requested
// again.
TEST_F(JobOwnerTest, TicketsDetermineWhereAStepMayRun) {
  rules_.set_needs_ticket(true);
  PutJob({Step(2)});
  Begin();
  ReportAll();
  EXPECT_EQ(Starts(), 0U);
  ASSERT_FALSE(advice_calls_.empty());
  const auto calls = advice_calls_.size();
  EXPECT_EQ(advice_calls_.back().step.job(), kJobId);
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

struct LastRunCase {
  std::string name;
  // Whether the start of the cancelled job is rejected; otherwise its worker
  // ends.
  bool start_rejected = false;
};

class LastRunTest : public JobOwnerTest,
                    public testing::WithParamInterface<LastRunCase> {};

// Guards against cancelled jobs that remain in memory and in the log forever
// because their last run did not end by a row of a listing.
TEST_P(LastRunTest, CancelledJobIsRemovedHoweverItEnds) {
  PutJob({Step(1)});
  Begin();
  ReportAll();
  const std::string agent = starts_.begin()->first;
  const uint64_t order = starts_[agent].begin()->first;
  Put(MakeCancellation(kJobId));
  auto report = ReportOf(agent);
  if (GetParam().start_rejected) {
    auto* result = report.add_results();
    result->set_order(order);
    result->set_outcome(ORDER_REFUSED);
  } else {
    report.set_worker_id("next-life-of-" + agent);
  }
  Report(agent, report);
  now_ += JobOwnerOptions().ended_job_retention + seconds(1);
  owner_.Tick(now_);
  bool removed = false;
  for (const auto& record : owner_.TakeBatch()) {
    removed = removed || (record.key == MakeKey(RecordKind::kJob, kJobId) &&
                          record.value.empty());
  }
  EXPECT_TRUE(removed);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LastRunTest,
                         testing::Values(LastRunCase{"start_refused", true},
                                         LastRunCase{"worker_ended", false}),
                         [](const auto& info) { return info.param.name; });

// Guards against an owner that reads freed memory, and against room that is
// never released, when the record of a running job is removed from the log.
TEST_F(JobOwnerTest, JobWhoseRecordIsRemovedReleasesItsRoom) {
  Begin();
  ReportAll();
  PutJob({Step(8)});
  owner_.Tick(now_);
  ASSERT_EQ(Starts(), 8U);
  Put({MakeKey(RecordKind::kJob, kJobId), "", 0});
  for (const char* agent : {"agent-0", "agent-1"}) {
    EXPECT_EQ(owner_.workers().at(agent)->held.millicores, 0) << agent;
  }
}

// An owner that requests tickets from a policy, in a cell in which nothing else
// happens.
class TicketWaitTest : public JobOwnerTest {
 protected:
  auto MakeFirstRequest(const JobStep& step) -> void {
    rules_.set_needs_ticket(true);
    PutJob({step});
    Begin();
    Report("agent-0", ReportOf("agent-0"));
    ASSERT_EQ(advice_calls_.size(), 1U);
  }

  // Both workers report for 2 s, and nothing else happens.
  auto Wait() -> void {
    for (int round = 0; round < 20; ++round) {
      now_ += milliseconds(100);
      ReportAll();
    }
  }
};

// Guards against a task that needs a ticket and waits until some other event
// occurs in the cell. The policy's answer was lost, for example with its
// connection; the request was marked for a retry, but nothing triggered the
// retry.
TEST_F(TicketWaitTest, RetriesAfterALostAnswer) {
  MakeFirstRequest(Step(1));
  on_advice_(now_, {});
  Wait();
  EXPECT_EQ(advice_calls_.size(), 2U);
}

// As above, but a worker joins sooner after the last request than the minimum
// interval between two requests.
TEST_F(TicketWaitTest, RequestsTicketsForAWorkerThatJoinsRightAfterARequest) {
  MakeFirstRequest(Step(5));
  on_advice_(now_, {true, {{"life-of-agent-0", "ticket"}}, seconds(9)});
  owner_.Tick(now_);
  now_ += milliseconds(100);
  ReportAll();
  Wait();
  EXPECT_EQ(advice_calls_.size(), 2U);
}

// As above, but a worker rejects a ticket right after it was issued.
TEST_F(TicketWaitTest, RetriesAfterARejectedTicket) {
  MakeFirstRequest(Step(1));
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

// Guards against a task that waits, although there is room, until some other
// event occurs. A worker reported more room than before, but the owner scanned
// again only for workers that began to accept runs.
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
  // Limit of the gang's members on one worker; zero for no limit.
  uint32_t max_per_worker = 0;
};

class GangTest : public JobOwnerTest,
                 public testing::WithParamInterface<GangCase> {};

// Guards against more members of a gang on a worker than its step allows: all
// members are placed before the first one is started, so counting only the
// started tasks is not enough.
TEST_P(GangTest, StartsAllMembersOrNone) {
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

struct PlacementCase {
  std::string name;
  std::function<auto(JobStep*)->void> change;
  std::size_t starts = 0;
};

class PlacementTest : public JobOwnerTest,
                      public testing::WithParamInterface<PlacementCase> {};

TEST_P(PlacementTest, FollowsTheStepsRules) {
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
    PlacementTest,
    testing::Values(
        PlacementCase{"no_rule", [](JobStep*) {}, 6},
        PlacementCase{
            "label_of_one",
            [](JobStep* step) { step->set_required_label("rack-of-agent-1"); },
            4},
        PlacementCase{"label_of_none",
                      [](JobStep* step) { step->set_required_label("other"); },
                      0},
        PlacementCase{"two_a_worker",
                      [](JobStep* step) { step->set_max_per_worker(2); }, 4},
        PlacementCase{
            "memory",
            [](JobStep* step) { step->mutable_need()->set_memory_mb(2000); },
            4},
        PlacementCase{
            "accelerator",
            [](JobStep* step) { step->mutable_need()->set_accelerators(1); },
            0}),
    [](const auto& info) { return info.param.name; });

struct InvalidRecord {
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

// Returns progress in which the first task of each of these steps is done.
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
  return MakeRecord(RecordKind::kProgress, kJobId, progress);
}

class InvalidRecordTest : public JobOwnerTest,
                          public testing::WithParamInterface<InvalidRecord> {};

// Guards against a takeover after which nothing starts for up to 20 s. Another
// writer stores an entry that names no agent; a new owner took it for an agent
// and waited for its listing in the reconciliation. Likewise, progress that the
// job cannot have made terminated the owner or made its job hang.
TEST_P(InvalidRecordTest, DoesNotDelayTheOwner) {
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
    InvalidRecordTest,
    testing::Values(
        InvalidRecord{"agent_garbage",
                      {MakeKey(RecordKind::kAgent, "ghost"), "\xff\xff", 0}},
        InvalidRecord{"agent_cut",
                      {MakeKey(RecordKind::kAgent, "ghost"),
                       std::string("\x0a\x05ghost\x12\x09tcp", 12), 0}},
        InvalidRecord{"agent_without_name", AgentRecord("ghost", "", "there")},
        InvalidRecord{"agent_of_another_name",
                      AgentRecord("ghost", "phantom", "there")},
        InvalidRecord{"agent_of_a_name_in_use",
                      AgentRecord("ghost", "agent-0", "there")},
        InvalidRecord{"agent_without_endpoint",
                      AgentRecord("ghost", "ghost", "")},
        InvalidRecord{"good_agent_overwritten",
                      {MakeKey(RecordKind::kAgent, "agent-0"), "{}", 0}},
        InvalidRecord{"progress_of_an_unknown_step", ProgressOf({9}, 0)},
        InvalidRecord{"progress_of_an_absurd_step",
                      ProgressOf({UINT32_MAX}, 0)},
        InvalidRecord{"progress_of_a_step_twice", ProgressOf({0, 0}, 0)},
        InvalidRecord{"progress_of_an_unknown_occurrence", ProgressOf({0}, 5)},
        InvalidRecord{"progress_of_an_absurd_occurrence",
                      ProgressOf({0}, UINT32_MAX)},
        InvalidRecord{"claim_garbage",
                      {MakeKey(RecordKind::kClaim), "\xff\xff", 0}},
        InvalidRecord{"ends_of_another_worker",
                      {MakeKey(RecordKind::kWorkerEnds, "life-of-agent-0"),
                       std::string("\x0a\x01x\x10\x7f", 5), 0}}),
    [](const auto& info) { return info.param.name; });

struct ServiceCase {
  std::string name;
  // Service in the queue's rules, and the one that the workers report.
  std::string queue_service;
  std::string worker_service;
  std::size_t starts = 0;
};

class ServiceTest : public JobOwnerTest,
                    public testing::WithParamInterface<ServiceCase> {};

// Guards against a task on a worker whose service the queue does not name.
TEST_P(ServiceTest, OnlyWorkersOfTheQueuesServiceRunItsTasks) {
  rules_.set_service(GetParam().queue_service);
  PutJob({Step(2)});
  Begin();
  for (const char* agent : {"agent-0", "agent-1"}) {
    auto report = ReportOf(agent);
    report.set_service(GetParam().worker_service);
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

// Guards against leases that expire while a burst of wide steps is placed:
// reports that arrive during one call of the owner are not processed until it
// returns.
TEST_F(JobOwnerTest, PlacesABurstInSeveralTicks) {
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

// Guards against repeated placement attempts on workers that have no room: for
// a backlog, the owner tries only the worker that has room again.
TEST_F(JobOwnerTest, BacklogStartsWhereRoomIsReleased) {
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

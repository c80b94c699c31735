// Tests of how an agent handles orders when calls to its worker fail, and of
// what a process that has just started may report.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;

constexpr char kWorkerId[] = "life-1";
constexpr uint64_t kIncarnation = 5;
constexpr char kJobId[] = "0123456789abcdef";

// An agent whose calls to the worker are held until the test answers them.
class TaskAgentTest : public testing::Test {
 protected:
  TaskAgentTest() : agent_(Options(), Hooks()) {}

  static auto Options() -> TaskAgentOptions {
    TaskAgentOptions options;
    options.incarnation = kIncarnation;
    return options;
  }

  auto Hooks() -> TaskAgentHooks {
    TaskAgentHooks hooks;
    hooks.worker.start = [this](const StartCall& call, const auto& done) {
      starts_.push_back(call);
      on_start_ = done;
    };
    hooks.worker.stop = [this](const StopCall& call, const auto& done) {
      stops_.push_back(call);
      on_stop_ = done;
    };
    hooks.worker.list = [this](const ListCall& call, const auto& done) {
      lists_.push_back(call);
      on_list_ = done;
    };
    hooks.worker.pace = [](const PaceCall&, const auto&) {};
    hooks.read_log = [this](const ReadCall& call, const auto& done) {
      reads_.push_back(call);
      on_read_ = done;
    };
    hooks.report = [this](const std::string&, AgentReport report) {
      reports_.push_back(std::move(report));
    };
    hooks.log = [this](const AgentDecision& decision) {
      decisions_.push_back(decision);
    };
    hooks.log_worker = [this](const WorkerObservation& observation) {
      observations_.push_back(observation.what);
    };
    return hooks;
  }

  auto SendHeartbeat(const std::string& worker) -> void {
    WorkerHeartbeat heartbeat;
    heartbeat.worker_id = worker;
    heartbeat.sequence = ++heartbeats_;
    agent_.OnHeartbeat(now_, heartbeat);
  }

  auto Orders(uint64_t fence) const -> AgentOrders {
    AgentOrders orders;
    orders.set_fence(fence);
    orders.set_owner_incarnation(fence);
    orders.set_worker_id(kWorkerId);
    orders.set_granted_from_us(static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            now_.time_since_epoch())
            .count()));
    orders.set_lease_ttl_ms(5000);
    return orders;
  }

  auto WithStart(AgentOrders orders, bool repeated) const -> AgentOrders {
    auto* start = orders.add_starts();
    start->set_order(1);
    start->set_run(10);
    start->mutable_task()->set_job("job");
    start->set_worker_id(kWorkerId);
    start->set_repeated(repeated);
    return orders;
  }

  static auto WithStop(AgentOrders orders, uint64_t run) -> AgentOrders {
    auto* stop = orders.add_stops();
    stop->set_order(2);
    stop->set_run(run);
    stop->mutable_task()->set_job("job");
    stop->set_worker_id(kWorkerId);
    return orders;
  }

  auto AnswerList(std::vector<RunningTask> running = {}) -> void {
    WorkerListing listing;
    listing.answered = true;
    listing.clock = milliseconds(50000);
    listing.running = std::move(running);
    const auto done = on_list_;
    done(now_, listing);
  }

  // Returns the outcome that was last reported for order 1.
  auto Result() const -> std::optional<OrderOutcome> {
    for (auto report = reports_.rbegin(); report != reports_.rend(); ++report) {
      for (const auto& result : report->results()) {
        if (result.order() == 1) {
          return result.outcome();
        }
      }
    }
    return std::nullopt;
  }

  TimePoint now_{std::chrono::seconds(100)};
  uint64_t heartbeats_ = 0;
  std::vector<StartCall> starts_;
  std::vector<StopCall> stops_;
  std::vector<ListCall> lists_;
  WorkerPort::OnCall on_start_;
  WorkerPort::OnCall on_stop_;
  WorkerPort::OnListing on_list_;
  std::vector<ReadCall> reads_;
  KeyedLogPort::OnRead on_read_;
  std::vector<AgentReport> reports_;
  std::vector<AgentDecision> decisions_;
  std::vector<std::string> observations_;
  TaskAgent agent_;
};

struct LeaseCase {
  std::string name;
  // Incarnation that the grant names.
  uint64_t incarnation = 0;
  // How far the time of the grant is ahead of the agent's clock.
  milliseconds ahead_of_agent{0};
  bool starts = false;
};

class LeaseTest : public TaskAgentTest,
                  public testing::WithParamInterface<LeaseCase> {};

// Guards against a lease that lasts longer than the owner assumes. After a loss
// of power the agent's clock starts at zero, and the first orders still contain
// the time of the previous process. During a partition, the worker's tasks then
// continued while they were started elsewhere.
TEST_P(LeaseTest, IsValidOnlyForTheProcessThatItWasGrantedTo) {
  SendHeartbeat(kWorkerId);
  auto orders = WithStart(Orders(1), /*repeated=*/false);
  orders.set_granted_to_incarnation(GetParam().incarnation);
  orders.set_granted_from_us(
      orders.granted_from_us() +
      std::chrono::microseconds(GetParam().ahead_of_agent).count());
  agent_.OnOrders(now_, "owner", orders);
  AnswerList();
  EXPECT_EQ(starts_.size(), GetParam().starts ? 1U : 0U);
  EXPECT_EQ(lists_.back().deadline.count() > 0, GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LeaseTest,
    testing::Values(
        LeaseCase{"this_process", kIncarnation, milliseconds(0), true},
        LeaseCase{"process_before_power_was_lost", kIncarnation + 1,
                  milliseconds(18000), false},
        LeaseCase{"process_before_on_the_same_clock", kIncarnation + 1,
                  milliseconds(-100), false},
        LeaseCase{"owner_that_names_none", 0, milliseconds(-100), true},
        LeaseCase{"owner_that_names_none_ahead", 0, milliseconds(18000),
                  false}),
    [](const auto& info) { return info.param.name; });

// Guards against a start in a failure domain that is being evacuated, by an
// order that was in flight or is repeated.
TEST_F(TaskAgentTest, StartsNothingWhileItsDomainIsEvacuated) {
  SendHeartbeat(kWorkerId);
  auto orders = WithStart(Orders(1), /*repeated=*/false);
  orders.set_evacuated(true);
  agent_.OnOrders(now_, "owner", orders);
  AnswerList();
  EXPECT_TRUE(starts_.empty());
  EXPECT_EQ(Result(), ORDER_REFUSED);
  agent_.OnOrders(now_, "owner", Orders(1));
  auto delay = Orders(1);
  auto* start = delay.add_starts();
  start->set_order(2);
  start->set_run(11);
  start->mutable_task()->set_job("job");
  start->set_worker_id(kWorkerId);
  agent_.OnOrders(now_, "owner", delay);
  EXPECT_EQ(starts_.size(), 1U);
}

// Guards against starts that rely on room that the worker no longer has: the
// change is reported to the owner with the heartbeat, not with the next poll.
TEST_F(TaskAgentTest, ChangedCapacityIsReportedAtOnce) {
  agent_.OnOrders(now_, "owner", Orders(1));
  WorkerHeartbeat heartbeat;
  heartbeat.worker_id = kWorkerId;
  for (const uint32_t millicores : {4000U, 4000U, 1000U, 4000U}) {
    heartbeat.sequence = ++heartbeats_;
    heartbeat.capacity.set_millicores(millicores);
    const auto reported = reports_.size();
    agent_.OnHeartbeat(now_, heartbeat);
    if (heartbeats_ > 2) {
      ASSERT_EQ(reports_.size(), reported + 1);
      EXPECT_EQ(reports_.back().capacity().millicores(), millicores);
    }
  }
}

struct RunOverCase {
  std::string name;
  // Whether the worker lists only a part of its ends at first.
  bool truncated = false;
  // Numbers of the ends in the last listing.
  std::vector<uint64_t> ended;
  uint64_t after_end = 0;
};

class RunOverTest : public TaskAgentTest,
                    public testing::WithParamInterface<RunOverCase> {
 protected:
  auto AnswerListWithEnds(const std::vector<uint64_t>& numbers, bool truncated)
      -> void {
    WorkerListing listing;
    listing.answered = true;
    listing.clock = milliseconds(50000);
    for (const uint64_t number : numbers) {
      EndedTask end;
      end.set_number(number);
      listing.ended.push_back(end);
    }
    listing.ends_truncated = truncated;
    now_ += milliseconds(200);
    agent_.Tick(now_);
    const auto done = on_list_;
    done(now_, listing);
  }
};

// Guards against an owner that starts a task again which is done: the report
// with the end of its run is lost, and a later one says only that the run is
// over.
TEST_P(RunOverTest, ResultNamesTheEndThatItFollows) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/true));
  now_ += milliseconds(10);
  on_start_(now_, {WorkerCallOutcome::kRunOver});
  // This listing was requested before the outcome was known.
  AnswerListWithEnds({}, /*truncated=*/false);
  EXPECT_EQ(Result(), std::nullopt);
  if (GetParam().truncated) {
    AnswerListWithEnds({1, 2}, /*truncated=*/true);
    EXPECT_EQ(Result(), std::nullopt);
  }
  AnswerListWithEnds(GetParam().ended, /*truncated=*/false);
  ASSERT_EQ(Result(), ORDER_RUN_OVER);
  EXPECT_EQ(reports_.back().results(0).after_end(), GetParam().after_end);
  // Ends of a process that has left are not reported any more.
  agent_.OnLeave(now_, kWorkerId);
  EXPECT_EQ(reports_.back().results(0).after_end(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RunOverTest,
    testing::Values(RunOverCase{"one_end", false, {7}, 7},
                    RunOverCase{"several_ends", false, {5, 6, 8}, 8},
                    RunOverCase{"no_end", false, {}, 0},
                    RunOverCase{"ends_in_two_pages", true, {3}, 3}),
    [](const auto& info) { return info.param.name; });

// An agent whose owner has said that it handles reports late.
class OwnerBehindTest : public TaskAgentTest {
 protected:
  auto SendOrders(bool with_start) -> void {
    auto orders =
        with_start ? WithStart(Orders(1), /*repeated=*/false) : Orders(1);
    orders.set_owner_is_behind(true);
    agent_.OnOrders(now_, "owner", orders);
  }

  auto Prepare() -> void {
    SendHeartbeat(kWorkerId);
    SendOrders(/*with_start=*/false);
    AnswerList();
    reports_.clear();
  }
};

// Guards against an owner without enough processor time, which receives two
// reports for each start and gets further behind.
TEST_F(OwnerBehindTest, StartIsAnsweredOnceWithItsResult) {
  Prepare();
  SendOrders(/*with_start=*/true);
  ASSERT_EQ(starts_.size(), 1U);
  EXPECT_TRUE(reports_.empty());
  now_ += milliseconds(2);
  on_start_(now_, {WorkerCallOutcome::kDone});
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(Result(), ORDER_DONE);
  agent_.Tick(now_ + TaskAgentOptions().result_wait);
  EXPECT_EQ(reports_.size(), 1U);
}

// Guards against a lease that lapses since the answer to orders waits for a
// worker that does not answer.
TEST_F(OwnerBehindTest, AnswerDoesNotWaitForTheWorker) {
  Prepare();
  SendOrders(/*with_start=*/true);
  const TimePoint answer_by = now_ + TaskAgentOptions().result_wait;
  EXPECT_LE(agent_.next_wake(), answer_by);
  // Further orders do not delay it.
  now_ = answer_by - milliseconds(1);
  SendOrders(/*with_start=*/false);
  agent_.Tick(now_);
  EXPECT_TRUE(reports_.empty());
  agent_.Tick(answer_by);
  EXPECT_EQ(reports_.size(), 1U);
}

// Guards against an owner that spends its time on lists of runs, and against
// one that no longer learns how runs proceed.
TEST_F(OwnerBehindTest, RunsAreListedOncePerInterval) {
  Prepare();
  const auto interval = TaskAgentOptions().running_interval;
  int complete = 0;
  for (int sent = 0; sent < 20; ++sent) {
    now_ += interval / 10;
    SendOrders(/*with_start=*/false);
    complete += reports_.back().complete() ? 1 : 0;
  }
  EXPECT_EQ(reports_.size(), 20U);
  EXPECT_EQ(complete, 2);
}

// Guards against runs that seem to make no progress: each answer to a start is
// overtaken by a report of an end, which lists no runs.
TEST_F(OwnerBehindTest, ReportOfAnEndListsTheRunsThatAreDue) {
  Prepare();
  now_ += TaskAgentOptions().running_interval;
  SendOrders(/*with_start=*/true);
  ASSERT_TRUE(reports_.empty());
  WorkerListing listing;
  listing.answered = true;
  listing.clock = milliseconds(50000);
  listing.ended.emplace_back().set_number(1);
  const auto done = on_list_;
  done(now_, listing);
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_TRUE(reports_.back().complete());
}

// Guards against a new owner that waits for the runs of its agents.
TEST_F(OwnerBehindTest, NextOwnerReceivesTheRunsAtOnce) {
  Prepare();
  auto orders = Orders(2);
  orders.set_owner_is_behind(true);
  agent_.OnOrders(now_, "owner", orders);
  AnswerList();
  EXPECT_TRUE(reports_.back().complete());
}

struct CrashReportCase {
  std::string name;
  // Whether the start's call was answered before the crash.
  bool answered = true;
  // Whether a listing after the start showed no run.
  bool listed_without = false;
  bool drains_first = false;
  // Time from the crash to the owner's next orders.
  milliseconds delay{300};
  bool reported = false;
};

class CrashReportTest : public TaskAgentTest,
                        public testing::WithParamInterface<CrashReportCase> {};

// Guards against a crash that is never reported to a later owner, since the
// listing of the worker's next process does not contain it.
TEST_P(CrashReportTest, NextOwnerReceivesTheRunsThatACrashEnded) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  if (GetParam().answered) {
    on_start_(now_, {WorkerCallOutcome::kDone});
  }
  now_ += milliseconds(10);
  if (GetParam().listed_without) {
    // The first listing was requested before the start, the second one after
    // it.
    AnswerList();
    AnswerList();
  }
  if (GetParam().drains_first) {
    WorkerHeartbeat heartbeat;
    heartbeat.worker_id = kWorkerId;
    heartbeat.sequence = ++heartbeats_;
    heartbeat.draining = true;
    agent_.OnHeartbeat(now_, heartbeat);
  }
  SendHeartbeat("life-2");
  AnswerList();
  now_ += GetParam().delay;
  agent_.OnOrders(now_, "next", Orders(2));
  ASSERT_EQ(reports_.back().fence(), 2U);
  ASSERT_EQ(reports_.back().crashed_size(), GetParam().reported ? 1 : 0);
  if (GetParam().reported) {
    EXPECT_EQ(reports_.back().crashed(0).run(), 10U);
    EXPECT_EQ(reports_.back().crashed(0).task().job(), "job");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CrashReportTest,
    testing::Values(CrashReportCase{"started", true, false, false,
                                    milliseconds(300), true},
                    CrashReportCase{"start_without_an_answer", false, false,
                                    false, milliseconds(300), true},
                    CrashReportCase{"long_ago", true, false, false,
                                    milliseconds(60000), false},
                    CrashReportCase{"over_before", true, true, false,
                                    milliseconds(300), false},
                    CrashReportCase{"drained_before", true, false, true,
                                    milliseconds(300), false}),
    [](const auto& info) { return info.param.name; });

// Guards against reports that grow with each crash of a worker that crashes
// repeatedly.
TEST_F(TaskAgentTest, StoredCrashesAreNotReportedAgain) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  on_start_(now_, {WorkerCallOutcome::kDone});
  SendHeartbeat("life-2");
  AnswerList();
  auto orders = Orders(1);
  orders.set_crashes_logged(1);
  orders.set_crashes_of_incarnation(99);
  agent_.OnOrders(now_, "owner", orders);
  EXPECT_EQ(reports_.back().crashed_size(), 1)
      << "crash count is of another agent process";
  orders.set_crashes_of_incarnation(kIncarnation);
  agent_.OnOrders(now_, "owner", orders);
  EXPECT_EQ(reports_.back().crashed_size(), 0);
}

struct LeaveCase {
  std::string name;
  // Worker processes that the agent has received heartbeats from, and the one
  // that leaves.
  std::vector<std::string> known_workers;
  std::string leaving_worker;
  bool nothing_runs = false;
  // Whether the first of these processes answers its listing.
  bool answers = true;
};

class LeaveTest : public TaskAgentTest,
                  public testing::WithParamInterface<LeaveCase> {};

// Guards against tasks from before a takeover not running for 20 s because an
// agent whose worker had left did not report it to the new owner, so that the
// reconciliation waited. The agent may report it only for the worker process
// that it knew last: an agent that has just started may learn late that an
// older worker process has left, before it learns of the worker on which tasks
// run.
TEST_P(LeaveTest, ReportsNothingRunsOnlyForTheKnownWorkerProcess) {
  agent_.OnOrders(now_, "owner", Orders(1));
  for (const auto& known_worker : GetParam().known_workers) {
    SendHeartbeat(known_worker);
    if (known_worker == kWorkerId && GetParam().answers) {
      AnswerList();
    }
  }
  agent_.OnLeave(now_, GetParam().leaving_worker);
  agent_.OnOrders(now_, "owner", Orders(2));
  EXPECT_EQ(reports_.back().fence(), 2U);
  EXPECT_EQ(reports_.back().worker_lapsed(), GetParam().nothing_runs);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LeaveTest,
    testing::Values(
        LeaveCase{"life_that_it_knew", {kWorkerId}, kWorkerId, true},
        // The heartbeat may have been delayed as well.
        LeaveCase{"life_that_never_answered",
                  {kWorkerId},
                  kWorkerId,
                  false,
                  /*answers=*/false},
        LeaveCase{"life_unknown_after_a_start", {}, kWorkerId, false},
        LeaveCase{"earlier_life_after_the_next_came",
                  {kWorkerId, "life-2"},
                  kWorkerId,
                  false}),
    [](const auto& info) { return info.param.name; });

// Guards against a task that runs in two places. The agent starts a run and is
// killed before it reports it to the owner; the next agent process receives the
// order again, before the worker's first heartbeat. It took the order for one
// to another worker process and rejected it.
TEST_F(TaskAgentTest, ProcessThatKnowsNoWorkerRejectsNothing) {
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/true));
  EXPECT_EQ(Result(), std::nullopt);
  SendHeartbeat(kWorkerId);
  AnswerList();
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/true));
  ASSERT_EQ(starts_.size(), 1U);
  on_start_(now_, {WorkerCallOutcome::kDone});
  EXPECT_EQ(Result(), ORDER_DONE);
}

// Guards against a task that runs in two places: a start gets no answer, its
// repeat finds no room, the task is started elsewhere, and the first copy of
// the call is carried out late, when there is room. The agent prevents it by
// stopping the run at the worker first, which then rejects the run permanently.
TEST_F(TaskAgentTest, RejectionAfterALostAnswerWaitsForTheStop) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  ASSERT_EQ(starts_.size(), 1U);
  on_start_(now_, {WorkerCallOutcome::kUnknown});
  now_ += milliseconds(100);
  agent_.Tick(now_);
  ASSERT_EQ(starts_.size(), 2U);
  on_start_(now_, {WorkerCallOutcome::kNoRoom});
  EXPECT_EQ(Result(), std::nullopt);
  ASSERT_EQ(stops_.size(), 1U);
  on_stop_(now_, {WorkerCallOutcome::kDone});
  EXPECT_EQ(Result(), std::nullopt);
  // A listing that was requested before the stop proves nothing.
  AnswerList();
  EXPECT_EQ(Result(), std::nullopt);
  now_ += milliseconds(500);
  agent_.Tick(now_);
  AnswerList();
  EXPECT_EQ(Result(), ORDER_NO_ROOM);
}

// Guards against a task that runs in two places: an agent freezes with an order
// that it has not forwarded, the owner declares the worker lost, and the agent
// resumes, gets a new lease and forwards the order.
TEST_F(TaskAgentTest, OrderOfAnEarlierLeaseIsRejected) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  on_start_(now_, {WorkerCallOutcome::kUnhealthy});
  EXPECT_EQ(Result(), ORDER_UNHEALTHY);
  AgentOrders late = Orders(1);
  auto* start = late.add_starts();
  start->set_order(2);
  start->set_run(11);
  start->mutable_task()->set_job("job");
  start->set_worker_id(kWorkerId);
  now_ += std::chrono::seconds(20);
  // The grant starts at the time of the agent's last report, long ago.
  agent_.OnOrders(now_, "owner", late);
  EXPECT_EQ(starts_.size(), 1U);
}

struct WithdrawnCase {
  std::string name;
  bool repeated = false;
  // Run of the stop that comes with the start; the start's run is 10.
  uint64_t stopped_run = 10;
  std::size_t starts = 0;
};

class WithdrawnStartTest : public TaskAgentTest,
                           public testing::WithParamInterface<WithdrawnCase> {};

// Guards against a task that is started long after its job was cancelled: the
// start was lost in transit, and is sent again together with the stop.
TEST_P(WithdrawnStartTest, IsNotCarriedOut) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  agent_.OnOrders(now_, "owner",
                  WithStop(WithStart(Orders(1), GetParam().repeated),
                           GetParam().stopped_run));
  EXPECT_EQ(starts_.size(), GetParam().starts);
  EXPECT_FALSE(stops_.empty());
  const bool rejected = GetParam().starts == 0 && !GetParam().repeated;
  EXPECT_EQ(Result(), rejected ? std::optional(ORDER_REFUSED) : std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    WithdrawnStartTest,
    testing::Values(WithdrawnCase{"never_sent", false, 10, 0},
                    // An earlier copy may still be carried out, so the run is
                    // stopped before it is reported as rejected.
                    WithdrawnCase{"sent_before", true, 10, 0},
                    WithdrawnCase{"later_run_stopped", false, 11, 0},
                    WithdrawnCase{"earlier_run_stopped", false, 9, 1}),
    [](const auto& info) { return info.param.name; });

// Guards against a start whose first copy and whose stop were both lost.
TEST_F(TaskAgentTest, WithdrawnStartIsNotCarriedOutWithoutItsStop) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  auto orders = WithStart(Orders(1), /*repeated=*/true);
  orders.mutable_starts(0)->set_withdrawn(true);
  agent_.OnOrders(now_, "owner", orders);
  EXPECT_TRUE(starts_.empty());
}

// Guards against a start that is carried out although its stop arrived first
// and has not been answered.
TEST_F(TaskAgentTest, StartThatComesAfterItsStopIsNotCarriedOut) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  const auto stopping = WithStop(Orders(1), 10);
  agent_.OnOrders(now_, "owner", stopping);
  ASSERT_EQ(stops_.size(), 1U);
  agent_.OnOrders(now_, "owner", WithStart(stopping, /*repeated=*/true));
  EXPECT_TRUE(starts_.empty());
}

TEST_F(TaskAgentTest, DrainingWorkerGetsNoStart) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  WorkerHeartbeat leaving;
  leaving.worker_id = kWorkerId;
  leaving.sequence = ++heartbeats_;
  leaving.draining = true;
  agent_.OnHeartbeat(now_, leaving);
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  EXPECT_TRUE(starts_.empty());
  EXPECT_EQ(Result(), ORDER_REFUSED);
}

TEST_F(TaskAgentTest, ReplacedOwnerGetsNothingButTheFence) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "new", Orders(2));
  AnswerList();
  reports_.clear();
  agent_.OnOrders(now_, "old", WithStart(Orders(1), /*repeated=*/false));
  EXPECT_TRUE(starts_.empty());
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(reports_[0].fence(), 2U);
}

TEST_F(TaskAgentTest, UnresponsiveWorkersLeaseIsNotRenewed) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  ASSERT_GT(lists_.back().deadline.count(), 0);
  on_list_(now_, WorkerListing());
  now_ += milliseconds(500);
  agent_.Tick(now_);
  EXPECT_EQ(lists_.back().deadline.count(), 0);
}

// Guards against a task that runs in two places. A worker becomes unresponsive,
// its lease expires, the owner declares its runs lost, and the agent's next
// report lists them as before, since it repeated the listing from before the
// worker became unresponsive.
TEST_F(TaskAgentTest, UnresponsiveWorkersRunsAreNotReported) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  RunningTask row;
  row.mutable_task()->set_job("job");
  row.set_run(10);
  AnswerList({row});
  ASSERT_TRUE(reports_.back().complete());
  on_list_(now_, WorkerListing());
  agent_.OnOrders(now_, "owner", Orders(1));
  EXPECT_FALSE(reports_.back().complete());
  EXPECT_TRUE(reports_.back().running().empty());
}

// Guards against a task that is not restarted elsewhere for as long as its
// worker is unresponsive. A start to the worker gets no answer and is repeated.
// The owner keeps a start without a result, and the agent never gave one: each
// repeat carried a later deadline, so that the worker's lease was never certain
// to have expired. Repeats carry no later deadline than that of the worker's
// lease.
TEST_F(TaskAgentTest,
       StartToAnUnresponsiveWorkerIsRejectedOnceItsLeaseHasExpired) {
  SendHeartbeat(kWorkerId);
  // Waits until no lease renewed by an earlier process of the agent can be
  // valid.
  const TimePoint leases_expired_at = now_ + TaskAgentOptions().max_lease;
  while (now_ <= leases_expired_at) {
    agent_.OnOrders(now_, "owner", Orders(1));
    now_ += milliseconds(300);
    AnswerList();
  }
  const TimePoint unresponsive_since = now_;
  constexpr milliseconds kTimeout{400};
  // The time of a lease of 5 s, the clock difference over that time, and a call
  // in flight.
  constexpr milliseconds kSettledWithin{6000};
  while (now_ < unresponsive_since + kSettledWithin) {
    agent_.OnOrders(now_, "owner",
                    WithStart(Orders(1), now_ > unresponsive_since));
    now_ += kTimeout;
    const auto unanswered = std::exchange(on_start_, nullptr);
    if (unanswered) {
      unanswered(now_, {WorkerCallOutcome::kUnknown});
    }
    const auto list = on_list_;
    list(now_, WorkerListing());
    agent_.Tick(now_);
  }
  EXPECT_EQ(Result(), ORDER_REFUSED);
  EXPECT_TRUE(reports_.back().worker_lapsed());
  ASSERT_GT(starts_.size(), 2U);
  // The lease of 5 s that was in force when the worker became unresponsive,
  // without its margin, on the worker's clock.
  constexpr milliseconds kLeaseEnd{54900};
  for (const auto& start : starts_) {
    EXPECT_LE(start.deadline, kLeaseEnd);
  }
}

struct StartAgeCase {
  std::string name;
  // Age of the report to which the message with the start refers.
  milliseconds report_age{0};
  // Time from that report until the owner built the message, as it states.
  milliseconds built_after{0};
  std::optional<OrderOutcome> rejected;
};

class StartAgeTest : public TaskAgentTest,
                     public testing::WithParamInterface<StartAgeCase> {
 protected:
  // Orders that refer to a report of this age.
  auto AgedOrders(milliseconds age, milliseconds built_after) const
      -> AgentOrders {
    auto orders = Orders(1);
    orders.set_granted_from_us(orders.granted_from_us() -
                               std::chrono::microseconds(age).count());
    orders.set_built_after_us(std::chrono::microseconds(built_after).count());
    return orders;
  }
};

// Guards against a task that starts after its job's cancel was acknowledged:
// its start order lay for seconds between the owner and the agent, with its
// withdrawal behind it, and the agent's lease still held.
TEST_P(StartAgeTest, OldStartIsRejectedWhileTheLogIsOutOfReach) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  now_ += std::chrono::seconds(4);
  agent_.OnOrders(
      now_, "owner",
      WithStart(AgedOrders(GetParam().report_age, GetParam().built_after),
                /*repeated=*/false));
  EXPECT_EQ(starts_.empty(), GetParam().rejected.has_value());
  EXPECT_EQ(Result(), GetParam().rejected);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    StartAgeTest,
    testing::Values(
        StartAgeCase{"at_once", milliseconds(0), milliseconds(0), std::nullopt},
        StartAgeCase{"after_two_seconds", milliseconds(2000), milliseconds(0),
                     std::nullopt},
        StartAgeCase{"after_three_seconds", milliseconds(3000), milliseconds(0),
                     ORDER_OUTDATED},
        StartAgeCase{"built_long_after_the_report", milliseconds(4500),
                     milliseconds(4000), std::nullopt},
        StartAgeCase{"built_after_the_report_and_late", milliseconds(3500),
                     milliseconds(500), ORDER_OUTDATED},
        StartAgeCase{"said_to_be_built_later_than_now", milliseconds(100),
                     milliseconds(90000), std::nullopt}),
    [](const auto& info) { return info.param.name; });

struct WaitingStartCase {
  std::string name;
  // Whether later messages contain the start again, and say that its run was
  // ordered to stop.
  bool repeated = false;
  bool withdrawn = false;
  std::size_t starts = 0;
};

class WaitingStartTest : public TaskAgentTest,
                         public testing::WithParamInterface<WaitingStartCase> {
};

// Guards against a task that starts after its job's cancel was acknowledged:
// the order waits at the agent for a worker that does not answer, while later
// messages renew the lease; the order to stop was lost.
TEST_P(WaitingStartTest, NeedsToBeConfirmed) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  for (int message = 0; message < 10; ++message) {
    now_ += milliseconds(300);
    auto orders = Orders(1);
    if (GetParam().repeated) {
      orders = WithStart(orders, /*repeated=*/true);
      orders.mutable_starts(0)->set_withdrawn(GetParam().withdrawn);
    }
    agent_.OnOrders(now_, "owner", orders);
  }
  ASSERT_TRUE(starts_.empty());
  AnswerList();
  EXPECT_EQ(starts_.size(), GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    WaitingStartTest,
    testing::Values(WaitingStartCase{"never_repeated", false, false, 0},
                    WaitingStartCase{"repeated", true, false, 1},
                    WaitingStartCase{"repeated_as_withdrawn", true, true, 0}),
    [](const auto& info) { return info.param.name; });

struct OldLogCase {
  std::string name;
  // Age of the owner's copy of the log when it sent the start.
  milliseconds log_age{3000};
  // What the log contains beyond that copy; none if it does not answer.
  std::optional<std::vector<KeyedRecord>> records;
  bool starts = false;
};

class OldLogTest : public TaskAgentTest,
                   public testing::WithParamInterface<OldLogCase> {
 protected:
  // Offset after the last record that the owner has read.
  static constexpr uint64_t kReadTo = 70;

 public:
  static auto Cancellation(const std::string& job) -> KeyedRecord {
    auto record = MakeCancellation(job);
    record.offset = kReadTo;
    return record;
  }
  static auto Claim(uint64_t fence) -> KeyedRecord {
    OwnerClaim claim;
    claim.set_owner("entry");
    claim.set_fence(fence);
    auto record = MakeRecord(RecordKind::kClaim, "", claim);
    record.offset = kReadTo;
    return record;
  }
};

// Guards against tasks of a cancelled job that are started by an owner which
// cannot read the log, or has not read yet that it was replaced.
TEST_P(OldLogTest, StartIsCarriedOutOnlyIfTheLogLeavesItStanding) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  auto orders = WithStart(Orders(1), /*repeated=*/false);
  orders.set_log_age_ms(static_cast<uint64_t>(GetParam().log_age.count()));
  orders.set_log_read_to(kReadTo);
  orders.mutable_starts(0)->mutable_task()->set_job(kJobId);
  agent_.OnOrders(now_, "owner", orders);
  EXPECT_EQ(starts_.empty(),
            GetParam().log_age > TaskAgentOptions().max_log_age);
  if (!reads_.empty()) {
    EXPECT_EQ(reads_.back().from, kReadTo);
    if (GetParam().records) {
      ReadResult result;
      result.outcome = ReadOutcome::kRecords;
      result.records = *GetParam().records;
      result.end = kReadTo + result.records.size();
      on_read_(now_, result);
    }
  }
  now_ += StartCheckOptions().patience;
  agent_.Tick(now_);
  EXPECT_EQ(starts_.size(), GetParam().starts ? 1U : 0U);
  EXPECT_EQ(Result(),
            GetParam().starts ? std::nullopt : std::optional(ORDER_OUTDATED));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    OldLogTest,
    testing::Values(
        OldLogCase{"recent", milliseconds(300), std::nullopt, true},
        OldLogCase{"nothing_new", milliseconds(3000),
                   std::vector<KeyedRecord>{}, true},
        OldLogCase{"log_does_not_answer", milliseconds(3000), std::nullopt,
                   true},
        OldLogCase{"job_cancelled", milliseconds(3000),
                   std::vector<KeyedRecord>{OldLogTest::Cancellation(kJobId)},
                   false},
        OldLogCase{"another_job_cancelled", milliseconds(3000),
                   std::vector<KeyedRecord>{
                       OldLogTest::Cancellation("fedcba9876543210")},
                   true},
        OldLogCase{"owner_replaced", milliseconds(3000),
                   std::vector<KeyedRecord>{OldLogTest::Claim(2)}, false},
        OldLogCase{"owner_renewed", milliseconds(3000),
                   std::vector<KeyedRecord>{OldLogTest::Claim(1)}, true}),
    [](const auto& info) { return info.param.name; });

// Guards against a worker that carries out a start long after the owner's
// decision, since the call was valid for as long as the lease.
TEST_F(TaskAgentTest, CallOfAStartIsValidForAsLongAsItsOrder) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  now_ += milliseconds(500);
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  ASSERT_EQ(starts_.size(), 1U);
  // The worker's clock showed 50 s half a second ago.
  EXPECT_EQ(starts_.back().deadline,
            milliseconds(50500) + TaskAgentOptions().max_log_age);
}

// Guards against a call that is valid long after the moment up to which the log
// was known, since the result of a check is used for a while.
TEST_F(TaskAgentTest, CheckedStartIsValidFromTheMomentOfTheCheck) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  const auto old_start = [this](uint64_t number) -> AgentOrders {
    auto orders = WithStart(Orders(1), /*repeated=*/false);
    orders.set_log_age_ms(3000);
    orders.set_log_read_to(70);
    orders.mutable_starts(0)->set_order(number);
    orders.mutable_starts(0)->set_run(10 + number);
    return orders;
  };
  agent_.OnOrders(now_, "owner", old_start(1));
  ASSERT_EQ(reads_.size(), 1U);
  ReadResult result;
  result.outcome = ReadOutcome::kRecords;
  result.end = 70;
  on_read_(now_, result);
  // The log is known up to here: 50 s on the worker's clock.
  now_ += milliseconds(980);
  agent_.OnOrders(now_, "owner", old_start(2));
  ASSERT_EQ(starts_.size(), 2U);
  EXPECT_EQ(reads_.size(), 1U);
  EXPECT_EQ(starts_.back().deadline,
            milliseconds(50000) + TaskAgentOptions().max_log_age);
}

// Guards against the loss of a run whose start was not answered, and whose
// owner has gone: the successor would adopt it.
TEST_F(TaskAgentTest, RunThatMayExistIsNotStoppedBecauseItsOrderIsOld) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  ASSERT_EQ(starts_.size(), 1U);
  for (int step = 0; step < 40; ++step) {
    const auto unanswered = std::exchange(on_start_, nullptr);
    if (unanswered) {
      unanswered(now_, {WorkerCallOutcome::kUnknown});
    }
    now_ += milliseconds(100);
    agent_.Tick(now_);
  }
  EXPECT_TRUE(stops_.empty());
  EXPECT_EQ(Result(), std::nullopt);
}

// Guards against a worker that is called again at once with a start that it has
// found to be late.
TEST_F(TaskAgentTest, LateStartIsReportedAsOutdated) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  on_start_(now_, {WorkerCallOutcome::kLate});
  EXPECT_EQ(Result(), ORDER_OUTDATED);
}

// Guards against logs that do not show how old a start was when it was carried
// out, and on how old a copy of the log it was decided.
TEST_F(TaskAgentTest, LogsTheAgesOfAStart) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  auto orders = WithStart(Orders(1), /*repeated=*/false);
  orders.set_log_age_ms(70);
  orders.mutable_starts(0)->set_decided_before_ms(20);
  agent_.OnOrders(now_, "owner", orders);
  now_ += milliseconds(10);
  on_start_(now_, {WorkerCallOutcome::kDone});
  ASSERT_EQ(decisions_.size(), 1U);
  EXPECT_EQ(decisions_[0].what, "started");
  ASSERT_TRUE(decisions_[0].ages);
  EXPECT_EQ(decisions_[0].ages->since_decision, milliseconds(30));
  EXPECT_EQ(decisions_[0].ages->since_confirmation, milliseconds(10));
  EXPECT_EQ(decisions_[0].ages->log, milliseconds(80));
  EXPECT_EQ(decisions_[0].ages->at_agent, milliseconds(10));
}

TEST_F(TaskAgentTest, HeartbeatOfAnEndedWorkerProcessIsRejected) {
  agent_.OnOrders(now_, "owner", Orders(1));
  SendHeartbeat("life-1");
  SendHeartbeat("life-2");
  AnswerList();
  WorkerHeartbeat late;
  late.worker_id = "life-1";
  late.sequence = ++heartbeats_;
  EXPECT_FALSE(agent_.OnHeartbeat(now_, late));
}

constexpr char kEarlierProcess[] = "worker/1000";
constexpr char kLaterProcess[] = "worker/2000";

class RestartUnderNameTest : public TaskAgentTest {
 protected:
  // Has a start called at the earlier process and not answered.
  auto CallStart() -> void {
    SendHeartbeat(kEarlierProcess);
    agent_.OnOrders(now_, "owner", Orders(1));
    AnswerList();
    AgentOrders orders = WithStart(Orders(1), /*repeated=*/false);
    orders.set_worker_id(kEarlierProcess);
    orders.mutable_starts(0)->set_worker_id(kEarlierProcess);
    agent_.OnOrders(now_, "owner", orders);
    ASSERT_EQ(starts_.size(), 1U);
    AnswerList();
  }

  // The later process sends its first heartbeat, and answers the call that
  // verifies it.
  auto Restart() -> void {
    heartbeats_ = 0;
    SendHeartbeat(kLaterProcess);
    ASSERT_EQ(lists_.back().worker_id, kLaterProcess);
    AnswerList();
  }

  auto ReportedWorker() const -> std::string {
    return reports_.back().worker_id();
  }
};

// Guards against heartbeats that are dropped as older ones after a restart,
// since their numbers begin anew.
TEST_F(RestartUnderNameTest, LaterProcessIsUsedAndTheEarlierOneRejected) {
  CallStart();
  SendHeartbeat(kEarlierProcess);
  Restart();
  WorkerHeartbeat late;
  late.worker_id = kEarlierProcess;
  late.sequence = 100;
  EXPECT_FALSE(agent_.OnHeartbeat(now_, late));
  // Another writer's.
  late.worker_id = "worker";
  EXPECT_FALSE(agent_.OnHeartbeat(now_, late));
}

// Guards against a task that runs in two places: a start that was called at the
// earlier process is carried out by the later one, while its owner starts the
// task elsewhere because the earlier process has ended.
TEST_F(RestartUnderNameTest, RestartIsReportedOnceEarlierStartsAreSettled) {
  CallStart();
  Restart();
  agent_.OnOrders(now_, "owner", Orders(1));
  EXPECT_EQ(ReportedWorker(), "");
  now_ += milliseconds(1);
  AnswerList();
  ASSERT_EQ(stops_.size(), 1U);
  EXPECT_EQ(stops_.back().run, 10U);
  EXPECT_EQ(stops_.back().worker_id, kLaterProcess);
  agent_.OnOrders(now_, "owner", Orders(1));
  EXPECT_EQ(ReportedWorker(), "");
  on_stop_(now_, {WorkerCallOutcome::kDone});
  for (int round = 0; round < 3; ++round) {
    now_ += milliseconds(200);
    agent_.Tick(now_);
    AnswerList();
  }
  agent_.OnOrders(now_, "owner", Orders(1));
  EXPECT_EQ(ReportedWorker(), kLaterProcess);
}

// Guards against ends that nobody has processed: the later process would forget
// those up to the number that the earlier one had reached.
TEST_F(RestartUnderNameTest, EndsOfAWorkerThatDoesNotAnswerAreKept) {
  CallStart();
  AgentOrders orders = Orders(1);
  orders.set_worker_id(kEarlierProcess);
  orders.set_ends_logged(57);
  agent_.OnOrders(now_, "owner", orders);
  AnswerList();
  EXPECT_EQ(lists_.back().forget_through, 57U);
  on_list_(now_, WorkerListing());
  now_ += milliseconds(200);
  agent_.Tick(now_);
  EXPECT_EQ(lists_.back().forget_through, 0U);
}

// Guards against a worker that is not used any more after it has left as
// planned and started again under its name.
TEST_F(RestartUnderNameTest, WorkerThatHasLeftMayComeBack) {
  CallStart();
  agent_.OnLeave(now_, "worker");
  WorkerHeartbeat heartbeat;
  heartbeat.worker_id = kEarlierProcess;
  heartbeat.sequence = ++heartbeats_;
  EXPECT_FALSE(agent_.OnHeartbeat(now_, heartbeat));
  heartbeat.worker_id = kLaterProcess;
  EXPECT_TRUE(agent_.OnHeartbeat(now_, heartbeat));
}

// Guards against a lease that an agent extends after it has recorded that it
// was told to stop: a new owner relies on the record and starts elsewhere what
// still runs.
TEST_F(TaskAgentTest, ExtendsNoLeaseOnceItWasToldToStop) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  ASSERT_EQ(starts_.size(), 1U);
  ASSERT_FALSE(lists_.empty());
  const auto lists = lists_.size();
  agent_.Stop(now_);
  // A start that may be rejected is stopped otherwise.
  on_start_(now_, {WorkerCallOutcome::kNoRoom});
  AnswerList();
  for (int round = 0; round < 30; ++round) {
    now_ += milliseconds(100);
    agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/true));
    agent_.Tick(now_);
    SendHeartbeat(kWorkerId);
  }
  SendHeartbeat("life-2");
  agent_.Tick(now_);
  EXPECT_EQ(lists_.size(), lists);
  EXPECT_EQ(starts_.size(), 1U);
  EXPECT_EQ(stops_.size(), 0U);
  EXPECT_EQ(agent_.next_wake(), TimePoint::max());
}

struct LeaseLeftCase {
  std::string name;
  bool knows_worker = true;
  bool granted = true;
  bool left = false;
  // From the latest grant until the stop.
  milliseconds waited{0};
  // Bounds of the answer, which covers a clock that is 2% slow.
  milliseconds at_least{0};
  milliseconds at_most{0};
};

class LeaseLeftTest : public TaskAgentTest,
                      public testing::WithParamInterface<LeaseLeftCase> {};

// Guards against an agent that states too short a lease when it is told to
// stop, and against one that needlessly states the longest.
TEST_P(LeaseLeftTest, CoversEveryLeaseThatTheWorkerMayHold) {
  if (GetParam().knows_worker) {
    SendHeartbeat(kWorkerId);
    // The lease that an earlier process may have extended is over.
    now_ += std::chrono::seconds(20);
  }
  if (GetParam().granted) {
    agent_.OnOrders(now_, "owner", Orders(1));
    AnswerList();
  }
  if (GetParam().left) {
    agent_.OnLeave(now_, kWorkerId);
  }
  now_ += GetParam().waited;
  const auto left = agent_.Stop(now_);
  EXPECT_GE(left, GetParam().at_least);
  EXPECT_LE(left, GetParam().at_most);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LeaseLeftTest,
    testing::Values(
        LeaseLeftCase{"just_granted", true, true, false, milliseconds(0),
                      milliseconds(5100), milliseconds(5400)},
        LeaseLeftCase{"granted_before", true, true, false, milliseconds(3000),
                      milliseconds(2100), milliseconds(2400)},
        LeaseLeftCase{"over", true, true, false, milliseconds(6000),
                      milliseconds(0), milliseconds(0)},
        LeaseLeftCase{"never_granted", true, false, false, milliseconds(0),
                      milliseconds(0), milliseconds(0)},
        LeaseLeftCase{"worker_left", true, true, true, milliseconds(0),
                      milliseconds(0), milliseconds(0)},
        // An earlier process may have extended it just before.
        LeaseLeftCase{"worker_unknown", false, false, false, milliseconds(0),
                      milliseconds(10200), milliseconds(10400)}),
    [](const auto& info) { return info.param.name; });

// Agents that have just started, and an owner that names the worker process
// that the log records.
class RecoveryTest : public TaskAgentTest {
 protected:
  auto SendOrders(const std::string& recorded_id) -> void {
    auto orders = Orders(1);
    orders.set_recorded_worker_id(recorded_id);
    agent_.OnOrders(now_, "owner", orders);
  }

  auto AnswerOther() -> void {
    WorkerListing listing;
    listing.answered = true;
    listing.other_worker_id = true;
    const auto done = on_list_;
    done(now_, listing);
  }

  // The worker has answered that it is still the recorded process.
  auto Recover() -> void {
    SendOrders(kWorkerId);
    AnswerList();
    AnswerList();
  }

  // The worker has sent a heartbeat and has listed its runs.
  auto Begin() -> void {
    agent_.OnOrders(now_, "owner", Orders(1));
    SendFullHeartbeat(kWorkerId);
    AnswerList();
  }

  auto SendFullHeartbeat(const std::string& worker, bool draining = false)
      -> bool {
    WorkerHeartbeat heartbeat;
    heartbeat.worker_id = worker;
    heartbeat.sequence = ++heartbeats_;
    heartbeat.service = "service";
    heartbeat.capacity.set_millicores(4000);
    heartbeat.draining = draining;
    return agent_.OnHeartbeat(now_, heartbeat);
  }
};

// Guards against a new owner that waits for the next heartbeat of every worker
// after all processes have lost power. The agent must not report room or a
// service before a heartbeat has come: the worker may be draining.
TEST_F(RecoveryTest, ListsRunsOfTheRecordedProcessBeforeAHeartbeat) {
  SendOrders(kWorkerId);
  ASSERT_EQ(lists_.size(), 1U);
  EXPECT_EQ(lists_[0].worker_id, kWorkerId);
  EXPECT_EQ(lists_[0].deadline.count(), 0);
  EXPECT_EQ(reports_.back().worker_id(), "");
  AnswerList();
  ASSERT_EQ(lists_.size(), 2U);
  RunningTask row;
  row.set_run(7);
  AnswerList({row});
  EXPECT_EQ(reports_.back().worker_id(), kWorkerId);
  EXPECT_TRUE(reports_.back().complete());
  EXPECT_EQ(reports_.back().running_size(), 1);
  EXPECT_EQ(reports_.back().service(), "");
  EXPECT_EQ(reports_.back().capacity().millicores(), 0U);
  EXPECT_TRUE(SendFullHeartbeat(kWorkerId, /*draining=*/true));
  EXPECT_EQ(reports_.back().service(), "service");
  EXPECT_EQ(reports_.back().capacity().millicores(), 4000U);
  EXPECT_TRUE(reports_.back().draining());
  EXPECT_EQ(observations_, std::vector<std::string>{"worker_recovered"});
}

// Guards against an agent that takes the answer of another process for that of
// the recorded one: runs may be on a later process that the log does not name.
TEST_F(RecoveryTest, AnotherProcessShowsNothing) {
  SendOrders(kWorkerId);
  AnswerOther();
  EXPECT_EQ(reports_.back().worker_id(), "");
  EXPECT_FALSE(reports_.back().worker_lapsed());
  EXPECT_FALSE(reports_.back().complete());
  now_ += milliseconds(1000);
  SendOrders(kWorkerId);
  EXPECT_EQ(lists_.size(), 1U);
  SendFullHeartbeat("life-2");
  EXPECT_EQ(lists_.back().worker_id, "life-2");
  EXPECT_EQ(observations_,
            std::vector<std::string>{"worker_recovery_rejected"});
}

// Guards against an agent that gives up after a lost answer.
TEST_F(RecoveryTest, AsksAgainWithoutAnAnswer) {
  SendOrders(kWorkerId);
  SendOrders(kWorkerId);
  EXPECT_EQ(lists_.size(), 1U);
  const auto done = on_list_;
  done(now_, WorkerListing());
  SendOrders(kWorkerId);
  EXPECT_EQ(lists_.size(), 1U);
  now_ += milliseconds(150);
  SendOrders(kWorkerId);
  EXPECT_EQ(lists_.size(), 2U);
}

// Guards against a late answer that replaces the worker that a heartbeat has
// made known meanwhile.
TEST_F(RecoveryTest, HeartbeatBeforeTheAnswerCounts) {
  SendOrders(kWorkerId);
  const auto recovered = on_list_;
  SendFullHeartbeat("life-2");
  WorkerListing listing;
  listing.answered = true;
  recovered(now_, listing);
  AnswerList();
  EXPECT_EQ(reports_.back().worker_id(), "life-2");
  EXPECT_TRUE(SendFullHeartbeat("life-2"));
}

// Guards against a listing under the fence of an owner that has been replaced.
TEST_F(RecoveryTest, AnswerUnderAnEarlierFenceDoesNotCount) {
  SendOrders(kWorkerId);
  const auto earlier = on_list_;
  auto orders = Orders(2);
  agent_.OnOrders(now_, "next owner", orders);
  WorkerListing listing;
  listing.answered = true;
  earlier(now_, listing);
  EXPECT_EQ(reports_.back().worker_id(), "");
}

// Guards against asking for a worker that has announced that it leaves.
TEST_F(RecoveryTest, WorkerThatHasLeftIsNotAskedFor) {
  agent_.OnLeave(now_, kWorkerId);
  SendOrders(kWorkerId);
  EXPECT_TRUE(lists_.empty());
}

// Guards against a delayed heartbeat of a process that has ended and that
// reaches an agent which has just started: an owner that took that process for
// the present one would start elsewhere what runs on the worker.
TEST_F(RecoveryTest, ProcessIsNotReportedBeforeItAnswers) {
  agent_.OnOrders(now_, "owner", Orders(1));
  SendFullHeartbeat("life-0");
  AnswerOther();
  EXPECT_EQ(reports_.back().worker_id(), "");
  SendFullHeartbeat(kWorkerId);
  AnswerList();
  AnswerList();
  EXPECT_EQ(reports_.back().worker_id(), kWorkerId);
  EXPECT_FALSE(SendFullHeartbeat("life-0"));
}

struct OtherHeartbeatCase {
  std::string name;
  // Whether the worker is known by the log's record alone.
  bool recovered = false;
  // Whether the process that has sent the heartbeat answers a listing.
  bool present = false;
  std::string worker_id;
};

class OtherHeartbeatTest
    : public RecoveryTest,
      public testing::WithParamInterface<OtherHeartbeatCase> {};

// Guards against a delayed heartbeat of a process that has ended: the live
// process would be taken for ended, and its heartbeats would be rejected from
// then on.
TEST_P(OtherHeartbeatTest, OnlyTheProcessThatAnswersIsTheWorker) {
  if (GetParam().recovered) {
    Recover();
  } else {
    Begin();
  }
  EXPECT_TRUE(SendFullHeartbeat("life-other"));
  EXPECT_EQ(lists_.back().worker_id, "life-other");
  if (GetParam().present) {
    AnswerList();
    AnswerList();
  } else {
    AnswerOther();
  }
  agent_.OnOrders(now_, "owner", Orders(1));
  EXPECT_EQ(reports_.back().worker_id(), GetParam().worker_id);
  EXPECT_EQ(SendFullHeartbeat(kWorkerId), !GetParam().present);
  EXPECT_EQ(SendFullHeartbeat("life-other"), GetParam().present);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    OtherHeartbeatTest,
    testing::Values(
        OtherHeartbeatCase{"earlier_process", false, false, kWorkerId},
        OtherHeartbeatCase{"later_process", false, true, "life-other"},
        OtherHeartbeatCase{"earlier_process_after_recovery", true, false,
                           kWorkerId},
        OtherHeartbeatCase{"later_process_after_recovery", true, true,
                           "life-other"}),
    [](const auto& info) { return info.param.name; });

struct LapseCase {
  std::string name;
  // What happens during the six seconds before the lapse is listed.
  bool process_runs = true;
  bool orders_come = true;
  bool orders_grant = true;
  bool worker_answers = true;
  std::string why;
};

class LapseTest : public TaskAgentTest,
                  public testing::WithParamInterface<LapseCase> {
 protected:
  static constexpr milliseconds kStep{100};

  auto Step(const LapseCase& param) -> void {
    now_ += kStep;
    agent_.Tick(now_);
    if (param.orders_come) {
      auto orders = Orders(1);
      if (!param.orders_grant) {
        orders.clear_granted_from_us();
      }
      agent_.OnOrders(now_, "owner", orders);
    }
    if (param.worker_answers && on_list_ != nullptr) {
      AnswerList();
    }
  }
};

// Guards against tasks whose leases lapse without a line that tells why: the
// causes look the same at the worker.
TEST_P(LapseTest, LineTellsWhatWasMissing) {
  constexpr int kSteps = 60;
  const auto& param = GetParam();
  SendHeartbeat(kWorkerId);
  for (int step = 0; step < 200; ++step) {
    Step({});
  }
  if (param.process_runs) {
    for (int step = 0; step < kSteps; ++step) {
      Step(param);
    }
  } else {
    now_ += kSteps * kStep;
  }
  // Leaves the next listing to be answered below.
  LapseCase last;
  last.worker_answers = false;
  Step(last);
  WorkerListing listing;
  listing.answered = true;
  EndedTask ended;
  ended.set_number(1);
  ended.set_run(10);
  ended.mutable_task()->set_job(kJobId);
  ended.set_end(RUN_LEASE_LAPSED);
  listing.ended = {ended};
  const auto done = on_list_;
  done(now_, listing);
  ASSERT_FALSE(decisions_.empty());
  EXPECT_EQ(decisions_.back().what, "lapsed");
  EXPECT_EQ(decisions_.back().task.job(), kJobId);
  EXPECT_EQ(decisions_.back().run, 10U);
  EXPECT_THAT(decisions_.back().why, testing::HasSubstr(param.why));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LapseTest,
    testing::Values(
        LapseCase{.name = "process_was_frozen",
                  .process_runs = false,
                  .why = "of this process 6100 ms, of orders 6100 ms"},
        LapseCase{.name = "owner_was_silent",
                  .orders_come = false,
                  .why = "of this process 100 ms, of orders 6100 ms"},
        LapseCase{.name = "owner_granted_nothing",
                  .orders_grant = false,
                  .why = "of orders 100 ms, of grants 6100 ms"},
        LapseCase{.name = "worker_was_unresponsive",
                  .worker_answers = false,
                  .why = "of grants 100 ms, of the worker's answers 6100 ms"}),
    [](const auto& info) { return info.param.name; });

// Guards against a lapse that looks like a silent owner although the agent
// itself was gone.
TEST_F(TaskAgentTest, LapseBeforeThisProcessIsToldAsSuch) {
  agent_.Tick(now_);
  now_ += milliseconds(300);
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  WorkerListing listing;
  listing.answered = true;
  EndedTask ended;
  ended.set_number(1);
  ended.set_end(RUN_LEASE_LAPSED);
  listing.ended = {ended};
  const auto done = on_list_;
  done(now_, listing);
  ASSERT_FALSE(decisions_.empty());
  EXPECT_THAT(decisions_.back().why,
              testing::HasSubstr("this process started 300 ms ago"));
}

struct EarlierOwnerCase {
  std::string name;
  // When the agent answers the first owner, after its start; never if not set.
  std::optional<milliseconds> answers_first_at;
  // When it answers the second one.
  milliseconds answers_second_at{0};
  milliseconds since_earlier{0};
};

class EarlierOwnerTest : public TaskAgentTest,
                         public testing::WithParamInterface<EarlierOwnerCase> {
};

// Guards against tasks that run in two places: a new owner counts from when its
// agents have answered the one before, or an earlier process of the agent may
// have.
TEST_P(EarlierOwnerTest, ReportTellsSinceWhenItFollowsNoEarlierOwner) {
  const auto& param = GetParam();
  const TimePoint started_at = now_;
  agent_.Tick(now_);
  SendHeartbeat(kWorkerId);
  if (param.answers_first_at) {
    now_ = started_at + *param.answers_first_at;
    auto orders = Orders(1);
    orders.set_built_at_us(111);
    agent_.OnOrders(now_, "first", orders);
    EXPECT_EQ(reports_.back().orders_built_at_us(), 111U);
  }
  now_ = started_at + param.answers_second_at;
  auto orders = Orders(2);
  orders.set_built_at_us(22);
  agent_.OnOrders(now_, "second", orders);
  EXPECT_EQ(reports_.back().fence(), 2U);
  EXPECT_EQ(reports_.back().orders_built_at_us(), 22U);
  EXPECT_EQ(reports_.back().since_earlier_owner_ms(),
            param.since_earlier.count());
  // Late orders of the first owner get no answer that it could count.
  const std::size_t before = reports_.size();
  agent_.OnOrders(now_, "first", Orders(1));
  ASSERT_EQ(reports_.size(), before + 1);
  EXPECT_EQ(reports_.back().fence(), 2U);
  EXPECT_EQ(reports_.back().orders_built_at_us(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    EarlierOwnerTest,
    testing::Values(EarlierOwnerCase{"answered_one", milliseconds(1000),
                                     milliseconds(3500), milliseconds(2500)},
                    EarlierOwnerCase{"answered_one_just_now",
                                     milliseconds(3500), milliseconds(3500),
                                     milliseconds(0)},
                    EarlierOwnerCase{"has_just_started",
                                     {},
                                     milliseconds(300),
                                     milliseconds(300)}),
    [](const auto& info) { return info.param.name; });

// Guards against a task that runs with an empty payload, since the owner has
// left it out and the agent does not have it.
TEST_F(TaskAgentTest, StartWaitsForAPayloadThatWasLeftOut) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  auto orders = WithStart(Orders(1), /*repeated=*/false);
  auto* start = orders.mutable_starts(0);
  start->set_payload_hash(7);
  start->set_payload_omitted(true);
  agent_.OnOrders(now_, "owner", orders);
  EXPECT_TRUE(starts_.empty());
  ASSERT_EQ(reports_.back().missing_payloads_size(), 1);
  EXPECT_EQ(reports_.back().missing_payloads(0), "job");
  EXPECT_TRUE(reports_.back().keeps_payloads());
  start->set_payload_omitted(false);
  start->set_payload("text");
  start->set_repeated(true);
  now_ += milliseconds(10);
  agent_.OnOrders(now_, "owner", orders);
  ASSERT_EQ(starts_.size(), 1U);
  EXPECT_EQ(starts_.back().payload, "text");
  EXPECT_EQ(reports_.back().missing_payloads_size(), 0);
}

TEST_F(TaskAgentTest, StartUsesThePayloadOfAnEarlierOne) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  auto orders = WithStart(Orders(1), /*repeated=*/false);
  orders.mutable_starts(0)->set_payload_hash(7);
  orders.mutable_starts(0)->set_payload("text");
  auto* second = orders.add_starts();
  *second = orders.starts(0);
  second->set_order(2);
  second->set_run(11);
  second->mutable_task()->set_index(1);
  second->clear_payload();
  second->set_payload_omitted(true);
  agent_.OnOrders(now_, "owner", orders);
  ASSERT_EQ(starts_.size(), 2U);
  EXPECT_EQ(starts_[1].payload, "text");
}

// Guards against a start that waits for its payload after its stop was ordered.
TEST_F(TaskAgentTest, WithdrawnStartWaitsForNoPayload) {
  SendHeartbeat(kWorkerId);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  auto orders = WithStart(Orders(1), /*repeated=*/false);
  orders.mutable_starts(0)->set_payload_omitted(true);
  orders.mutable_starts(0)->set_withdrawn(true);
  agent_.OnOrders(now_, "owner", orders);
  EXPECT_TRUE(starts_.empty());
  EXPECT_EQ(Result(), ORDER_REFUSED);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

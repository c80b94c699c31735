// What an agent does with orders when calls to its worker fail, and what a
// process that has just started may say.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;

constexpr char kWorker[] = "life-1";
constexpr uint64_t kIncarnation = 5;

// An agent whose calls to the worker are kept until the test answers them.
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
    hooks.report = [this](const std::string&, AgentReport report) {
      reports_.push_back(std::move(report));
    };
    hooks.log = [](const std::string&, const TaskName&, uint64_t,
                   const std::string&) {};
    return hooks;
  }

  auto Beat(const std::string& worker) -> void {
    WorkerHeartbeat heartbeat;
    heartbeat.worker_id = worker;
    heartbeat.sequence = ++beats_;
    agent_.OnHeartbeat(now_, heartbeat);
  }

  auto Orders(uint64_t fence) const -> AgentOrders {
    AgentOrders orders;
    orders.set_fence(fence);
    orders.set_owner_incarnation(fence);
    orders.set_worker_id(kWorker);
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
    start->set_worker_id(kWorker);
    start->set_repeated(repeated);
    return orders;
  }

  static auto WithStop(AgentOrders orders, uint64_t run) -> AgentOrders {
    auto* stop = orders.add_stops();
    stop->set_order(2);
    stop->set_run(run);
    stop->mutable_task()->set_job("job");
    stop->set_worker_id(kWorker);
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

  // The outcome that was last reported of order 1.
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
  uint64_t beats_ = 0;
  std::vector<StartCall> starts_;
  std::vector<StopCall> stops_;
  std::vector<ListCall> lists_;
  WorkerPort::OnCall on_start_;
  WorkerPort::OnCall on_stop_;
  WorkerPort::OnListing on_list_;
  std::vector<AgentReport> reports_;
  TaskAgent agent_;
};

struct LeaseCase {
  std::string name;
  // The process that the grant names.
  uint64_t incarnation = 0;
  // From the agent's time to that of the grant.
  milliseconds ahead{0};
  bool starts = false;
};

class LeaseTest : public TaskAgentTest,
                  public testing::WithParamInterface<LeaseCase> {};

// Guards against a lease that outlasts what the owner reckons with: after a
// loss of power the agent's clock begins at zero, and the first orders still
// name the time of the process before it. In a cut, the worker's tasks then
// went on while they were started elsewhere.
TEST_P(LeaseTest, HoldsOnlyForTheProcessThatItWasGrantedTo) {
  Beat(kWorker);
  auto orders = WithStart(Orders(1), /*repeated=*/false);
  orders.set_granted_to_incarnation(GetParam().incarnation);
  orders.set_granted_from_us(
      orders.granted_from_us() +
      std::chrono::microseconds(GetParam().ahead).count());
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

// Guards against a start in a failure domain that is being emptied, by an order
// that was under way or is repeated.
TEST_F(TaskAgentTest, StartsNothingWhileItsDomainIsEvacuated) {
  Beat(kWorker);
  auto orders = WithStart(Orders(1), /*repeated=*/false);
  orders.set_evacuated(true);
  agent_.OnOrders(now_, "owner", orders);
  AnswerList();
  EXPECT_TRUE(starts_.empty());
  EXPECT_EQ(Result(), ORDER_REFUSED);
  agent_.OnOrders(now_, "owner", Orders(1));
  auto later = Orders(1);
  auto* start = later.add_starts();
  start->set_order(2);
  start->set_run(11);
  start->mutable_task()->set_job("job");
  start->set_worker_id(kWorker);
  agent_.OnOrders(now_, "owner", later);
  EXPECT_EQ(starts_.size(), 1U);
}

// Guards against starts that rest on room that the worker has no more: its
// owner hears of the change with the heartbeat, not with the next poll.
TEST_F(TaskAgentTest, ChangedCapacityIsToldAtOnce) {
  agent_.OnOrders(now_, "owner", Orders(1));
  WorkerHeartbeat heartbeat;
  heartbeat.worker_id = kWorker;
  for (const uint32_t millicores : {4000U, 4000U, 1000U, 4000U}) {
    heartbeat.sequence = ++beats_;
    heartbeat.capacity.set_millicores(millicores);
    const auto told = reports_.size();
    agent_.OnHeartbeat(now_, heartbeat);
    if (beats_ > 2) {
      ASSERT_EQ(reports_.size(), told + 1);
      EXPECT_EQ(reports_.back().capacity().millicores(), millicores);
    }
  }
}

struct CrashTellCase {
  std::string name;
  // The start's call was answered before the crash.
  bool answered = true;
  // A listing after the start showed no run.
  bool listed_without = false;
  bool drains = false;
  // From the crash to the owner's next orders.
  milliseconds later{300};
  bool told = false;
};

class CrashTellTest : public TaskAgentTest,
                      public testing::WithParamInterface<CrashTellCase> {};

// Guards against a crash that no later owner hears of, since the worker's next
// life lists nothing of it.
TEST_P(CrashTellTest, NextOwnerIsToldWhatACrashEnded) {
  Beat(kWorker);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  if (GetParam().answered) {
    on_start_(now_, {WorkerCallOutcome::kDone});
  }
  now_ += milliseconds(10);
  if (GetParam().listed_without) {
    // The listing that was asked for before the start, then one after it.
    AnswerList();
    AnswerList();
  }
  if (GetParam().drains) {
    WorkerHeartbeat heartbeat;
    heartbeat.worker_id = kWorker;
    heartbeat.sequence = ++beats_;
    heartbeat.draining = true;
    agent_.OnHeartbeat(now_, heartbeat);
  }
  Beat("life-2");
  now_ += GetParam().later;
  agent_.OnOrders(now_, "next", Orders(2));
  ASSERT_EQ(reports_.back().fence(), 2U);
  ASSERT_EQ(reports_.back().crashed_size(), GetParam().told ? 1 : 0);
  if (GetParam().told) {
    EXPECT_EQ(reports_.back().crashed(0).run(), 10U);
    EXPECT_EQ(reports_.back().crashed(0).task().job(), "job");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CrashTellTest,
    testing::Values(CrashTellCase{"started", true, false, false,
                                  milliseconds(300), true},
                    CrashTellCase{"start_without_an_answer", false, false,
                                  false, milliseconds(300), true},
                    CrashTellCase{"long_ago", true, false, false,
                                  milliseconds(60000), false},
                    CrashTellCase{"over_before", true, true, false,
                                  milliseconds(300), false},
                    CrashTellCase{"drained_before", true, false, true,
                                  milliseconds(300), false}),
    [](const auto& info) { return info.param.name; });

// Guards against reports that grow with each crash of a worker that crashes
// again and again.
TEST_F(TaskAgentTest, StoredCrashesAreToldNoMore) {
  Beat(kWorker);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  on_start_(now_, {WorkerCallOutcome::kDone});
  Beat("life-2");
  auto orders = Orders(1);
  orders.set_crashes_logged(1);
  orders.set_crashes_of_incarnation(99);
  agent_.OnOrders(now_, "owner", orders);
  EXPECT_EQ(reports_.back().crashed_size(), 1) << "stored of another process";
  orders.set_crashes_of_incarnation(kIncarnation);
  agent_.OnOrders(now_, "owner", orders);
  EXPECT_EQ(reports_.back().crashed_size(), 0);
}

struct LeaveCase {
  std::string name;
  // Lives of the worker that the agent has heard of, and the one that leaves.
  std::vector<std::string> heard;
  std::string leaves;
  bool nothing_runs = false;
};

class LeaveTest : public TaskAgentTest,
                  public testing::WithParamInterface<LeaveCase> {};

// Symptom: after a takeover no task of before runs for 20 s. Cause: an agent
// whose worker had left told the new owner nothing about it, so that the census
// waited. It may only say so of the life that it knew last: a process that has
// just started may hear an older life leave, late, before it hears of the
// worker on which tasks run.
TEST_P(LeaveTest, SaysThatNothingRunsOnlyOfTheLifeItKnew) {
  agent_.OnOrders(now_, "owner", Orders(1));
  for (const auto& life : GetParam().heard) {
    Beat(life);
  }
  agent_.OnLeave(now_, GetParam().leaves);
  agent_.OnOrders(now_, "owner", Orders(2));
  EXPECT_EQ(reports_.back().fence(), 2U);
  EXPECT_EQ(reports_.back().worker_lapsed(), GetParam().nothing_runs);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LeaveTest,
    testing::Values(LeaveCase{"life_that_it_knew", {kWorker}, kWorker, true},
                    LeaveCase{"life_unknown_after_a_start", {}, kWorker, false},
                    LeaveCase{"earlier_life_after_the_next_came",
                              {kWorker, "life-2"},
                              kWorker,
                              false}),
    [](const auto& info) { return info.param.name; });

// Symptom: a task runs in two places. Sequence: the agent starts a run and is
// killed before the owner hears of it; the next process gets the order again,
// before the worker's first heartbeat. Cause: the process took the order for
// one to another life of the worker and refused it.
TEST_F(TaskAgentTest, ProcessThatKnowsNoWorkerRefusesNothing) {
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/true));
  EXPECT_EQ(Result(), std::nullopt);
  Beat(kWorker);
  AnswerList();
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/true));
  ASSERT_EQ(starts_.size(), 1U);
  on_start_(now_, {WorkerCallOutcome::kDone});
  EXPECT_EQ(Result(), ORDER_DONE);
}

// Symptom: a task runs in two places. Sequence: a start gets no answer, its
// repeat finds no room, the task goes elsewhere, and the first copy is carried
// out late, when there is room. Why not here: the run is stopped at the worker
// first, which then refuses it for good.
TEST_F(TaskAgentTest, RefusalAfterALostAnswerWaitsForTheStop) {
  Beat(kWorker);
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
  // A listing that was asked for before the stop proves nothing.
  AnswerList();
  EXPECT_EQ(Result(), std::nullopt);
  now_ += milliseconds(500);
  agent_.Tick(now_);
  AnswerList();
  EXPECT_EQ(Result(), ORDER_NO_ROOM);
}

// Symptom: a task runs in two places. Sequence: an agent is frozen with an
// order that it has not given; the owner takes the worker for lost; the agent
// wakes up, gets a new lease, and gives the order.
TEST_F(TaskAgentTest, OrderOfAnEarlierLeaseIsRefused) {
  Beat(kWorker);
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
  start->set_worker_id(kWorker);
  now_ += std::chrono::seconds(20);
  // The grant is counted from when the agent last reported, long ago.
  agent_.OnOrders(now_, "owner", late);
  EXPECT_EQ(starts_.size(), 1U);
}

struct WithdrawnCase {
  std::string name;
  bool repeated = false;
  // Of the stop that comes with the start; the start's run is 10.
  uint64_t stopped_run = 10;
  std::size_t starts = 0;
};

class WithdrawnStartTest : public TaskAgentTest,
                           public testing::WithParamInterface<WithdrawnCase> {};

// Guards against a task that is started long after its job was cancelled: the
// start was lost on its way, and is sent again beside the stop.
TEST_P(WithdrawnStartTest, IsNotCarriedOut) {
  Beat(kWorker);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  agent_.OnOrders(now_, "owner",
                  WithStop(WithStart(Orders(1), GetParam().repeated),
                           GetParam().stopped_run));
  EXPECT_EQ(starts_.size(), GetParam().starts);
  EXPECT_FALSE(stops_.empty());
  const bool refused = GetParam().starts == 0 && !GetParam().repeated;
  EXPECT_EQ(Result(), refused ? std::optional(ORDER_REFUSED) : std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    WithdrawnStartTest,
    testing::Values(WithdrawnCase{"never_sent", false, 10, 0},
                    // An earlier copy may still be carried out: it is stopped
                    // before it is said to be refused.
                    WithdrawnCase{"sent_before", true, 10, 0},
                    WithdrawnCase{"later_run_stopped", false, 11, 0},
                    WithdrawnCase{"earlier_run_stopped", false, 9, 1}),
    [](const auto& info) { return info.param.name; });

// Guards against a start carried out although its stop, unanswered, came first.
TEST_F(TaskAgentTest, StartThatComesAfterItsStopIsNotCarriedOut) {
  Beat(kWorker);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  const auto stopping = WithStop(Orders(1), 10);
  agent_.OnOrders(now_, "owner", stopping);
  ASSERT_EQ(stops_.size(), 1U);
  agent_.OnOrders(now_, "owner", WithStart(stopping, /*repeated=*/true));
  EXPECT_TRUE(starts_.empty());
}

TEST_F(TaskAgentTest, DrainingWorkerGetsNoStart) {
  Beat(kWorker);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  WorkerHeartbeat leaving;
  leaving.worker_id = kWorker;
  leaving.sequence = ++beats_;
  leaving.draining = true;
  agent_.OnHeartbeat(now_, leaving);
  agent_.OnOrders(now_, "owner", WithStart(Orders(1), /*repeated=*/false));
  EXPECT_TRUE(starts_.empty());
  EXPECT_EQ(Result(), ORDER_REFUSED);
}

TEST_F(TaskAgentTest, ReplacedOwnerGetsNothingButTheFence) {
  Beat(kWorker);
  agent_.OnOrders(now_, "new", Orders(2));
  AnswerList();
  reports_.clear();
  agent_.OnOrders(now_, "old", WithStart(Orders(1), /*repeated=*/false));
  EXPECT_TRUE(starts_.empty());
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(reports_[0].fence(), 2U);
}

TEST_F(TaskAgentTest, SilentWorkersLeaseIsNotRenewed) {
  Beat(kWorker);
  agent_.OnOrders(now_, "owner", Orders(1));
  AnswerList();
  ASSERT_GT(lists_.back().deadline.count(), 0);
  on_list_(now_, WorkerListing());
  now_ += milliseconds(500);
  agent_.Tick(now_);
  EXPECT_EQ(lists_.back().deadline.count(), 0);
}

// Symptom: a task runs in two places. Sequence: a worker falls silent, its
// lease runs out, the owner takes its runs for lost; the agent's next report
// lists them as before. Cause: the listing of before the silence was told
// again.
TEST_F(TaskAgentTest, SilentWorkersRunsAreNotTold) {
  Beat(kWorker);
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

// Symptom: a task stays down for as long as its worker is silent, with room for
// it elsewhere. Sequence: a worker falls silent; a start to it gets no answer
// and is made again. Cause: the owner keeps a start without a result, and the
// agent never gave one: each repeat carried a later deadline, so that the
// worker's lease did not run out for sure. Repeats carry no later deadline than
// the lease that the worker has.
TEST_F(TaskAgentTest, StartToASilentWorkerIsRefusedOnceItsLeaseIsOver) {
  Beat(kWorker);
  // Until no lease can hold that an earlier process of the agent has renewed.
  const TimePoint known = now_ + TaskAgentOptions().longest_lease;
  while (now_ <= known) {
    agent_.OnOrders(now_, "owner", Orders(1));
    now_ += milliseconds(300);
    AnswerList();
  }
  const TimePoint silent_since = now_;
  constexpr milliseconds kTimeout{400};
  // A lease of 5 s, what clocks may differ in it, and a call under way.
  constexpr milliseconds kSettledWithin{6000};
  while (now_ < silent_since + kSettledWithin) {
    agent_.OnOrders(now_, "owner", WithStart(Orders(1), now_ > silent_since));
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
  // The first was called before the silence was known.
  for (const auto& start : starts_) {
    EXPECT_LE(start.deadline, starts_.front().deadline);
  }
}

TEST_F(TaskAgentTest, HeartbeatOfALifeThatIsOverIsNotTaken) {
  Beat("life-1");
  Beat("life-2");
  WorkerHeartbeat late;
  late.worker_id = "life-1";
  late.sequence = ++beats_;
  EXPECT_FALSE(agent_.OnHeartbeat(now_, late));
}

}  // namespace
}  // namespace rhubarbhaven::jobs

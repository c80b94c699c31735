// Tests of what an owner's messages say about the age of its orders.

#include <gtest/gtest.h>

#include "Jobs/order_window.h"
#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

class OwnerOrdersTest : public JobOwnerTest {
 protected:
  // Starts one task on agent-0 and discards the order, as if it were lost.
  auto LoseStart() -> StartOrder {
    Begin();
    PutJob({Step(1)});
    Report("agent-0", ReportOf("agent-0"));
    StartOrder start = starts_["agent-0"].begin()->second;
    starts_.clear();
    return start;
  }

  // Reports that the agent has received the owner's newest message.
  auto AcknowledgeNewest(AgentReport report) -> void {
    report.set_orders_built_at_us(latest_orders_["agent-0"].built_at_us());
    report.set_keeps_payloads(true);
    Report("agent-0", report);
  }

  // Submits a job with a payload after agent-0 has reported.
  auto PutJobWithPayload(const JobStep& step,
                         std::size_t payload_bytes,
                         bool keeps_payloads = true) -> void {
    Begin();
    auto report = ReportOf("agent-0");
    report.set_keeps_payloads(keeps_payloads);
    Report("agent-0", report);
    now_ += milliseconds(10);
    Job job;
    job.set_id(kJobId);
    job.set_payload(std::string(payload_bytes, 'x'));
    *job.add_steps() = step;
    Put(MakeRecord(RecordKind::kJob, kJobId, job));
    owner_.Tick(now_);
  }

  // Submits a job with so many starts on agent-0 that some wait for the window.
  // Returns how many were sent.
  auto FillWindow() -> std::size_t {
    auto step = Step(kManyTasks);
    step.mutable_need()->set_millicores(50);
    PutJobWithPayload(step, kLongPayload, /*keeps_payloads=*/false);
    return starts_["agent-0"].size();
  }

  auto placed() const -> std::size_t {
    return std::count_if(decisions_.begin(), decisions_.end(),
                         [](const OwnerDecision& decision) -> bool {
                           return decision.what == "place";
                         });
  }

  auto ExpectNoIndexErrors() -> void {
    for (const auto& problem : owner_.FindIndexErrors(now_)) {
      ADD_FAILURE() << problem;
    }
  }

  // More than the window of one agent, and of all agents.
  static constexpr std::size_t kManyTasks = 80;
  static constexpr std::size_t kLongPayload = 4000;

  auto PayloadsSent() const -> std::size_t {
    const auto& starts = latest_orders_.at("agent-0").starts();
    return std::count_if(starts.begin(), starts.end(),
                         [](const StartOrder& start) -> bool {
                           return !start.payload_omitted();
                         });
  }

  // Lets the owner send its next messages this much later.
  auto PollAfter(milliseconds wait) -> void {
    now_ += wait;
    owner_.Tick(now_);
  }
};

// Guards against an agent that takes a repeat of a start for a confirmation,
// although the owner has ordered a stop of the run, which was lost.
TEST_F(OwnerOrdersTest, RepeatOfAStartSaysThatItWasWithdrawn) {
  const uint64_t number = LoseStart().order();
  PollAfter(JobOwnerOptions().repeat_after);
  ASSERT_TRUE(starts_["agent-0"].contains(number));
  EXPECT_FALSE(starts_["agent-0"][number].withdrawn());
  Put(MakeCancellation(kJobId));
  Report("agent-0", ReportOf("agent-0"));
  PollAfter(JobOwnerOptions().repeat_after);
  EXPECT_TRUE(starts_["agent-0"][number].withdrawn());
}

TEST_F(OwnerOrdersTest, MessageSaysHowOldItsOrdersAndTheLogAre) {
  const uint64_t number = LoseStart().order();
  log_age_ = milliseconds(70);
  PollAfter(JobOwnerOptions().repeat_after);
  const auto& orders = latest_orders_["agent-0"];
  ASSERT_EQ(orders.starts_size(), 1);
  EXPECT_EQ(orders.built_after_us(), 400000U);
  EXPECT_EQ(orders.log_age_ms(), 70U);
  EXPECT_EQ(orders.log_read_to(), offset_ + 1);
  EXPECT_EQ(starts_["agent-0"][number].decided_before_ms(), 400U);
}

// Guards against a slow owner whose own orders arrive too late: that is no
// failure of the task or of the worker.
TEST_F(OwnerOrdersTest, OutdatedStartIsPlacedAgainAndCountsAsNoFailure) {
  for (int attempt = 0; attempt < 5; ++attempt) {
    const auto start =
        attempt == 0 ? LoseStart() : starts_["agent-0"].rbegin()->second;
    auto report = ReportOf("agent-0");
    auto* result = report.add_results();
    result->set_order(start.order());
    result->set_outcome(ORDER_OUTDATED);
    Report("agent-0", report);
    const auto placed_again = [&]() -> bool {
      const auto& starts = starts_["agent-0"];
      return starts.upper_bound(start.order()) != starts.end();
    };
    // An owner that is late anyway does not place it again at once.
    PollAfter(milliseconds(400));
    ASSERT_FALSE(placed_again());
    PollAfter(milliseconds(200));
    ASSERT_TRUE(placed_again());
  }
  EXPECT_EQ(fold_.Find(kJobId)->state(), JOB_QUEUED);
}

// Guards against logs from which nobody can tell that orders lie between the
// owner and its agents.
TEST_F(OwnerOrdersTest, ReportsTheLongestDelayOfAStart) {
  const auto start = LoseStart();
  PollAfter(milliseconds(600));
  Report("agent-0", ReportOf("agent-0"));
  PollAfter(milliseconds(600));
  Report("agent-0", Started("agent-0", 0));
  PollAfter(milliseconds(1000));
  ASSERT_FALSE(start_delays_.empty());
  EXPECT_EQ(*std::max_element(start_delays_.begin(), start_delays_.end()),
            milliseconds(1200));
}

// Guards against logs from which nobody can tell that an owner fills its own
// link with starts that it sends again.
TEST_F(OwnerOrdersTest, ReportsTheBytesOfRepeatedStarts) {
  LoseStart();
  PollAfter(milliseconds(600));
  PollAfter(milliseconds(1000));
  OrderTraffic sum;
  for (const auto& traffic : order_traffic_) {
    sum.bytes += traffic.bytes;
    sum.start_bytes += traffic.start_bytes;
    sum.repeated_bytes += traffic.repeated_bytes;
  }
  EXPECT_GT(sum.repeated_bytes, 0U);
  EXPECT_GT(sum.start_bytes, sum.repeated_bytes);
  EXPECT_GT(sum.bytes, sum.start_bytes);
}

// Guards against an owner that fills its link with repeats: while the agent has
// received no later message, the first copy is probably still queued.
TEST_F(OwnerOrdersTest, StartIsNotRepeatedWhileItMayBeQueued) {
  PutJobWithPayload(Step(1), 0);
  const uint64_t number = starts_["agent-0"].begin()->first;
  starts_.clear();
  for (int poll = 0; poll < 6; ++poll) {
    PollAfter(JobOwnerOptions().repeat_after);
    EXPECT_FALSE(starts_["agent-0"].contains(number)) << poll;
  }
  // The message with the start was lost, and a later one has arrived.
  AcknowledgeNewest(ReportOf("agent-0"));
  PollAfter(JobOwnerOptions().poll_interval);
  EXPECT_TRUE(starts_["agent-0"].contains(number));
  EXPECT_TRUE(starts_["agent-0"][number].repeated());
}

// Guards against an owner whose link carries a job's payload once for each
// task.
TEST_F(OwnerOrdersTest, PayloadIsSentOnceToAnAgent) {
  PutJobWithPayload(Step(3), 1000);
  ASSERT_EQ(starts_["agent-0"].size(), 3U);
  EXPECT_EQ(PayloadsSent(), 1U);
  for (const auto& [number, start] : starts_["agent-0"]) {
    EXPECT_EQ(start.payload_hash(), StableHash(std::string(1000, 'x')));
  }
  AcknowledgeNewest(ReportOf("agent-0"));
  PollAfter(JobOwnerOptions().repeat_after);
  ASSERT_EQ(latest_orders_["agent-0"].starts_size(), 3);
  EXPECT_EQ(PayloadsSent(), 0U);
}

// Guards against an agent of an older version, which would start a task with an
// empty payload.
TEST_F(OwnerOrdersTest, PayloadIsNotOmittedForAnAgentThatKeepsNone) {
  PutJobWithPayload(Step(3), 1000, /*keeps_payloads=*/false);
  ASSERT_EQ(starts_["agent-0"].size(), 3U);
  EXPECT_EQ(PayloadsSent(), 3U);
}

// Guards against a start that waits forever for a payload that was lost, or
// that the agent has discarded.
TEST_F(OwnerOrdersTest, MissingPayloadIsSentAgainOnce) {
  PutJobWithPayload(Step(2), 1000);
  const uint64_t built_at_us = latest_orders_["agent-0"].built_at_us();
  auto report = ReportOf("agent-0");
  report.add_missing_payloads(kJobId);
  // The report was made before the payload can have arrived.
  report.set_orders_built_at_us(built_at_us - 1);
  report.set_keeps_payloads(true);
  now_ += milliseconds(1);
  Report("agent-0", report);
  EXPECT_EQ(latest_orders_["agent-0"].built_at_us(), built_at_us);
  report.set_orders_built_at_us(built_at_us);
  report.set_sent_us(++sent_us_);
  Report("agent-0", report);
  EXPECT_GT(latest_orders_["agent-0"].built_at_us(), built_at_us);
  ASSERT_EQ(latest_orders_["agent-0"].starts_size(), 2);
  EXPECT_EQ(PayloadsSent(), 1U);
}

// Guards against a restarted agent whose starts wait for one more round trip,
// or forever.
TEST_F(OwnerOrdersTest, PayloadIsSentToTheNextProcessOfAnAgent) {
  PutJobWithPayload(Step(1), 1000);
  auto report = ReportOf("agent-0");
  report.set_incarnation(2);
  AcknowledgeNewest(report);
  StoreBatch();
  PollAfter(JobOwnerOptions().repeat_after);
  ASSERT_EQ(latest_orders_["agent-0"].starts_size(), 1);
  EXPECT_EQ(PayloadsSent(), 1U);
}

// Guards against starts that queue on the owner's link before its renewals, and
// against tasks that are decided long before their starts can be sent.
TEST_F(OwnerOrdersTest, StartsWaitForTheWindow) {
  const OrderWindowOptions window = OrderWindowFor(JobOwnerOptions().link_mbps);
  EXPECT_GT(FillWindow(), 1U);
  EXPECT_LE(starts_["agent-0"].size() * kLongPayload, window.agent_bytes);
  EXPECT_LT(placed(), kManyTasks);
  ExpectNoIndexErrors();
  for (int answer = 0; answer < 10; ++answer) {
    const std::size_t sent = starts_["agent-0"].size();
    now_ += milliseconds(20);
    auto report = ReportOf("agent-0");
    report.set_orders_built_at_us(latest_orders_["agent-0"].built_at_us());
    Report("agent-0", report);
    EXPECT_LE((starts_["agent-0"].size() - sent) * kLongPayload,
              window.agent_bytes);
    ExpectNoIndexErrors();
  }
  EXPECT_EQ(placed(), kManyTasks);
  EXPECT_EQ(starts_["agent-0"].size(), kManyTasks);
}

// Guards against an owner that uses a processor fully while starts wait, or
// that sends one message after another without any.
TEST_F(OwnerOrdersTest, OwnerSleepsWhileStartsWait) {
  FillWindow();
  const int polls = polls_["agent-0"];
  now_ += milliseconds(1);
  for (int tick = 0; tick < 5; ++tick) {
    owner_.Tick(now_);
  }
  EXPECT_GT(owner_.next_wake(), now_);
  EXPECT_EQ(polls_["agent-0"], polls);
}

// Guards against a stopped run whose place stays held while its start, which
// has never been sent, waits for the window.
TEST_F(OwnerOrdersTest, WithdrawnStartDoesNotWait) {
  const std::size_t sent = FillWindow();
  ASSERT_LT(sent, placed());
  Put(MakeCancellation(kJobId));
  PollAfter(milliseconds(1));
  EXPECT_EQ(starts_["agent-0"].size(), placed());
  EXPECT_EQ(stops_["agent-0"].size(), placed());
}

// Guards against starts that wait for an agent whose worker has left, and whose
// bytes count forever.
TEST_F(OwnerOrdersTest, NothingWaitsForAWorkerThatHasLeft) {
  FillWindow();
  auto report = ReportOf("agent-0");
  report.set_left_worker_id(report.worker_id());
  report.clear_worker_id();
  now_ += milliseconds(1);
  Report("agent-0", report);
  PollAfter(JobOwnerOptions().poll_interval);
  ExpectNoIndexErrors();
  decisions_.clear();
  starts_.clear();
  now_ += seconds(2);
  Report("agent-1", ReportOf("agent-1"));
  EXPECT_GT(placed(), 1U);
  EXPECT_GT(starts_["agent-1"].size(), 1U);
}

// Guards against an agent that does not answer and keeps the tasks of all
// others from being placed.
TEST_F(OwnerOrdersTest, UnresponsiveAgentDoesNotHoldPlacement) {
  FillWindow();
  for (int poll = 0; poll < 12; ++poll) {
    PollAfter(JobOwnerOptions().poll_interval);
    Report("agent-1", ReportOf("agent-1"));
  }
  EXPECT_EQ(placed(), kManyTasks);
  EXPECT_LT(starts_["agent-0"].size(), kManyTasks);
  Job job;
  job.set_id("fedcba9876543210");
  *job.add_steps() = Step(2);
  Put(MakeRecord(RecordKind::kJob, job.id(), job));
  PollAfter(milliseconds(1));
  EXPECT_EQ(starts_["agent-1"].size(), 2U);
}

// Guards against a message that counts as received since another one of the
// same time was acknowledged.
TEST_F(OwnerOrdersTest, MessagesOfOneMomentAreToldApart) {
  PutJobWithPayload(Step(1), 0);
  const uint64_t first = latest_orders_["agent-0"].built_at_us();
  Put(MakeCancellation(kJobId));
  owner_.Tick(now_);
  ASSERT_EQ(latest_orders_["agent-0"].stops_size(), 1);
  EXPECT_GT(latest_orders_["agent-0"].built_at_us(), first);
}

// Guards against an owner without enough processor time that keeps every job
// waiting: it asks its agents for fewer reports until it is no longer late.
TEST_F(OwnerOrdersTest, LateOwnerAsksForFewerReports) {
  PutJobWithPayload(Step(1), 0);
  Report("agent-1", ReportOf("agent-1"));
  EXPECT_FALSE(latest_orders_["agent-0"].owner_is_behind());
  PollAfter(JobOwnerOptions().poll_interval + milliseconds(5));
  PollAfter(JobOwnerOptions().poll_interval);
  EXPECT_FALSE(latest_orders_["agent-0"].owner_is_behind());
  PollAfter(JobOwnerOptions().poll_interval + milliseconds(50));
  PollAfter(JobOwnerOptions().poll_interval);
  EXPECT_TRUE(latest_orders_["agent-0"].owner_is_behind());
  for (int poll = 0; poll < 40; ++poll) {
    Report("agent-0", ReportOf("agent-0"));
    Report("agent-1", ReportOf("agent-1"));
    PollAfter(JobOwnerOptions().poll_interval);
  }
  EXPECT_FALSE(latest_orders_["agent-0"].owner_is_behind());
}

// Guards against a takeover that waits for the runs of an agent because the
// owner is late: an agent whose runs are unknown still lists them each time.
TEST_F(OwnerOrdersTest, LateOwnerAsksAnUnlistedAgentForItsRuns) {
  PutJobWithPayload(Step(1), 0);
  PollAfter(JobOwnerOptions().poll_interval + milliseconds(50));
  PollAfter(JobOwnerOptions().poll_interval);
  EXPECT_TRUE(latest_orders_["agent-0"].owner_is_behind());
  EXPECT_FALSE(latest_orders_["agent-1"].owner_is_behind());
}

struct StoredEndCase {
  std::string name;
  bool late = false;
};

class StoredEndTest : public OwnerOrdersTest,
                      public testing::WithParamInterface<StoredEndCase> {};

// Guards against an owner without enough processor time that sends each agent a
// message of its own for each end that is stored.
TEST_P(StoredEndTest, LateOwnerTellsOfItWithTheNextPoll) {
  PutJobWithPayload(Step(1), 0);
  Report("agent-1", ReportOf("agent-1"));
  const auto start = starts_["agent-0"].begin()->second;
  PollAfter(JobOwnerOptions().poll_interval +
            milliseconds(GetParam().late ? 50 : 0));
  auto report = ReportOf("agent-0");
  auto* end = report.add_ended();
  end->set_number(1);
  *end->mutable_task() = start.task();
  end->set_run(start.run());
  end->set_end(RUN_DONE);
  Report("agent-0", report);
  const int polls = polls_["agent-0"];
  StoreBatch();
  PollAfter(milliseconds(1));
  EXPECT_EQ(polls_["agent-0"], polls + (GetParam().late ? 0 : 1));
  PollAfter(JobOwnerOptions().poll_interval);
  EXPECT_EQ(latest_orders_["agent-0"].ends_logged(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         StoredEndTest,
                         testing::Values(StoredEndCase{"in_time", false},
                                         StoredEndCase{"late", true}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

// Tests of which agents an owner knows, how it treats agents that do not
// answer, and what a new owner waits for before it starts tasks from before its
// claim.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

// Guards against tasks that run in two places after an agent restarts: a report
// without a worker, which a new agent process sends before its worker's first
// heartbeat, was taken for a worker that had left.
TEST_F(JobOwnerTest, ReportWithoutAWorkerLosesNoRuns) {
  PutJob({Step(1)});
  Begin();
  ReportAll();
  ASSERT_EQ(Starts(), 1U);
  const std::string agent = starts_.begin()->first;
  Report(agent, Started(agent, 10));
  AgentReport restarted;
  restarted.set_fence(kFence);
  restarted.set_sent_us(++sent_us_);
  Report(agent, restarted);
  ReportAll();
  EXPECT_EQ(Starts(), 1U);
}

// Guards against a lease by the clock of an agent process that has ended: after
// a loss of power, the clock of the next process starts at zero.
TEST_F(JobOwnerTest, GrantNamesTheProcessWhoseClockItUses) {
  constexpr uint64_t kFirst = 11;
  constexpr uint64_t kSecond = 12;
  constexpr uint64_t kLongUptimeUs = 1'000'000'000;
  Begin();
  auto report = ReportOf("agent-0");
  report.set_incarnation(kFirst);
  report.set_sent_us(kLongUptimeUs);
  Report("agent-0", report);
  now_ += seconds(1);
  owner_.Tick(now_);
  EXPECT_EQ(latest_orders_["agent-0"].granted_from_us(), kLongUptimeUs);
  EXPECT_EQ(latest_orders_["agent-0"].granted_to_incarnation(), kFirst);
  report.set_incarnation(kSecond);
  report.set_sent_us(1);
  Report("agent-0", report);
  now_ += seconds(1);
  owner_.Tick(now_);
  EXPECT_EQ(latest_orders_["agent-0"].granted_from_us(), 1U);
  EXPECT_EQ(latest_orders_["agent-0"].granted_to_incarnation(), kSecond);
}

// Guards against starts in a failure domain that operators evacuate, and
// against a domain that remains empty after the evacuation has been revoked.
TEST_F(JobOwnerTest, NothingStartsInAnEvacuatedDomain) {
  const auto in_domain = [](const std::string& agent) -> AgentReport {
    auto report = ReportOf(agent);
    report.set_failure_domain("domain-of-" + agent);
    return report;
  };
  Begin();
  Report("agent-0", in_domain("agent-0"));
  Report("agent-1", in_domain("agent-1"));
  evacuated_ = {"domain-of-agent-0"};
  owner_.OnEvacuations();
  PutJob({Step(8)});
  owner_.Tick(now_);
  EXPECT_EQ(starts_["agent-0"].size(), 0U);
  EXPECT_EQ(starts_["agent-1"].size(), 4U);
  now_ += milliseconds(400);
  owner_.Tick(now_);
  EXPECT_TRUE(latest_orders_["agent-0"].evacuated());
  EXPECT_FALSE(latest_orders_["agent-1"].evacuated());
  evacuated_.clear();
  owner_.OnEvacuations();
  owner_.Tick(now_);
  EXPECT_EQ(starts_["agent-0"].size(), 4U);
}

// Guards against starts of a new owner in an evacuated domain: the owner learns
// a worker's domain only from the worker's first report.
TEST_F(JobOwnerTest, WorkerThatJoinsAnEvacuatedDomainGetsNoRuns) {
  evacuated_ = {"domain"};
  PutJob({Step(1)});
  Begin();
  auto report = ReportOf("agent-0");
  report.set_failure_domain("domain");
  Report("agent-0", report);
  EXPECT_EQ(Starts(), 0U);
  Report("agent-1", ReportOf("agent-1"));
  EXPECT_EQ(starts_["agent-1"].size(), 1U);
}

TEST_F(JobOwnerTest, WorkerThatLeftLosesItsRuns) {
  PutJob({Step(1)});
  Begin();
  ReportAll();
  const std::string agent = starts_.begin()->first;
  Report(agent, Started(agent, 10));
  AgentReport left;
  left.set_fence(kFence);
  left.set_sent_us(++sent_us_);
  left.set_left_worker_id("life-of-" + agent);
  Report(agent, left);
  EXPECT_EQ(Starts(), 2U);
}

// Guards against a takeover that takes 0.3 s longer than necessary: the first
// poll of an agent is lost while its connection is made, and the next one
// followed only 0.3 s later.
TEST_F(JobOwnerTest, AgentsArePolledOftenUntilTheyAnswer) {
  Begin();
  owner_.Tick(now_);
  EXPECT_LE(owner_.next_wake(), now_ + milliseconds(50));
  ReportAll();
  owner_.Tick(now_);
  EXPECT_GT(owner_.next_wake(), now_ + milliseconds(50));
}

// Guards against workers that are added to the cell but remain empty until the
// owner changes. An agent that registered after the owner had owned the cell
// for longer than its time limit for unresponsive agents was counted as
// unresponsive since the claim, and so was forgotten before its first poll.
TEST_F(JobOwnerTest, AgentsThatRegisterLateArePolledAndUsed) {
  Begin();
  ReportAll();
  for (int second = 0; second < 60; ++second) {
    now_ += seconds(1);
    ReportAll();
  }
  PutAgent("agent-late");
  owner_.Tick(now_);
  EXPECT_EQ(polls_["agent-late"], 1);
  Report("agent-late", ReportOf("agent-late"));
  PutJob({Step(12)});
  owner_.Tick(now_);
  EXPECT_EQ(starts_["agent-late"].size(), 4U);
}

// Guards against unbounded growth of the list of agents by agents that never
// answered.
TEST_F(JobOwnerTest, AgentsThatNeverAnswerAreForgotten) {
  Begin();
  ReportAll();
  PutAgent("agent-late");
  for (int second = 0; second < 60; ++second) {
    now_ += seconds(1);
    ReportAll();
  }
  polls_.clear();
  now_ += seconds(1);
  owner_.Tick(now_);
  EXPECT_EQ(polls_["agent-late"], 0);
  EXPECT_EQ(polls_["agent-0"], 1);
}

// Guards against a worker that returns but remains empty for up to 3 s. Its
// agent kept answering without a worker, but only reports with a worker counted
// as answers, so the owner forgot the agent, again after each of its
// registrations.
TEST_F(JobOwnerTest, AgentThatAnswersWithoutAWorkerIsNotForgotten) {
  Begin();
  ReportAll();
  AgentReport idle;
  idle.set_fence(kFence);
  idle.set_left_worker_id("life-of-agent-1");
  for (int second = 0; second < 60; ++second) {
    now_ += seconds(1);
    Report("agent-0", ReportOf("agent-0"));
    Report("agent-1", idle);
  }
  polls_.clear();
  now_ += seconds(1);
  owner_.Tick(now_);
  EXPECT_EQ(polls_["agent-1"], 1);
  StoreBatch();
  EXPECT_TRUE(fold_.agents().contains("agent-1"));
}

// An owner that forgets an unresponsive agent removes its registration from the
// log. The agent may register again before the removal is in the log.
class ForgottenAgentTest : public JobOwnerTest {
 protected:
  // Agent 1 does not report until the owner forgets it.
  auto ForgetAgent1() -> void {
    Begin();
    ReportAll();
    for (int second = 0; second < 60; ++second) {
      now_ += seconds(1);
      Report("agent-0", ReportOf("agent-0"));
    }
  }

  auto RegisterAgent1() -> void {
    PutAgent("agent-1");
    owner_.Tick(now_);
    Report("agent-1", ReportOf("agent-1"));
  }
};

// Guards against tasks that run in two places, or a worker that remains empty
// until its agent registers again, after a takeover. While the log is
// unavailable, the removal of an unresponsive agent's registration is pending;
// the agent registers again and gets tasks; then the removal, decided before
// the registration, is stored behind it. The next owner did not know the agent
// and reconciled without it.
TEST_F(ForgottenAgentTest, PendingRemovalDoesNotUndoANewRegistration) {
  ForgetAgent1();
  RegisterAgent1();
  StoreBatch();
  EXPECT_TRUE(fold_.agents().contains("agent-1"));
}

// As above, but the removal has been sent to the log when the agent registers.
// The agent gets no tasks until it has registered behind the removal.
TEST_F(ForgottenAgentTest, AgentIsNotUsedUntilItsRemovalIsInTheLog) {
  ForgetAgent1();
  const auto removal = owner_.TakeBatch();
  polls_.clear();
  RegisterAgent1();
  EXPECT_EQ(polls_["agent-1"], 0);
  for (const auto& record : removal) {
    Put(record);
  }
  owner_.OnBatchStored(now_);
  RegisterAgent1();
  EXPECT_GT(polls_["agent-1"], 0);
  StoreBatch();
  EXPECT_TRUE(fold_.agents().contains("agent-1"));
}

// The removal and a registration behind it are read before the log's answer to
// the append that held the removal.
TEST_F(ForgottenAgentTest, RegistrationBehindTheRemovalIsAccepted) {
  ForgetAgent1();
  for (const auto& record : owner_.TakeBatch()) {
    Put(record);
  }
  polls_.clear();
  RegisterAgent1();
  EXPECT_GT(polls_["agent-1"], 0);
}

// As above, but the removal is stored and acknowledged before it is read: the
// agent's registration that is read first is still the one before the removal.
// If the agent were used now, it would have tasks while the membership in the
// log does not name it, and the next owner would start them elsewhere.
TEST_F(ForgottenAgentTest, AgentIsNotUsedUntilItsRemovalHasBeenRead) {
  ForgetAgent1();
  const auto removal = owner_.TakeBatch();
  owner_.OnBatchStored(now_);
  polls_.clear();
  RegisterAgent1();
  EXPECT_EQ(polls_["agent-1"], 0);
  for (const auto& record : removal) {
    Put(record);
  }
  RegisterAgent1();
  EXPECT_GT(polls_["agent-1"], 0);
  EXPECT_TRUE(fold_.agents().contains("agent-1"));
}

// As above, but the log has lost its history: the removal is never read, and
// whatever is read of the agent comes after it.
TEST_F(ForgottenAgentTest, RemovalThatIsNeverReadExcludesNoAgent) {
  ForgetAgent1();
  owner_.TakeBatch();
  owner_.OnBatchStored(now_);
  owner_.OnReread();
  polls_.clear();
  RegisterAgent1();
  EXPECT_GT(polls_["agent-1"], 0);
}

// As above, but the removal is still in flight, so that it may be stored behind
// the records that are re-read.
TEST_F(ForgottenAgentTest, RereadDoesNotCompleteARemovalInFlight) {
  ForgetAgent1();
  owner_.TakeBatch();
  owner_.OnReread();
  polls_.clear();
  RegisterAgent1();
  EXPECT_EQ(polls_["agent-1"], 0);
}

// Another writer removes the registration of an agent in use; the owner writes
// it again.
TEST_F(ForgottenAgentTest, RegistrationOfAnAgentInUseIsRestored) {
  Begin();
  ReportAll();
  Put({MakeKey(RecordKind::kAgent, "agent-1"), "", 0});
  ASSERT_FALSE(fold_.agents().contains("agent-1"));
  StoreBatch();
  ASSERT_TRUE(fold_.agents().contains("agent-1"));
  EXPECT_EQ(fold_.agents().at("agent-1").link_endpoint(), "agent-1");
}

// A job from before the claim may be running on an agent that has not answered;
// a job accepted after the claim cannot.
TEST_F(JobOwnerTest, TasksFromBeforeTheClaimWaitForReconciliation) {
  PutJob({Step(1)});
  PutClaim();
  Begin();
  Report("agent-0", ReportOf("agent-0"));
  for (int round = 0; round < 60; ++round) {
    EXPECT_EQ(Starts(), 0U) << round;
    now_ += milliseconds(300);
    Report("agent-0", ReportOf("agent-0"));
  }
  now_ += seconds(3);
  Report("agent-0", ReportOf("agent-0"));
  EXPECT_EQ(Starts(), 1U);
}

struct ReconciliationCase {
  std::string name;
  // What agent 1 answers to the new owner; its worker cannot be listed.
  bool knows_worker = false;
  bool nothing_runs = false;
  std::size_t starts = 0;
};

class ReconciliationTest
    : public JobOwnerTest,
      public testing::WithParamInterface<ReconciliationCase> {};

// Guards against tasks from before a takeover, long-running ones included, that
// are not restarted for 20 s with most of the cell free, and then all at once.
// A worker had left or crashed for good, its agent was still running, and the
// owner changed. The reconciliation waited for a listing of that worker until
// leases of the earlier owner had expired, although the agent, the only caller
// of its worker, had answered that nothing runs there.
TEST_P(ReconciliationTest, CountsAWorkerWithoutRunsAsListed) {
  PutJob({Step(1)});
  PutClaim();
  Begin();
  Report("agent-0", ReportOf("agent-0"));
  AgentReport report;
  report.set_fence(kFence);
  report.set_sent_us(++sent_us_);
  report.set_worker_id(GetParam().knows_worker ? "life-of-agent-1" : "");
  report.set_worker_silent(GetParam().knows_worker);
  report.set_worker_lapsed(GetParam().nothing_runs);
  Report("agent-1", report);
  EXPECT_EQ(Starts(), GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ReconciliationTest,
    testing::Values(
        ReconciliationCase{"worker_has_left", false, true, 1},
        ReconciliationCase{"lease_of_a_silent_worker_is_over", true, true, 1},
        // The runs that it may hold are unknown.
        ReconciliationCase{"silent_worker", true, false, 0},
        ReconciliationCase{"agent_has_just_started", false, false, 0}),
    [](const auto& info) { return info.param.name; });

struct GrantedByCase {
  std::string name;
  // Fence of the last owner that granted to agent 1 according to the log; zero
  // if the log names none.
  uint64_t fence = 0;
  seconds starts_after{0};
};

class GrantedByTest : public JobOwnerTest,
                      public testing::WithParamInterface<GrantedByCase> {};

// Guards against long-running tasks that are not restarted for 30 s although
// there is room. Many workers had left for good; the owner was cut off, and 12
// s later the next one too. The third owner waited for the agents that had left
// until grants of the second could have expired, although the second owner had
// never received a report from them.
TEST_P(GrantedByTest, WaitsForGrantsOfTheLastOwnerOfTheAgent) {
  PutJob({Step(1)});
  PutClaim();
  if (GetParam().fence > 0) {
    PutGrants("agent-1", GetParam().fence);
  }
  Begin();
  const TimePoint started_at = now_;
  while (Starts() == 0 && now_ < started_at + seconds(60)) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
  }
  EXPECT_NEAR(std::chrono::duration<double>(now_ - started_at).count(),
              static_cast<double>(GetParam().starts_after.count()), 0.2);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    GrantedByTest,
    testing::Values(GrantedByCase{"unknown", 0, seconds(20)},
                    GrantedByCase{"last_owner", kFence - 1, seconds(20)},
                    GrantedByCase{"earlier_owner", kFence - 2,
                                  kEarlierGrantsDuration}),
    [](const auto& info) { return info.param.name; });

// Guards against a task that runs in two places. A worker becomes unresponsive
// before it answers a start, its lease expires, the worker returns, and its
// agent repeats the call. The owner declared a start without a result lost with
// the lease and started the task elsewhere. An agent eventually gives a result
// for each order, and only that result says what became of the start.
TEST_F(JobOwnerTest, StartWithoutAResultIsNotLostWithTheWorkersLease) {
  PutJob({Step(1)});
  Begin();
  ReportAll();
  ASSERT_EQ(Starts(), 1U);
  const std::string agent = starts_.begin()->first;
  const std::string other = agent == "agent-0" ? "agent-1" : "agent-0";
  auto lapsed = ReportOf(agent);
  lapsed.set_complete(false);
  lapsed.set_worker_silent(true);
  lapsed.set_worker_lapsed(true);
  Report(agent, lapsed);
  Report(other, ReportOf(other));
  EXPECT_EQ(Starts(), 1U);
  auto* result = lapsed.add_results();
  result->set_order(starts_[agent].begin()->first);
  result->set_outcome(ORDER_REFUSED);
  Report(agent, lapsed);
  now_ += milliseconds(100);
  Report(other, ReportOf(other));
  EXPECT_EQ(starts_[other].size(), 1U);
}

struct UnresponsiveAgentCase {
  std::string name;
  // The agent's last report says that its worker has left.
  bool left = false;
  // The time of a lease of 5 s with its margins plus one second, or of five
  // polls plus one second.
  seconds removed_within{0};
};

class UnresponsiveAgentTest
    : public JobOwnerTest,
      public testing::WithParamInterface<UnresponsiveAgentCase> {};

// Guards against long-running tasks that are not restarted for 20 s although
// there is room. A worker and its agent were gone for good; some seconds later
// the owner was cut off from the log, and another entry took over. The agent
// was still in the membership in the log, although nothing could run there any
// more, so the new owner's reconciliation waited for it until leases of the
// previous owner had expired.
TEST_P(UnresponsiveAgentTest, IsRemovedOnceNothingCanRunThere) {
  Begin();
  ReportAll();
  if (GetParam().left) {
    AgentReport left;
    left.set_fence(kFence);
    left.set_left_worker_id("life-of-agent-1");
    left.set_worker_lapsed(true);
    Report("agent-1", left);
  }
  const TimePoint unresponsive_since = now_;
  while (now_ < unresponsive_since + GetParam().removed_within) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
    StoreBatch();
  }
  EXPECT_FALSE(fold_.agents().contains("agent-1"));
  EXPECT_TRUE(fold_.agents().contains("agent-0"));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    UnresponsiveAgentTest,
    testing::Values(
        UnresponsiveAgentCase{"gone_without_a_word", false, seconds(7)},
        UnresponsiveAgentCase{"its_worker_has_left", true, seconds(3)}),
    [](const auto& info) { return info.param.name; });

// Guards against tasks from before a takeover that wait without a log line that
// says which agents the reconciliation waits for, and for how long.
TEST_F(JobOwnerTest, LogNamesTheAgentsThatReconciliationWaitsFor) {
  Begin();
  Report("agent-0", ReportOf("agent-0"));
  const TimePoint started_at = now_;
  while (!owner_.reconciliation_done() && now_ < started_at + seconds(60)) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
  }
  // One line after a second, one after every 5 s of the 20 s, and one at the
  // end.
  ASSERT_EQ(logged_reconciliations_.size(), 5U);
  EXPECT_EQ(logged_reconciliations_.front().missing_names,
            std::vector<std::string>{"agent-1"});
  EXPECT_EQ(logged_reconciliations_.front().missing_bounds,
            std::vector<std::string>{"agent-1=owner_unknown:19000"});
  EXPECT_EQ(logged_reconciliations_.front().agents, 2U);
  EXPECT_EQ(logged_reconciliations_.front().waited, seconds(1));
  EXPECT_EQ(logged_reconciliations_.front().longest, seconds(19));
  EXPECT_FALSE(logged_reconciliations_.front().done);
  EXPECT_TRUE(logged_reconciliations_.back().done);
}

// The new owner is notified during its reconciliation that the previous owner
// grants nothing any more. It still waits for the longest lease of that owner,
// and for the owners before that one as long as otherwise.
TEST_F(JobOwnerTest, ReconciliationIsShorterOnceThePreviousOwnerHasResigned) {
  PutJob({Step(1)});
  PutClaim();
  Begin();
  const TimePoint started_at = now_;
  constexpr seconds kResignationDelay{2};
  while (Starts() == 0 && now_ < started_at + seconds(60)) {
    now_ += milliseconds(100);
    if (now_ == started_at + kResignationDelay) {
      owner_.OnEarlierGrants(now_, {now_ + JobOwnerOptions().LongestLease(),
                                    started_at + kEarlierGrantsDuration});
    }
    Report("agent-0", ReportOf("agent-0"));
  }
  EXPECT_NEAR(std::chrono::duration<double>(now_ - started_at).count(),
              2.0 + 5.4, 0.2);
}

struct LeftRecordCase {
  std::string name;
  // Worker process of agent 1 that is registered as having left, and the one
  // that the previous owner granted leases to.
  std::string left;
  std::string granted;
  bool waits = false;
};

class LeftRecordTest : public JobOwnerTest,
                       public testing::WithParamInterface<LeftRecordCase> {};

// Guards against long-running tasks that are not restarted for 17 s although
// there is room. Workers left as planned, their agents reported it and ended,
// and the owner ended before it had removed them from the membership. Only that
// owner knew, so the next one waited for the agents. The log now records it;
// the record is valid only for the worker process that was last granted leases.
TEST_P(LeftRecordTest, EndsTheWaitOnlyForTheProcessThatWasGrantedTo) {
  PutJob({Step(1)});
  PutClaim();
  if (!GetParam().granted.empty()) {
    PutGrants("agent-1", kFence - 1, GetParam().granted);
  }
  PutAgent("agent-1", GetParam().left);
  Begin();
  Report("agent-0", ReportOf("agent-0"));
  EXPECT_EQ(Starts(), GetParam().waits ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LeftRecordTest,
    testing::Values(LeftRecordCase{"same_life", "life-1", "life-1", false},
                    LeftRecordCase{"next_life_is_in_use", "life-1", "life-2",
                                   true},
                    LeftRecordCase{"has_not_left", "", "life-1", true},
                    // From a version that does not name the worker process.
                    LeftRecordCase{"grants_name_no_life", "life-1", "", true}),
    [](const auto& info) { return info.param.name; });

struct StopRecordCase {
  std::string name;
  // Process of agent 1 that recorded its stop, and the one that the previous
  // owner granted leases to; zero if the record names none.
  uint64_t stopped = 0;
  uint64_t granted = 0;
  milliseconds lease_left{0};
  // When the record was read; the owner begins 2 s later.
  double starts_after = 0.0;
};

class StopRecordTest : public JobOwnerTest,
                       public testing::WithParamInterface<StopRecordCase> {};

// Guards against tasks that stay down for some 20 s although there is room. An
// agent was told to stop and left with its worker, its owner was lost, and the
// next one waited for leases of the lost one. What the agent recorded counts
// from when it was read, and only for the process that was granted leases.
TEST_P(StopRecordTest, EndsTheWaitWithTheLeaseOfTheGrantedProcess) {
  PutJob({Step(1)});
  PutClaim();
  PutGrants("agent-1", kFence - 1, "life-1", GetParam().granted);
  PutStop("agent-1", GetParam().stopped, GetParam().lease_left);
  now_ += seconds(2);
  Begin();
  const TimePoint started_at = now_;
  while (Starts() == 0 && now_ < started_at + seconds(60)) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
  }
  EXPECT_NEAR(std::chrono::duration<double>(now_ - started_at).count(),
              GetParam().starts_after, 0.2);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    StopRecordTest,
    testing::Values(
        StopRecordCase{"nothing_can_run", 11, 11, milliseconds(0), 0.1},
        StopRecordCase{"lease_over_meanwhile", 11, 11, milliseconds(1900), 0.1},
        StopRecordCase{"lease_still_valid", 11, 11, milliseconds(5000), 3.1},
        // No longer than without the record.
        StopRecordCase{"lease_of_a_foreign_writer", 11, 11, milliseconds::max(),
                       20.0},
        StopRecordCase{"next_process_is_in_use", 11, 12, milliseconds(0), 20.0},
        StopRecordCase{"grants_name_no_process", 11, 0, milliseconds(0), 20.0},
        StopRecordCase{"stop_names_no_process", 0, 0, milliseconds(0), 20.0}),
    [](const auto& info) { return info.param.name; });

// The agent answers the new owner, its worker cannot be listed, and the agent
// is told to stop: leases of this owner end with it, too.
TEST_F(JobOwnerTest, AgentThatStopsDuringReconciliationEndsTheWait) {
  constexpr uint64_t kIncarnation = 11;
  PutJob({Step(1)});
  PutClaim();
  PutGrants("agent-1", kFence - 1, "life-1", kIncarnation);
  Begin();
  auto unlisted = ReportOf("agent-1");
  unlisted.set_incarnation(kIncarnation);
  unlisted.set_complete(false);
  Report("agent-1", unlisted);
  PutStop("agent-1", kIncarnation, milliseconds(1000));
  const TimePoint stopped_at = now_;
  while (Starts() == 0 && now_ < stopped_at + seconds(60)) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
  }
  EXPECT_NEAR(std::chrono::duration<double>(now_ - stopped_at).count(), 1.1,
              0.15);
}

// The record of an earlier process is stored late, after the next process has
// answered: it says nothing about that one.
TEST_F(JobOwnerTest, LateStopRecordDoesNotCountForTheNextProcess) {
  PutJob({Step(1)});
  PutClaim();
  PutGrants("agent-1", kFence - 1, "life-1", 11);
  Begin();
  auto unlisted = ReportOf("agent-1");
  unlisted.set_incarnation(12);
  unlisted.set_complete(false);
  Report("agent-1", unlisted);
  PutStop("agent-1", 11, milliseconds(0));
  now_ += seconds(3);
  Report("agent-0", ReportOf("agent-0"));
  EXPECT_EQ(Starts(), 0U);
}

// Guards against tasks that run in two places. An agent is restarted; its
// previous process has recorded that it stopped, so a new owner would not wait
// for runs that the next process keeps under leases that the log does not name.
TEST_F(JobOwnerTest, NextAgentProcessIsGrantedNothingBeforeTheLogNamesIt) {
  PutJob({Step(1)});
  Begin();
  for (const char* agent : {"agent-0", "agent-1"}) {
    auto report = ReportOf(agent);
    report.set_incarnation(11);
    Report(agent, report);
  }
  ASSERT_EQ(Starts(), 1U);
  const std::string agent = starts_.begin()->first;
  auto next = ReportOf(agent);
  next.set_incarnation(12);
  starts_.clear();
  EXPECT_TRUE(owner_.OnReport(now_, agent, next));
  now_ += milliseconds(500);
  owner_.Tick(now_);
  EXPECT_EQ(latest_orders_[agent].granted_from_us(), 0U);
  // Without a lease, the process would reject the start and end its run.
  EXPECT_EQ(Starts(), 0U);
  StoreBatch();
  now_ += milliseconds(500);
  owner_.Tick(now_);
  EXPECT_GT(latest_orders_[agent].granted_from_us(), 0U);
  EXPECT_EQ(starts_[agent].size(), 1U);
}

// The record that the worker has left is read during the reconciliation.
TEST_F(JobOwnerTest, WorkerThatLeavesDuringReconciliationEndsTheWait) {
  PutJob({Step(1)});
  PutClaim();
  PutGrants("agent-1", kFence - 1, "life-1");
  Begin();
  Report("agent-0", ReportOf("agent-0"));
  ASSERT_EQ(Starts(), 0U);
  PutAgent("agent-1", "life-1");
  owner_.Tick(now_);
  EXPECT_EQ(Starts(), 1U);
}

// Guards against tasks of a worker that has left not being restarted for the
// 5.4 s of a lease because the agent's last report does not reach its owner.
// The owner reads it in the log, too.
TEST_F(JobOwnerTest, WorkerThatLeftByTheLogLosesItsRuns) {
  PutJob({Step(1)});
  Begin();
  ReportAll();
  const std::string agent = starts_.begin()->first;
  Report(agent, Started(agent, 10));
  PutAgent(agent, "life-of-" + agent);
  owner_.Tick(now_);
  EXPECT_EQ(Starts(), 2U);
}

struct NextWorkerProcessCase {
  std::string name;
  // Incarnations of the agent that report the two worker processes; zero if the
  // agent does not report any.
  uint64_t first_incarnation = 0;
  uint64_t second_incarnation = 0;
  // Worker process that the second incarnation reports as having left.
  std::string left;
  bool used_at_once = false;
};

class NextWorkerProcessTest
    : public JobOwnerTest,
      public testing::WithParamInterface<NextWorkerProcessCase> {};

// Guards against tasks that run in two places. If the log still says that the
// previous worker process has left and was the last one that was granted
// leases, the next owner assumes that nothing runs at this agent, and starts
// elsewhere what runs in the worker's next process.
TEST_P(NextWorkerProcessTest, IsGrantedNothingBeforeTheLogNamesIt) {
  Begin();
  for (const char* agent : {"agent-0", "agent-1"}) {
    auto report = ReportOf(agent);
    report.set_incarnation(GetParam().first_incarnation);
    Report(agent, report);
  }
  ASSERT_TRUE(owner_.workers().at("agent-1")->grants_recorded);
  auto next = ReportOf("agent-1");
  next.set_worker_id("next-life");
  next.set_left_worker_id(GetParam().left);
  next.set_incarnation(GetParam().second_incarnation);
  EXPECT_TRUE(owner_.OnReport(now_, "agent-1", next));
  EXPECT_EQ(owner_.workers().at("agent-1")->grants_recorded,
            GetParam().used_at_once);
  StoreBatch();
  EXPECT_TRUE(owner_.workers().at("agent-1")->grants_recorded);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    NextWorkerProcessTest,
    testing::Values(
        NextWorkerProcessCase{"after_one_that_left", 1, 1, "life-of-agent-1",
                              false},
        NextWorkerProcessCase{"after_an_earlier_one_left", 1, 1, "life-0",
                              false},
        // The agent has recorded nothing about the previous worker process, so
        // there is no need to wait for a log that may be unavailable.
        NextWorkerProcessCase{"after_a_crash", 1, 1, "", true},
        NextWorkerProcessCase{"told_by_another_process", 1, 2, "", false},
        NextWorkerProcessCase{"told_by_processes_that_do_not_say", 0, 0, "",
                              false}),
    [](const auto& info) { return info.param.name; });

// Guards against tasks that run in two places. A report of an agent's previous
// process arrives after the next one was granted leases. If the owner recorded
// grants to the previous process again, the record that it had stopped would
// count, and a new owner would start elsewhere what the next process runs.
TEST_F(JobOwnerTest, LateReportOfAnEndedAgentProcessIsIgnored) {
  Begin();
  auto late = ReportOf("agent-1");
  late.set_incarnation(11);
  Report("agent-1", late);
  PutAgent("agent-1", "", 12);
  auto next = ReportOf("agent-1");
  next.set_incarnation(12);
  Report("agent-1", next);
  Report("agent-1", late);
  PutStop("agent-1", 11, milliseconds(0));
  EXPECT_FALSE(fold_.granted_process_has_stopped("agent-1"));
  EXPECT_EQ(owner_.workers().at("agent-1")->agent_incarnation, 12U);
}

struct ReportOrderCase {
  std::string name;
  // Processes of the agent in the order in which their reports arrive; the
  // last one is alive and registered.
  std::vector<uint64_t> reports;
};

class ReportOrderTest : public JobOwnerTest,
                        public testing::WithParamInterface<ReportOrderCase> {};

// Guards against an agent that is not heard any more because a late report of
// its previous process was taken for a newer one.
TEST_P(ReportOrderTest, LiveProcessIsHeardWhicheverReportsComeLate) {
  PutAgent("agent-1", "", GetParam().reports.back());
  Begin();
  for (const uint64_t incarnation : GetParam().reports) {
    auto report = ReportOf("agent-1");
    report.set_incarnation(incarnation);
    Report("agent-1", report);
  }
  const auto& worker = *owner_.workers().at("agent-1");
  EXPECT_EQ(worker.agent_incarnation, GetParam().reports.back());
  EXPECT_TRUE(worker.grants_recorded);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ReportOrderTest,
    testing::Values(ReportOrderCase{"in_order", {11, 12}},
                    ReportOrderCase{"late_to_a_new_owner", {12, 11, 12}},
                    ReportOrderCase{"late_twice", {12, 11, 12, 11, 12}},
                    ReportOrderCase{"late_by_two", {11, 12, 13, 11, 13}}),
    [](const auto& info) { return info.param.name; });

// The log has lost its history and the record of the stop is read again: the
// lease that it states has not begun anew.
TEST_F(JobOwnerTest, StopThatIsReadAgainCountsFromTheFirstTime) {
  PutJob({Step(1)});
  PutClaim();
  PutGrants("agent-1", kFence - 1, "life-1", 11);
  PutStop("agent-1", 11, milliseconds(5000));
  now_ += seconds(2);
  PutStop("agent-1", 11, milliseconds(5000));
  Begin();
  const TimePoint started_at = now_;
  while (Starts() == 0 && now_ < started_at + seconds(60)) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
  }
  EXPECT_NEAR(std::chrono::duration<double>(now_ - started_at).count(), 3.1,
              0.2);
}

// Guards against tasks that stay down for some 20 s although there is room. A
// worker crashed and its next process left as planned, then the owner was lost.
// The log still named the process that had crashed, so the record that the next
// one had left did not count, and the new owner waited for leases of the lost
// one.
TEST_F(JobOwnerTest, NextProcessOfACrashedWorkerIsRecorded) {
  constexpr uint64_t kIncarnation = 1;
  Begin();
  auto report = ReportOf("agent-1");
  report.set_incarnation(kIncarnation);
  Report("agent-1", report);
  report.set_worker_id("next-life");
  report.set_sent_us(++sent_us_);
  EXPECT_TRUE(owner_.OnReport(now_, "agent-1", report));
  EXPECT_TRUE(owner_.workers().at("agent-1")->grants_recorded);
  StoreBatch();
  PutAgent("agent-1", "next-life");
  EXPECT_TRUE(fold_.worker_has_left("agent-1"));
}

// A record of grants that was in flight when the next worker process reported
// does not cover that process.
TEST_F(JobOwnerTest, RecordForThePreviousProcessAllowsNoGrants) {
  Begin();
  EXPECT_TRUE(owner_.OnReport(now_, "agent-1", ReportOf("agent-1")));
  const auto in_flight = owner_.TakeBatch();
  auto next = ReportOf("agent-1");
  next.set_worker_id("next-life");
  EXPECT_TRUE(owner_.OnReport(now_, "agent-1", next));
  for (const auto& record : in_flight) {
    Put(record);
  }
  owner_.OnBatchStored(now_);
  EXPECT_FALSE(owner_.workers().at("agent-1")->grants_recorded);
  StoreBatch();
  EXPECT_TRUE(owner_.workers().at("agent-1")->grants_recorded);
}

// Guards against tasks that run in two places: the next owner would assume that
// this owner has granted nothing to the agent, and start elsewhere what runs
// there.
TEST_F(JobOwnerTest, GrantsNothingBeforeTheLogRecordsIt) {
  PutJob({Step(1)});
  Begin();
  for (const char* agent : {"agent-0", "agent-1"}) {
    EXPECT_TRUE(owner_.OnReport(now_, agent, ReportOf(agent)));
  }
  owner_.Tick(now_);
  EXPECT_EQ(Starts(), 0U);
  EXPECT_EQ(leases_granted_, 0);
  StoreBatch();
  EXPECT_EQ(fold_.granted_by("agent-0"), kFence);
  EXPECT_EQ(fold_.granted_by("agent-1"), kFence);
  owner_.Tick(now_);
  EXPECT_EQ(Starts(), 1U);
  EXPECT_EQ(leases_granted_, 2);
}

// Guards against an agent that keeps its lease long after its owner has ended,
// so that tasks started elsewhere run in two places. An instance was restarted,
// so that its clock began at zero, and its worker's next process reported. The
// owner returned the highest time that it had received from the agent, now far
// ahead of the agent's clock, as the start of the lease.
TEST_F(JobOwnerTest, LeaseStartsByTheClockOfTheCurrentWorkerProcess) {
  Begin();
  ReportAll();
  auto old = ReportOf("agent-1");
  old.set_sent_us(900'000'000);
  Report("agent-1", old);
  auto next = ReportOf("agent-1");
  next.set_worker_id("next-life");
  next.set_sent_us(1000);
  Report("agent-1", next);
  EXPECT_EQ(owner_.workers().at("agent-1")->reported_us, 1000U);
}

// Guards against an owner that runs late without reporting it: agents whose
// leases are renewed late look like agents that are gone.
TEST_F(JobOwnerTest, ReportsHowLateItsPollsAre) {
  Begin();
  ReportAll();
  now_ += milliseconds(300);
  owner_.Tick(now_);
  now_ += milliseconds(1500);
  owner_.Tick(now_);
  ASSERT_FALSE(lags_.empty());
  EXPECT_EQ(lags_.back(), milliseconds(1200));
}

struct FirstPollsCase {
  std::string name;
  int agents;
  // Bounds of the polls of all agents together in the owner's first second.
  int min_polls;
  int max_polls;
};

class FirstPollsTest : public JobOwnerTest,
                       public testing::WithParamInterface<FirstPollsCase> {};

// Guards against a new owner that repeatedly polls all agents of a large cell
// and so leaves no processor time for making the connections.
TEST_P(FirstPollsTest, AreBoundedForAllAgentsTogether) {
  for (int number = 2; number < GetParam().agents; ++number) {
    PutAgent("agent-" + std::to_string(number));
  }
  Begin();
  const TimePoint end = now_ + seconds(1);
  while (now_ < end) {
    owner_.Tick(now_);
    now_ += milliseconds(1);
  }
  int polls = 0;
  for (const auto& [agent, count] : polls_) {
    EXPECT_GE(count, 3) << agent;
    polls += count;
  }
  EXPECT_EQ(polls_.size(), static_cast<std::size_t>(GetParam().agents));
  EXPECT_GE(polls, GetParam().min_polls);
  EXPECT_LE(polls, GetParam().max_polls);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         FirstPollsTest,
                         testing::Values(FirstPollsCase{"Few", 4, 90, 110},
                                         FirstPollsCase{"Tens", 80, 900, 1300},
                                         FirstPollsCase{"Hundreds", 255, 900,
                                                        1300}),
                         [](const auto& info) { return info.param.name; });

// An owner that receives the last report of agent 1 at the start of each test.
// The appends that the log accepts afterwards show until when no other owner
// has followed.
class CutOffOwnerTest : public JobOwnerTest {
 protected:
  // Agent 0 continues to report, and the log accepts nothing.
  auto RunWithoutLog(Duration span) -> void {
    const TimePoint end = now_ + span;
    while (now_ < end) {
      now_ += milliseconds(100);
      Report("agent-0", ReportOf("agent-0"));
    }
  }

  // The log has accepted an append that was sent at `sent`.
  auto ConfirmExclusiveUntil(TimePoint sent) -> void {
    exclusive_until_ = sent;
    owner_.OnExclusiveUntil(now_);
    Report("agent-0", ReportOf("agent-0"));
  }

  // Starts four tasks of one step on each agent. Agent 1 stops reporting at the
  // end.
  auto StartOnBoth() -> void {
    PutJob({Step(8)});
    Begin();
    ReportAll();
    ASSERT_EQ(starts_["agent-0"].size(), 4U);
    ASSERT_EQ(starts_["agent-1"].size(), 4U);
    for (const char* agent : {"agent-0", "agent-1"}) {
      Report(agent, Started(agent, 10));
    }
    exclusive_until_ = now_;
  }

  // Ends the runs on agent 0, so that there is room for others.
  auto EndRunsOfAgent0() -> void {
    auto report = ReportOf("agent-0");
    uint64_t number = 0;
    for (const auto& [order, start] : starts_["agent-0"]) {
      auto* row = report.add_ended();
      row->set_number(++number);
      *row->mutable_task() = start.task();
      row->set_run(start.run());
      row->set_end(RUN_DONE);
    }
    Report("agent-0", report);
  }
};

struct LostRunsCase {
  std::string name;
  // Time from the agent's last report to the newest append that the log
  // accepted.
  milliseconds exclusive_for{0};
  std::size_t starts = 4;
};

class LostRunsTest : public CutOffOwnerTest,
                     public testing::WithParamInterface<LostRunsCase> {};

// Guards against runs of an unresponsive agent being started elsewhere by an
// owner whose successor may have renewed their lease. A third agent, which has
// no room, makes up a majority: without one, the owner would grant nothing.
TEST_P(LostRunsTest, AreStartedElsewhereOnlyByAnExclusiveOwner) {
  PutAgent("agent-2");
  auto without_room = ReportOf("agent-2");
  without_room.clear_capacity();
  StartOnBoth();
  Report("agent-2", without_room);
  const TimePoint unresponsive_since = now_;
  EndRunsOfAgent0();
  RunWithoutLog(milliseconds(14500));
  Report("agent-2", without_room);
  RunWithoutLog(milliseconds(500));
  EXPECT_EQ(starts_["agent-0"].size(), 4U);
  ConfirmExclusiveUntil(unresponsive_since + GetParam().exclusive_for);
  EXPECT_EQ(starts_["agent-0"].size(), GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LostRunsTest,
    testing::Values(LostRunsCase{"never_since", milliseconds(0), 4},
                    LostRunsCase{"during_the_lease", milliseconds(3000), 4},
                    LostRunsCase{"to_its_end", milliseconds(5400), 4},
                    LostRunsCase{"beyond_its_end", milliseconds(5401), 8},
                    LostRunsCase{"until_now", milliseconds(15000), 8}),
    [](const auto& info) { return info.param.name; });

// Guards against an owner without access to the log that ignores an agent's
// report that its worker's lease has expired; acting on that report requires no
// read of the log.
TEST_F(CutOffOwnerTest, AgentsReportOfALapsedLeaseIsAccepted) {
  StartOnBoth();
  EndRunsOfAgent0();
  RunWithoutLog(seconds(8));
  auto lapsed = ReportOf("agent-1");
  lapsed.set_complete(false);
  lapsed.set_worker_silent(true);
  lapsed.set_worker_lapsed(true);
  Report("agent-1", lapsed);
  Report("agent-0", ReportOf("agent-0"));
  EXPECT_EQ(starts_["agent-0"].size(), 8U);
}

// Guards against a run that is kept as running when its agent returns after its
// lease has expired, since the owner declared nothing lost while the log was
// unavailable.
TEST_F(CutOffOwnerTest, ReturningAgentReportsLapsedRuns) {
  StartOnBoth();
  EndRunsOfAgent0();
  RunWithoutLog(seconds(8));
  auto back = ReportOf("agent-1");
  uint64_t number = 0;
  for (const auto& [order, start] : starts_["agent-1"]) {
    auto* row = back.add_ended();
    row->set_number(++number);
    *row->mutable_task() = start.task();
    row->set_run(start.run());
    row->set_end(RUN_LEASE_LAPSED);
  }
  Report("agent-1", back);
  RunWithoutLog(seconds(1));
  EXPECT_EQ(starts_["agent-0"].size() + starts_["agent-1"].size(), 12U);
}

// Guards against tasks from before a claim being started by an owner whose
// successor may have adopted their runs.
TEST_F(CutOffOwnerTest, ReconciliationEndsOnlyOnceTheOwnerWasExclusive) {
  PutJob({Step(1)});
  PutClaim();
  Begin();
  const TimePoint started_at = now_;
  exclusive_until_ = started_at;
  Report("agent-0", ReportOf("agent-0"));
  RunWithoutLog(seconds(25));
  EXPECT_EQ(Starts(), 0U);
  ConfirmExclusiveUntil(started_at + milliseconds(19999));
  EXPECT_EQ(Starts(), 0U);
  ConfirmExclusiveUntil(started_at + seconds(20));
  EXPECT_EQ(Starts(), 1U);
}

// As above, after the previous owner has resigned.
TEST_F(CutOffOwnerTest, ShorterReconciliationEndsOnlyOnceTheOwnerWasExclusive) {
  PutJob({Step(1)});
  PutClaim();
  Begin();
  exclusive_until_ = now_;
  Report("agent-0", ReportOf("agent-0"));
  const TimePoint over = now_ + JobOwnerOptions().LongestLease();
  owner_.OnEarlierGrants(now_, {over, over});
  RunWithoutLog(seconds(10));
  EXPECT_EQ(Starts(), 0U);
  ConfirmExclusiveUntil(over);
  EXPECT_EQ(Starts(), 1U);
}

// Guards against a reconciliation that ends because its missing agents were
// forgotten.
TEST_F(CutOffOwnerTest, UnresponsiveAgentIsForgottenOnlyByAnExclusiveOwner) {
  Begin();
  ReportAll();
  exclusive_until_ = now_;
  RunWithoutLog(seconds(15));
  EXPECT_TRUE(owner_.workers().contains("agent-1"));
  ConfirmExclusiveUntil(now_);
  EXPECT_FALSE(owner_.workers().contains("agent-1"));
}

// Guards against an owner without access to the log that does not restart a
// task although the only agent that could hold it has reported that it does
// not.
TEST_F(CutOffOwnerTest, ReconciliationNeedsNoLogIfAllAgentsAnswer) {
  PutJob({Step(1)});
  PutClaim();
  Begin();
  exclusive_until_ = now_;
  RunWithoutLog(seconds(3));
  EXPECT_EQ(Starts(), 0U);
  Report("agent-1", ReportOf("agent-1"));
  EXPECT_EQ(Starts(), 1U);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

// Which agents an owner knows, what their silence means, and what a new owner
// waits for before it starts tasks of before its claim.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

// Symptom: tasks run in two places after an agent restarts. Sequence: the
// agent's process is killed; the next one reports before its worker's first
// heartbeat. Cause: no worker was taken for a worker that has left.
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

// Guards against a lease by the clock of a process that is gone: after a loss
// of power the next one counts from zero.
TEST_F(JobOwnerTest, GrantNamesTheProcessWhoseClockItIsOf) {
  constexpr uint64_t kFirst = 11;
  constexpr uint64_t kSecond = 12;
  constexpr uint64_t kLongUp = 1'000'000'000;
  Begin();
  auto report = ReportOf("agent-0");
  report.set_incarnation(kFirst);
  report.set_sent_us(kLongUp);
  Report("agent-0", report);
  now_ += seconds(1);
  owner_.Tick(now_);
  EXPECT_EQ(latest_["agent-0"].granted_from_us(), kLongUp);
  EXPECT_EQ(latest_["agent-0"].granted_to_incarnation(), kFirst);
  report.set_incarnation(kSecond);
  report.set_sent_us(1);
  Report("agent-0", report);
  now_ += seconds(1);
  owner_.Tick(now_);
  EXPECT_EQ(latest_["agent-0"].granted_from_us(), 1U);
  EXPECT_EQ(latest_["agent-0"].granted_to_incarnation(), kSecond);
}

// Guards against starts in a failure domain that operators empty, and against
// one that stays empty when they have taken that back.
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
  EXPECT_TRUE(latest_["agent-0"].evacuated());
  EXPECT_FALSE(latest_["agent-1"].evacuated());
  evacuated_.clear();
  owner_.OnEvacuations();
  owner_.Tick(now_);
  EXPECT_EQ(starts_["agent-0"].size(), 4U);
}

// Guards against the next owner's starts there: it learns of the domain from a
// worker's first report.
TEST_F(JobOwnerTest, WorkerThatComesIntoAnEvacuatedDomainTakesNothing) {
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

// Symptom: a takeover takes 0.3 s longer than it must. Cause: the first poll of
// an agent is lost while its connection is made, and the next came 0.3 s later.
TEST_F(JobOwnerTest, AgentsAreAskedOftenUntilTheyAnswer) {
  Begin();
  owner_.Tick(now_);
  EXPECT_LE(owner_.next_wake(), now_ + milliseconds(50));
  ReportAll();
  owner_.Tick(now_);
  EXPECT_GT(owner_.next_wake(), now_ + milliseconds(50));
}

// Symptom: workers that are added to the cell stay empty until the owner
// changes, and tasks that lost their worker wait for room. Sequence: an agent
// registers when the owner has been one for longer than it keeps silent agents.
// Cause: an agent that had never reported counted as silent since the claim, so
// that it was forgotten before it was polled for the first time.
TEST_F(JobOwnerTest, AgentsThatComeLateAreAskedAndUsed) {
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

// Symptom: the list of agents grows for good. Cause: agents that never
// answered were kept.
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

// Symptom: a worker that comes back stays empty for up to 3 s. Sequence: a
// worker leaves, and its agent goes on answering without one; a while later the
// next worker comes. Cause: only reports of a worker counted as a sign of life,
// so the agent was forgotten, again after each of its registrations.
TEST_F(JobOwnerTest, AgentThatAnswersWithoutAWorkerStaysKnown) {
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

// An owner that forgets a silent agent drops its registration from the log. The
// agent may register again before the drop is in the log.
class ForgottenAgentTest : public JobOwnerTest {
 protected:
  // Agent 1 is silent until the owner forgets it.
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

// Symptom: after a takeover tasks run in two places, or a worker is left empty
// until its agent registers once more. Sequence: an agent is silent for so long
// that the owner drops its registration; while the drop waits for the log,
// which is away, the agent registers again and gets tasks; then the drop is
// stored. Cause: the drop, decided before the registration, came after it in
// the log, so the next owner did not know the agent and took its census without
// it.
TEST_F(ForgottenAgentTest, DropThatWaitsDoesNotUndoANewRegistration) {
  ForgetAgent1();
  RegisterAgent1();
  StoreBatch();
  EXPECT_TRUE(fold_.agents().contains("agent-1"));
}

// As above, with the drop on its way to the log when the agent registers: it is
// given nothing until it has registered behind the drop.
TEST_F(ForgottenAgentTest, AgentIsNotUsedUntilItsDropIsInTheLog) {
  ForgetAgent1();
  const auto dropped = owner_.TakeBatch();
  polls_.clear();
  RegisterAgent1();
  EXPECT_EQ(polls_["agent-1"], 0);
  for (const auto& record : dropped) {
    Put(record);
  }
  owner_.OnBatchStored();
  RegisterAgent1();
  EXPECT_GT(polls_["agent-1"], 0);
  StoreBatch();
  EXPECT_TRUE(fold_.agents().contains("agent-1"));
}

// The other way round: the drop and a registration behind it are read before
// the log's answer to the append that held the drop.
TEST_F(ForgottenAgentTest, RegistrationBehindTheDropIsTaken) {
  ForgetAgent1();
  for (const auto& record : owner_.TakeBatch()) {
    Put(record);
  }
  polls_.clear();
  RegisterAgent1();
  EXPECT_GT(polls_["agent-1"], 0);
}

// As above, with the drop stored and answered before it is read: the agent's
// registration, read first, is still the one ahead of the drop. Used now, the
// agent would have tasks while the log's roster does not name it, and a next
// owner would start them elsewhere.
TEST_F(ForgottenAgentTest, AgentIsNotUsedUntilItsDropHasBeenRead) {
  ForgetAgent1();
  const auto dropped = owner_.TakeBatch();
  owner_.OnBatchStored();
  polls_.clear();
  RegisterAgent1();
  EXPECT_EQ(polls_["agent-1"], 0);
  for (const auto& record : dropped) {
    Put(record);
  }
  RegisterAgent1();
  EXPECT_GT(polls_["agent-1"], 0);
  EXPECT_TRUE(fold_.agents().contains("agent-1"));
}

// As above, with a log that has forgotten its history: the drop is never read,
// and what is read of the agent stands behind it.
TEST_F(ForgottenAgentTest, DropThatIsNeverReadKeepsNobodyOut) {
  ForgetAgent1();
  owner_.TakeBatch();
  owner_.OnBatchStored();
  owner_.OnReread();
  polls_.clear();
  RegisterAgent1();
  EXPECT_GT(polls_["agent-1"], 0);
}

// The same with the drop under way: it may come behind what is read anew.
TEST_F(ForgottenAgentTest, ReadingAnewDoesNotSettleADropUnderWay) {
  ForgetAgent1();
  owner_.TakeBatch();
  owner_.OnReread();
  polls_.clear();
  RegisterAgent1();
  EXPECT_EQ(polls_["agent-1"], 0);
}

// Another writer drops the registration of an agent in use: it is written
// again.
TEST_F(ForgottenAgentTest, RegistrationOfAnAgentInUseIsRestored) {
  Begin();
  ReportAll();
  Put({MakeKey(RecordKind::kAgent, "agent-1"), "", 0});
  ASSERT_FALSE(fold_.agents().contains("agent-1"));
  StoreBatch();
  ASSERT_TRUE(fold_.agents().contains("agent-1"));
  EXPECT_EQ(fold_.agents().at("agent-1").link_endpoint(), "agent-1");
}

// A job of before the claim may run on an agent that has not answered; one
// accepted later cannot.
TEST_F(JobOwnerTest, TasksOfBeforeTheClaimWaitForTheCensus) {
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

struct CensusCase {
  std::string name;
  // What agent 1 answers to the new owner; its worker cannot be listed.
  bool knows_worker = false;
  bool nothing_runs = false;
  std::size_t starts = 0;
};

class CensusTest : public JobOwnerTest,
                   public testing::WithParamInterface<CensusCase> {};

// Symptom: tasks of before a takeover, also those that last, stay down for 20 s
// with most of the cell free, and come up all at once. Sequence: a worker
// leaves or crashes for good, its agent lives on; then the owner changes.
// Cause: the census waited for a listing of each worker until leases of the
// earlier owner must be over, although the agent, the only caller of its
// worker, had answered that nothing runs there.
TEST_P(CensusTest, TakesAWorkerOnWhichNothingRunsForListed) {
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
    CensusTest,
    testing::Values(CensusCase{"worker_has_left", false, true, 1},
                    CensusCase{"lease_of_a_silent_worker_is_over", true, true,
                               1},
                    // What it may hold is not known.
                    CensusCase{"silent_worker", true, false, 0},
                    CensusCase{"agent_has_just_started", false, false, 0}),
    [](const auto& info) { return info.param.name; });

struct GrantedByCase {
  std::string name;
  // Of the owner that the log names as the last to grant to agent 1; zero if it
  // names none.
  uint64_t fence = 0;
  seconds starts_after{0};
};

class GrantedByTest : public JobOwnerTest,
                      public testing::WithParamInterface<GrantedByCase> {};

// Symptom: tasks that last stay down for 30 s with room for them. Sequence:
// many workers leave for good; the owner is cut off, and 12 s later the next
// one. Cause: the third owner waited for the agents that had left until grants
// of the second could be over, although that one had never heard them.
TEST_P(GrantedByTest, WaitsForGrantsOfTheLastOwnerOfTheAgent) {
  PutJob({Step(1)});
  PutClaim();
  if (GetParam().fence > 0) {
    PutGrants("agent-1", GetParam().fence);
  }
  Begin();
  const TimePoint begun = now_;
  while (Starts() == 0 && now_ < begun + seconds(60)) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
  }
  EXPECT_NEAR(std::chrono::duration<double>(now_ - begun).count(),
              static_cast<double>(GetParam().starts_after.count()), 0.2);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    GrantedByTest,
    testing::Values(GrantedByCase{"unknown", 0, seconds(20)},
                    GrantedByCase{"last_owner", kFence - 1, seconds(20)},
                    GrantedByCase{"earlier_owner", kFence - 2, kEarlierGrants}),
    [](const auto& info) { return info.param.name; });

// Symptom: a task runs in two places. Sequence: a start is ordered; its worker
// falls silent before the call is answered; its lease runs out; the worker is
// back, and its agent makes the call once more. Cause: the owner took a start
// without a result for lost with the lease and started the task elsewhere. An
// agent gives a result for each order in the end, and that alone says what
// became of it.
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

struct SilentAgentCase {
  std::string name;
  // The agent's last words are that its worker has left.
  bool left = false;
  // A lease of 5 s with its margins and a second, or five polls and as much.
  seconds dropped_within{0};
};

class SilentAgentTest : public JobOwnerTest,
                        public testing::WithParamInterface<SilentAgentCase> {};

// Symptom: tasks that last stay down for 20 s with room for them. Sequence: a
// worker and its agent are gone for good; some seconds later the owner is cut
// off from the log, and another entry takes over. Cause: the agent still stood
// in the log's roster, although nothing could run there any more, and the new
// owner's census waited for it until leases of the owner before must be over.
TEST_P(SilentAgentTest, LeavesTheRosterOnceNothingCanRunThere) {
  Begin();
  ReportAll();
  if (GetParam().left) {
    AgentReport left;
    left.set_fence(kFence);
    left.set_left_worker_id("life-of-agent-1");
    left.set_worker_lapsed(true);
    Report("agent-1", left);
  }
  const TimePoint silent_since = now_;
  while (now_ < silent_since + GetParam().dropped_within) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
    StoreBatch();
  }
  EXPECT_FALSE(fold_.agents().contains("agent-1"));
  EXPECT_TRUE(fold_.agents().contains("agent-0"));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    SilentAgentTest,
    testing::Values(SilentAgentCase{"gone_without_a_word", false, seconds(7)},
                    SilentAgentCase{"its_worker_has_left", true, seconds(3)}),
    [](const auto& info) { return info.param.name; });

// Symptom: tasks of before a takeover stay down, and the log does not say for
// whom their owner waits, or until when. Cause: a census left no line.
TEST_F(JobOwnerTest, LogSaysForWhomACensusWaits) {
  Begin();
  Report("agent-0", ReportOf("agent-0"));
  const TimePoint begun = now_;
  while (!owner_.reconciliation_done() && now_ < begun + seconds(60)) {
    now_ += milliseconds(100);
    Report("agent-0", ReportOf("agent-0"));
  }
  // Once after a second, then each 5 s of 20, and its end.
  ASSERT_EQ(census_told_.size(), 5U);
  EXPECT_EQ(census_told_.front().missing_names,
            std::vector<std::string>{"agent-1"});
  EXPECT_EQ(census_told_.front().agents, 2U);
  EXPECT_EQ(census_told_.front().waited, seconds(1));
  EXPECT_EQ(census_told_.front().longest, seconds(19));
  EXPECT_FALSE(census_told_.front().done);
  EXPECT_TRUE(census_told_.back().done);
}

// An owner learns during its census that the one before grants nothing any
// more. It still waits for the leases of that one, by their longest, and for
// owners before that one as it did.
TEST_F(JobOwnerTest, CensusIsShorterOnceTheOwnerBeforeHasResigned) {
  PutJob({Step(1)});
  PutClaim();
  Begin();
  const TimePoint begun = now_;
  constexpr seconds kTold{2};
  while (Starts() == 0 && now_ < begun + seconds(60)) {
    now_ += milliseconds(100);
    if (now_ == begun + kTold) {
      owner_.OnEarlierGrants(now_, {now_ + JobOwnerOptions().LongestLease(),
                                    begun + kEarlierGrants});
    }
    Report("agent-0", ReportOf("agent-0"));
  }
  EXPECT_NEAR(std::chrono::duration<double>(now_ - begun).count(), 2.0 + 5.4,
              0.2);
}

struct LeftRecordCase {
  std::string name;
  // Life that agent 1 has registered as left, and life for which the owner
  // before has granted to it.
  std::string left;
  std::string granted;
  bool waits = false;
};

class LeftRecordTest : public JobOwnerTest,
                       public testing::WithParamInterface<LeftRecordCase> {};

// Symptom: tasks that last stay down for 17 s with room for them. Sequence:
// workers leave as planned, their agents tell the owner, and end; the owner
// ends before it has dropped them from the roster. Cause: only that owner knew,
// and the next one waited for the agents. The log says so now; it holds only
// for the life that an owner granted to last.
TEST_P(LeftRecordTest, EndsTheWaitOnlyForTheLifeThatWasGrantedTo) {
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
                    // Of a version that does not name the life.
                    LeftRecordCase{"grants_name_no_life", "life-1", "", true}),
    [](const auto& info) { return info.param.name; });

// The word in the log comes while the census waits.
TEST_F(JobOwnerTest, WorkerThatLeavesDuringTheCensusEndsTheWait) {
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

// Symptom: tasks of a worker that has left stay down for the 5.4 s of a lease.
// Sequence: the agent's last report does not reach its owner. Why not here: the
// owner reads it in the log, too.
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

struct NextLifeCase {
  std::string name;
  // Processes of the agent that report the two lives; zero if they do not say.
  uint64_t first_process = 0;
  uint64_t second_process = 0;
  // Life that the second one knows to have left.
  std::string left;
  bool used_at_once = false;
};

class NextLifeTest : public JobOwnerTest,
                     public testing::WithParamInterface<NextLifeCase> {};

// What goes wrong without: the log may say that the life before has left, and
// that it is the one granted to. A next owner would take the agent for one at
// which nothing runs, and start elsewhere what runs in the worker's next life.
TEST_P(NextLifeTest, IsGrantedNothingBeforeTheLogNamesIt) {
  Begin();
  for (const char* agent : {"agent-0", "agent-1"}) {
    auto report = ReportOf(agent);
    report.set_incarnation(GetParam().first_process);
    Report(agent, report);
  }
  ASSERT_TRUE(owner_.workers().at("agent-1")->grants_recorded);
  auto next = ReportOf("agent-1");
  next.set_worker_id("next-life");
  next.set_left_worker_id(GetParam().left);
  next.set_incarnation(GetParam().second_process);
  EXPECT_TRUE(owner_.OnReport(now_, "agent-1", next));
  EXPECT_EQ(owner_.workers().at("agent-1")->grants_recorded,
            GetParam().used_at_once);
  StoreBatch();
  EXPECT_TRUE(owner_.workers().at("agent-1")->grants_recorded);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    NextLifeTest,
    testing::Values(
        NextLifeCase{"after_one_that_left", 1, 1, "life-of-agent-1", false},
        NextLifeCase{"after_an_earlier_one_left", 1, 1, "life-0", false},
        // It has written nothing of the life before, and there is no need to
        // wait for a log that may be away.
        NextLifeCase{"after_a_crash", 1, 1, "", true},
        NextLifeCase{"told_by_another_process", 1, 2, "", false},
        NextLifeCase{"told_by_processes_that_do_not_say", 0, 0, "", false}),
    [](const auto& info) { return info.param.name; });

// A note that was on its way when the next life came says nothing of it.
TEST_F(JobOwnerTest, NoteOfTheLifeBeforeAllowsNoGrants) {
  Begin();
  EXPECT_TRUE(owner_.OnReport(now_, "agent-1", ReportOf("agent-1")));
  const auto under_way = owner_.TakeBatch();
  auto next = ReportOf("agent-1");
  next.set_worker_id("next-life");
  EXPECT_TRUE(owner_.OnReport(now_, "agent-1", next));
  for (const auto& record : under_way) {
    Put(record);
  }
  owner_.OnBatchStored();
  EXPECT_FALSE(owner_.workers().at("agent-1")->grants_recorded);
  StoreBatch();
  EXPECT_TRUE(owner_.workers().at("agent-1")->grants_recorded);
}

// What goes wrong without: a next owner takes an agent for one that this owner
// has granted nothing, and starts elsewhere what runs there.
TEST_F(JobOwnerTest, GrantsNothingBeforeTheLogSaysSo) {
  PutJob({Step(1)});
  Begin();
  for (const char* agent : {"agent-0", "agent-1"}) {
    EXPECT_TRUE(owner_.OnReport(now_, agent, ReportOf(agent)));
  }
  owner_.Tick(now_);
  EXPECT_EQ(Starts(), 0U);
  EXPECT_EQ(granted_, 0);
  StoreBatch();
  EXPECT_EQ(fold_.granted_by("agent-0"), kFence);
  EXPECT_EQ(fold_.granted_by("agent-1"), kFence);
  owner_.Tick(now_);
  EXPECT_EQ(Starts(), 1U);
  EXPECT_EQ(granted_, 2);
}

// Symptom: an agent keeps its lease long after its owner is gone, and tasks
// started elsewhere run in two places. Sequence: an instance is started anew,
// so that its clock begins at zero, and its worker's next life reports. Cause:
// the owner echoed the highest time it had heard from the agent, now far ahead
// of the agent's clock, as the beginning of the lease.
TEST_F(JobOwnerTest, LeaseBeginsByTheClockOfTheWorkersPresentLife) {
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

// Guards against an owner that runs late without a sign of it: leases that are
// renewed late look like agents that are gone.
TEST_F(JobOwnerTest, TellsHowLateItsPollsAre) {
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
  // In the owner's first second, of all agents together.
  int least_polls;
  int most_polls;
};

class FirstPollsTest : public JobOwnerTest,
                       public testing::WithParamInterface<FirstPollsCase> {};

// Guards against a new owner that has no processor left to make connections
// with, since it polls all agents of a large cell again and again.
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
  EXPECT_GE(polls, GetParam().least_polls);
  EXPECT_LE(polls, GetParam().most_polls);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         FirstPollsTest,
                         testing::Values(FirstPollsCase{"Few", 4, 90, 110},
                                         FirstPollsCase{"Tens", 80, 900, 1300},
                                         FirstPollsCase{"Hundreds", 255, 900,
                                                        1300}),
                         [](const auto& info) { return info.param.name; });

// An owner that has heard agent 1 last at the begin of each test; what the log
// takes from it then shows until when no other owner has followed.
class CutOffOwnerTest : public JobOwnerTest {
 protected:
  // Agent 0 goes on reporting, and the log takes nothing.
  auto RunInTheDark(Duration span) -> void {
    const TimePoint end = now_ + span;
    while (now_ < end) {
      now_ += milliseconds(100);
      Report("agent-0", ReportOf("agent-0"));
    }
  }

  // The log has taken an append that was sent at `sent`.
  auto ShowAloneUntil(TimePoint sent) -> void {
    alone_until_ = sent;
    owner_.OnExclusiveUntil(now_);
    Report("agent-0", ReportOf("agent-0"));
  }

  // One run on each agent, those of tasks of one step; the silence begins now.
  auto StartOnBoth() -> void {
    PutJob({Step(8)});
    Begin();
    ReportAll();
    ASSERT_EQ(starts_["agent-0"].size(), 4U);
    ASSERT_EQ(starts_["agent-1"].size(), 4U);
    for (const char* agent : {"agent-0", "agent-1"}) {
      Report(agent, Started(agent, 10));
    }
    alone_until_ = now_;
  }

  // Runs on agent 0 end, so that there is room for others.
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
  // From the last report of the agent to the newest append that the log took.
  milliseconds alone_for{0};
  std::size_t starts = 4;
};

class LostRunsTest : public CutOffOwnerTest,
                     public testing::WithParamInterface<LostRunsCase> {};

// Guards against runs of a silent agent being started elsewhere by an owner
// whose successor may have renewed their lease.
TEST_P(LostRunsTest, AreStartedElsewhereOnlyByAnOwnerThatWasAlone) {
  StartOnBoth();
  const TimePoint silent_since = now_;
  EndRunsOfAgent0();
  RunInTheDark(seconds(15));
  EXPECT_EQ(starts_["agent-0"].size(), 4U);
  ShowAloneUntil(silent_since + GetParam().alone_for);
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

// Guards against an owner in the dark that doesn't believe an agent that says
// that its worker's lease has run out, which needs no look at the log.
TEST_F(CutOffOwnerTest, AgentsWordOfALapsedLeaseIsBelieved) {
  StartOnBoth();
  EndRunsOfAgent0();
  RunInTheDark(seconds(8));
  auto lapsed = ReportOf("agent-1");
  lapsed.set_complete(false);
  lapsed.set_worker_silent(true);
  lapsed.set_worker_lapsed(true);
  Report("agent-1", lapsed);
  Report("agent-0", ReportOf("agent-0"));
  EXPECT_EQ(starts_["agent-0"].size(), 8U);
}

// Guards against a run of an agent that is back after its lease being kept as
// if it ran, since nothing was lost in the dark.
TEST_F(CutOffOwnerTest, AgentThatIsBackSaysWhatHasLapsed) {
  StartOnBoth();
  EndRunsOfAgent0();
  RunInTheDark(seconds(8));
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
  RunInTheDark(seconds(1));
  EXPECT_EQ(starts_["agent-0"].size() + starts_["agent-1"].size(), 12U);
}

// Guards against tasks of before a claim being started by an owner whose
// successor may have taken back their runs.
TEST_F(CutOffOwnerTest, CensusEndsOnlyOnceTheOwnerWasAlone) {
  PutJob({Step(1)});
  PutClaim();
  Begin();
  const TimePoint begun = now_;
  alone_until_ = begun;
  Report("agent-0", ReportOf("agent-0"));
  RunInTheDark(seconds(25));
  EXPECT_EQ(Starts(), 0U);
  ShowAloneUntil(begun + milliseconds(19999));
  EXPECT_EQ(Starts(), 0U);
  ShowAloneUntil(begun + seconds(20));
  EXPECT_EQ(Starts(), 1U);
}

// Guards against the same once the owner before has resigned.
TEST_F(CutOffOwnerTest, ShorterCensusEndsOnlyOnceTheOwnerWasAlone) {
  PutJob({Step(1)});
  PutClaim();
  Begin();
  alone_until_ = now_;
  Report("agent-0", ReportOf("agent-0"));
  const TimePoint over = now_ + JobOwnerOptions().LongestLease();
  owner_.OnEarlierGrants(now_, {over, over});
  RunInTheDark(seconds(10));
  EXPECT_EQ(Starts(), 0U);
  ShowAloneUntil(over);
  EXPECT_EQ(Starts(), 1U);
}

// Guards against a census that ends since its missing agents were forgotten.
TEST_F(CutOffOwnerTest, SilentAgentIsForgottenOnlyOnceTheOwnerWasAlone) {
  Begin();
  ReportAll();
  alone_until_ = now_;
  RunInTheDark(seconds(15));
  EXPECT_TRUE(owner_.workers().contains("agent-1"));
  ShowAloneUntil(now_);
  EXPECT_FALSE(owner_.workers().contains("agent-1"));
}

// Guards against an owner in the dark that keeps a task down although the only
// agent that could hold it has said that it does not.
TEST_F(CutOffOwnerTest, CensusOfAgentsThatAllAnswerNeedsNoLog) {
  PutJob({Step(1)});
  PutClaim();
  Begin();
  alone_until_ = now_;
  RunInTheDark(seconds(3));
  EXPECT_EQ(Starts(), 0U);
  Report("agent-1", ReportOf("agent-1"));
  EXPECT_EQ(Starts(), 1U);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

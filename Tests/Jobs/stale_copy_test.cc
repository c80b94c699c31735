// What an entry answers about jobs that are missing in its copy of the log.

#include <string>
#include <vector>

#include "Tests/Jobs/entry_decisions_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;

constexpr char kJob[] = "00000000000000a1";
constexpr milliseconds kDeadline{3000};

enum class Copy {
  // Complete: the log has no such job.
  kCurrent,
  // Older than the job.
  kBehind,
  // The log does not answer where it ends.
  kUnknown,
};

struct StaleCopyCase {
  std::string name;
  JobCallKind kind = JobCallKind::kQuery;
  Copy copy = Copy::kCurrent;
  JobVerdict verdict = JobVerdict::kUnavailable;
  bool stored = false;
};

class StaleEntryTest : public EntryDecisionsTest {
 protected:
  StaleEntryTest() {
    AnswerOperators({{kConfigurationKey, "1", 0}});
    AnswerNewest({}, /*more=*/false);
    AnswerRead(ReadOutcome::kRecords);
    AdvanceTime(milliseconds(0));
    AnswerAppends();
  }

  static auto JobRecord() -> KeyedRecord {
    Job job;
    job.set_id(kJob);
    job.set_queue("queue");
    job.add_steps()->set_count(1);
    auto record = MakeRecord(RecordKind::kJob, kJob, job);
    record.offset = kEnd;
    return record;
  }

  auto Call(JobCallKind kind, const std::string& rest = kJob) -> void {
    JobCall call{kind, kQueueHost, std::string(kQueuePrefix) + rest, {}, {}};
    call.deadline = kDeadline;
    entry_.Call(now_, call, [this](const JobReply& reply) -> void {
      replies_.push_back(reply.verdict);
    });
  }

  // Answers with the state of the log after the call.
  auto ShowLog(Copy copy) -> void {
    if (copy == Copy::kUnknown) {
      AnswerEnd(LogTopic::kJobs, /*answered=*/false, 0);
      return;
    }
    const bool behind = copy == Copy::kBehind;
    AnswerEnd(LogTopic::kJobs, /*answered=*/true, behind ? kEnd + 1 : kEnd);
    if (behind) {
      EXPECT_TRUE(replies_.empty());
      AnswerRead(ReadOutcome::kRecords, {JobRecord()});
    }
  }

  std::vector<JobVerdict> replies_;
};

class StaleCopyTest : public StaleEntryTest,
                      public testing::WithParamInterface<StaleCopyCase> {};

// Guards against the answer "no such job", and a cancel that is not stored,
// from a copy of the log that is older than the job.
TEST_P(StaleCopyTest, SaysThatThereIsNoJobOnlyIfTheLogHasNone) {
  Call(GetParam().kind);
  EXPECT_TRUE(replies_.empty());
  AnswerAppends();
  ShowLog(GetParam().copy);
  ASSERT_EQ(replies_.size(), 1U);
  EXPECT_EQ(replies_.front(), GetParam().verdict);
  EXPECT_EQ(Appended(RecordKind::kCancellation).has_value(), GetParam().stored);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    StaleCopyTest,
    testing::Values(
        StaleCopyCase{"ask_none", JobCallKind::kQuery, Copy::kCurrent,
                      JobVerdict::kNoSuchJob, false},
        StaleCopyCase{"ask_behind", JobCallKind::kQuery, Copy::kBehind,
                      JobVerdict::kState, false},
        StaleCopyCase{"ask_unknown", JobCallKind::kQuery, Copy::kUnknown,
                      JobVerdict::kUnavailable, false},
        StaleCopyCase{"cancel_none", JobCallKind::kCancel, Copy::kCurrent,
                      JobVerdict::kNoSuchJob, true},
        StaleCopyCase{"cancel_behind", JobCallKind::kCancel, Copy::kBehind,
                      JobVerdict::kCancelled, true},
        // The cancel is effective whatever the log contains.
        StaleCopyCase{"cancel_unknown", JobCallKind::kCancel, Copy::kUnknown,
                      JobVerdict::kCancelled, true}),
    [](const auto& info) { return info.param.name; });

struct OldQueuesCase {
  std::string name;
  JobCallKind kind = JobCallKind::kQuery;
  // Time since the configuration was confirmed.
  milliseconds age{0};
  JobVerdict verdict = JobVerdict::kUnavailable;
};

class OldQueuesTest : public StaleEntryTest,
                      public testing::WithParamInterface<OldQueuesCase> {};

// Guards against an answer that a job does not exist because its queue is too
// new to be known to the entry.
TEST_P(OldQueuesTest, DoNotConfirmThatAJobIsUnknown) {
  AdvanceTime(GetParam().age);
  Call(GetParam().kind, std::string("new/") + kJob);
  AnswerEnd(LogTopic::kJobs, /*answered=*/true, kEnd);
  ASSERT_EQ(replies_.size(), 1U);
  EXPECT_EQ(replies_.front(), GetParam().verdict);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    OldQueuesTest,
    testing::Values(OldQueuesCase{"cancel_current", JobCallKind::kCancel,
                                  milliseconds(0), JobVerdict::kNoSuchJob},
                    OldQueuesCase{"cancel_old", JobCallKind::kCancel,
                                  milliseconds(2100), JobVerdict::kUnavailable},
                    OldQueuesCase{"ask_current", JobCallKind::kQuery,
                                  milliseconds(0), JobVerdict::kNoSuchJob},
                    OldQueuesCase{"ask_old", JobCallKind::kQuery,
                                  milliseconds(2100), JobVerdict::kUnavailable},
                    OldQueuesCase{"submit_current", JobCallKind::kSubmit,
                                  milliseconds(0), JobVerdict::kInvalid},
                    OldQueuesCase{"submit_old", JobCallKind::kSubmit,
                                  milliseconds(2100),
                                  JobVerdict::kUnavailable}),
    [](const auto& info) { return info.param.name; });

using CancelAheadTest = StaleEntryTest;

// Guards against a log that fills with cancels of one id that does not exist.
TEST_F(CancelAheadTest, IsStoredOnce) {
  Call(JobCallKind::kCancel);
  AnswerAppends();
  auto cancellation = Appended(RecordKind::kCancellation);
  ASSERT_TRUE(cancellation.has_value());
  cancellation->offset = kEnd;
  AnswerEnd(LogTopic::kJobs, /*answered=*/true, kEnd + 1);
  AnswerRead(ReadOutcome::kRecords, {*cancellation});
  appended_.clear();
  AdvanceTime(milliseconds(100));
  Call(JobCallKind::kCancel);
  EXPECT_TRUE(AnswerEnd(LogTopic::kJobs, /*answered=*/true, kEnd + 1));
  EXPECT_EQ(replies_, std::vector(2, JobVerdict::kNoSuchJob));
  EXPECT_FALSE(Appended(RecordKind::kCancellation).has_value());
}

// Guards against the answer "no such job" from a copy of a log that was
// restored to an earlier state.
TEST_F(CancelAheadTest, LogThatEndsBeforeTheCopyProvesNothing) {
  Call(JobCallKind::kQuery);
  AnswerEnd(LogTopic::kJobs, /*answered=*/true, kEnd - 1);
  EXPECT_EQ(replies_, std::vector(1, JobVerdict::kUnavailable));
}

// Guards against a query that is rejected because the entry has read further
// than the end that it requested for this query.
TEST_F(CancelAheadTest, ReaderMayOvertakeTheAnswerAboutTheEnd) {
  auto record = JobRecord();
  record.key = MakeCancellation("00000000000000b2").key;
  Call(JobCallKind::kQuery);
  AnswerRead(ReadOutcome::kRecords, {record});
  AnswerEnd(LogTopic::kJobs, /*answered=*/true, kEnd);
  EXPECT_EQ(replies_, std::vector(1, JobVerdict::kNoSuchJob));
}

// Guards against a query that is rejected because the read for the next query
// failed.
TEST_F(CancelAheadTest, FailedReadIsNoAnswerToThoseBefore) {
  Call(JobCallKind::kQuery);
  AnswerEnd(LogTopic::kJobs, /*answered=*/true, kEnd + 1);
  AdvanceTime(milliseconds(100));
  Call(JobCallKind::kQuery);
  AnswerEnd(LogTopic::kJobs, /*answered=*/false, 0);
  EXPECT_EQ(replies_, std::vector(1, JobVerdict::kUnavailable));
  AnswerRead(ReadOutcome::kRecords, {JobRecord()});
  EXPECT_EQ(replies_,
            (std::vector{JobVerdict::kUnavailable, JobVerdict::kState}));
}

// Guards against a job that runs although its cancel was acknowledged, because
// its submission was stored after the cancel.
TEST_F(CancelAheadTest, HoldsForAJobThatIsStoredLater) {
  Call(JobCallKind::kCancel);
  AnswerAppends();
  ShowLog(Copy::kCurrent);
  auto cancellation = Appended(RecordKind::kCancellation);
  ASSERT_TRUE(cancellation.has_value());
  cancellation->offset = kEnd;
  auto job = JobRecord();
  job.offset = kEnd + 1;
  AnswerRead(ReadOutcome::kRecords, {*cancellation, job});
  ASSERT_NE(entry_.fold().Find(kJob), nullptr);
  EXPECT_EQ(entry_.fold().Find(kJob)->state(), JOB_CANCELLED);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

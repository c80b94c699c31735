// Tests of the check of a start in the log, as the log answers late, in pages
// or not at all.

#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using Verdict = StartCheck::Verdict;

constexpr char kJobId[] = "0123456789abcdef";
constexpr uint64_t kFence = 3;

class StartCheckTest : public testing::Test {
 protected:
  StartCheckTest()
      : check_([this](const ReadCall& call, KeyedLogPort::OnRead done) {
          calls_.push_back(call);
          answers_.push_back(std::move(done));
        }) {}

  auto Check(uint64_t read_to) -> Verdict {
    return check_.Check(now_, {kJobId, kFence, read_to}).verdict;
  }

  // Answers the newest read.
  auto Answer(ReadOutcome outcome,
              uint64_t end = 0,
              std::vector<KeyedRecord> records = {}) -> void {
    ReadResult result;
    result.outcome = outcome;
    result.end = end;
    result.records = std::move(records);
    const auto done = answers_.back();
    done(now_, result);
  }

  static auto CancellationAt(uint64_t offset) -> KeyedRecord {
    auto record = MakeCancellation(kJobId);
    record.offset = offset;
    return record;
  }

  TimePoint now_{std::chrono::seconds(100)};
  std::vector<ReadCall> calls_;
  std::vector<KeyedLogPort::OnRead> answers_;
  StartCheck check_;
};

TEST_F(StartCheckTest, ReadsToTheEndOfTheLog) {
  EXPECT_EQ(Check(50), Verdict::kPending);
  KeyedRecord other;
  other.offset = 50;
  Answer(ReadOutcome::kRecords, 52, {other});
  EXPECT_EQ(Check(50), Verdict::kPending);
  ASSERT_EQ(calls_.size(), 2U);
  EXPECT_EQ(calls_.back().from, 51U);
  Answer(ReadOutcome::kRecords, 52, {CancellationAt(51)});
  EXPECT_EQ(Check(50), Verdict::kOver);
  EXPECT_EQ(calls_.size(), 2U);
}

// Guards against a result that is used for long: the job may have been
// cancelled meanwhile.
TEST_F(StartCheckTest, ReadsAgainOnceTheResultIsOld) {
  Check(50);
  Answer(ReadOutcome::kRecords, 50);
  EXPECT_EQ(Check(50), Verdict::kStands);
  now_ += StartCheckOptions().result_age;
  EXPECT_EQ(Check(50), Verdict::kPending);
  EXPECT_EQ(calls_.size(), 2U);
}

// Guards against an agent that does not see a cancellation which lies before
// the records that it has read for the start of a more recent owner.
TEST_F(StartCheckTest, BeginsAnewForAStartThatRestsOnAnOlderCopy) {
  Check(50);
  Answer(ReadOutcome::kRecords, 50);
  EXPECT_EQ(Check(40), Verdict::kPending);
  EXPECT_EQ(calls_.back().from, 40U);
  Answer(ReadOutcome::kRecords, 50, {CancellationAt(49)});
  EXPECT_EQ(Check(40), Verdict::kOver);
}

// Guards against starts that are never carried out because each answer of a
// slow log is out of date when it arrives.
TEST_F(StartCheckTest, SlowAnswerIsUsed) {
  Check(50);
  now_ += StartCheckOptions().patience - milliseconds(1);
  Answer(ReadOutcome::kRecords, 50);
  EXPECT_EQ(Check(50), Verdict::kStands);
}

// Guards against a start that stands by a log whose history is lost.
TEST_F(StartCheckTest, StartIsUncertainIfTheLogLacksRecords) {
  Check(50);
  Answer(ReadOutcome::kGone);
  EXPECT_EQ(Check(50), Verdict::kUncertain);
  EXPECT_EQ(Check(60), Verdict::kPending) << "its owner has read further";
  Answer(ReadOutcome::kRecords, 55);
  EXPECT_EQ(Check(60), Verdict::kUncertain) << "the log ends before that";
}

// Guards against a start of a cancelled job that stands because the log, which
// answers each page at once, needs more than `patience` for all pages.
TEST_F(StartCheckTest, LogThatAnswersPageByPageIsReachable) {
  EXPECT_EQ(Check(1), Verdict::kPending);
  for (uint64_t page = 1; page < 11; ++page) {
    now_ += milliseconds(100);
    KeyedRecord other;
    other.offset = page;
    Answer(ReadOutcome::kRecords, 12, {other});
    EXPECT_EQ(Check(1), Verdict::kPending) << "page " << page;
  }
  Answer(ReadOutcome::kRecords, 12, {CancellationAt(11)});
  EXPECT_EQ(Check(1), Verdict::kOver);
}

// Guards against a start of a cancelled job that stands because its log counts
// as unreachable while a large response arrives over a thin link.
TEST_F(StartCheckTest, LogWhoseResponseIsArrivingIsReachable) {
  EXPECT_EQ(Check(50), Verdict::kPending);
  for (std::size_t part = 1; part <= 10; ++part) {
    now_ += StartCheckOptions().patience / 2;
    calls_.back().on_progress(now_, part * 10000);
    EXPECT_EQ(Check(50), Verdict::kPending) << "part " << part;
  }
  now_ += StartCheckOptions().patience;
  EXPECT_EQ(Check(50), Verdict::kUnreachable) << "the response has stalled";
}

// Guards against a start of a cancelled job that stands because single calls
// were refused, or connections broke.
TEST_F(StartCheckTest, FailedReadsAreNoOutageIfOthersAreAnswered) {
  for (int round = 0; round < 20; ++round) {
    EXPECT_EQ(Check(50), Verdict::kPending) << "round " << round;
    Answer(ReadOutcome::kFailed);
    now_ += StartCheckOptions().retry_pause;
    EXPECT_EQ(Check(50), Verdict::kPending) << "round " << round;
    Answer(ReadOutcome::kRecords, 50);
    now_ += StartCheckOptions().result_age;
  }
}

// Guards against two starts that begin each other's check anew for ever.
TEST_F(StartCheckTest, DeletedRecordsOfOneStartHoldUpNoOther) {
  int settled = 0;
  for (int round = 0; round < 100 && settled == 0; ++round) {
    settled += Check(60) == Verdict::kPending ? 0 : 1;
    const auto first = answers_.back();
    settled += Check(50) == Verdict::kPending ? 0 : 1;
    ReadResult at_end;
    at_end.outcome = ReadOutcome::kRecords;
    at_end.end = 60;
    first(now_, at_end);
    Answer(ReadOutcome::kGone);
    now_ += milliseconds(20);
  }
  EXPECT_GT(settled, 0) << calls_.size() << " reads";
}

// Guards against an answer from before the records were discarded: it may come
// from other offsets.
TEST_F(StartCheckTest, LateAnswerToAnEarlierCheckIsIgnored) {
  Check(50);
  const auto late = answers_.back();
  now_ += StartCheckOptions().keep;
  EXPECT_EQ(Check(90), Verdict::kPending);
  ReadResult result;
  result.outcome = ReadOutcome::kRecords;
  result.end = 50;
  late(now_, result);
  EXPECT_EQ(Check(90), Verdict::kPending);
}

struct OutageCase {
  std::string name;
  bool answers = false;
};

class OutageTest : public StartCheckTest,
                   public testing::WithParamInterface<OutageCase> {};

// Guards against starts that wait for a log that nobody can read, each time
// anew.
TEST_P(OutageTest, HoldsNothingUpForLong) {
  constexpr milliseconds kStep{20};
  std::size_t answered = 0;
  for (milliseconds waited{0}; waited < milliseconds(3000); waited += kStep) {
    const bool unreachable = waited >= StartCheckOptions().patience;
    EXPECT_EQ(Check(50),
              unreachable ? Verdict::kUnreachable : Verdict::kPending);
    if (GetParam().answers && answered < answers_.size()) {
      Answer(ReadOutcome::kFailed);
      answered = answers_.size();
    }
    now_ += kStep;
  }
  EXPECT_LE(calls_.size(), 20U);
  // The log is back.
  now_ += StartCheckOptions().unreachable_retry_pause;
  Check(50);
  Answer(ReadOutcome::kRecords, 50);
  now_ += kStep;
  if (Check(50) == Verdict::kPending) {
    Answer(ReadOutcome::kRecords, 50);
  }
  EXPECT_EQ(Check(50), Verdict::kStands);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         OutageTest,
                         testing::Values(OutageCase{"refuses", true},
                                         OutageCase{"silent", false}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

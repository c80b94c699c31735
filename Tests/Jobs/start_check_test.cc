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
    return check_.Check(now_, {kJobId, kFence, read_to});
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
  EXPECT_EQ(Check(50), Verdict::kVoid);
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
  EXPECT_EQ(Check(40), Verdict::kVoid);
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
TEST_F(StartCheckTest, LogWithoutTheRecordsVoidsTheStart) {
  Check(50);
  Answer(ReadOutcome::kGone);
  EXPECT_EQ(Check(50), Verdict::kVoid);
  EXPECT_EQ(Check(60), Verdict::kPending) << "its owner has read further";
  Answer(ReadOutcome::kRecords, 55);
  EXPECT_EQ(Check(60), Verdict::kVoid) << "the log ends before that";
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
  EXPECT_EQ(Check(50), Verdict::kPending);
  if (GetParam().answers) {
    Answer(ReadOutcome::kFailed);
  } else {
    now_ += StartCheckOptions().patience;
  }
  for (int check = 0; check < 100; ++check) {
    EXPECT_EQ(Check(50), Verdict::kUnreachable);
    now_ += milliseconds(20);
  }
  EXPECT_LE(calls_.size(), 5U);
  // The log is back.
  Answer(ReadOutcome::kRecords, 50);
  EXPECT_EQ(Check(50), Verdict::kPending);
  Answer(ReadOutcome::kRecords, 50);
  EXPECT_EQ(Check(50), Verdict::kStands);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         OutageTest,
                         testing::Values(OutageCase{"refuses", true},
                                         OutageCase{"silent", false}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

// Tests what an entry decides from the answers of the log, whose order each
// test sets.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Tests/Jobs/entry_decisions_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRenewal{600};

// Guards against a task that starts again after its end was recorded. An entry
// claims the cell; before it reads its claim, the history of the log is
// compacted, and the entry reads the newest records again, with the claim on
// the first page and jobs and their progress on later ones. The entry became
// the owner on the part of the records that it had read.
TEST_F(EntryDecisionsTest, BecomesOwnerOnlyWithACompleteFold) {
  AnswerOperators({});
  AnswerNewest({}, /*more=*/false);
  AnswerRead(ReadOutcome::kRecords);
  AdvanceTime(milliseconds(0));
  ASSERT_TRUE(Appended(RecordKind::kClaim).has_value());
  AnswerRead(ReadOutcome::kGone);
  AnswerAppends();
  AnswerNewest({*Appended(RecordKind::kClaim)}, /*more=*/true);
  AdvanceTime(kRenewal);
  AnswerAppends();
  EXPECT_FALSE(entry_.owner().active());
  AnswerNewest({}, /*more=*/false);
  AnswerRead(ReadOutcome::kRecords);
  EXPECT_TRUE(entry_.owner().active());
}

// Guards against an owner that starts tasks in a failure domain whose
// evacuation it has not read yet, and against a claim that keeps out entries
// that have read it.
TEST_F(EntryDecisionsTest, ClaimsOnlyAfterReadingTheOperatorsRecords) {
  AnswerNewest({}, /*more=*/false);
  AnswerRead(ReadOutcome::kRecords);
  AdvanceTime(milliseconds(0));
  EXPECT_FALSE(Appended(RecordKind::kClaim).has_value());
  AnswerOperators({{kEvacuationKey, "{}", 0}});
  AdvanceTime(milliseconds(100));
  EXPECT_TRUE(Appended(RecordKind::kClaim).has_value());
  EXPECT_NE(metrics_.Exposition().find("rhubarbhaven_evacuated_domains 1"),
            std::string::npos);
}

// Guards against a claim that stays in the log although its reason no longer
// holds, because the log of the operators cannot be read at that moment.
TEST_F(EntryDecisionsTest, WithdrawsAClaimWhileTheOperatorsLogIsUnreadable) {
  AnswerOperators({});
  OwnerClaim claim;
  claim.set_owner("other");
  claim.set_fence(3);
  auto record = MakeRecord(RecordKind::kClaim, "", claim);
  AnswerNewest({record}, /*more=*/false);
  for (int read = 0; read < 10; ++read) {
    AnswerRead(ReadOutcome::kRecords);
    if (on_read_[LogTopic::kOperators] != nullptr) {
      AnswerOperatorsRead();
    }
    AdvanceTime(milliseconds(250));
  }
  ASSERT_EQ(entry_.fence(), 4U);
  for (const auto& done : std::exchange(on_append_, {})) {
    done(now_, {AppendOutcome::kUnknown, 0});
  }
  claim.set_renewal(1);
  record = MakeRecord(RecordKind::kClaim, "", claim);
  record.offset = kEnd;
  now_ += milliseconds(2500);
  AnswerRead(ReadOutcome::kRecords, {record});
  AdvanceTime(milliseconds(1));
  EXPECT_EQ(entry_.fence(), 0U);
}

struct StartCase {
  std::string name;
  // Owner of the newest claim that the entry finds; empty if there is no claim.
  std::string owner;
  // The fence up to which the entry declares that it grants nothing; zero if it
  // declares nothing.
  uint64_t resigned = 0;
};

class StartTest : public EntryDecisionsTest,
                  public testing::WithParamInterface<StartCase> {};

// An entry that restarts and finds the claim of another entry may be the owner
// that this claim replaced. If it finds its own claim, it claims again and need
// not resign.
TEST_P(StartTest, ResignsOnlyIfAnotherEntryHoldsTheClaim) {
  std::vector<KeyedRecord> records;
  if (!GetParam().owner.empty()) {
    OwnerClaim claim;
    claim.set_owner(GetParam().owner);
    claim.set_incarnation(9);
    claim.set_fence(3);
    records.push_back(MakeRecord(RecordKind::kClaim, "", claim));
  }
  AnswerNewest(records, /*more=*/false);
  AnswerRead(ReadOutcome::kRecords);
  AdvanceTime(milliseconds(0));
  const auto record = Appended(RecordKind::kResignation);
  ASSERT_EQ(record.has_value(), GetParam().resigned != 0);
  if (record) {
    OwnerResignation resignation;
    ASSERT_TRUE(resignation.ParseFromString(record->value));
    EXPECT_EQ(resignation.owner(), kEntryName);
    EXPECT_EQ(resignation.fence(), GetParam().resigned);
  }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         StartTest,
                         testing::Values(StartCase{"no_claim", "", 0},
                                         StartCase{"own_claim", kEntryName, 0},
                                         StartCase{"anothers_claim", "other",
                                                   3}),
                         [](const auto& info) { return info.param.name; });

// Guards against an owner that does not declare its resignation because the log
// rejected the append. The record is kept and appended again.
TEST_F(EntryDecisionsTest, RejectedResignationIsRetried) {
  OwnerClaim claim;
  claim.set_owner("other");
  claim.set_fence(3);
  AnswerNewest({MakeRecord(RecordKind::kClaim, "", claim)}, /*more=*/false);
  AnswerRead(ReadOutcome::kRecords);
  ASSERT_TRUE(Appended(RecordKind::kResignation).has_value());
  for (const auto& done : std::exchange(on_append_, {})) {
    done(now_, {AppendOutcome::kRejected, 0});
  }
  appended_.clear();
  AdvanceTime(milliseconds(1000));
  EXPECT_TRUE(Appended(RecordKind::kResignation).has_value());
}

}  // namespace
}  // namespace rhubarbhaven::jobs

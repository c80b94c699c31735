// What an entry decides from the log's answers, whose order the test sets.

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

// Symptom: a task starts again after its end was noted. Sequence: an entry
// claims the cell; before it reads its claim the log forgets its history, and
// the entry takes the newest records anew; the claim is on the first page, jobs
// and their progress on the next ones. Cause: the entry began as the owner on
// what it had read so far.
TEST_F(EntryDecisionsTest, BeginsAsOwnerOnlyOnAFoldThatIsWhole) {
  AnswerOperators({});
  AnswerNewest({}, /*more=*/false);
  AnswerRead(ReadOutcome::kRecords);
  Pass(milliseconds(0));
  ASSERT_TRUE(Appended(RecordKind::kClaim).has_value());
  AnswerRead(ReadOutcome::kGone);
  AnswerAppends();
  AnswerNewest({*Appended(RecordKind::kClaim)}, /*more=*/true);
  Pass(kRenewal);
  AnswerAppends();
  EXPECT_FALSE(entry_.owner().active());
  AnswerNewest({}, /*more=*/false);
  AnswerRead(ReadOutcome::kRecords);
  EXPECT_TRUE(entry_.owner().active());
}

// Guards against an owner that starts tasks in a failure domain whose
// evacuation it has not read yet, and against a claim that keeps out those who
// have.
TEST_F(EntryDecisionsTest, ClaimsOnlyOnceItKnowsTheOperatorsRecords) {
  AnswerNewest({}, /*more=*/false);
  AnswerRead(ReadOutcome::kRecords);
  Pass(milliseconds(0));
  EXPECT_FALSE(Appended(RecordKind::kClaim).has_value());
  AnswerOperators({{kEvacuationKey, "{}", 0}});
  Pass(milliseconds(100));
  EXPECT_TRUE(Appended(RecordKind::kClaim).has_value());
  EXPECT_NE(metrics_.Exposition().find("rhubarbhaven_evacuated_domains 1"),
            std::string::npos);
}

// Guards against a claim that is stored although its grounds are gone, since
// the operators' log cannot be read at that moment.
TEST_F(EntryDecisionsTest, WithdrawsAClaimWhateverItKnowsOfTheOperators) {
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
    Pass(milliseconds(250));
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
  Pass(milliseconds(1));
  EXPECT_EQ(entry_.fence(), 0U);
}

struct StartCase {
  std::string name;
  // Of the newest claim that the entry finds; none if it is empty.
  std::string owner;
  // Up to which fence it says that it grants nothing; zero if it says nothing.
  uint64_t resigned = 0;
};

class StartTest : public EntryDecisionsTest,
                  public testing::WithParamInterface<StartCase> {};

// An entry that starts anew beside another's claim may be the one that claim
// replaced. After its own claim it claims again, and need not say so.
TEST_P(StartTest, SaysThatItIsNoOwnerOfAnothersClaim) {
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
  Pass(milliseconds(0));
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

// Symptom: as of an owner that says nothing. Sequence: the log refuses the
// append. Why not here: the word is kept and written again.
TEST_F(EntryDecisionsTest, WordThatTheLogRefusedIsWrittenAgain) {
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
  Pass(milliseconds(1000));
  EXPECT_TRUE(Appended(RecordKind::kResignation).has_value());
}

}  // namespace
}  // namespace rhubarbhaven::jobs

#include <gtest/gtest.h>

#include "Placement/placement.h"
#include "Tasks/tasks.h"

namespace rhubarbhaven {
namespace {

constexpr char kCell[] = "cell-0";

auto Claim(const std::string& owner, uint64_t replaces) -> schema::LogEntry {
  schema::LogEntry entry;
  entry.mutable_claim()->set_cell(kCell);
  entry.mutable_claim()->set_owner(owner);
  entry.mutable_claim()->set_owner_incarnation(1);
  entry.mutable_claim()->set_replaces(replaces);
  return entry;
}

auto Renew(const std::string& owner, uint64_t replaces) -> schema::LogEntry {
  schema::LogEntry entry = Claim(owner, replaces);
  entry.mutable_claim()->set_renewal(true);
  return entry;
}

auto Release(const std::string& owner, uint64_t fence, bool settled)
    -> schema::LogEntry {
  schema::LogEntry entry = Claim(owner, fence);
  entry.mutable_claim()->set_release(true);
  entry.mutable_claim()->set_settled(settled);
  return entry;
}

auto Place(uint64_t fence, uint32_t attempt) -> schema::LogEntry {
  schema::LogEntry entry;
  entry.mutable_placement()->set_fence(fence);
  entry.mutable_placement()->mutable_task()->set_job("job");
  entry.mutable_placement()->set_attempt(attempt);
  entry.mutable_placement()->set_instance("instance-0");
  return entry;
}

auto End(uint64_t fence, uint32_t attempt, schema::TaskOutcome outcome)
    -> schema::LogEntry {
  schema::LogEntry entry;
  entry.mutable_task_end()->set_fence(fence);
  entry.mutable_task_end()->mutable_task()->set_job("job");
  entry.mutable_task_end()->set_attempt(attempt);
  entry.mutable_task_end()->set_outcome(outcome);
  entry.mutable_task_end()->set_checkpoint("done=5");
  return entry;
}

struct FoldCase {
  const char* name;
  // Each entry is one record, at offsets 1, 2, ...
  std::vector<schema::LogEntry> entries;
  // For each entry, whether it takes effect: 'y' or 'n'.
  std::string outcomes;
  uint64_t fence;
  std::string owner;
};

class CellFoldTest : public testing::TestWithParam<FoldCase> {};

TEST_P(CellFoldTest, TakesEffect) {
  const FoldCase& param = GetParam();
  CellFold fold(kCell);
  std::string outcomes;
  uint64_t offset = 0;
  for (const schema::LogEntry& entry : param.entries) {
    schema::LogRecord record;
    record.set_writer("w");
    record.set_sequence(++offset);
    *record.add_entries() = entry;
    for (const CellEffect& effect : fold.Apply(offset, record)) {
      outcomes += effect.accepted ? 'y' : 'n';
      EXPECT_EQ(effect.accepted, effect.why.empty());
    }
    // Applying the same offset again has no effect.
    EXPECT_TRUE(fold.Apply(offset, record).empty());
  }
  EXPECT_EQ(outcomes, param.outcomes);
  EXPECT_EQ(fold.fence(), param.fence);
  EXPECT_EQ(fold.owner(), param.owner);
  // A snapshot restores the same state; adopting one that is not newer has no
  // effect.
  CellFold copy(kCell);
  EXPECT_TRUE(copy.Adopt(fold.Export()));
  EXPECT_EQ(copy.Export().SerializeAsString(),
            fold.Export().SerializeAsString());
  EXPECT_FALSE(copy.Adopt(fold.Export()));
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    CellFoldTest,
    testing::Values(
        FoldCase{"FirstClaimWins",
                 {Claim("a", 0), Claim("b", 0)},
                 "yn",
                 1,
                 "a"},
        FoldCase{"ClaimReplacesLatest",
                 {Claim("a", 0), Claim("b", 1)},
                 "yy",
                 2,
                 "b"},
        // A claim made before its process read the renewal has no effect.
        FoldCase{"RenewalBeatsOlderClaim",
                 {Claim("a", 0), Renew("a", 1), Claim("b", 1)},
                 "yyn",
                 1,
                 "a"},
        FoldCase{"RenewalOfOthersIsVoid",
                 {Claim("a", 0), Renew("b", 1)},
                 "yn",
                 1,
                 "a"},
        FoldCase{"ReplacedOwnerCannotRenewOrRelease",
                 {Claim("a", 0), Claim("b", 1), Renew("a", 1),
                  Release("a", 1, true)},
                 "yynn",
                 2,
                 "b"},
        FoldCase{"ReleaseFrees",
                 {Claim("a", 0), Release("a", 1, true), Claim("b", 0)},
                 "yyy",
                 3,
                 "b"},
        FoldCase{"PlacementNeedsFence",
                 {Place(0, 1), Claim("a", 0), Place(1, 1), Place(2, 1)},
                 "nyny",
                 2,
                 "a"},
        FoldCase{"StaleOwnersPlacementIsVoid",
                 {Claim("a", 0), Claim("b", 1), Place(1, 1), Place(2, 1)},
                 "yyny",
                 2,
                 "b"},
        FoldCase{"OnePlacementAtATime",
                 {Claim("a", 0), Place(1, 1), Place(1, 1), Place(1, 2)},
                 "yynn",
                 1,
                 "a"},
        FoldCase{
            "ResumesOnce",
            {Claim("a", 0), Place(1, 1), End(1, 1, schema::EVICTED),
             End(1, 1, schema::EVICTED), Place(1, 3), Place(1, 2), Place(1, 2)},
            "yyynnyn",
            1,
            "a"},
        FoldCase{"FinishedNeverRunsAgain",
                 {Claim("a", 0), Place(1, 1), End(1, 1, schema::FINISHED),
                  Place(1, 2)},
                 "yyyn",
                 1,
                 "a"},
        FoldCase{
            "EndNeedsFenceAndAttempt",
            {Claim("a", 0), Place(1, 1), End(1, 2, schema::LOST), Claim("b", 1),
             End(1, 1, schema::LOST), End(4, 1, schema::LOST)},
            "yynyny",
            4,
            "b"}),
    [](const auto& param) { return param.param.name; });

// Guards against treating an earlier owner as ended while it is cut off from
// the log and may renew leases for a day. Owner a is replaced by b after a
// timeout, b releases the cell and c claims it. The release by b shows that a
// has ended only if it is marked as settled.
TEST(CellFold, ReleaseSettlesOnlyIfMarkedSettled) {
  for (const bool marked_settled : {false, true}) {
    CellFold fold(kCell);
    uint64_t offset = 0;
    for (const schema::LogEntry& entry :
         {Claim("a", 0), Claim("b", 1), Release("b", 2, marked_settled),
          Claim("c", 0)}) {
      schema::LogRecord record;
      record.set_sequence(++offset);
      *record.add_entries() = entry;
      fold.Apply(offset, record);
    }
    EXPECT_EQ(fold.owner(), "c");
    EXPECT_EQ(fold.unsettled(), !marked_settled);
  }
}

// Guards against a process regaining a cell that it has released. The answer to
// its claim is lost and the claim is appended a second time, after the release.
// The cell has no owner then, as the claim requires.
TEST(CellFold, RepeatedRecordTakesNoEffect) {
  CellFold fold(kCell);
  const std::vector<schema::LogEntry> entries = {
      Claim("a", 0), Release("a", 1, true), Claim("a", 0)};
  const std::vector<uint64_t> sequences = {1, 2, 1};
  for (std::size_t i = 0; i < entries.size(); ++i) {
    schema::LogRecord record;
    record.set_writer("a");
    record.set_sequence(sequences[i]);
    *record.add_entries() = entries[i];
    fold.Apply(i + 1, record);
  }
  EXPECT_EQ(fold.fence(), 0U);
}

}  // namespace
}  // namespace rhubarbhaven

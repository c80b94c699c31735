// What becomes of entries when the log's answers are lost or refuse them.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "Jobs/jobs.h"
#include "Tests/Jobs/virtual_log.h"
#include "Tests/Jobs/virtual_time.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::seconds(100)};

auto Options(bool give_back) -> AppendBatcherOptions {
  AppendBatcherOptions options;
  options.producer = "entry";
  options.settle_rejected = give_back;
  return options;
}

struct FateCase {
  std::string name;
  bool give_back = false;
  std::vector<AppendOutcome> outcomes;
  // The sequence number of each call.
  std::vector<uint64_t> sequences;
  std::vector<EntryOutcome> settled;
};

class FateTest : public testing::TestWithParam<FateCase> {};

TEST_P(FateTest, EntryIsSettledOnce) {
  AppendBatcher batcher(Options(GetParam().give_back));
  TimePoint now = kStart;
  std::vector<EntryOutcome> settled;
  batcher.Enqueue(7, {{"key", "value", 0}});
  for (std::size_t i = 0; i < GetParam().outcomes.size(); ++i) {
    now += std::chrono::seconds(1);
    const auto call = batcher.Next(now);
    ASSERT_TRUE(call.has_value()) << i;
    EXPECT_EQ(call->sequence, GetParam().sequences[i]) << i;
    for (const auto& entry :
         batcher.OnResult(now, {GetParam().outcomes[i], 0})) {
      EXPECT_EQ(entry.ticket, 7U);
      settled.push_back(entry.outcome);
    }
  }
  EXPECT_EQ(settled, GetParam().settled);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    FateTest,
    testing::Values(FateCase{"stored",
                             true,
                             {AppendOutcome::kAppended},
                             {1},
                             {EntryOutcome::kStored}},
                    FateCase{"refused_is_given_back",
                             true,
                             {AppendOutcome::kRejected},
                             {1},
                             {EntryOutcome::kNotStored}},
                    // The first try may be in the log: a refusal of the second
                    // says nothing about it.
                    FateCase{"lost_then_refused_is_not_given_back",
                             true,
                             {AppendOutcome::kUnknown, AppendOutcome::kRejected,
                              AppendOutcome::kAppended},
                             {1, 1, 1},
                             {EntryOutcome::kStored}},
                    FateCase{
                        "kept_until_stored",
                        false,
                        {AppendOutcome::kRejected, AppendOutcome::kRejected,
                         AppendOutcome::kAppended},
                        {1, 1, 1},
                        {EntryOutcome::kStored}},
                    FateCase{"fenced_settles_nothing",
                             false,
                             {AppendOutcome::kFenced},
                             {1},
                             {}}),
    [](const auto& info) { return info.param.name; });

// Guards against a log that is only slow and is taken to have lost answer after
// answer: each was asked for again before it could come.
TEST(AppendBatcherTest, WaitsTwiceAsLongAfterEachUnansweredTry) {
  AppendBatcher batcher(Options(false));
  batcher.Enqueue(1, {{"key", "value", 0}});
  TimePoint now = kStart;
  for (const auto wait :
       {milliseconds(150), milliseconds(300), milliseconds(600)}) {
    const auto call = batcher.Next(now);
    ASSERT_TRUE(call.has_value());
    EXPECT_EQ(call->timeout, wait);
    now += call->timeout;
    batcher.OnResult(now, {AppendOutcome::kUnknown, 0});
    now += seconds(1);
  }
}

// Symptom: an entry that was refused once refuses all callers for good.
// Sequence: the log refuses an append; the log is back. Cause: callers were
// refused while the last append had failed, and without a caller there was no
// append that could succeed.
TEST(AppendBatcherTest, TakesEntriesAgainAfterARefusal) {
  AppendBatcher batcher(Options(true));
  batcher.Enqueue(1, {{"key", "value", 0}});
  ASSERT_TRUE(batcher.Next(kStart).has_value());
  batcher.OnResult(kStart, {AppendOutcome::kRejected, 0});
  EXPECT_FALSE(batcher.accepts(kStart));
  const TimePoint later = kStart + milliseconds(500);
  EXPECT_TRUE(batcher.accepts(later));
  batcher.Enqueue(2, {{"key", "value", 0}});
  EXPECT_FALSE(batcher.accepts(later));
  ASSERT_TRUE(batcher.Next(later).has_value());
  batcher.OnResult(later, {AppendOutcome::kAppended, 0});
  EXPECT_TRUE(batcher.accepts(later));
}

// Symptom: an entry that was told to be stored is nowhere. Sequence: the log
// carries out an append, and its sender takes it for refused and gives it back;
// the next entry is sent. Cause: it went out under the sequence number of the
// first, so the log took it for a repeat and answered without storing it.
TEST(AppendBatcherTest, EntryAfterOneGivenBackIsNoRepeatOfIt) {
  VirtualTime time(1);
  VirtualLog log(&time);
  const auto port = log.PortFor("entry", []() -> bool { return true; });
  AppendBatcher batcher(Options(true));
  const auto send = [&time, &port](const AppendCall& call) -> AppendResult {
    AppendResult answer;
    port.append(call, [&answer](TimePoint, const AppendResult& result) -> void {
      answer = result;
    });
    while (time.Step(time.now() + seconds(1))) {
    }
    return answer;
  };
  batcher.Enqueue(1, {{"first", "value", 0}});
  send(*batcher.Next(time.now()));
  batcher.OnResult(time.now(), {AppendOutcome::kRejected, 0});
  batcher.Enqueue(2, {{"second", "value", 0}});
  const auto settled = batcher.OnResult(
      time.now(), send(*batcher.Next(time.now() + seconds(1))));
  ASSERT_EQ(settled.size(), 1U);
  EXPECT_EQ(settled.front().outcome, EntryOutcome::kStored);
  std::vector<std::string> stored;
  port.newest({LogTopic::kJobs, ""},
              [&stored](TimePoint, const NewestResult& newest) -> void {
                for (const auto& record : newest.records) {
                  stored.push_back(record.key);
                }
              });
  while (time.Step(time.now() + seconds(1))) {
  }
  EXPECT_EQ(stored, (std::vector<std::string>{"first", "second"}));
}

TEST(AppendBatcherTest, OneLostAnswerIsNoOutage) {
  AppendBatcher batcher(Options(true));
  batcher.Enqueue(1, {{"key", "value", 0}});
  ASSERT_TRUE(batcher.Next(kStart).has_value());
  batcher.OnResult(kStart, {AppendOutcome::kUnknown, 0});
  EXPECT_TRUE(batcher.accepts(kStart));
}

}  // namespace
}  // namespace rhubarbhaven::jobs

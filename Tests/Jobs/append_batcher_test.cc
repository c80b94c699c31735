// Tests of the outcome of entries when the log's answers are lost or reject the
// append.

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

auto Options(bool settle_if_rejected) -> AppendBatcherOptions {
  AppendBatcherOptions options;
  options.producer = "entry";
  options.settle_rejected = settle_if_rejected;
  return options;
}

struct OutcomeCase {
  std::string name;
  bool settle_if_rejected = false;
  std::vector<AppendOutcome> outcomes;
  // The sequence number of each call.
  std::vector<uint64_t> sequences;
  std::vector<EntryOutcome> settled;
};

class OutcomeTest : public testing::TestWithParam<OutcomeCase> {};

TEST_P(OutcomeTest, EntryIsSettledOnce) {
  AppendBatcher batcher(Options(GetParam().settle_if_rejected));
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
    OutcomeTest,
    testing::Values(
        OutcomeCase{"stored",
                    true,
                    {AppendOutcome::kAppended},
                    {1},
                    {EntryOutcome::kStored}},
        OutcomeCase{"refused_is_given_back",
                    true,
                    {AppendOutcome::kRejected},
                    {1},
                    {EntryOutcome::kNotStored}},
        // The first attempt may be in the log, and a rejection of
        // the second says nothing about it.
        OutcomeCase{"lost_then_refused_is_not_given_back",
                    true,
                    {AppendOutcome::kUnknown, AppendOutcome::kRejected,
                     AppendOutcome::kAppended},
                    {1, 1, 1},
                    {EntryOutcome::kStored}},
        OutcomeCase{"kept_until_stored",
                    false,
                    {AppendOutcome::kRejected, AppendOutcome::kRejected,
                     AppendOutcome::kAppended},
                    {1, 1, 1},
                    {EntryOutcome::kStored}},
        OutcomeCase{"fenced_settles_nothing",
                    false,
                    {AppendOutcome::kFenced},
                    {1},
                    {}}),
    [](const auto& info) { return info.param.name; });

// Guards against a log that is only slow but counts as losing one answer after
// another, because each append is repeated before its answer can arrive.
TEST(AppendBatcherTest, DoublesTheTimeoutAfterEachUnansweredAttempt) {
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

// Guards against an entry process that rejects all callers forever after one
// rejected append. Callers were rejected while the last append had failed, and
// without a caller there was no append that could succeed.
TEST(AppendBatcherTest, AcceptsEntriesAgainAfterARejection) {
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

// Guards against a lost entry that was reported as stored. The log carries out
// an append whose sender counts it as rejected and settles it as not stored.
// The next entry was sent under the same sequence number, so the log took it
// for a repeat and answered without storing it.
TEST(AppendBatcherTest, EntryAfterARejectedOneIsNotARepeat) {
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

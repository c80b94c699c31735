// Tests of the outcome of entries when the log's answers are lost or reject the
// append.

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
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

// Sends batches to a log until every entry is settled.
class RecordLimitTest : public testing::Test {
 protected:
  static constexpr std::size_t kRecordLimit = 100;

  RecordLimitTest() { log_.SetRecordLimit(kRecordLimit); }

  auto SettleAll(AppendBatcher* batcher) -> std::vector<SettledEntry> {
    std::vector<SettledEntry> settled;
    const TimePoint end = time_.now() + seconds(10);
    while (!batcher->idle() && time_.now() < end) {
      const auto call = batcher->Next(time_.now());
      if (!call) {
        RunFor(milliseconds(10));
        continue;
      }
      largest_batch_ = std::max(largest_batch_, call->records.size());
      std::optional<AppendResult> answer;
      port_.append(*call, [&answer](TimePoint, const AppendResult& result) {
        answer = result;
      });
      while (!answer) {
        RunFor(milliseconds(1));
      }
      for (auto& entry : batcher->OnResult(time_.now(), *answer)) {
        settled.push_back(std::move(entry));
      }
    }
    return settled;
  }

  auto RunFor(Duration span) -> void {
    const TimePoint end = time_.now() + span;
    while (time_.Step(end)) {
    }
  }

  auto StoredKeys() -> std::vector<std::string> {
    std::vector<std::string> keys;
    port_.newest({LogTopic::kJobs, ""},
                 [&keys](TimePoint, const NewestResult& newest) -> void {
                   for (const auto& record : newest.records) {
                     keys.push_back(record.key);
                   }
                 });
    RunFor(milliseconds(100));
    return keys;
  }

  static auto Record(const std::string& key, std::size_t bytes) -> KeyedRecord {
    return {key, std::string(bytes, 'v'), 0};
  }

  VirtualTime time_{1};
  VirtualLog log_{&time_};
  KeyedLogPort port_ = log_.PortFor("entry", []() -> bool { return true; });
  std::size_t largest_batch_ = 0;
};

struct InvalidRecordCase {
  std::string name;
  bool settle_if_rejected = false;
  // The numbers of the records, from 0, that are too large for the log.
  std::set<int> too_large;
};

class InvalidRecordTest
    : public RecordLimitTest,
      public testing::WithParamInterface<InvalidRecordCase> {};

// Guards against a cell that stops: a record that the log refuses for good was
// appended again without end, and all that came after it waited.
TEST_P(InvalidRecordTest, OnlyTheRecordAtFaultIsDiscarded) {
  constexpr int kEntries = 20;
  AppendBatcher batcher(Options(GetParam().settle_if_rejected));
  std::vector<std::string> valid;
  for (int i = 0; i < kEntries; ++i) {
    const bool too_large = GetParam().too_large.contains(i);
    const std::string key(1, static_cast<char>('a' + i));
    batcher.Enqueue(i, {Record(key, too_large ? kRecordLimit : 1)});
    if (!too_large) {
      valid.push_back(key);
    }
  }
  const auto settled = SettleAll(&batcher);
  ASSERT_EQ(settled.size(), kEntries);
  for (int i = 0; i < kEntries; ++i) {
    const auto expected = GetParam().too_large.contains(i)
                              ? EntryOutcome::kInvalid
                              : EntryOutcome::kStored;
    EXPECT_EQ(settled[i].ticket, static_cast<uint64_t>(i));
    EXPECT_EQ(settled[i].outcome, expected) << i;
  }
  EXPECT_EQ(StoredKeys(), valid);
  // Halving the batch finds a record among 20 in 5 appends; up to as many again
  // fail while the batches grow before it.
  EXPECT_LE(log_.invalid_appends(),
            10 * static_cast<int>(GetParam().too_large.size()));
  EXPECT_FALSE(batcher.failing());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    InvalidRecordTest,
    testing::Values(InvalidRecordCase{"first", true, {0}},
                    InvalidRecordCase{"last", true, {19}},
                    InvalidRecordCase{"several", true, {3, 4, 11}},
                    InvalidRecordCase{"of_the_owner", false, {7}},
                    InvalidRecordCase{"several_of_the_owner", false, {2, 17}}),
    [](const auto& info) { return info.param.name; });

TEST_F(RecordLimitTest, OtherRecordsOfTheEntryAreStored) {
  AppendBatcher batcher(Options(false));
  batcher.Enqueue(1,
                  {Record("a", 1), Record("b", kRecordLimit), Record("c", 1)});
  batcher.Enqueue(2, {Record("d", 1)});
  const auto settled = SettleAll(&batcher);
  ASSERT_EQ(settled.size(), 2U);
  EXPECT_EQ(settled[0].outcome, EntryOutcome::kInvalid);
  EXPECT_EQ(settled[0].invalid_keys, std::vector<std::string>{"b"});
  EXPECT_EQ(settled[1].outcome, EntryOutcome::kStored);
  EXPECT_EQ(StoredKeys(), (std::vector<std::string>{"a", "c", "d"}));
}

// Guards against an append that the log refuses as a whole: the records of one
// entry were never divided, and their framing did not count.
TEST_F(RecordLimitTest, RecordsOfOneEntryAreDividedByTheirSizeInTheLog) {
  AppendBatcherOptions options = Options(false);
  options.max_bytes = 3 * SizeInLog(Record("a", 10));
  AppendBatcher batcher(options);
  std::vector<KeyedRecord> records;
  for (char key = 'a'; key < 'k'; ++key) {
    records.push_back(Record(std::string(1, key), 10));
  }
  batcher.Enqueue(1, records);
  const auto settled = SettleAll(&batcher);
  ASSERT_EQ(settled.size(), 1U);
  EXPECT_EQ(settled[0].outcome, EntryOutcome::kStored);
  EXPECT_EQ(StoredKeys().size(), records.size());
  EXPECT_EQ(largest_batch_, 3U);
}

TEST(AppendBatcherTest, OneLostAnswerIsNoOutage) {
  AppendBatcher batcher(Options(true));
  batcher.Enqueue(1, {{"key", "value", 0}});
  ASSERT_TRUE(batcher.Next(kStart).has_value());
  batcher.OnResult(kStart, {AppendOutcome::kUnknown, 0});
  EXPECT_TRUE(batcher.accepts(kStart));
}

// Of a link of 2 Mbit/s.
constexpr std::size_t kThinLink = 250000;

struct LinkCase {
  std::string name;
  // Sizes of the records of each entry.
  std::vector<std::size_t> records;
  std::size_t link_bytes_per_second = 0;
  // Number of records in each request.
  std::vector<std::size_t> requests;
};

class ThinLinkBatchTest : public testing::TestWithParam<LinkCase> {};

// Guards against a request that is given up before the link has carried it, and
// then repeated unchanged, and against one that occupies the link for so long
// that the owner's renewals behind it come too late.
TEST_P(ThinLinkBatchTest, RequestsFitTheLink) {
  AppendBatcherOptions options = Options(false);
  options.link_bytes_per_second = GetParam().link_bytes_per_second;
  AppendBatcher batcher(options);
  for (std::size_t i = 0; i < GetParam().records.size(); ++i) {
    batcher.Enqueue(i, {{"key", std::string(GetParam().records[i], 'x'), 0}});
  }
  TimePoint now = kStart;
  for (const std::size_t records : GetParam().requests) {
    const auto call = batcher.Next(now);
    ASSERT_TRUE(call.has_value());
    EXPECT_EQ(call->records.size(), records);
    std::size_t bytes = 0;
    for (const auto& record : call->records) {
      bytes += SizeInLog(record);
    }
    const milliseconds link_time(bytes * 1000 / kThinLink);
    EXPECT_GE(call->timeout, link_time + options.min_timeout);
    EXPECT_LE(call->timeout, 2 * link_time + options.min_timeout);
    now += link_time;
    batcher.OnResult(now, {AppendOutcome::kAppended, 0});
  }
  EXPECT_TRUE(batcher.idle());
  EXPECT_EQ(batcher.pending_bytes(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ThinLinkBatchTest,
    testing::Values(
        LinkCase{"small", {10, 10, 10}, kThinLink, {3}},
        LinkCase{"many", {30000, 30000, 30000, 30000}, kThinLink, {2, 2}},
        LinkCase{"largest_record", {262000, 10}, kThinLink, {1, 1}},
        LinkCase{"unknown_link", {30000, 30000, 30000}, 0, {3}}),
    [](const auto& info) { return info.param.name; });

// Guards against an owner that is replaced while it receives a large response
// of the log: each of its renewals was given up, and sent anew on a connection
// of its own, before the busy link had carried it.
TEST(AppendBatcherTest, RequestsHaveMoreTimeWhileTheLinkIsBusy) {
  AppendBatcher batcher(Options(false));
  batcher.Enqueue(1, {{"renewal", "value", 0}});
  const auto call = batcher.Next(kStart, /*link_busy=*/true);
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->timeout, Options(false).busy_timeout);
  batcher.OnResult(kStart, {AppendOutcome::kUnknown, 0});
  const auto repeated = batcher.Next(kStart + seconds(1));
  ASSERT_TRUE(repeated.has_value());
  EXPECT_LT(repeated->timeout, Options(false).busy_timeout);
}

// Guards against an owner that is replaced since its renewal waits behind
// records that the link carries for seconds.
TEST(AppendBatcherTest, RenewalPrecedesRecordsThatWait) {
  AppendBatcherOptions options = Options(false);
  options.link_bytes_per_second = kThinLink;
  AppendBatcher batcher(options);
  const KeyedRecord large{"large", std::string(60000, 'x'), 0};
  batcher.Enqueue(1, {large, large, large});
  ASSERT_TRUE(batcher.Next(kStart).has_value());
  batcher.EnqueueFirst(2, {{"renewal", "value", 0}});
  EXPECT_TRUE(batcher.OnResult(kStart, {AppendOutcome::kAppended, 0}).empty());
  const auto call = batcher.Next(kStart);
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->records.front().key, "renewal");
  const auto settled = batcher.OnResult(kStart, {AppendOutcome::kAppended, 0});
  ASSERT_EQ(settled.size(), 1U);
  EXPECT_EQ(settled.front().ticket, 2U);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

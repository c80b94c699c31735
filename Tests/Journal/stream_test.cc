#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "Journal/journal.h"
#include "Tests/StandIns/Log/log_stand_in.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Ends a test that hangs. No result depends on how soon a condition is met.
constexpr seconds kTestTimeout{30};

auto Eventually(const std::function<auto()->bool>& condition) -> bool {
  const TimePoint end = Clock::now() + kTestTimeout;
  while (!condition()) {
    if (Clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

auto Entry(int number) -> schema::LogEntry {
  schema::LogEntry entry;
  entry.mutable_once_intent()->set_key(std::to_string(number));
  return entry;
}

// A writer and a follower of one stream, connected as in a daemon.
class Process {
 public:
  explicit Process(const LogStandIn& log, milliseconds give_back = {}) {
    FollowerOptions follow;
    follow.log_url = log.url();
    follow.stream = "s";
    follow.wait = milliseconds(50);
    follow.retry = milliseconds(5);
    follow.on_snapshot = [this](const CompleteSnapshot& snapshot) -> void {
      const std::lock_guard lock(mutex_);
      seen_ = {"snapshot " + snapshot.state};
    };
    follow.on_record = [this](uint64_t offset,
                              const schema::LogRecord& record) -> void {
      TakeRecord(offset, record);
    };
    follow.on_caught_up = [this](TimePoint read_sent_at) -> void {
      ++caught_up_;
      writer_->OnCaughtUp(read_sent_at);
    };
    follow.on_unreachable = [this](const absl::Status&) -> void {
      ++unreachable_;
    };
    follower_ = std::make_unique<StreamFollower>(std::move(follow));
    WriterOptions write;
    write.log_url = log.url();
    write.stream = "s";
    write.queue.writer = "w";
    write.queue.incarnation = 3;
    write.queue.interval = milliseconds(1);
    write.queue.first_backoff = milliseconds(1);
    write.queue.longest_backoff = milliseconds(20);
    write.queue.max_entries_per_record = 10;
    write.timeout = milliseconds(200);
    write.give_back_after = give_back;
    write.on_failed = [this](const schema::LogEntry&) -> void { ++failed_; };
    writer_ = std::make_unique<StreamWriter>(std::move(write));
    follower_->Start();
    writer_->Start();
  }
  ~Process() {
    follower_->Stop();
    writer_->Stop(milliseconds(0));
  }

  auto seen() -> std::vector<std::string> {
    const std::lock_guard lock(mutex_);
    return seen_;
  }
  auto writer() -> StreamWriter& { return *writer_; }
  auto follower() -> StreamFollower& { return *follower_; }
  auto failed() const -> int { return failed_; }
  auto caught_up() const -> int { return caught_up_; }
  auto unreachable() const -> int { return unreachable_; }

 private:
  auto TakeRecord(uint64_t offset, const schema::LogRecord& record) -> void {
    writer_->OnRead(record);
    const std::lock_guard lock(mutex_);
    if (!marks_.Accept(offset, record)) {
      return;
    }
    for (const auto& entry : record.entries()) {
      if (entry.has_once_intent()) {
        seen_.push_back(entry.once_intent().key());
      }
    }
  }

  std::mutex mutex_;
  WriterMarks marks_;
  std::vector<std::string> seen_;
  std::atomic<int> failed_ = 0;
  std::atomic<int> caught_up_ = 0;
  std::atomic<int> unreachable_ = 0;
  std::unique_ptr<StreamFollower> follower_;
  std::unique_ptr<StreamWriter> writer_;
};

struct FaultCase {
  std::string name;
  LogFaults faults;
  // Maximum number of appends beyond those that are needed without faults.
  uint64_t max_extra_appends;
};

// Guards against entries that are lost, duplicated or reordered after an
// outage. This occurs if a missing response is treated as a rejection or as a
// success while the log is down, slow, rejects appends or loses responses.
class FaultTest : public testing::TestWithParam<FaultCase> {};

TEST_P(FaultTest, EveryEntryTakesEffectOnceAndInOrder) {
  LogStandIn log({});
  ASSERT_TRUE(log.Start().ok());
  log.SetFaults(GetParam().faults);
  Process process(log);
  std::vector<std::string> expected;
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(process.writer().Append(Entry(i)));
    expected.push_back(std::to_string(i));
  }
  if (GetParam().faults.down) {
    ASSERT_TRUE(Eventually([&] { return process.unreachable() > 3; }));
    EXPECT_EQ(process.caught_up(), 0);
    EXPECT_EQ(process.writer().backlog(), 100);
    log.SetFaults({});
  }
  ASSERT_TRUE(Eventually([&] { return process.writer().backlog() == 0; }));
  ASSERT_TRUE(Eventually([&] { return process.seen().size() >= 100; }));
  EXPECT_EQ(process.seen(), expected);
  uint64_t numbers = 0;
  for (const auto& bytes : log.records("s")) {
    schema::LogRecord record;
    record.ParseFromString(bytes);
    numbers = std::max(numbers, record.sequence());
  }
  EXPECT_LE(log.appends("s"), numbers + GetParam().max_extra_appends);
  EXPECT_EQ(process.failed(), 0);
}

auto Faults(bool down, int slow_ms, int lose, int hang_ms, int refuse)
    -> LogFaults {
  LogFaults faults;
  faults.down = down;
  faults.slow = milliseconds(slow_ms);
  faults.lose_answers = static_cast<uint64_t>(lose);
  faults.hang = milliseconds(hang_ms);
  faults.refuse = static_cast<uint64_t>(refuse);
  return faults;
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    FaultTest,
    testing::Values(FaultCase{"None", Faults(false, 0, 0, 0, 0), 0},
                    FaultCase{"Down", Faults(true, 0, 0, 0, 0), 0},
                    FaultCase{"Slow", Faults(false, 20, 0, 0, 0), 0},
                    FaultCase{"Refusing", Faults(false, 0, 0, 0, 5), 0},
                    FaultCase{"LosingAnswers", Faults(false, 0, 5, 0, 0), 0},
                    FaultCase{"HangingThenLost", Faults(false, 0, 2, 400, 0),
                              0}),
    [](const auto& info) { return info.param.name; });

// Guards against a change that takes effect after its caller was notified that
// it was rejected. This occurs if entries are returned to the caller while they
// are still queued or in flight, and the log is down for longer than entries
// may wait, then recovers.
TEST(StreamTest, ReturnedEntriesAreNeverInTheLog) {
  LogStandIn log({});
  ASSERT_TRUE(log.Start().ok());
  log.SetFaults(Faults(true, 0, 0, 0, 0));
  Process process(log, milliseconds(30));
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(process.writer().Append(Entry(i)));
  }
  ASSERT_TRUE(Eventually([&] { return process.failed() == 50; }));
  EXPECT_EQ(process.writer().backlog(), 0);
  log.SetFaults({});
  ASSERT_TRUE(Eventually([&] { return process.caught_up() > 0; }));
  ASSERT_TRUE(process.writer().Append(Entry(50)));
  ASSERT_TRUE(Eventually([&] { return !process.seen().empty(); }));
  EXPECT_EQ(process.seen(), std::vector<std::string>{"50"});
  EXPECT_EQ(log.appends("s"), 1);
}

TEST(StreamTest, StopSendsQueuedEntriesAndReturnsTheOthers) {
  LogStandIn log({});
  ASSERT_TRUE(log.Start().ok());
  Process process(log);
  for (int i = 0; i < 30; ++i) {
    ASSERT_TRUE(process.writer().Append(Entry(i)));
  }
  process.writer().Stop(kTestTimeout);
  EXPECT_FALSE(process.writer().Append(Entry(30)));
  ASSERT_TRUE(Eventually([&] { return process.seen().size() == 30; }));
  EXPECT_EQ(process.failed(), 0);

  log.SetFaults(Faults(true, 0, 0, 0, 0));
  Process other(log);
  ASSERT_TRUE(other.writer().Append(Entry(31)));
  other.writer().Stop(milliseconds(20));
  EXPECT_EQ(other.failed(), 1);
}

// Guards against a process that starts late and uses an incomplete state. This
// occurs if records after a gap are applied as if none were missing: the oldest
// records have expired, and a snapshot is appended later or a peer provides its
// state.
TEST(StreamTest, OnlyASnapshotOrAPeerClosesAGap) {
  LogStandIn log({});
  ASSERT_TRUE(log.Start().ok());
  Process first(log);
  for (int i = 0; i < 5; ++i) {
    first.writer().Append(Entry(i));
    ASSERT_TRUE(Eventually([&] { return first.writer().backlog() == 0; }));
  }
  log.Expire("s", 4);
  Process late(log);
  Process peer_restored(log);
  peer_restored.follower().SkipTo(3);
  ASSERT_TRUE(Eventually([&] { return peer_restored.seen().size() == 2; }));
  EXPECT_EQ(peer_restored.seen(), (std::vector<std::string>{"3", "4"}));
  EXPECT_TRUE(late.seen().empty());
  EXPECT_EQ(late.caught_up(), 0);
  for (const auto& chunk : SplitSnapshot(4, "0 to 3", 2)) {
    first.writer().Append(chunk);
  }
  ASSERT_TRUE(Eventually([&] { return late.caught_up() > 0; }));
  EXPECT_EQ(late.seen(), (std::vector<std::string>{"snapshot 0 to 3", "4"}));
}

// Guards against a version that decreases after the log of the platform was
// restored to an earlier state. This occurs if the follower accepts an end of
// the log that is below the applied offset.
TEST(StreamTest, LogThatEndsBeforeTheAppliedOffsetIsNotFollowed) {
  auto log = std::make_unique<LogStandIn>(LogStandInOptions{});
  ASSERT_TRUE(log->Start().ok());
  Process process(*log);
  process.writer().Append(Entry(0));
  ASSERT_TRUE(Eventually([&] { return process.seen().size() == 1; }));
  LogStandInOptions same;
  same.port = log->port();
  log.reset();
  LogStandIn empty(same);
  ASSERT_TRUE(Eventually([&] { return empty.Start().ok(); }));
  const int before = process.caught_up();
  const int failures = process.unreachable();
  ASSERT_TRUE(
      Eventually([&] { return process.unreachable() > failures + 50; }));
  EXPECT_EQ(process.caught_up(), before);
}

}  // namespace
}  // namespace rhubarbhaven

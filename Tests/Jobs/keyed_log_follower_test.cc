// Tests of how a reader of the keyed log catches up with its end.

#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "Tests/Jobs/virtual_log.h"
#include "Tests/Jobs/virtual_time.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kReader[] = "reader";
constexpr std::size_t kRecordBytes = 10000;
// Number of records that the reader has missed, and the interval at which
// further records are stored meanwhile.
constexpr int kBacklog = 90;
constexpr milliseconds kRecordInterval{500};

struct SlowPathCase {
  std::string name;
  // Bandwidth of the reader's path, in bytes per second.
  std::size_t bandwidth = 0;
  seconds catches_up_within{0};
};

class KeyedLogFollowerTest : public testing::Test {
 protected:
  KeyedLogFollowerTest()
      : follower_({}, log_.PortFor(kReader, [] { return true; }), Hooks()) {}

  auto Hooks() -> KeyedLogFollowerHooks {
    KeyedLogFollowerHooks hooks;
    hooks.schedule = [this](TimePoint when, const auto& job) -> void {
      time_.At(when, [this, job]() -> void { job(time_.now()); });
    };
    hooks.on_record = [](TimePoint, const KeyedRecord&) {};
    hooks.on_key_removed = [](TimePoint, const std::string&) {};
    hooks.on_restart = [] {};
    hooks.on_caught_up = [](TimePoint, TimePoint) {};
    hooks.on_reachable = [](const std::string&) {};
    return hooks;
  }

  auto RunFor(milliseconds span) -> void {
    const TimePoint end = time_.now() + span;
    while (time_.Step(end)) {
    }
  }

  auto Put(const std::string& key = "key") -> void {
    log_.Put(LogTopic::kJobs, {key, std::string(kRecordBytes, 'x'), 0});
  }

  auto PutPeriodically() -> void {
    time_.After(kRecordInterval, [this]() -> void {
      Put();
      PutPeriodically();
    });
  }

  VirtualTime time_{1};
  VirtualLog log_{&time_};
  KeyedLogFollower follower_;
};

class SlowPathTest : public KeyedLogFollowerTest,
                     public testing::WithParamInterface<SlowPathCase> {};

// Guards against a reader that repeatedly requests everything that it has
// missed at once, on a path that cannot transfer as much within the time limit
// of one read.
TEST_P(SlowPathTest, ReaderCatchesUpWithTheEnd) {
  follower_.Start(time_.now());
  RunFor(seconds(1));
  ASSERT_NE(follower_.caught_up_at(), TimePoint());
  log_.SetModeFor(kReader, VirtualLog::Mode::kUnresponsive);
  for (int record = 0; record < kBacklog; ++record) {
    Put();
  }
  RunFor(seconds(3));
  log_.SetModeFor(kReader, VirtualLog::Mode::kServes);
  log_.SetBandwidthFor(kReader, GetParam().bandwidth);
  PutPeriodically();
  const TimePoint restored_at = time_.now();
  RunFor(GetParam().catches_up_within);
  EXPECT_GT(follower_.caught_up_at(), restored_at);
}

// Each bound is twice the time that the backlog, the records that are stored
// meanwhile, and the time-outs of the first reads need on that path.
INSTANTIATE_TEST_SUITE_P(
    Table,
    SlowPathTest,
    testing::Values(SlowPathCase{"wide", 10000000, seconds(6)},
                    SlowPathCase{"some", 250000, seconds(14)},
                    SlowPathCase{"narrow", 100000, seconds(30)}),
    [](const auto& info) { return info.param.name; });

struct OutageCase {
  std::string name;
  // The log rejects calls, then does not answer them.
  milliseconds rejects{0};
  milliseconds silent{0};
};

class OutageTest : public KeyedLogFollowerTest,
                   public testing::WithParamInterface<OutageCase> {};

// Guards against a reader that starts while the log fails and does not hear the
// log for many seconds after it serves again, since its request was sent into
// the outage with a timeout that had grown with each failure.
TEST_P(OutageTest, ReaderThatStartsDuringItCatchesUpSoonAfterIt) {
  Put();
  log_.SetModeFor(kReader, VirtualLog::Mode::kRejects);
  follower_.Start(time_.now());
  RunFor(GetParam().rejects);
  log_.SetModeFor(kReader, VirtualLog::Mode::kUnresponsive);
  RunFor(GetParam().silent);
  log_.SetModeFor(kReader, VirtualLog::Mode::kServes);
  const KeyedLogFollowerOptions options;
  RunFor(options.min_page_timeout + options.max_backoff + milliseconds(100));
  EXPECT_NE(follower_.caught_up_at(), TimePoint());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    OutageTest,
    testing::Values(OutageCase{"rejects", seconds(8), seconds(0)},
                    OutageCase{"rejects_then_silent", seconds(4), seconds(3)},
                    OutageCase{"silent", seconds(0), seconds(5)},
                    OutageCase{"long_silent", seconds(0), seconds(20)}),
    [](const auto& info) { return info.param.name; });

// Guards against a reader on a narrow path that never receives a whole page,
// because it does not wait longer for it.
TEST_F(KeyedLogFollowerTest, ReaderOnANarrowPathWaitsLongerForPages) {
  constexpr int kKeys = 50;
  for (int key = 0; key < kKeys; ++key) {
    Put("key-" + std::to_string(key));
  }
  log_.SetBandwidthFor(kReader, 100000);
  follower_.Start(time_.now());
  RunFor(seconds(20));
  EXPECT_NE(follower_.caught_up_at(), TimePoint());
}

}  // namespace
}  // namespace rhubarbhaven::jobs

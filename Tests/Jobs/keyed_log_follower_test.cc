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
  RunFor(options.page_limits.response + options.max_backoff +
         milliseconds(100));
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

constexpr char kConfigurationKey[] = "config";
// What a thin link carries in a second, and a record that takes 1.3 s on it:
// longer than a silent log is waited for.
constexpr std::size_t kThinLink = 250000;
constexpr std::size_t kLargeRecord = 327285;

struct ChangesCase {
  std::string name;
  std::size_t record_bytes = 0;
  // When the configuration first changes, after the reader has started, and the
  // number and interval of the changes.
  milliseconds first{0};
  int changes = 0;
  milliseconds interval{0};
  // After the last change.
  milliseconds catches_up_within{0};
};

// A reader of the operators' log over a thin link.
class ConfigurationReaderTest : public testing::TestWithParam<ChangesCase> {
 protected:
  ConfigurationReaderTest()
      : follower_(Options(),
                  log_.PortFor(kReader, [] { return true; }),
                  Hooks()) {
    log_.SetBandwidthFor(kReader, kThinLink);
  }

  static auto Options() -> KeyedLogFollowerOptions {
    KeyedLogFollowerOptions options;
    options.topic = LogTopic::kOperators;
    options.newest_only = true;
    // As an entry requests over such a link.
    options.max_bytes = kThinLink / 5;
    return options;
  }

  auto Hooks() -> KeyedLogFollowerHooks {
    KeyedLogFollowerHooks hooks;
    hooks.schedule = [this](TimePoint when, const auto& job) -> void {
      time_.At(when, [this, job]() -> void { job(time_.now()); });
    };
    hooks.on_record = [this](TimePoint, const KeyedRecord& record) {
      version_ = std::stoi(record.value);
    };
    hooks.on_key_removed = [](TimePoint, const std::string&) {};
    hooks.on_restart = [] {};
    hooks.on_caught_up = [](TimePoint, TimePoint) {};
    hooks.on_call = [this](TimePoint, const FollowerCall& call) {
      bytes_ += call.bytes;
    };
    hooks.on_reachable = [](const std::string&) {};
    return hooks;
  }

  // Publishes the next version.
  auto Change() -> void {
    std::string value = std::to_string(++newest_);
    value.resize(GetParam().record_bytes, ' ');
    log_.Put(LogTopic::kOperators, {kConfigurationKey, value, 0});
  }

  auto RunFor(milliseconds span) -> void {
    const TimePoint end = time_.now() + span;
    while (time_.Step(end)) {
    }
  }

  VirtualTime time_{1};
  VirtualLog log_{&time_};
  KeyedLogFollower follower_;
  int newest_ = 0;
  int version_ = 0;
  std::size_t bytes_ = 0;
};

// Guards against a reader that requests a record from its first byte again and
// again, since the record takes longer on the link than a read may, and against
// one that reads each version of a series, although only the newest counts.
TEST_P(ConfigurationReaderTest, ReadsTheNewestVersionSoonAfterChanges) {
  Change();
  follower_.Start(time_.now());
  RunFor(GetParam().first);
  for (int change = 0; change < GetParam().changes; ++change) {
    Change();
    RunFor(GetParam().interval);
  }
  RunFor(GetParam().catches_up_within);
  EXPECT_EQ(version_, newest_);
  EXPECT_TRUE(follower_.CaughtUpWithin(time_.now(), milliseconds(1100)));
}

// A transfer that is under way, one of all newest records, and one of a record
// that was stored meanwhile, each of 1.3 s; or of 5 s.
INSTANTIATE_TEST_SUITE_P(
    Table,
    ConfigurationReaderTest,
    testing::Values(ChangesCase{"none", kLargeRecord, milliseconds(0), 0,
                                milliseconds(0), milliseconds(3000)},
                    ChangesCase{"during_the_first_page", kLargeRecord,
                                milliseconds(500), 1, milliseconds(0),
                                milliseconds(4500)},
                    ChangesCase{"later", kLargeRecord, milliseconds(8000), 1,
                                milliseconds(0), milliseconds(3000)},
                    ChangesCase{"two", kLargeRecord, milliseconds(500), 2,
                                milliseconds(1000), milliseconds(4500)},
                    ChangesCase{"storm", kLargeRecord, milliseconds(500), 25,
                                milliseconds(60), milliseconds(4500)},
                    ChangesCase{"storm_later", kLargeRecord, milliseconds(8000),
                                25, milliseconds(60), milliseconds(4500)},
                    ChangesCase{"larger_later", 4 * kLargeRecord,
                                milliseconds(12000), 1, milliseconds(0),
                                milliseconds(8000)}),
    [](const auto& info) { return info.param.name; });

class ChangingLogTest : public ConfigurationReaderTest {};

// Guards against a log that never counts as read, since it is changed during
// each transfer.
TEST_P(ChangingLogTest, CountsAsReadWhileItChanges) {
  Change();
  follower_.Start(time_.now());
  for (int change = 0; change < GetParam().changes; ++change) {
    RunFor(GetParam().interval);
    Change();
    if (change * GetParam().interval > GetParam().first) {
      EXPECT_TRUE(
          follower_.CaughtUpWithin(time_.now(), GetParam().catches_up_within));
    }
  }
}

// Four transfers of 1.3 s: two records of which each leaves others behind it,
// all newest records, and the one that was under way.
INSTANTIATE_TEST_SUITE_P(
    Table,
    ChangingLogTest,
    testing::Values(ChangesCase{"each_second", kLargeRecord, seconds(4), 30,
                                seconds(1), milliseconds(5300)},
                    ChangesCase{"often", kLargeRecord, seconds(4), 200,
                                milliseconds(100), milliseconds(5300)}),
    [](const auto& info) { return info.param.name; });

// Of the 25 versions of a series.
constexpr std::size_t kMaxVersionsRead = 6;

class StormTest : public ConfigurationReaderTest {};

// Guards against a reader whose link is busy for half a minute after a series
// of changes, with versions that are no longer in force.
TEST_P(StormTest, SkipsVersionsThatAreNoLongerInForce) {
  Change();
  follower_.Start(time_.now());
  RunFor(GetParam().first);
  const std::size_t before = bytes_;
  for (int change = 0; change < GetParam().changes; ++change) {
    Change();
    RunFor(GetParam().interval);
  }
  RunFor(seconds(60));
  EXPECT_EQ(version_, newest_);
  EXPECT_LE(bytes_ - before, kMaxVersionsRead * GetParam().record_bytes);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         StormTest,
                         testing::Values(ChangesCase{"large", kLargeRecord,
                                                     seconds(8), 25,
                                                     milliseconds(60)},
                                         ChangesCase{"small", 20000, seconds(8),
                                                     25, milliseconds(1)}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

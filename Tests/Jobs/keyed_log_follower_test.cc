// How a reader of the keyed log comes back to its end.

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
// What the log has that the reader does not, and what comes meanwhile.
constexpr int kBacklog = 90;
constexpr milliseconds kBetweenRecords{500};

struct SlowPathCase {
  std::string name;
  // Of the reader's path, in bytes a second.
  std::size_t bandwidth = 0;
  seconds current_within{0};
};

class SlowPathTest : public testing::TestWithParam<SlowPathCase> {
 protected:
  SlowPathTest()
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

  auto Put() -> void {
    log_.Put(LogTopic::kJobs, {"key", std::string(kRecordBytes, 'x'), 0});
  }

  auto PutLater() -> void {
    time_.After(kBetweenRecords, [this]() -> void {
      Put();
      PutLater();
    });
  }

  VirtualTime time_{1};
  VirtualLog log_{&time_};
  KeyedLogFollower follower_;
};

// Guards against a reader that asks for all that it has missed at once, again
// and again, on a path that cannot bring as much in the time of one read.
TEST_P(SlowPathTest, ReaderComesBackToTheEnd) {
  follower_.Start();
  RunFor(seconds(1));
  ASSERT_NE(follower_.caught_up_at(), TimePoint());
  log_.SetModeFor(kReader, VirtualLog::Mode::kUnresponsive);
  for (int record = 0; record < kBacklog; ++record) {
    Put();
  }
  RunFor(seconds(3));
  log_.SetModeFor(kReader, VirtualLog::Mode::kServes);
  log_.SetBandwidthFor(kReader, GetParam().bandwidth);
  PutLater();
  const TimePoint healed = time_.now();
  RunFor(GetParam().current_within);
  EXPECT_GT(follower_.caught_up_at(), healed);
}

// Each bound is twice what the backlog and what comes meanwhile need on that
// path, and the timeouts of the first reads.
INSTANTIATE_TEST_SUITE_P(
    Table,
    SlowPathTest,
    testing::Values(SlowPathCase{"wide", 10000000, seconds(6)},
                    SlowPathCase{"some", 250000, seconds(14)},
                    SlowPathCase{"narrow", 100000, seconds(30)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

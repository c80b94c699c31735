// Many entries that read one log: how often they read it, and how late they see
// the actions of the owner.

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "Tests/Jobs/simulated_cluster.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 12;
// Callers who query a job see its end no later than this after its owner.
constexpr milliseconds kMaxVisibilityDelay{125};
constexpr milliseconds kCheckInterval{5};
constexpr milliseconds kSubmitInterval{50};
constexpr seconds kLoad{10};
// Reads per second of one entry that is not the owner: one per shortest pause.
constexpr uint64_t kMaxReadsPerSecond = 20;

class LogReadsTest : public testing::Test {
 protected:
  LogReadsTest() : cluster_(Options()) { cluster_.RunFor(seconds(4)); }

  static auto Options() -> SimulatedClusterOptions {
    SimulatedClusterOptions options;
    options.entries = kEntries;
    return options;
  }

  static auto Client(int entry) -> std::string {
    return "entry-" + std::to_string(entry);
  }

  // Records when each job was first seen completed at the entry.
  auto RecordCompleted(int entry) -> void {
    for (const auto& job : cluster_.accepted()) {
      if (cluster_.StateOf(entry, job) == JOB_COMPLETED) {
        completed_[entry].emplace(job, cluster_.time().now());
      }
    }
  }

  // Submits small jobs, one after the other, at all entries.
  auto RunLoad() -> void {
    const TimePoint end = cluster_.time().now() + kLoad;
    while (cluster_.time().now() < end) {
      cluster_.Submit({1});
      for (milliseconds at{0}; at < kSubmitInterval; at += kCheckInterval) {
        cluster_.RunFor(kCheckInterval);
        for (int entry = 0; entry < kEntries; ++entry) {
          RecordCompleted(entry);
        }
      }
    }
  }

  SimulatedCluster cluster_;
  std::map<int, std::map<std::string, TimePoint>> completed_;
};

// Guards against reads that grow with each append of every entry, since each
// append completes the waiting reads of all entries.
TEST_F(LogReadsTest, EntriesThatAreNotTheOwnerReadInPauses) {
  const int owner = cluster_.Owner();
  ASSERT_GE(owner, 0);
  std::map<int, uint64_t> before;
  for (int entry = 0; entry < kEntries; ++entry) {
    before[entry] = cluster_.log().reads(Client(entry));
  }
  RunLoad();
  const auto most = kMaxReadsPerSecond * static_cast<uint64_t>(kLoad.count());
  for (int entry = 0; entry < kEntries; ++entry) {
    if (entry != owner) {
      EXPECT_LE(cluster_.log().reads(Client(entry)) - before[entry], most);
    }
  }
  EXPECT_TRUE(cluster_.problems().empty());
}

// Guards against entries that report for too long that an ended job still runs.
TEST_F(LogReadsTest, AllEntriesSoonSeeThatAJobIsCompleted) {
  const int owner = cluster_.Owner();
  ASSERT_GE(owner, 0);
  RunLoad();
  ASSERT_GT(completed_[owner].size(), 50U);
  const TimePoint latest = cluster_.time().now() - kMaxVisibilityDelay;
  for (const auto& [job, at] : completed_[owner]) {
    for (int entry = 0; entry < kEntries && at < latest; ++entry) {
      ASSERT_TRUE(completed_[entry].contains(job));
      EXPECT_LE(completed_[entry].at(job) - at,
                kMaxVisibilityDelay + kCheckInterval);
    }
  }
}

// Guards against a planned stop that is delayed by the read pause of every
// entry.
TEST_F(LogReadsTest, OwnerThatStopsIsReplacedSoon) {
  const int owner = cluster_.Owner();
  ASSERT_GE(owner, 0);
  cluster_.StopEntry(owner);
  const TimePoint stopped = cluster_.time().now();
  while (cluster_.Owner() == owner || cluster_.Owner() < 0) {
    ASSERT_LT(cluster_.time().now() - stopped, seconds(1));
    cluster_.RunFor(kCheckInterval);
  }
  EXPECT_LE(cluster_.time().now() - stopped, milliseconds(150));
}

}  // namespace
}  // namespace rhubarbhaven::jobs

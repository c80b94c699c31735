// Many entries that read one log: how often they ask it, and how late they know
// what the owner does.

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "Tests/Jobs/job_world.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 12;
// Callers who ask for a job see its end no later than this after its owner.
constexpr milliseconds kSeenWithin{125};
constexpr milliseconds kLook{5};
constexpr milliseconds kBetweenJobs{50};
constexpr seconds kLoad{10};
// Of one entry that is not the owner, a second: one in each shortest pause.
constexpr uint64_t kMostReadsASecond = 20;

class LogReadsTest : public testing::Test {
 protected:
  LogReadsTest() : world_(Options()) { world_.RunFor(seconds(4)); }

  static auto Options() -> JobWorldOptions {
    JobWorldOptions options;
    options.entries = kEntries;
    return options;
  }

  static auto Client(int entry) -> std::string {
    return "entry-" + std::to_string(entry);
  }

  // When each job was first seen completed at the entry.
  auto NoteCompleted(int entry) -> void {
    for (const auto& job : world_.accepted()) {
      if (world_.StateOf(entry, job) == JOB_COMPLETED) {
        completed_[entry].emplace(job, world_.time().now());
      }
    }
  }

  // Small jobs, one after the other, from all entries.
  auto RunLoad() -> void {
    const TimePoint end = world_.time().now() + kLoad;
    while (world_.time().now() < end) {
      world_.Submit({1});
      for (milliseconds at{0}; at < kBetweenJobs; at += kLook) {
        world_.RunFor(kLook);
        for (int entry = 0; entry < kEntries; ++entry) {
          NoteCompleted(entry);
        }
      }
    }
  }

  JobWorld world_;
  std::map<int, std::map<std::string, TimePoint>> completed_;
};

// Guards against reads that grow with each append of every entry: each append
// wakes the waiting reads of all.
TEST_F(LogReadsTest, EntriesThatAreNotTheOwnerReadInPauses) {
  const int owner = world_.Owner();
  ASSERT_GE(owner, 0);
  std::map<int, uint64_t> before;
  for (int entry = 0; entry < kEntries; ++entry) {
    before[entry] = world_.log().reads(Client(entry));
  }
  RunLoad();
  const auto most = kMostReadsASecond * static_cast<uint64_t>(kLoad.count());
  for (int entry = 0; entry < kEntries; ++entry) {
    if (entry != owner) {
      EXPECT_LE(world_.log().reads(Client(entry)) - before[entry], most);
    }
  }
  EXPECT_TRUE(world_.problems().empty());
}

// Guards against callers who are told for too long that a job still runs.
TEST_F(LogReadsTest, AllEntriesSoonSeeThatAJobIsCompleted) {
  const int owner = world_.Owner();
  ASSERT_GE(owner, 0);
  RunLoad();
  ASSERT_GT(completed_[owner].size(), 50U);
  const TimePoint latest = world_.time().now() - kSeenWithin;
  for (const auto& [job, at] : completed_[owner]) {
    for (int entry = 0; entry < kEntries && at < latest; ++entry) {
      ASSERT_TRUE(completed_[entry].contains(job));
      EXPECT_LE(completed_[entry].at(job) - at, kSeenWithin + kLook);
    }
  }
}

// Guards against a planned stop that waits for the pause of every entry.
TEST_F(LogReadsTest, OwnerThatStopsIsReplacedSoon) {
  const int owner = world_.Owner();
  ASSERT_GE(owner, 0);
  world_.StopEntry(owner);
  const TimePoint stopped = world_.time().now();
  while (world_.Owner() == owner || world_.Owner() < 0) {
    ASSERT_LT(world_.time().now() - stopped, seconds(1));
    world_.RunFor(kLook);
  }
  EXPECT_LE(world_.time().now() - stopped, milliseconds(150));
}

}  // namespace
}  // namespace rhubarbhaven::jobs

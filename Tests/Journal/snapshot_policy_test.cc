#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include <deque>

#include "Journal/journal.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{100};
// Time from the start of writing a snapshot until it is in the log.
constexpr milliseconds kWriteTime{700};
constexpr int kProcesses = 3;

struct PolicyCase {
  std::string name;
  // Retention of the log, by number and by age; zero for no limit.
  uint64_t kept_records;
  seconds kept_time;
  // One record is appended in each period `every`, until `quiet_after`.
  milliseconds every;
  seconds quiet_after;
  int chunks;
  // Simulated time, and the maximum number of snapshots that all processes
  // write together.
  seconds duration;
  int max_snapshots;
};

// The log and three processes that read each record immediately.
class Simulation {
 public:
  explicit Simulation(const PolicyCase& param) : param_(param) {
    for (int i = 0; i < kProcesses; ++i) {
      SnapshotPolicyOptions options;
      options.writer = absl::StrCat("entry-", i);
      processes_.emplace_back(options);
    }
  }

  auto Run() -> void {
    for (now_ = TimePoint(kTick); now_ < TimePoint(param_.duration);
         now_ += kTick) {
      AppendDue();
      Expire();
      for (auto& process : processes_) {
        process.OnExtent(now_, first_kept_, next_);
        if (process.Due(now_)) {
          process.OnWritten(now_);
          ++snapshots_;
          writing_.push_back({now_ + kWriteTime, next_ - 1});
        }
      }
      CheckRecoverable();
      if (testing::Test::HasFatalFailure()) {
        return;
      }
    }
  }

  auto snapshots() const -> int { return snapshots_; }
  auto dropped() const -> uint64_t { return first_kept_ - 1; }

 private:
  struct Writing {
    TimePoint done;
    uint64_t covers;
  };

  auto Append(const schema::LogRecord& record) -> void {
    for (auto& process : processes_) {
      process.OnRecord(now_, next_, record);
    }
    times_.push_back(now_);
    ++next_;
  }

  auto AppendDue() -> void {
    while (next_content_ <= now_ &&
           next_content_ < TimePoint(param_.quiet_after)) {
      schema::LogRecord record;
      record.add_entries()->mutable_once_intent();
      Append(record);
      next_content_ += param_.every;
    }
    while (!writing_.empty() && writing_.front().done <= now_) {
      const auto covers = writing_.front().covers;
      writing_.pop_front();
      const std::string state(static_cast<std::size_t>(param_.chunks), 'x');
      const uint64_t first = next_;
      for (const auto& entry : SplitSnapshot(covers, state, 1)) {
        schema::LogRecord record;
        *record.add_entries() = entry;
        Append(record);
      }
      complete_snapshots_.push_back({first, covers});
    }
  }

  auto Expire() -> void {
    while (first_kept_ < next_) {
      const bool too_many =
          param_.kept_records > 0 && next_ - first_kept_ > param_.kept_records;
      const bool too_old = param_.kept_time.count() > 0 &&
                           times_[first_kept_ - 1] + param_.kept_time < now_;
      if (!too_many && !too_old) {
        return;
      }
      ++first_kept_;
    }
  }

  // Checks that a process that starts now can restore the state from the log.
  auto CheckRecoverable() -> void {
    bool recoverable = first_kept_ == 1;
    for (const auto& [first, covers] : complete_snapshots_) {
      recoverable =
          recoverable || (first >= first_kept_ && covers + 1 >= first_kept_);
    }
    ASSERT_TRUE(recoverable)
        << "at " << now_.time_since_epoch() / seconds(1) << " s, first kept "
        << first_kept_ << " of " << next_;
  }

  const PolicyCase param_;
  std::deque<SnapshotPolicy> processes_;
  TimePoint now_;
  TimePoint next_content_{kTick};
  uint64_t first_kept_ = 1;
  uint64_t next_ = 1;
  std::vector<TimePoint> times_;
  std::deque<Writing> writing_;
  // First offset of each complete snapshot and the offset that it covers.
  std::vector<std::pair<uint64_t, uint64_t>> complete_snapshots_;
  int snapshots_ = 0;
};

// Guards against a restarted process that waits forever because the log lacks
// its first records. This occurs after many appends, or after a long time
// without appends, if a snapshot is written too late or is not written again
// while nothing is appended. The log expires records by number or age, and
// processes may crash and restart at any time.
class SnapshotPolicyTest : public testing::TestWithParam<PolicyCase> {};

TEST_P(SnapshotPolicyTest, LogAlwaysCoversTheCompleteState) {
  Simulation simulation(GetParam());
  simulation.Run();
  RecordProperty("snapshots", simulation.snapshots());
  EXPECT_GT(simulation.dropped(), 0);
  EXPECT_GT(simulation.snapshots(), 0);
  EXPECT_LE(simulation.snapshots(), GetParam().max_snapshots);
}

INSTANTIATE_TEST_SUITE_P(
    Logs,
    SnapshotPolicyTest,
    testing::Values(
        PolicyCase{"ByNumberBusy", 1000, seconds(0), milliseconds(100),
                   seconds(3600), 1, seconds(3600), 200},
        PolicyCase{"ByNumberFast", 1000, seconds(0), milliseconds(20),
                   seconds(600), 1, seconds(600), 200},
        PolicyCase{"ByNumberLargeState", 1000, seconds(0), milliseconds(100),
                   seconds(3600), 100, seconds(3600), 400},
        PolicyCase{"ByNumberTwoYearChanges", 100000, seconds(0),
                   milliseconds(100), seconds(86400), 20, seconds(86400), 3000},
        PolicyCase{"ByAgeBusy", 0, seconds(600), milliseconds(500),
                   seconds(7200), 5, seconds(7200), 300},
        PolicyCase{"ByAgeThenQuiet", 0, seconds(600), milliseconds(1000),
                   seconds(5), 1, seconds(86400), 900},
        PolicyCase{"ByAgeShort", 0, seconds(120), milliseconds(20000),
                   seconds(7200), 2, seconds(7200), 300}),
    [](const auto& info) { return info.param.name; });

// Guards against all processes writing the same snapshot at the same time. This
// occurs if a snapshot becomes due in all of them and their delays are equal.
TEST(SnapshotPolicyTurnTest, UsuallyOneWritesAndACrashedWriterIsReplaced) {
  SnapshotPolicyOptions options;
  options.max_records = 10;
  std::deque<SnapshotPolicy> processes;
  for (int i = 0; i < kProcesses; ++i) {
    options.writer = absl::StrCat("entry-", i);
    processes.emplace_back(options);
  }
  schema::LogRecord content;
  content.add_entries()->mutable_once_intent();
  const TimePoint start{seconds(1)};
  for (auto& process : processes) {
    process.OnExtent(start, 1, 301);
    for (uint64_t offset = 1; offset <= 300; ++offset) {
      process.OnRecord(start, offset, content);
    }
  }
  // The first process whose delay ends crashes after one chunk of two.
  TimePoint now = start;
  int first = -1;
  for (; first < 0 && now < start + seconds(10); now += kTick) {
    for (int i = 0; i < kProcesses && first < 0; ++i) {
      first = processes[static_cast<std::size_t>(i)].Due(now) ? i : -1;
    }
  }
  ASSERT_GE(first, 0);
  EXPECT_LE(now, start + options.spread + kTick);
  schema::LogRecord chunk;
  *chunk.add_entries() = SplitSnapshot(300, "ab", 1)[0];
  for (auto& process : processes) {
    process.OnRecord(now, 301, chunk);
    EXPECT_FALSE(process.Due(now + options.spread));
    EXPECT_TRUE(process.Due(now + options.rewrite_after + options.spread));
    EXPECT_EQ(process.covered(), 0);
  }
  *chunk.mutable_entries(0) = SplitSnapshot(300, "ab", 1)[1];
  for (auto& process : processes) {
    process.OnRecord(now, 302, chunk);
    EXPECT_EQ(process.covered(), 300);
    EXPECT_FALSE(process.IsUseful(299));
    EXPECT_FALSE(process.Due(now + options.refresh_after - kTick));
  }
}

// Guards against a process that starts after a long outage and finds no state.
// This occurs if every record expires while the log accepts no appends, and the
// empty log is treated as one that needs no snapshot.
TEST(SnapshotPolicyTurnTest, SnapshotIsWrittenToALogWhoseRecordsExpired) {
  SnapshotPolicy policy({});
  const TimePoint now{seconds(1)};
  policy.OnExtent(now, 101, 101);
  EXPECT_TRUE(policy.Due(now + SnapshotPolicyOptions().spread));
  // A state that lacks expired records must not be written.
  EXPECT_TRUE(policy.IsUseful(100));
  EXPECT_FALSE(policy.IsUseful(99));
  SnapshotPolicy fresh({});
  fresh.OnExtent(now, 1, 1);
  EXPECT_FALSE(fresh.Due(now + seconds(86400)));
}

}  // namespace
}  // namespace rhubarbhaven

// Tests of the record of a job's progress: its size, and what a later owner
// restores from it.

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "Jobs/jobs.h"
#include "Jobs/record_reader.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr std::size_t kMaxBytes = 256 << 10;
const TimePoint kNow{std::chrono::seconds(100)};

auto JobOf(const std::vector<uint32_t>& counts, uint32_t occurrences)
    -> StoredJob {
  StoredJob stored;
  stored.job.set_id("0123456789abcdef");
  for (const uint32_t count : counts) {
    stored.job.add_steps()->set_count(count);
  }
  stored.job.set_occurrences(occurrences);
  return stored;
}

auto SetDone(OccurrenceWork* occurrence) -> void {
  for (auto& step : occurrence->steps) {
    for (uint32_t index = 0; index < step.tasks().size(); ++index) {
      step.SetDone(index);
    }
  }
}

// Restores the job's work from the record, which has to pass the check.
auto RestoreFrom(const StoredJob& job, const JobProgress& progress)
    -> std::pair<StoredJob, JobWork> {
  std::pair<StoredJob, JobWork> restored{job, {}};
  EXPECT_TRUE(CheckProgress(job.job, progress).ok())
      << CheckProgress(job.job, progress);
  restored.first.progress = progress;
  restored.second.entry = &restored.first;
  RestoreProgress(kNow, /*uncertain=*/false, &restored.second);
  restored.second.entry = &job;
  return restored;
}

// Earlier releases read only records that list all occurrences from 0 on, and
// skip others. They must not take one with ranges for a job of which less is
// complete.
auto IsReadByEarlierReleases(const JobProgress& progress) -> bool {
  for (int i = 0; i < progress.occurrences_size(); ++i) {
    if (progress.occurrences(i).number() != static_cast<uint32_t>(i)) {
      return false;
    }
  }
  return true;
}

struct RoundTripCase {
  std::string name;
  std::vector<uint32_t> counts;
  uint32_t occurrences = 0;
  // Number of occurrences that are opened. Every one whose number is divisible
  // by `left_open` is not complete; with zero, all are.
  uint32_t opened = 0;
  uint32_t left_open = 0;
  bool lists_all = false;
};

class ProgressRoundTripTest : public testing::TestWithParam<RoundTripCase> {};

// Guards against a record that the log refuses, because it lists every
// occurrence that the job ever had.
TEST_P(ProgressRoundTripTest, NextOwnerKnowsWhatIsDone) {
  const auto& param = GetParam();
  const StoredJob job = JobOf(param.counts, param.occurrences);
  JobWork work;
  work.entry = &job;
  work.state = JOB_RUNNING;
  for (uint32_t number = 0; number < param.opened; ++number) {
    auto& occurrence = work.Open(kNow, number, /*uncertain=*/false);
    if (param.left_open > 0 && number % param.left_open == 0) {
      // The first task of every second one is done.
      if (number / param.left_open % 2 == 0) {
        occurrence.steps[0].SetDone(0);
      }
      continue;
    }
    SetDone(&occurrence);
  }
  work.CloseComplete();
  const auto record = MakeProgress(work, kMaxBytes);
  EXPECT_LE(record.progress.ByteSizeLong(), kMaxBytes);
  EXPECT_FALSE(record.without_failures);
  EXPECT_EQ(record.progress.opened() == 0, param.lists_all);
  const auto [stored, restored] = RestoreFrom(job, record.progress);
  EXPECT_EQ(restored.opened, work.opened);
  EXPECT_EQ(restored.closed, work.closed);
  ASSERT_EQ(restored.occurrences.size(), work.occurrences.size());
  for (const auto& [number, occurrence] : work.occurrences) {
    const auto& other = restored.occurrences.at(number);
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      EXPECT_EQ(other.steps[step].done(), occurrence.steps[step].done())
          << number;
    }
  }
  EXPECT_EQ(IsReadByEarlierReleases(record.progress), param.lists_all);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ProgressRoundTripTest,
    testing::Values(
        RoundTripCase{"plain_job", {3, 2}, 0, 1, 1, true},
        RoundTripCase{"few", {3, 2}, 10, 7, 3, true},
        RoundTripCase{"many_all_complete", {1}, 100000, 99000, 0, false},
        RoundTripCase{"many_in_the_earlier_form", {2}, 100000, 5000, 4, true},
        RoundTripCase{"many_steps", {2, 1, 1}, 100000, 20000, 20, false},
        RoundTripCase{"many_with_some_open", {2}, 100000, 30000, 10, false},
        RoundTripCase{"all_were_opened", {2}, 40000, 40000, 20, false}),
    [](const auto& info) { return info.param.name; });

// Guards against an ended job that starts again under an owner of an earlier
// release, which reads no records with ranges.
TEST(JobProgressTest, RecordOfAnEndedJobIsReadByEarlierReleases) {
  const StoredJob job = JobOf({1}, 50000);
  JobWork work;
  work.entry = &job;
  work.state = JOB_COMPLETED;
  work.opened = 50000;
  work.closed.insert(OccurrenceSet::interval_type::right_open(0, 50000));
  const auto record = MakeProgress(work, kMaxBytes);
  EXPECT_EQ(record.progress.state(), JOB_COMPLETED);
  EXPECT_TRUE(IsReadByEarlierReleases(record.progress));
  EXPECT_EQ(record.progress.occurrences_size(), 0);
  EXPECT_EQ(record.progress.opened(), 0U);
}

// Guards against progress that is never stored, because failures are counted
// for more tasks than a record holds.
TEST(JobProgressTest, CompletionsAreRecordedWithoutRoomForFailures) {
  constexpr uint32_t kTasks = 10000;
  const StoredJob job = JobOf(std::vector<uint32_t>(10, kTasks), 0);
  JobWork work;
  work.entry = &job;
  auto& occurrence = work.Open(kNow, 0, /*uncertain=*/false);
  for (auto& step : occurrence.steps) {
    for (uint32_t index = 0; index < kTasks; ++index) {
      step.tasks()[index].failures = 1;
    }
    step.SetDone(7);
  }
  const auto record = MakeProgress(work, kMaxBytes);
  EXPECT_TRUE(record.without_failures);
  EXPECT_LE(record.progress.ByteSizeLong(), kMaxBytes);
  const auto [stored, restored] = RestoreFrom(job, record.progress);
  for (const auto& step : restored.occurrences.at(0).steps) {
    EXPECT_TRUE(step.tasks()[7].done);
    EXPECT_EQ(step.done(), 1U);
  }
}

struct InvalidRangesCase {
  std::string name;
  uint32_t opened = 0;
  std::vector<std::pair<uint32_t, uint32_t>> completed;
  std::vector<uint32_t> listed;
};

class InvalidRangesTest : public testing::TestWithParam<InvalidRangesCase> {};

TEST_P(InvalidRangesTest, RecordOfAnotherWriterIsSkipped) {
  JobProgress progress;
  progress.set_opened(GetParam().opened);
  for (const auto& [first, count] : GetParam().completed) {
    auto* range = progress.add_completed();
    range->set_first(first);
    range->set_count(count);
  }
  for (const uint32_t number : GetParam().listed) {
    progress.add_occurrences()->set_number(number);
  }
  EXPECT_FALSE(CheckProgress(JobOf({1}, 10).job, progress).ok());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    InvalidRangesTest,
    testing::Values(
        InvalidRangesCase{"more_than_the_job_has", 11, {}, {}},
        InvalidRangesCase{"range_beyond_the_opened", 5, {{3, 3}}, {}},
        InvalidRangesCase{"range_that_wraps", 5, {{3, UINT32_MAX}}, {}},
        InvalidRangesCase{"empty_range", 5, {{3, 0}}, {}},
        InvalidRangesCase{"ranges_that_overlap", 9, {{0, 3}, {2, 3}}, {}},
        InvalidRangesCase{"row_beyond_the_opened", 5, {}, {5}},
        InvalidRangesCase{"rows_in_descending_order", 5, {}, {3, 1}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

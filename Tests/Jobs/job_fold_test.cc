// The state of jobs as folded from the log's records.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr char kId[] = "0123456789abcdef";

auto JobRecord(uint64_t offset, const std::string& payload) -> KeyedRecord {
  Job job;
  job.set_id(kId);
  job.set_queue("queue");
  job.set_payload(payload);
  job.add_steps()->set_count(1);
  auto record = MakeRecord(RecordKind::kJob, kId, job);
  record.offset = offset;
  return record;
}

auto ProgressRecord(uint64_t offset, JobState state) -> KeyedRecord {
  JobProgress progress;
  progress.set_state(state);
  auto record = MakeRecord(RecordKind::kProgress, kId, progress);
  record.offset = offset;
  return record;
}

auto CancelRecord(uint64_t offset) -> KeyedRecord {
  auto record = MakeCancellation(kId);
  record.offset = offset;
  return record;
}

struct StateCase {
  std::string name;
  std::vector<KeyedRecord> records;
  JobState state = JOB_QUEUED;
};

class JobStateTest : public testing::TestWithParam<StateCase> {};

TEST_P(JobStateTest, FollowsFromTheRecords) {
  JobFold fold;
  for (const auto& record : GetParam().records) {
    fold.Apply(record);
  }
  ASSERT_NE(fold.Find(kId), nullptr);
  EXPECT_EQ(fold.Find(kId)->state(), GetParam().state);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    JobStateTest,
    testing::Values(
        StateCase{"accepted", {JobRecord(1, "a")}, JOB_QUEUED},
        StateCase{"running",
                  {JobRecord(1, "a"), ProgressRecord(2, JOB_RUNNING)},
                  JOB_RUNNING},
        StateCase{"completed_then_cancelled",
                  {JobRecord(1, "a"), ProgressRecord(2, JOB_COMPLETED),
                   CancelRecord(3)},
                  JOB_COMPLETED},
        StateCase{"cancelled_then_completed",
                  {JobRecord(1, "a"), CancelRecord(2),
                   ProgressRecord(3, JOB_COMPLETED)},
                  JOB_CANCELLED},
        // Pages of newest records come in the order of keys.
        StateCase{"progress_read_ahead_of_the_job",
                  {CancelRecord(5), JobRecord(1, "a")},
                  JOB_CANCELLED},
        StateCase{"older_progress_is_ignored",
                  {JobRecord(1, "a"), ProgressRecord(4, JOB_COMPLETED),
                   ProgressRecord(2, JOB_RUNNING)},
                  JOB_COMPLETED}),
    [](const auto& info) { return info.param.name; });

TEST(JobFoldTest, FirstRecordOfAnIdCounts) {
  JobFold fold;
  fold.Apply(JobRecord(1, "first"));
  fold.Apply(JobRecord(2, "second"));
  EXPECT_EQ(fold.Find(kId)->job.payload(), "first");
  EXPECT_EQ(fold.PendingIn("queue"), 1U);
}

TEST(JobFoldTest, DroppedJobIsGone) {
  JobFold fold;
  fold.Apply(JobRecord(1, "first"));
  fold.Apply({MakeKey(RecordKind::kJob, kId), "", 2});
  EXPECT_EQ(fold.Find(kId), nullptr);
}

TEST(JobFoldTest, UnknownKeysAreIgnored) {
  JobFold fold;
  EXPECT_EQ(fold.Apply({"x/strange", "value", 1}).kind, RecordKind::kUnknown);
  EXPECT_EQ(fold.Apply({"", "value", 2}).kind, RecordKind::kUnknown);
  // Not a message: the job stays unknown.
  fold.Apply({MakeKey(RecordKind::kJob, kId), "\xff\xff", 3});
  EXPECT_EQ(fold.Find(kId), nullptr);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

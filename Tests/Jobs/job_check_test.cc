// Tests of the error messages for malformed jobs.

#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {
namespace {

auto ValidJob() -> Job {
  Job job;
  job.set_id("0123456789abcdef");
  job.set_payload("text");
  job.add_steps()->set_count(2);
  auto* second = job.add_steps();
  second->set_count(1);
  second->add_after(0);
  return job;
}

struct CheckCase {
  std::string name;
  std::function<auto(Job*)->void> change;
  // Part of the message; empty if the job is valid.
  std::string message;
};

class JobCheckTest : public testing::TestWithParam<CheckCase> {};

TEST_P(JobCheckTest, DescribesTheError) {
  Job job = ValidJob();
  GetParam().change(&job);
  const auto status = CheckJob(job);
  EXPECT_EQ(status.ok(), GetParam().message.empty());
  EXPECT_NE(std::string(status.message()).find(GetParam().message),
            std::string::npos)
      << status;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    JobCheckTest,
    testing::Values(
        CheckCase{"good", [](Job*) {}, ""},
        CheckCase{"short_id", [](Job* job) { job->set_id("abc"); },
                  "16 hexadecimal digits"},
        CheckCase{"id_with_other_letters",
                  [](Job* job) { job->set_id("0123456789abcdeg"); },
                  "16 hexadecimal digits"},
        CheckCase{"long_payload",
                  [](Job* job) {
                    job->set_payload(std::string(kMaxPayloadBytes + 1, 'x'));
                  },
                  "allowed are 4000"},
        CheckCase{"no_steps", [](Job* job) { job->clear_steps(); },
                  "the job has 0 steps"},
        CheckCase{"no_tasks",
                  [](Job* job) { job->mutable_steps(0)->set_count(0); },
                  "step 0 has 0 tasks"},
        CheckCase{"waits_for_itself",
                  [](Job* job) { job->mutable_steps(1)->set_after(0, 1); },
                  "step 1 waits for step 1"},
        CheckCase{"cycle",
                  [](Job* job) { job->mutable_steps(0)->add_after(1); },
                  "step 0 waits for step 1"},
        CheckCase{"too_many_occurrences",
                  [](Job* job) { job->set_occurrences(kMaxOccurrences + 1); },
                  "occurs"}),
    [](const auto& info) { return info.param.name; });

struct NewJobCase {
  std::string name;
  std::function<auto(Job*)->void> change;
  bool accepted = false;
  // Expected part of the error message.
  std::string message = {};
};

class NewJobTest : public testing::TestWithParam<NewJobCase> {};

// Guards against an entry that stores nothing any more: a job that is larger
// than a record of the log was appended again and again.
TEST_P(NewJobTest, JobThatTheLogCannotHoldIsRejected) {
  Job job;
  job.set_id("0123456789abcdef");
  job.add_steps()->set_count(1);
  GetParam().change(&job);
  const auto status = CheckNewJob(job, LogLimits());
  EXPECT_EQ(status.ok(), GetParam().accepted) << status;
  EXPECT_NE(std::string(status.message()).find(GetParam().message),
            std::string::npos)
      << status;
}

auto AddSteps(Job* job, int steps, uint32_t count) -> void {
  job->clear_steps();
  for (int i = 0; i < steps; ++i) {
    job->add_steps()->set_count(count);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    NewJobTest,
    testing::Values(
        NewJobCase{"usual", [](Job*) {}, true},
        NewJobCase{"large_image",
                   [](Job* job) {
                     job->mutable_steps(0)->set_image(std::string(262144, 'i'));
                   },
                   false, "bytes in the log"},
        NewJobCase{"image_that_fits",
                   [](Job* job) {
                     job->mutable_steps(0)->set_image(std::string(262000, 'i'));
                   },
                   true},
        NewJobCase{"large_label",
                   [](Job* job) {
                     job->mutable_steps(0)->set_required_label(
                         std::string(300000, 'l'));
                   },
                   false, "bytes in the log"},
        NewJobCase{"as_many_tasks_as_allowed",
                   [](Job* job) { AddSteps(job, 10, kMaxTasksPerStep); }, true},
        NewJobCase{"more_tasks_than_allowed",
                   [](Job* job) { AddSteps(job, 11, kMaxTasksPerStep); }, false,
                   "tasks"},
        NewJobCase{"all_limits_of_steps",
                   [](Job* job) { AddSteps(job, kMaxSteps, kMaxTasksPerStep); },
                   false, "tasks"}),
    [](const auto& info) { return info.param.name; });

TEST(NewJobLimitsTest, ProgressMustFitIntoARecord) {
  Job job;
  job.set_id("0123456789abcdef");
  AddSteps(&job, 10, kMaxTasksPerStep);
  LogLimits limits;
  limits.record_bytes = 8192;
  EXPECT_FALSE(CheckNewJob(job, limits).ok());
}

}  // namespace
}  // namespace rhubarbhaven::jobs

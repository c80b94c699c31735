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

}  // namespace
}  // namespace rhubarbhaven::jobs

#ifndef RHUBARBHAVEN_TESTS_SOAK_JOB_PLAN_H_
#define RHUBARBHAVEN_TESTS_SOAK_JOB_PLAN_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Jobs/jobs.h"
#include "Tests/Soak/load_plan.h"

namespace rhubarbhaven::soak {

// Kind of a job, encoded in the first digit of its id.
enum class JobKind {
  kLongRunning,
  kShort,
  // One step of many tasks.
  kWide,
  // All tasks fail, so that the job fails.
  kFailing,
};

auto MakeJobId(JobKind kind, uint64_t random) -> std::string;
auto KindOf(const std::string& id) -> JobKind;
// Body of the request that submits this job. The size of its payload depends on
// the id.
auto JobBody(const std::string& id, const std::optional<PayloadSizes>& payloads)
    -> std::string;
// Names of all tasks of the job.
auto TasksOf(const std::string& id) -> std::vector<std::string>;
// How long a run of the task takes. A long-running task ends, too, as failed.
auto RunDuration(const jobs::TaskName& task) -> std::chrono::milliseconds;
auto RunFails(const jobs::TaskName& task) -> bool;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_JOB_PLAN_H_

#ifndef RHUBARBHAVEN_TESTS_SOAK_JOB_PLAN_H_
#define RHUBARBHAVEN_TESTS_SOAK_JOB_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::soak {

// What kind of job an id names: its first digit tells.
enum class JobKind {
  kLasting,
  kShort,
  // One step of many tasks.
  kWide,
  // Its tasks fail, so that it ends as failed.
  kFailing,
};

auto MakeJobId(JobKind kind, uint64_t random) -> std::string;
auto KindOf(const std::string& id) -> JobKind;
// What a caller hands in.
auto JobBody(JobKind kind) -> std::string;
// Names of all tasks of the job.
auto TasksOf(const std::string& id) -> std::vector<std::string>;
// How long a run of the task takes. What lasts ends too, as failed.
auto WorkOf(const jobs::TaskName& task) -> std::chrono::milliseconds;
auto Fails(const jobs::TaskName& task) -> bool;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_JOB_PLAN_H_

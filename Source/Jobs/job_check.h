#ifndef RHUBARBHAVEN_JOBS_JOB_CHECK_H_
#define RHUBARBHAVEN_JOBS_JOB_CHECK_H_

#include <absl/status/status.h>

#include <string>

#include "Base/base.h"
#include "Jobs/job_records.h"

namespace rhubarbhaven::jobs {

// Maximum size of a job's payload in bytes, by the contract of the interface.
inline constexpr std::size_t kMaxPayloadBytes = 4000;
// Limits against input that would exhaust an entry's memory, far above what
// callers use.
inline constexpr int kMaxSteps = 256;
inline constexpr uint32_t kMaxTasksPerStep = 10000;
inline constexpr uint32_t kMaxOccurrences = 100000;
// Of all steps together.
inline constexpr uint64_t kMaxTasks = 100000;

// Number of tasks of all steps of one occurrence.
auto TotalTasks(const Job& job) -> uint64_t;

auto CheckJobId(const std::string& id) -> absl::Status;
// The error describes what is wrong with the job, where, and what is allowed.
auto CheckJob(const Job& job) -> absl::Status;
// The same for a job that is not stored yet: also whether the log can hold it
// and its progress, and an owner its tasks.
auto CheckNewJob(const Job& job, const LogLimits& limits) -> absl::Status;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_CHECK_H_

#ifndef RHUBARBHAVEN_JOBS_JOB_CHECK_H_
#define RHUBARBHAVEN_JOBS_JOB_CHECK_H_

#include <absl/status/status.h>

#include <string>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// Largest payload that a job may carry, in bytes, by the interface's contract.
inline constexpr std::size_t kLongestPayload = 4000;
// Bounds against input that would exhaust an entry's memory; far above what
// callers use.
inline constexpr int kMostSteps = 256;
inline constexpr uint32_t kMostTasksPerStep = 10000;
inline constexpr uint32_t kMostOccurrences = 100000;

auto CheckJobId(const std::string& id) -> absl::Status;
// An error says what is wrong with the job, where, and what is allowed.
auto CheckJob(const Job& job) -> absl::Status;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_CHECK_H_

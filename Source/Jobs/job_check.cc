#include "Jobs/job_check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "Jobs/job_progress.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr std::size_t kIdDigits = 16;

auto Problem(const std::string& text) -> absl::Status {
  return absl::InvalidArgumentError(text);
}

auto CheckStep(const Job& job, int number) -> absl::Status {
  const auto& step = job.steps(number);
  if (step.count() < 1 || step.count() > kMaxTasksPerStep) {
    return Problem(absl::StrCat("step ", number, " has ", step.count(),
                                " tasks, allowed is 1 to ", kMaxTasksPerStep));
  }
  for (const uint32_t after : step.after()) {
    // A step may wait only for earlier steps, which rules out cycles.
    if (after >= static_cast<uint32_t>(number)) {
      return Problem(absl::StrCat("step ", number, " waits for step ", after,
                                  ", allowed are earlier steps only"));
    }
  }
  return absl::OkStatus();
}

}  // namespace

auto TotalTasks(const Job& job) -> uint64_t {
  uint64_t tasks = 0;
  for (const auto& step : job.steps()) {
    tasks += step.count();
  }
  return tasks;
}

auto CheckJobId(const std::string& id) -> absl::Status {
  const bool well_formed =
      id.size() == kIdDigits &&
      std::all_of(id.begin(), id.end(), [](unsigned char c) -> bool {
        return absl::ascii_isxdigit(c);
      });
  return well_formed ? absl::OkStatus()
                     : Problem("the job's id must have 16 hexadecimal digits");
}

auto CheckJob(const Job& job) -> absl::Status {
  auto status = CheckJobId(job.id());
  if (!status.ok()) {
    return status;
  }
  if (job.payload().size() > kMaxPayloadBytes) {
    return Problem(absl::StrCat("the payload has ", job.payload().size(),
                                " bytes, allowed are ", kMaxPayloadBytes));
  }
  if (job.steps_size() < 1 || job.steps_size() > kMaxSteps) {
    return Problem(absl::StrCat("the job has ", job.steps_size(),
                                " steps, allowed is 1 to ", kMaxSteps));
  }
  if (job.occurrences() > kMaxOccurrences) {
    return Problem(absl::StrCat("the job occurs ", job.occurrences(),
                                " times, allowed is at most ",
                                kMaxOccurrences));
  }
  for (int number = 0; number < job.steps_size(); ++number) {
    status = CheckStep(job, number);
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

auto CheckNewJob(const Job& job, const LogLimits& limits) -> absl::Status {
  auto status = CheckJob(job);
  if (!status.ok()) {
    return status;
  }
  const uint64_t tasks = TotalTasks(job);
  if (tasks > kMaxTasks) {
    return Problem(absl::StrCat("the job has ", tasks,
                                " tasks, allowed are at most ", kMaxTasks));
  }
  const std::size_t bytes =
      SizeInLog(MakeRecord(RecordKind::kJob, job.id(), job));
  if (bytes > limits.record_bytes) {
    return Problem(absl::StrCat("the job takes ", bytes,
                                " bytes in the log, allowed are at most ",
                                limits.record_bytes));
  }
  const std::size_t progress_bytes = MaxOccurrenceBytes(job);
  if (progress_bytes > limits.record_bytes) {
    return Problem(absl::StrCat(
        "the job's progress takes up to ", progress_bytes,
        " bytes in the log, allowed are at most ", limits.record_bytes));
  }
  return absl::OkStatus();
}

}  // namespace rhubarbhaven::jobs

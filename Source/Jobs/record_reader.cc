#include "Jobs/record_reader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

#include "Jobs/job_check.h"
#include "Jobs/job_records.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr std::size_t kMaxRunLengthsBytes = 8192;
// A learned ratio of run times is between this and its inverse.
constexpr double kMaxRunLengthRatio = 64.0;

auto Problem(const std::string& text) -> absl::Status {
  return absl::InvalidArgumentError(text);
}

// Parses into a new message, so that nothing remains of a partly parsed one.
template <typename Message>
auto Parse(const std::string& value) -> absl::StatusOr<Message> {
  Message message;
  if (!message.ParseFromString(value)) {
    return Problem(
        absl::StrCat("its value of ", value.size(), " bytes cannot be parsed"));
  }
  return message;
}

// Every reader finds the record by the name in its key.
auto CheckName(const std::string& in_key, const std::string& in_value)
    -> absl::Status {
  if (in_key.empty()) {
    return Problem("its key has no name");
  }
  if (in_key != in_value) {
    return Problem(
        absl::StrCat("it names \"", in_value, "\", not the name in its key"));
  }
  return absl::OkStatus();
}

auto CheckNoName(const std::string& in_key) -> absl::Status {
  return in_key.empty() ? absl::OkStatus()
                        : Problem("the key is of no known kind");
}

// The owner writes steps in ascending order, each once.
auto CheckSteps(const Job& job, const OccurrenceProgress& occurrence)
    -> absl::Status {
  uint32_t next = 0;
  for (const auto& step : occurrence.steps()) {
    if (step.number() < next ||
        step.number() >= static_cast<uint32_t>(job.steps_size())) {
      return Problem(absl::StrCat(
          "occurrence ", occurrence.number(), " lists step ", step.number(),
          ", allowed is ", next, " to ", job.steps_size() - 1));
    }
    next = step.number() + 1;
  }
  return absl::OkStatus();
}

// Checks progress that lists completed occurrences as ranges.
auto CheckRanges(const Job& job, const JobProgress& progress) -> absl::Status {
  const uint32_t total = std::max(1U, job.occurrences());
  if (progress.opened() > total) {
    return Problem(
        absl::StrCat("it has ", progress.opened(), " occurrences of ", total));
  }
  uint32_t next = 0;
  for (const auto& range : progress.completed()) {
    const uint64_t end = uint64_t{range.first()} + range.count();
    if (range.first() < next || range.count() < 1 || end > progress.opened()) {
      return Problem(absl::StrCat(
          "its range of ", range.count(), " completed occurrences from ",
          range.first(), " is not within ", next, " to ", progress.opened()));
    }
    next = static_cast<uint32_t>(end);
  }
  next = 0;
  for (const auto& occurrence : progress.occurrences()) {
    if (occurrence.number() < next ||
        occurrence.number() >= progress.opened()) {
      return Problem(absl::StrCat("it lists occurrence ", occurrence.number(),
                                  ", allowed is ", next, " to ",
                                  progress.opened() - 1));
    }
    auto status = CheckSteps(job, occurrence);
    if (!status.ok()) {
      return status;
    }
    next = occurrence.number() + 1;
  }
  return absl::OkStatus();
}

}  // namespace

auto ReadJob(const std::string& id, const std::string& value)
    -> absl::StatusOr<Job> {
  auto job = Parse<Job>(value);
  if (!job.ok()) {
    return job;
  }
  auto status = CheckName(id, job->id());
  if (status.ok()) {
    // A step that waits for itself would never start. One that waits for a step
    // that the job does not have would be looked up beyond the list.
    status = CheckJob(*job);
  }
  if (!status.ok()) {
    return status;
  }
  return job;
}

auto ReadProgress(const std::string& id, const std::string& value)
    -> absl::StatusOr<JobProgress> {
  auto status = CheckJobId(id);
  if (!status.ok()) {
    return status;
  }
  auto progress = Parse<JobProgress>(value);
  // An unknown state would count as terminal, and the job would be removed.
  // Only a cancellation, which has its own record, may cancel a job.
  if (progress.ok() && (!JobState_IsValid(progress->state()) ||
                        progress->state() == JOB_CANCELLED)) {
    return Problem(absl::StrCat("its state ",
                                static_cast<int>(progress->state()),
                                " is not one that an owner writes"));
  }
  return progress;
}

auto CheckProgress(const Job& job, const JobProgress& progress)
    -> absl::Status {
  if (progress.opened() > 0) {
    return CheckRanges(job, progress);
  }
  const uint32_t total = std::max(1U, job.occurrences());
  uint32_t next = 0;
  for (const auto& occurrence : progress.occurrences()) {
    // The numbers must be contiguous: an occurrence left out would never be
    // opened, and the job would never complete.
    if (occurrence.number() != next || occurrence.number() >= total) {
      return Problem(absl::StrCat("it lists occurrence ", occurrence.number(),
                                  " of ", total, ", expected ", next));
    }
    auto status = CheckSteps(job, occurrence);
    if (!status.ok()) {
      return status;
    }
    ++next;
  }
  return absl::OkStatus();
}

auto CheckCancellation(const std::string& id, const std::string& value)
    -> absl::Status {
  auto status = CheckJobId(id);
  if (!status.ok()) {
    return status;
  }
  // Any other content is not a request to end the job.
  return value == MakeCancellation(id).value
             ? absl::OkStatus()
             : Problem("its content is not a cancellation");
}

auto ReadAgent(const std::string& name, const std::string& value)
    -> absl::StatusOr<AgentEntry> {
  auto entry = Parse<AgentEntry>(value);
  if (!entry.ok()) {
    return entry;
  }
  auto status = CheckName(name, entry->name());
  if (!status.ok()) {
    return status;
  }
  if (entry->link_endpoint().empty()) {
    return Problem("it has no endpoint");
  }
  return entry;
}

auto ReadAgentGrants(const std::string& name, const std::string& value)
    -> absl::StatusOr<AgentGrants> {
  auto grants = Parse<AgentGrants>(value);
  if (!grants.ok()) {
    return grants;
  }
  auto status = CheckName(name, grants->name());
  if (!status.ok()) {
    return status;
  }
  if (grants->fence() < 1) {
    return Problem("its fence is missing");
  }
  return grants;
}

auto ReadWorkerEnds(const std::string& worker_id, const std::string& value)
    -> absl::StatusOr<WorkerEnds> {
  auto ends = Parse<WorkerEnds>(value);
  if (!ends.ok()) {
    return ends;
  }
  // Ends up to the stored number are not processed again. If the number
  // belonged to another worker, the owner would wait for a task that has
  // already ended.
  auto status = CheckName(worker_id, ends->worker_id());
  if (!status.ok()) {
    return status;
  }
  return ends;
}

auto ReadClaim(const std::string& name, const std::string& value)
    -> absl::StatusOr<OwnerClaim> {
  auto status = CheckNoName(name);
  if (!status.ok()) {
    return status;
  }
  if (value.empty()) {
    // Without this check, the next claim would restart at the lowest fence,
    // which agents and workers reject.
    return Problem("the claim cannot be removed");
  }
  auto claim = Parse<OwnerClaim>(value);
  if (!claim.ok()) {
    return claim;
  }
  if (claim->owner().empty()) {
    return Problem("it names no owner");
  }
  // The next claim has the next higher fence, and run numbers begin with the
  // fence. Beyond its bits, they would restart at the lowest number.
  if (claim->fence() < 1 || claim->fence() >= kMaxFence) {
    return Problem(absl::StrCat("its fence is ", claim->fence(),
                                ", allowed is 1 to ", kMaxFence - 1));
  }
  return claim;
}

auto ReadResignation(const std::string& name, const std::string& value)
    -> absl::StatusOr<OwnerResignation> {
  auto resignation = Parse<OwnerResignation>(value);
  if (!resignation.ok()) {
    return resignation;
  }
  // If a resignation were attributed to the wrong entry, a successor would not
  // wait for an owner that still grants.
  auto status = CheckName(name, resignation->owner());
  if (!status.ok()) {
    return status;
  }
  if (resignation->fence() < 1) {
    return Problem("its fence is missing");
  }
  return resignation;
}

auto ReadPressures(const std::string& name, const std::string& value)
    -> absl::StatusOr<LearnedPressures> {
  auto status = CheckNoName(name);
  if (!status.ok()) {
    return status;
  }
  auto learned = Parse<LearnedPressures>(value);
  if (!learned.ok()) {
    return learned;
  }
  for (const auto& pressure : learned->pressures()) {
    // A value that is not finite propagates to every estimate that uses it, and
    // no opportunistic task would be placed.
    if (!std::isfinite(pressure.pressure()) || pressure.pressure() < 0.0) {
      return Problem(absl::StrCat("its pressure of \"", pressure.filler_image(),
                                  "\" on \"", pressure.serving_image(),
                                  "\" is ", pressure.pressure()));
    }
  }
  return learned;
}

auto ReadRunLengths(const std::string& name, const std::string& value)
    -> absl::StatusOr<LearnedRunLengths> {
  auto status = CheckNoName(name);
  if (!status.ok()) {
    return status;
  }
  if (value.size() > kMaxRunLengthsBytes) {
    return Problem(absl::StrCat("it has ", value.size(), " bytes"));
  }
  auto learned = Parse<LearnedRunLengths>(value);
  if (!learned.ok()) {
    return learned;
  }
  for (const auto& length : learned->lengths()) {
    // Other values would make every job of the queue late, or none.
    const bool valid = length.median() >= 1.0 / kMaxRunLengthRatio &&
                       length.median() <= kMaxRunLengthRatio &&
                       length.upper() >= length.median() &&
                       std::isfinite(length.upper());
    if (!valid) {
      return Problem(absl::StrCat("its ratios of queue \"", length.queue(),
                                  "\" are ", length.median(), " and ",
                                  length.upper()));
    }
  }
  return learned;
}

}  // namespace rhubarbhaven::jobs

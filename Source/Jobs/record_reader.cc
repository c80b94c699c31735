#include "Jobs/record_reader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

#include "Jobs/job_check.h"
#include "Jobs/job_records.h"

namespace rhubarbhaven::jobs {
namespace {

auto Problem(const std::string& text) -> absl::Status {
  return absl::InvalidArgumentError(text);
}

// A message of its own, so that nothing remains of one that was half read.
template <typename Message>
auto Parse(const std::string& value) -> absl::StatusOr<Message> {
  Message message;
  if (!message.ParseFromString(value)) {
    return Problem(absl::StrCat("its ", value.size(), " bytes cannot be read"));
  }
  return message;
}

// The name in the record's key is the one by which everybody finds it.
auto CheckName(const std::string& in_key, const std::string& in_value)
    -> absl::Status {
  if (in_key.empty()) {
    return Problem("its key has no name");
  }
  if (in_key != in_value) {
    return Problem(absl::StrCat("it names \"", in_value, "\", not its key"));
  }
  return absl::OkStatus();
}

auto CheckNoName(const std::string& in_key) -> absl::Status {
  return in_key.empty() ? absl::OkStatus()
                        : Problem("no such key belongs to this system");
}

// The owner writes steps in their order, each once.
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

}  // namespace

auto ReadJob(const std::string& id, const std::string& value)
    -> absl::StatusOr<Job> {
  auto job = Parse<Job>(value);
  if (!job.ok()) {
    return job;
  }
  auto status = CheckName(id, job->id());
  if (status.ok()) {
    // A step that waits for itself would never start, one that waits for a
    // step beyond the job's would be looked up beyond the list.
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
  // A state beyond the known ones would count as over, and the job would be
  // dropped; only a cancellation, which has its own record, may cancel.
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
  const uint32_t total = std::max(1U, job.occurrences());
  uint32_t next = 0;
  for (const auto& occurrence : progress.occurrences()) {
    // Without a gap: what a gap leaves out would never be opened, and its job
    // never complete.
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
  // Whatever else stands there, nobody has asked for the job's end.
  return value == MakeCancellation(id).value
             ? absl::OkStatus()
             : Problem("its content is no cancellation");
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
    return Problem("it names no endpoint");
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
    return Problem("it names no owner");
  }
  return grants;
}

auto ReadWorkerEnds(const std::string& worker_id, const std::string& value)
    -> absl::StatusOr<WorkerEnds> {
  auto ends = Parse<WorkerEnds>(value);
  if (!ends.ok()) {
    return ends;
  }
  // Ends up to the number given are not looked at any more: believed of the
  // wrong worker, a task that has ended would be waited for.
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
    // The next claim would begin again at the lowest fence, which agents and
    // workers refuse.
    return Problem("the claim cannot be dropped");
  }
  auto claim = Parse<OwnerClaim>(value);
  if (!claim.ok()) {
    return claim;
  }
  if (claim->owner().empty()) {
    return Problem("it names no owner");
  }
  // The next claim has the next fence, and the numbers of runs begin with it:
  // beyond its bits they would start again from the lowest.
  if (claim->fence() < 1 || claim->fence() >= kLargestFence) {
    return Problem(absl::StrCat("its fence is ", claim->fence(),
                                ", allowed is 1 to ", kLargestFence - 1));
  }
  return claim;
}

auto ReadResignation(const std::string& name, const std::string& value)
    -> absl::StatusOr<OwnerResignation> {
  auto resignation = Parse<OwnerResignation>(value);
  if (!resignation.ok()) {
    return resignation;
  }
  // Believed of the wrong entry, an owner that still grants would not be waited
  // for.
  auto status = CheckName(name, resignation->owner());
  if (!status.ok()) {
    return status;
  }
  if (resignation->fence() < 1) {
    return Problem("it names no claim");
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
    // What is no number stays so in every estimate that it enters, and no
    // filler would find a place.
    if (!std::isfinite(pressure.pressure()) || pressure.pressure() < 0.0) {
      return Problem(absl::StrCat("its pressure of \"", pressure.filler_image(),
                                  "\" on \"", pressure.serving_image(),
                                  "\" is ", pressure.pressure()));
    }
  }
  return learned;
}

}  // namespace rhubarbhaven::jobs

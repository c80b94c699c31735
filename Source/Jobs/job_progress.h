#ifndef RHUBARBHAVEN_JOBS_JOB_PROGRESS_H_
#define RHUBARBHAVEN_JOBS_JOB_PROGRESS_H_

#include <cstddef>

#include "Base/base.h"
#include "Jobs/job_work.h"

// The record of a job's progress, from which a later owner continues.
namespace rhubarbhaven::jobs {

struct ProgressRecord {
  JobProgress progress;
  // Failures and crashes of tasks are left out for lack of room.
  bool without_failures = false;
};

// Returns a record of at most `max_bytes` if one can be made. As long as there
// is room, it lists all opened occurrences, since earlier releases read only
// this form; they skip the shorter form, unless the job has ended.
auto MakeProgress(const JobWork& work, std::size_t max_bytes) -> ProgressRecord;

// Restores the progress that the log has of the job; both forms are read. Tasks
// of opened occurrences are marked as `uncertain`.
auto RestoreProgress(TimePoint now, bool uncertain, JobWork* work) -> void;

// Upper bound of what one open occurrence of the job adds to the record, in
// bytes, without failures and crashes.
auto MaxOccurrenceBytes(const Job& job) -> std::size_t;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_PROGRESS_H_

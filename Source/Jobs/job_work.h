#ifndef RHUBARBHAVEN_JOBS_JOB_WORK_H_
#define RHUBARBHAVEN_JOBS_JOB_WORK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Jobs/crash_record.h"
#include "Jobs/job_fold.h"

namespace rhubarbhaven::jobs {

struct WorkerView;

// Whether a job can still be done in time.
enum class JobOutlook {
  kInTime,
  // Later than its target, but still of some use.
  kLate,
  // So late that nothing is lost by waiting longer.
  kTooLate,
};

enum class RunPhase { kStarting, kRunning, kStopping };

// One run of a task on a worker, from the order to start it until its end is
// known.
struct RunWork {
  WorkerView* worker = nullptr;
  uint64_t run = 0;
  RunPhase phase = RunPhase::kStarting;
  TimePoint ordered_at;
  // Percent of its work done, and when that last changed.
  uint32_t percent = 0;
  TimePoint progress_at;
  // When its agent last listed it.
  TimePoint seen_at;
  // Of a run on spare processors: the share of its processors that it used
  // lately; none while that is not known.
  std::optional<double> speed;
  // Its end is to be ignored: the task is done, or its job is over.
  bool unwanted = false;
};

struct TaskWork {
  bool done = false;
  // A run that an earlier owner started may still be there.
  bool uncertain = false;
  uint32_t failures = 0;
  CrashRecord crashes;
  std::string checkpoint;
  std::vector<RunWork> runs;
  TimePoint waiting_since;
  // Not started again before this, after a failure.
  TimePoint not_before;
};

// Since when a job has nothing running although steps of it are ready.
struct JobStanding {
  // When that was first seen; none once a run of the job is known to run.
  // Starts that are refused or lost end it not.
  std::optional<TimePoint> since;
  // When the log was last told.
  TimePoint told_at;
  // It has stood for so long that one of its tasks may fill at any speed.
  bool fills_anyway = false;
};

// Runs and ends of its tasks are changed through this only, which counts them.
class StepWork {
 public:
  StepWork(uint32_t count, const TaskWork& task) : tasks_(count, task) {
    waiting_ = count;
  }

  // When the log was last told that its tasks wait for a worker.
  TimePoint told_waiting_at;
  // All workers had refused its tasks at this mark of `WorkerChanges`.
  uint64_t refused_at = 0;
  // The same at any speed, of tasks that fill.
  uint64_t refused_at_any_speed = 0;

  auto tasks() -> std::vector<TaskWork>& { return tasks_; }
  auto tasks() const -> const std::vector<TaskWork>& { return tasks_; }
  auto done() const -> uint32_t { return done_; }
  auto complete() const -> bool { return done_ == tasks_.size(); }
  // Tasks that are not done and have no run.
  auto waiting() const -> uint32_t { return waiting_; }
  // Tasks that are not done and have a run.
  auto running() const -> std::size_t {
    return tasks_.size() - done_ - waiting_;
  }
  // None of the tasks before it waits.
  auto first_waiting() const -> uint32_t { return first_waiting_; }

  auto AddRun(uint32_t index, const RunWork& run) -> RunWork&;
  auto RemoveRun(uint32_t index, std::vector<RunWork>::iterator run) -> void;
  auto SetDone(uint32_t index) -> void;

 private:
  auto Waits(uint32_t index) const -> bool;
  // The task waited before the change that was made just now.
  auto NoteChange(uint32_t index, bool waited) -> void;

  std::vector<TaskWork> tasks_;
  uint32_t done_ = 0;
  uint32_t waiting_ = 0;
  uint32_t first_waiting_ = 0;
};

struct OccurrenceWork {
  std::vector<StepWork> steps;

  auto complete() const -> bool;
};

// What the owner knows of an unfinished job beyond the log.
struct JobWork {
  const StoredJob* entry = nullptr;
  // Rules of the job's queue by the newest configuration.
  QueueRules rules;
  std::map<uint32_t, OccurrenceWork> occurrences;
  // Occurrences that are due so far; all of them have been opened.
  uint32_t opened = 0;
  JobState state = JOB_QUEUED;
  // When tasks were last placed.
  JobOutlook outlook = JobOutlook::kInTime;
  // To be put into a record, since it has changed.
  bool dirty = false;
  JobStanding standing;

  auto total_occurrences() const -> uint32_t;
  auto job() const -> const Job& { return entry->job; }
  // Neither over by the log nor by what the owner knows beyond it.
  auto open() const -> bool;
  // Whether no task that is not done has a run.
  auto NothingRuns() const -> bool;
  // Whether all steps that the step waits for are done.
  auto Ready(const OccurrenceWork& occurrence, uint32_t step) const -> bool;
  // Opens an occurrence; tasks start out as `uncertain` says.
  auto Open(TimePoint now, uint32_t number, bool uncertain) -> OccurrenceWork&;
  // Takes over what the log says is done.
  auto Restore(TimePoint now, bool uncertain) -> void;
  auto Progress() const -> JobProgress;
  auto AllComplete() const -> bool;
};

// One task, by its place.
struct TaskPlace {
  JobWork* work = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  auto task() const -> TaskWork&;
  auto step_work() const -> StepWork&;
  // A gang is counted as one, by its first member.
  auto crashes() const -> CrashRecord&;
  auto spec() const -> const JobStep&;
  auto Name() const -> TaskName;
};

// "JOB.OCCURRENCE.STEP.INDEX", for logs and operators.
auto DescribeTask(const TaskName& task) -> std::string;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_WORK_H_

#ifndef RHUBARBHAVEN_JOBS_JOB_WORK_H_
#define RHUBARBHAVEN_JOBS_JOB_WORK_H_

#include <boost/icl/interval_set.hpp>
#include <chrono>
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

// Whether a job can still be completed in time.
enum class JobOutlook {
  kInTime,
  // Completes later than its target, but is still of some use.
  kLate,
  // So late that waiting longer loses nothing.
  kTooLate,
};

enum class RunPhase { kStarting, kRunning, kStopping };

// A run of a task on a worker, from the order to start it until its end is
// known.
struct RunWork {
  WorkerView* worker = nullptr;
  uint64_t run = 0;
  RunPhase phase = RunPhase::kStarting;
  TimePoint ordered_at;
  // Completed percentage of its work, and when that last changed.
  uint32_t percent = 0;
  TimePoint progress_at;
  // Time of the latest report of its agent that lists it.
  TimePoint seen_at;
  // How long it would have taken so far at full speed, as of `measured_at`.
  Duration full_speed_time{0};
  TimePoint measured_at;
  // Its first reported percentage; none before its first report.
  std::optional<uint32_t> first_percent;
  // Whether its total time has been extrapolated from its progress.
  bool extrapolated = false;
  // The expected time of a whole run when it started.
  std::chrono::milliseconds expected_at_start{0};
  // Of an opportunistic run: the share of its requested processors that it used
  // recently; none while unknown.
  std::optional<double> speed;
  // Its end is to be ignored: the task is done, or its job has ended.
  bool unwanted = false;
};

struct TaskWork {
  bool done = false;
  // A run started by an earlier owner may still exist.
  bool uncertain = false;
  uint32_t failures = 0;
  CrashRecord crashes;
  std::string checkpoint;
  std::vector<RunWork> runs;
  TimePoint waiting_since;
  // Not started again before this time, after a failure.
  TimePoint not_before;
};

// Since when a job has no run although steps of it are ready.
struct JobStarvation {
  // When this was first seen; none once a run of the job is known to run.
  // Rejected or lost starts do not reset it.
  std::optional<TimePoint> since;
  // When this was last logged.
  TimePoint logged_at;
  // The job has been starved for so long that one of its tasks may start
  // opportunistically at any speed.
  bool ignore_interference = false;
};

// Tasks of a step. Runs and completions must be changed through its methods,
// which keep the counters.
class StepWork {
 public:
  StepWork(uint32_t count, const TaskWork& task) : tasks_(count, task) {
    waiting_ = count;
  }

  // When it was last logged that its tasks wait for a worker.
  TimePoint waiting_logged_at;
  // Mark of `WorkerChanges` at which all workers had rejected its tasks.
  uint64_t rejected_mark = 0;
  // The same for opportunistic tasks that may start at any speed.
  uint64_t rejected_mark_any_speed = 0;
  // Learned time of one whole run of a task at full speed; none while only the
  // caller's estimate is known.
  std::optional<std::chrono::milliseconds> expected_run_time;
  // Times that runs of its tasks take at full speed, by index; zero if unknown.
  // Empty while none is known.
  std::vector<std::chrono::milliseconds> run_times;

  auto tasks() -> std::vector<TaskWork>& { return tasks_; }
  auto tasks() const -> const std::vector<TaskWork>& { return tasks_; }
  auto done() const -> uint32_t { return done_; }
  auto complete() const -> bool { return done_ == tasks_.size(); }
  // Number of unfinished tasks without a run.
  auto waiting() const -> uint32_t { return waiting_; }
  // Number of unfinished tasks with a run.
  auto running() const -> std::size_t {
    return tasks_.size() - done_ - waiting_;
  }
  // Index of the first waiting task; the number of tasks if none waits.
  auto first_waiting() const -> uint32_t { return first_waiting_; }

  auto AddRun(uint32_t index, const RunWork& run) -> RunWork&;
  auto RemoveRun(uint32_t index, std::vector<RunWork>::iterator run) -> void;
  auto SetDone(uint32_t index) -> void;

 private:
  auto Waits(uint32_t index) const -> bool;
  // Updates the counters after a change of the task; `waited` tells whether it
  // waited before.
  auto UpdateCounts(uint32_t index, bool waited) -> void;

  std::vector<TaskWork> tasks_;
  uint32_t done_ = 0;
  uint32_t waiting_ = 0;
  uint32_t first_waiting_ = 0;
};

// Expected time of one whole run of a task at full speed: the learned time, or
// else the caller's estimate.
auto ExpectedRunTime(const JobStep& spec, const StepWork& step)
    -> std::chrono::milliseconds;

struct OccurrenceWork {
  std::vector<StepWork> steps;

  auto complete() const -> bool;
  auto has_runs() const -> bool;
};

// Numbers of occurrences.
using OccurrenceSet = boost::icl::interval_set<uint32_t>;

// State of an unfinished job that the owner keeps beyond the log.
struct JobWork {
  // The process of an agent that was sent the job's payload, and `built_at_us`
  // of the message that contained it.
  struct SentPayload {
    uint64_t agent_incarnation = 0;
    uint64_t sent_in_us = 0;
  };

  const StoredJob* entry = nullptr;
  // Rules of the job's queue in the newest configuration.
  QueueRules rules;
  // Opened occurrences that are not closed, by number.
  std::map<uint32_t, OccurrenceWork> occurrences;
  // Occurrences that are complete and have no runs. Nothing else is kept of
  // them, since a job may have any number of them.
  OccurrenceSet closed;
  // Number of occurrences that have been opened, in ascending order.
  uint32_t opened = 0;
  JobState state = JOB_QUEUED;
  // As of the latest placement round.
  JobOutlook outlook = JobOutlook::kInTime;
  // To be written to a record, since it has changed.
  bool dirty = false;
  JobStarvation starved;
  // By the numbers of the owner's workers.
  absl::flat_hash_map<uint64_t, SentPayload> payloads_sent;

  auto total_occurrences() const -> uint32_t;
  auto job() const -> const Job& { return entry->job; }
  // Whether the job has ended neither in the log nor by what the owner knows
  // beyond it.
  auto open() const -> bool;
  // Whether no unfinished task has a run.
  auto NothingRuns() const -> bool;
  // Whether all steps that the step depends on are complete.
  auto Ready(const OccurrenceWork& occurrence, uint32_t step) const -> bool;
  // Opens an occurrence, with its tasks marked as `uncertain`.
  auto Open(TimePoint now, uint32_t number, bool uncertain) -> OccurrenceWork&;
  // Closes the complete occurrences that have no runs. Returns their numbers.
  auto CloseComplete() -> std::vector<uint32_t>;
  auto AllComplete() const -> bool;
  // Number of waiting tasks whose steps are ready.
  auto ready_tasks() const -> uint64_t;
};

// Identifies one task by its position in a job.
struct TaskPlace {
  JobWork* work = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  auto task() const -> TaskWork&;
  auto step_work() const -> StepWork&;
  // Crashes of a gang are counted together, at its first member.
  auto crashes() const -> CrashRecord&;
  auto spec() const -> const JobStep&;
  auto Name() const -> TaskName;
};

// "JOB.OCCURRENCE.STEP.INDEX", for logs and operators.
auto DescribeTask(const TaskName& task) -> std::string;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_WORK_H_

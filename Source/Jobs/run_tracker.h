#ifndef RHUBARBHAVEN_JOBS_RUN_TRACKER_H_
#define RHUBARBHAVEN_JOBS_RUN_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// Tracks the runs that an agent knows to be on its worker, so that it can
// report what a crash ended: after a crash the worker lists none of its earlier
// runs.
class RunTracker {
 public:
  // The run is about to be started by a call to the worker.
  auto OnCall(TimePoint now, const TaskName& task, uint64_t run) -> void;
  // The call was answered: the run has started.
  auto OnStarted(TimePoint now, const TaskName& task, uint64_t run) -> void;
  // The run does not exist and never will.
  auto OnRefused(const TaskName& task, uint64_t run) -> void;
  // Outstanding calls will not be answered any more.
  auto OnCallsAbandoned(TimePoint now) -> void;
  // The worker has answered a listing that was requested at `asked`.
  auto OnListing(TimePoint asked,
                 TimePoint now,
                 const std::vector<RunningTask>& running) -> void;
  // Called after a crash of the worker; returns the runs that it ended and
  // clears them.
  auto TakeCrashed() -> std::vector<CrashedRun>;
  // The worker has left as planned.
  auto Clear() -> void { runs_.clear(); }

 private:
  struct TrackedRun {
    TaskName task;
    TimePoint begun_at;
    TimePoint seen_at;
    // A listing requested at or after this time that lacks the run means that
    // it is over; none while its start is unanswered.
    std::optional<TimePoint> settled_at;
  };
  using Key = std::pair<std::string, uint64_t>;

  std::map<Key, TrackedRun> runs_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_RUN_TRACKER_H_

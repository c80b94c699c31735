#ifndef RHUBARBHAVEN_JOBS_RUN_WATCH_H_
#define RHUBARBHAVEN_JOBS_RUN_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// What an agent knows to run at its worker, so that it can say what a crash has
// ended: a worker that has crashed lists nothing of its life before.
class RunWatch {
 public:
  // The run is about to be started by a call.
  auto OnCall(TimePoint now, const TaskName& task, uint64_t run) -> void;
  // The call was answered: the run has started.
  auto OnStarted(TimePoint now, const TaskName& task, uint64_t run) -> void;
  // The run is not there and never will be.
  auto OnRefused(const TaskName& task, uint64_t run) -> void;
  // Calls of before get no answer any more.
  auto OnCallsDropped(TimePoint now) -> void;
  // The worker's answer to a listing that was asked for at `asked`.
  auto OnListing(TimePoint asked,
                 TimePoint now,
                 const std::vector<RunningTask>& running) -> void;
  // The worker has crashed: what ran there. Nothing does any more.
  auto TakeCrashed() -> std::vector<CrashedRun>;
  // The worker has left as planned.
  auto Clear() -> void { runs_.clear(); }

 private:
  struct WatchedRun {
    TaskName task;
    TimePoint begun_at;
    TimePoint seen_at;
    // From then on a listing without the run says that it is over; none while
    // its start has no answer.
    std::optional<TimePoint> settled_at;
  };
  using Key = std::pair<std::string, uint64_t>;

  std::map<Key, WatchedRun> runs_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_RUN_WATCH_H_

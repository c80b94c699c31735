#ifndef RHUBARBHAVEN_PLACEMENT_RUN_HISTORY_H_
#define RHUBARBHAVEN_PLACEMENT_RUN_HISTORY_H_

#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// One run of a task on an instance.
struct Run {
  schema::TaskId task;
  TimePoint started;
  // None while the task runs.
  std::optional<TimePoint> stopped;
  bool costly_to_evict = false;
  // A move to another instance was requested.
  bool leaving = false;
  // Times at which the task was alternately throttled and unthrottled.
  std::vector<TimePoint> throttle_changes;

  auto WasRunningAt(TimePoint when) const -> bool;
  auto WasThrottledAt(TimePoint when) const -> bool;
};

// The runs on one instance, current ones and those that late reports may still
// refer to.
//
// A report is up to a minute old when it arrives. Attributing it to the tasks
// that run on arrival would throttle a task for the slowdown that its
// predecessor caused; the symptom is steps taken against jobs that are harmless
// when they run alone.
class RunHistory {
 public:
  auto Start(TimePoint now, const schema::TaskId& task, bool costly_to_evict)
      -> void;
  auto Stop(TimePoint now, const schema::TaskId& task) -> void;
  auto SetThrottled(TimePoint now, const schema::TaskId& task, bool throttled)
      -> void;
  auto SetLeaving(const schema::TaskId& task) -> void;
  // Removes runs that stopped before `oldest`.
  auto Prune(TimePoint oldest) -> void;

  auto runs() const -> const std::vector<Run>& { return runs_; }

 private:
  auto FindRunning(const schema::TaskId& task) -> Run*;

  std::vector<Run> runs_;
};

auto SameTask(const schema::TaskId& left, const schema::TaskId& right) -> bool;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_RUN_HISTORY_H_

#ifndef RHUBARBHAVEN_PLACEMENT_RUN_HISTORY_H_
#define RHUBARBHAVEN_PLACEMENT_RUN_HISTORY_H_

#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// One task's stay on an instance.
struct Run {
  schema::TaskId task;
  TimePoint started;
  // None while it runs.
  std::optional<TimePoint> stopped;
  bool costly_to_evict = false;
  // Asked to move away.
  bool leaving = false;
  // Times at which it was throttled, unthrottled, throttled ...
  std::vector<TimePoint> throttle_changes;

  auto RanAt(TimePoint when) const -> bool;
  auto ThrottledAt(TimePoint when) const -> bool;
};

// What ran on one instance, now and as far back as reports may reach.
//
// A report is up to a minute old when it comes. Blaming what runs at that
// time would throttle the task that came last for what its predecessor did;
// one would see steps taken against jobs that are harmless when run alone.
class RunHistory {
 public:
  auto Start(TimePoint now, const schema::TaskId& task, bool costly_to_evict)
      -> void;
  auto Stop(TimePoint now, const schema::TaskId& task) -> void;
  auto SetThrottled(TimePoint now, const schema::TaskId& task, bool throttled)
      -> void;
  auto SetLeaving(const schema::TaskId& task) -> void;
  // Forgets runs that stopped before `oldest`.
  auto Prune(TimePoint oldest) -> void;

  auto runs() const -> const std::vector<Run>& { return runs_; }

 private:
  auto FindRunning(const schema::TaskId& task) -> Run*;

  std::vector<Run> runs_;
};

auto SameTask(const schema::TaskId& left, const schema::TaskId& right) -> bool;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_RUN_HISTORY_H_

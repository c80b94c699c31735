#include "Placement/run_history.h"

#include <algorithm>

namespace rhubarbhaven {

auto SameTask(const schema::TaskId& left, const schema::TaskId& right) -> bool {
  return left.index() == right.index() &&
         left.job_version() == right.job_version() &&
         left.job() == right.job() && left.partner() == right.partner();
}

auto Run::WasRunningAt(TimePoint when) const -> bool {
  return started <= when && (!stopped.has_value() || when < *stopped);
}

auto Run::WasThrottledAt(TimePoint when) const -> bool {
  const auto after = std::ranges::upper_bound(throttle_changes, when);
  return (after - throttle_changes.begin()) % 2 == 1;
}

auto RunHistory::Start(TimePoint now,
                       const schema::TaskId& task,
                       bool costly_to_evict) -> void {
  if (FindRunning(task) != nullptr) {
    return;
  }
  Run run;
  run.task = task;
  run.started = now;
  run.costly_to_evict = costly_to_evict;
  runs_.push_back(std::move(run));
}

auto RunHistory::Stop(TimePoint now, const schema::TaskId& task) -> void {
  Run* run = FindRunning(task);
  if (run != nullptr) {
    run->stopped = now;
  }
}

auto RunHistory::SetThrottled(TimePoint now,
                              const schema::TaskId& task,
                              bool throttled) -> void {
  Run* run = FindRunning(task);
  if (run != nullptr && run->WasThrottledAt(now) != throttled) {
    run->throttle_changes.push_back(now);
  }
}

auto RunHistory::SetLeaving(const schema::TaskId& task) -> void {
  Run* run = FindRunning(task);
  if (run != nullptr) {
    run->leaving = true;
  }
}

auto RunHistory::Prune(TimePoint oldest) -> void {
  std::erase_if(runs_, [oldest](const Run& run) -> bool {
    return run.stopped.has_value() && *run.stopped < oldest;
  });
}

auto RunHistory::FindRunning(const schema::TaskId& task) -> Run* {
  const auto run = std::ranges::find_if(runs_, [&](const Run& one) -> bool {
    return !one.stopped.has_value() && SameTask(one.task, task);
  });
  return run == runs_.end() ? nullptr : &*run;
}

}  // namespace rhubarbhaven

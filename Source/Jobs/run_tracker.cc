#include "Jobs/run_tracker.h"

#include <set>

#include "Jobs/job_work.h"

namespace rhubarbhaven::jobs {

auto RunTracker::OnCall(TimePoint now, const TaskName& task, uint64_t run)
    -> void {
  runs_.try_emplace({DescribeTask(task), run},
                    TrackedRun{task, now, now, std::nullopt});
}

auto RunTracker::OnStarted(TimePoint now, const TaskName& task, uint64_t run)
    -> void {
  const auto found = runs_.find({DescribeTask(task), run});
  if (found != runs_.end()) {
    found->second.seen_at = now;
    found->second.settled_at = now;
  }
}

auto RunTracker::OnRefused(const TaskName& task, uint64_t run) -> void {
  runs_.erase({DescribeTask(task), run});
}

auto RunTracker::OnCallsAbandoned(TimePoint now) -> void {
  for (auto& [key, run] : runs_) {
    run.settled_at = run.settled_at.value_or(now);
  }
}

auto RunTracker::OnListing(TimePoint asked,
                           TimePoint now,
                           const std::vector<RunningTask>& running) -> void {
  std::set<Key> listed;
  for (const auto& row : running) {
    Key key{DescribeTask(row.task()), row.run()};
    auto& run = runs_.try_emplace(key, TrackedRun{row.task(), now, now, now})
                    .first->second;
    run.seen_at = now;
    run.settled_at = run.settled_at.value_or(now);
    listed.insert(std::move(key));
  }
  std::erase_if(runs_, [&listed, asked](const auto& item) -> bool {
    const auto& settled_at = item.second.settled_at;
    return settled_at && *settled_at <= asked && !listed.contains(item.first);
  });
}

auto RunTracker::TakeCrashed() -> std::vector<CrashedRun> {
  std::vector<CrashedRun> crashed;
  for (const auto& [key, run] : runs_) {
    CrashedRun row;
    *row.mutable_task() = run.task;
    row.set_run(key.second);
    row.set_ran_ms(static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(run.seen_at -
                                                              run.begun_at)
            .count()));
    crashed.push_back(std::move(row));
  }
  runs_.clear();
  return crashed;
}

}  // namespace rhubarbhaven::jobs

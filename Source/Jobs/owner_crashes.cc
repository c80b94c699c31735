#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Jobs/job_owner.h"

// Attributes crashes of workers to the tasks that ran there.
namespace rhubarbhaven::jobs {

auto JobOwner::OnCrashedRuns(WorkerView& worker, const AgentReport& report)
    -> void {
  if (worker.crashes_of_incarnation != report.incarnation()) {
    worker.crashes_of_incarnation = report.incarnation();
    worker.crashes_processed = 0;
    worker.crashes_logged = 0;
  }
  std::map<std::string, std::vector<TaskPlace>> crashed_tasks;
  for (const auto& row : report.crashed()) {
    if (row.number() <= worker.crashes_processed) {
      continue;
    }
    worker.crashes_processed = row.number();
    crashes_due_.insert(worker.agent);
    const auto place = Locate(row.task());
    if (place && RecordCrash(worker, *place, row.run(),
                             std::chrono::milliseconds(row.ran_ms()))) {
      crashed_tasks[row.worker_id()].push_back(*place);
    }
  }
  for (const auto& [crashed_worker_id, places] : crashed_tasks) {
    FailCrashCause(places);
  }
}

auto JobOwner::RecordUnreportedCrash(const WorkerView& worker) -> void {
  std::vector<TaskPlace> crashed_tasks;
  for (const auto& [number, place] : worker.runs) {
    for (const auto& run : place.task().runs) {
      if (run.worker == &worker && run.phase != RunPhase::kStarting &&
          RecordCrash(worker, place, run.run, run.seen_at - run.ordered_at)) {
        crashed_tasks.push_back(place);
      }
    }
  }
  FailCrashCause(crashed_tasks);
}

auto JobOwner::RecordCrash(const WorkerView& worker,
                           const TaskPlace& place,
                           uint64_t run,
                           Duration ran) -> bool {
  auto& crashes = place.crashes();
  if (!place.work->open() || place.task().done || !crashes.Record(run, ran)) {
    return false;
  }
  MarkProgressDirty(*place.work);
  Log("crashed", place, run, &worker,
      absl::StrCat("in a row ", crashes.in_row, ", in all ", crashes.in_all));
  return true;
}

auto JobOwner::FailCrashCause(const std::vector<TaskPlace>& crashed) -> void {
  const auto likely = std::count_if(
      crashed.begin(), crashed.end(),
      [](const TaskPlace& place) { return place.crashes().likely_cause(); });
  for (const auto& place : crashed) {
    const auto& crashes = place.crashes();
    const bool cause = crashes.certain_cause(place.spec().long_running()) ||
                       (crashes.likely_cause() && likely == 1);
    if (cause && place.work->open()) {
      Log("given_up", place, 0, nullptr, "the task crashes its workers");
      SetState(*place.work, JOB_FAILED);
      EndJob(*place.work, "its job has failed");
    }
  }
}

auto JobOwner::MarkRunsSuspected(const WorkerView& worker) -> void {
  for (const auto& [number, place] : worker.runs) {
    place.crashes().unconfirmed = true;
  }
}

auto JobOwner::AddCrashes() -> void {
  batch_crashes_.clear();
  for (const auto& name : std::exchange(crashes_due_, {})) {
    const auto found = workers_.find(name);
    if (found != workers_.end()) {
      const WorkerView& worker = *found->second;
      batch_crashes_[name] = {worker.crashes_of_incarnation,
                              worker.crashes_processed};
    }
  }
}

auto JobOwner::OnCrashesStored() -> void {
  for (const auto& [name, row] : std::exchange(batch_crashes_, {})) {
    const auto found = workers_.find(name);
    if (found != workers_.end() &&
        found->second->crashes_of_incarnation == row.incarnation) {
      found->second->crashes_logged = row.number;
    }
  }
}

auto JobOwner::ClearSuspects(TimePoint now, WorkerView& worker) -> void {
  const auto suspects = worker.suspects;
  for (const uint64_t number : suspects) {
    const auto& place = worker.runs.at(number);
    for (const auto& run : place.task().runs) {
      const bool sound = run.worker == &worker && run.seen_at == now &&
                         now - run.ordered_at >= kCrashFreeAfter;
      if (sound) {
        place.crashes().Clear();
        MarkProgressDirty(*place.work);
        worker.suspects.erase(number);
        changes_.Record(worker);
        placement_due_ = true;
      }
    }
  }
}

}  // namespace rhubarbhaven::jobs

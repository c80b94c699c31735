#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "Jobs/job_check.h"
#include "Jobs/job_owner.h"
#include "Jobs/job_progress.h"

// Lifetime of jobs, from their record in the log until nothing of them is left.
namespace rhubarbhaven::jobs {
namespace {

// A due occurrence of a job is opened while fewer of its tasks than this are
// ready and wait for a worker. Each placement round looks at all of them.
constexpr uint64_t kMaxReadyTasks = 1000;
// Maximum number of tasks in the open occurrences of a job, unless there is
// only one: each takes some 200 bytes.
constexpr uint64_t kMaxOpenTasks = 20000;
// The same for occurrences that are opened because a run in a later one was
// found.
constexpr uint64_t kMaxRecoveredTasks = 100000;
// Part of the largest record that the open occurrences may take without
// failures and crashes of their tasks.
constexpr std::size_t kOpenPartOfRecord = 2;

// Later times are awaited in parts of this length.
constexpr std::chrono::milliseconds kMaxTimer = std::chrono::hours(24 * 365);

// Number of tasks of an occurrence that wait for no earlier step.
auto FirstTasksOf(const Job& job) -> uint64_t {
  uint64_t tasks = 0;
  for (const auto& step : job.steps()) {
    tasks += step.after().empty() ? step.count() : 0;
  }
  return tasks;
}

auto LimitLeft(uint64_t limit, uint64_t used) -> uint64_t {
  return limit - std::min(limit, used);
}

}  // namespace

auto JobOwner::AddJob(TimePoint now, const StoredJob& entry) -> void {
  if (entry.over()) {
    ended_jobs_.Set(entry.job.id(), now + options_.ended_job_retention);
    return;
  }
  auto work = std::make_unique<JobWork>();
  work->entry = &entry;
  const auto* rules = hooks_.rules(entry.job.queue());
  work->rules = rules != nullptr ? *rules : entry.job.rules();
  // An earlier owner may have started tasks of jobs that it read before the
  // claim, on agents that have not answered yet.
  const bool uncertain = !reconciliation_done_ && entry.accepted_at < claim_at_;
  RestoreProgress(now, uncertain, work.get());
  JobWork& added = *work;
  EraseJob(entry.job.id());
  jobs_[entry.job.id()] = std::move(work);
  for (const auto& [number, occurrence] : added.occurrences) {
    SetExpectedRunTimes(added, number);
  }
  order_.MarkChanged(added);
  OpenDue(now, added);
}

auto JobOwner::EndJob(JobWork& work, const std::string& why) -> void {
  held_places_.ReleaseJob(work);
  std::vector<NamedRun> stopped;
  std::set<std::string> agents;
  for (auto& [number, occurrence] : work.occurrences) {
    for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      auto& tasks = occurrence.steps[step].tasks();
      for (uint32_t index = 0; index < tasks.size(); ++index) {
        const TaskPlace place{&work, number, step, index};
        for (auto& run : tasks[index].runs) {
          if (OrderStop(place, run)) {
            stopped.push_back({place.Name(), run.run});
            agents.insert(run.worker->agent);
          }
        }
      }
    }
  }
  LogRuns("stop", stopped, agents.size() == 1 ? *agents.begin() : "", why);
}

auto JobOwner::ForgetJobIfIdle(TimePoint now, const std::string& id) -> void {
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || !found->second->entry->over() ||
      found->second->dirty) {
    return;
  }
  for (const auto& [number, occurrence] : found->second->occurrences) {
    for (const auto& step : occurrence.steps) {
      for (const auto& task : step.tasks()) {
        if (!task.runs.empty()) {
          return;
        }
      }
    }
  }
  ended_jobs_.Set(id, now + options_.ended_job_retention);
  tickets_.Forget(id);
  EraseJob(id);
}

auto JobOwner::EraseJob(const std::string& id) -> void {
  const auto found = jobs_.find(id);
  if (found != jobs_.end()) {
    held_places_.ReleaseJob(*found->second);
    order_.Forget(*found->second);
    jobs_.erase(found);
  }
}

auto JobOwner::RemoveJob(TimePoint now, const std::string& id) -> void {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  for (auto& [number, occurrence] : found->second->occurrences) {
    for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      auto& tasks = occurrence.steps[step].tasks();
      for (uint32_t index = 0; index < tasks.size(); ++index) {
        const TaskPlace place{found->second.get(), number, step, index};
        while (!tasks[index].runs.empty()) {
          const auto run = tasks[index].runs.front();
          RemoveRun(now, place, run.run, run.worker);
        }
      }
    }
  }
  EraseJob(id);
}

auto JobOwner::TimeUntilDue(const JobWork& work, uint32_t occurrence) const
    -> std::chrono::milliseconds {
  if (work.job().occurrences() == 0) {
    return std::chrono::milliseconds(0);
  }
  // As callers choose both times, integers could overflow.
  const double due_ms =
      static_cast<double>(work.job().first_due_unix_ms()) +
      occurrence * static_cast<double>(work.job().interval_ms());
  const double left_ms =
      due_ms - static_cast<double>(hooks_.wall_clock().count());
  return std::chrono::milliseconds(static_cast<int64_t>(
      std::clamp(left_ms, 0.0, static_cast<double>(kMaxTimer.count()))));
}

auto JobOwner::OpenDue(TimePoint now, JobWork& work) -> void {
  if (work.opened == work.total_occurrences()) {
    return;
  }
  std::size_t may_open = MayOpen(work);
  while (work.opened < work.total_occurrences()) {
    const auto left = TimeUntilDue(work, work.opened);
    if (left.count() > 0) {
      occurrence_due_at_ = std::min(occurrence_due_at_, now + left);
      return;
    }
    if (may_open == 0) {
      held_back_jobs_.insert(work.job().id());
      return;
    }
    OpenNext(now, work);
    --may_open;
  }
}

auto JobOwner::MayOpen(const JobWork& work) const -> std::size_t {
  const Job& job = work.job();
  const std::size_t open = work.occurrences.size();
  const std::size_t max_bytes =
      options_.log_limits.record_bytes / kOpenPartOfRecord;
  const uint64_t first_tasks = FirstTasksOf(job);
  const uint64_t by_ready =
      (LimitLeft(kMaxReadyTasks, work.ready_tasks()) + first_tasks - 1) /
      first_tasks;
  const uint64_t by_tasks = LimitLeft(kMaxOpenTasks / TotalTasks(job), open);
  const uint64_t by_bytes =
      LimitLeft(max_bytes / MaxOccurrenceBytes(job), open);
  const uint64_t at_least = open == 0 ? 1 : 0;
  return std::max(at_least, std::min({by_ready, by_tasks, by_bytes}));
}

auto JobOwner::OpenHeldBack(TimePoint now) -> void {
  for (const auto& id : std::exchange(held_back_jobs_, {})) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second->open()) {
      OpenDue(now, *found->second);
    }
  }
}

auto JobOwner::CloseOccurrences() -> void {
  if (jobs_to_close_.empty()) {
    return;
  }
  // The order refers to steps that wait; those of complete occurrences do not.
  UpdateOrder();
  for (const auto& id : std::exchange(jobs_to_close_, {})) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
      continue;
    }
    for (const uint32_t number : found->second->CloseComplete()) {
      tickets_.ForgetOccurrence(id, number);
    }
  }
}

auto JobOwner::OpenNext(TimePoint now, JobWork& work) -> void {
  const bool uncertain =
      !reconciliation_done_ && work.entry->accepted_at < claim_at_;
  const uint32_t number = work.opened;
  const auto left = TimeUntilDue(work, number);
  auto& occurrence = work.Open(now, number, uncertain);
  if (left.count() > 0) {
    for (auto& step : occurrence.steps) {
      for (auto& task : step.tasks()) {
        task.not_before = now + left;
      }
    }
  }
  SetExpectedRunTimes(work, number);
  order_.MarkChanged(work);
  placement_due_ = true;
}

auto JobOwner::LocateRun(TimePoint now, const TaskName& name)
    -> std::optional<TaskPlace> {
  const auto found = jobs_.find(name.job());
  if (found == jobs_.end()) {
    return std::nullopt;
  }
  JobWork& work = *found->second;
  const uint64_t max_open = kMaxRecoveredTasks / TotalTasks(work.job());
  while (work.opened <= name.occurrence() &&
         work.opened < work.total_occurrences() &&
         work.occurrences.size() <= max_open) {
    OpenNext(now, work);
  }
  return Locate(name);
}

auto JobOwner::Locate(const TaskName& name) -> std::optional<TaskPlace> {
  const auto found = jobs_.find(name.job());
  if (found == jobs_.end()) {
    return std::nullopt;
  }
  JobWork& work = *found->second;
  if (name.occurrence() >= work.total_occurrences() ||
      name.step() >= static_cast<uint32_t>(work.job().steps_size()) ||
      name.index() >= work.job().steps(static_cast<int>(name.step())).count()) {
    return std::nullopt;
  }
  if (!work.occurrences.contains(name.occurrence())) {
    return std::nullopt;
  }
  return TaskPlace{&work, name.occurrence(), name.step(), name.index()};
}

auto JobOwner::SetState(JobWork& work, JobState state) -> void {
  if (work.state != state) {
    work.state = state;
    MarkProgressDirty(work);
  }
}

auto JobOwner::MarkProgressDirty(JobWork& work) -> void {
  work.dirty = true;
  dirty_jobs_.insert(work.job().id());
  order_.MarkChanged(work);
}

}  // namespace rhubarbhaven::jobs

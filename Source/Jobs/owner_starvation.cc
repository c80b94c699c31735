#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

#include "Jobs/job_owner.h"

// Finds starved jobs, which have no run although a step of them is ready,
// counts them and logs the reason.
namespace rhubarbhaven::jobs {
namespace {

constexpr std::chrono::milliseconds kCheckInterval{250};
// Half of the 3 s for which a job may have no run although there is capacity
// for it: the rest is for the check, the start and one rejected start.
constexpr std::chrono::milliseconds kIgnoreInterferenceAfter{1500};
constexpr std::chrono::milliseconds kLogDelay{2000};
// Minimum time between two log lines about the same job.
constexpr std::chrono::milliseconds kLogInterval{5000};
// Over all jobs together.
constexpr int kMaxLogLinesPerSecond = 5;
// Number of tasks or agents named in one line.
constexpr std::size_t kMaxNames = 20;
// Five poll intervals. Shorter than a lease, so that the warning precedes the
// lapse.
constexpr std::chrono::milliseconds kSilentAfter{1500};
// Longer than orders and reports are under way on a slow network, on which the
// leases still hold.
constexpr std::chrono::milliseconds kReachesNoneAfter{4000};

// Whether less than half of the service's processors are held: beyond that,
// more slow opportunistic tasks only make the others late.
auto HasSpareCapacity(const WorkerViews& workers, const std::string& service)
    -> bool {
  int64_t held = 0;
  int64_t capacity = 0;
  for (const auto& [name, worker] : workers) {
    if (worker->service == service) {
      held += worker->held.millicores;
      capacity += worker->capacity.millicores;
    }
  }
  return 2 * held < capacity;
}

}  // namespace

auto JobOwner::CheckStarvedJobs(TimePoint now) -> void {
  if (now < check_starved_at_) {
    return;
  }
  check_starved_at_ = now + kCheckInterval;
  // Also finds jobs that no placement round has considered.
  UpdateOrder();
  std::size_t starved = 0;
  const JobWork* latest = nullptr;
  for (const auto& step : order_.steps()) {
    JobWork& work = *step.place.work;
    // Steps of one job are adjacent.
    if (std::exchange(latest, &work) == &work || !work.open()) {
      continue;
    }
    if (!work.NothingRuns()) {
      LogWaitingLongRunning(now, work);
      continue;
    }
    const TimePoint since = work.starved.since.value_or(now);
    work.starved.since = since;
    if (now - since >= kIgnoreInterferenceAfter &&
        !work.starved.ignore_interference &&
        HasSpareCapacity(workers_, work.rules.service())) {
      work.starved.ignore_interference = true;
      placement_due_ = true;
    }
    if (now - since >= kLogDelay) {
      ++starved;
      LogStarvedJob(now, step);
    }
  }
  ReportStarved(starved);
}

auto JobOwner::TakeStarvedLine(TimePoint now, JobWork& work) -> bool {
  if (now - starved_lines_since_ >= std::chrono::seconds(1)) {
    starved_lines_since_ = now;
    starved_lines_ = 0;
  }
  if (starved_lines_ >= kMaxLogLinesPerSecond ||
      now - work.starved.logged_at < kLogInterval) {
    return false;
  }
  work.starved.logged_at = now;
  ++starved_lines_;
  return true;
}

auto JobOwner::LogStarvedJob(TimePoint now,
                             const PlacementOrder::WaitingStep& step) -> void {
  JobWork& work = *step.place.work;
  if (!TakeStarvedLine(now, work)) {
    return;
  }
  TaskPlace place = step.place;
  place.index = step.state->first_waiting();
  StarvedJob starved{place.Name(), now - *work.starved.since,
                     DescribeStarvation(now, place), OldestReport(now)};
  AddWaitingTasks(place, &starved);
  hooks_.log_starved(starved);
}

auto JobOwner::LogWaitingLongRunning(TimePoint now, JobWork& work) -> void {
  for (auto& [number, occurrence] : work.occurrences) {
    for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      TaskPlace place{&work, number, step, 0};
      if (!place.spec().long_running() || place.step_work().waiting() == 0 ||
          !work.Ready(occurrence, step)) {
        continue;
      }
      place.index = place.step_work().first_waiting();
      const Duration waited = now - place.task().waiting_since;
      if (waited < kLogDelay || !TakeStarvedLine(now, work)) {
        continue;
      }
      StarvedJob starved{place.Name(), waited, DescribeStarvation(now, place),
                         OldestReport(now)};
      AddWaitingTasks(place, &starved);
      hooks_.log_starved(starved);
    }
  }
}

auto JobOwner::AddWaitingTasks(TaskPlace place, StarvedJob* starved) -> void {
  if (!place.spec().long_running()) {
    return;
  }
  starved->waiting = place.step_work().waiting();
  const auto& tasks = place.step_work().tasks();
  for (; place.index < tasks.size(); ++place.index) {
    const auto& task = tasks[place.index];
    if (starved->tasks.size() < kMaxNames && !task.done && task.runs.empty()) {
      starved->tasks.push_back(place.Name());
    }
  }
}

auto JobOwner::CheckSilentAgents(TimePoint now) -> void {
  if (now < check_silent_at_) {
    return;
  }
  check_silent_at_ = now + kCheckInterval;
  SilentAgents silent;
  silent.agents = workers_.size();
  for (const auto& [name, worker] : workers_) {
    const Duration since = now - worker->last_contact_at;
    if (!worker->confirmed || since < kSilentAfter) {
      continue;
    }
    ++silent.silent;
    silent.longest = std::max(silent.longest, since);
    if (silent.names.size() < kMaxNames) {
      silent.names.push_back(name);
    }
  }
  if (silent.silent > 0) {
    check_silent_at_ = now + kLogInterval;
    hooks_.log_silent(silent);
  }
}

auto JobOwner::ReachesNoAgent(TimePoint now) const -> bool {
  return active() && last_report_at_ != TimePoint() &&
         now - last_report_at_ >= kReachesNoneAfter;
}

auto JobOwner::DescribeStarvation(TimePoint now, const TaskPlace& place) const
    -> std::string {
  const auto& task = place.task();
  if (task.uncertain) {
    return DescribeMissing(now);
  }
  if (now < task.not_before) {
    return "waiting for the end of its retry delay";
  }
  if (place.work->rules.service().empty()) {
    return "its queue has no rules";
  }
  if (workers_.empty()) {
    return "no workers";
  }
  const auto tickets = TicketsHeld(now, place);
  PlaceLimits limits;
  limits.any_speed = MayIgnoreInterference(place);
  limits.tickets = tickets ? &*tickets : nullptr;
  return DescribeRejections(now, workers_, place, interference_, limits);
}

auto JobOwner::DescribeMissing(TimePoint now) const -> std::string {
  const ReconciliationState reconciliation = DescribeReconciliation(now);
  return absl::StrCat(
      "uncertain, reconciliation waits for ", reconciliation.missing, " of ",
      reconciliation.agents,
      " agents: ", absl::StrJoin(reconciliation.missing_names, " "));
}

auto JobOwner::OldestReport(TimePoint now) const -> Duration {
  Duration oldest{0};
  for (const auto& [name, worker] : workers_) {
    if (worker->confirmed) {
      oldest = std::max(oldest, now - worker->reported_at);
    }
  }
  return oldest;
}

auto JobOwner::TicketsHeld(TimePoint now, const TaskPlace& place) const
    -> std::optional<StepTickets> {
  if (!place.work->rules.needs_ticket()) {
    return std::nullopt;
  }
  return tickets_.Held(now, place.Name());
}

auto JobOwner::ReportStarved(std::size_t jobs) -> void {
  if (std::exchange(starved_jobs_, jobs) != jobs) {
    hooks_.report_starved(jobs);
  }
}

}  // namespace rhubarbhaven::jobs

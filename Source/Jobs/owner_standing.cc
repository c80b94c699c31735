#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

#include "Jobs/job_owner.h"

// Jobs that have nothing running although a step of them is ready: why, for the
// log, and how many.
namespace rhubarbhaven::jobs {
namespace {

constexpr std::chrono::milliseconds kLookAgain{250};
// Half of the time for which a job with room for it may have nothing running,
// 3 s: the rest is for the look, the start and one that is refused.
constexpr std::chrono::milliseconds kFillAnywayAfter{1500};
constexpr std::chrono::milliseconds kTellAfter{2000};
// The same job again.
constexpr std::chrono::milliseconds kTellAgain{5000};
// Of all jobs together.
constexpr int kMostLinesASecond = 5;

// Whether less than half of the service's processors are held: beyond that more
// slow fillers only make the others late.
auto IsRoomy(const WorkerViews& workers, const std::string& service) -> bool {
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

auto JobOwner::LookForStandingJobs(TimePoint now) -> void {
  if (now < look_standing_at_) {
    return;
  }
  look_standing_at_ = now + kLookAgain;
  // Also finds what no turn of placement has looked at.
  UpdateOrder();
  std::size_t standing = 0;
  const JobWork* latest = nullptr;
  for (const auto& step : order_.steps()) {
    JobWork& work = *step.place.work;
    // Steps of one job stand together.
    if (std::exchange(latest, &work) == &work || !work.open()) {
      continue;
    }
    if (!work.NothingRuns()) {
      continue;
    }
    const TimePoint since = work.standing.since.value_or(now);
    work.standing.since = since;
    if (now - since >= kFillAnywayAfter && !work.standing.fills_anyway &&
        IsRoomy(workers_, work.rules.service())) {
      work.standing.fills_anyway = true;
      place_due_ = true;
    }
    if (now - since >= kTellAfter) {
      ++standing;
      LogStandingJob(now, step);
    }
  }
  NoteStanding(standing);
}

auto JobOwner::LogStandingJob(TimePoint now,
                              const PlacementOrder::WaitingStep& step) -> void {
  if (now - standing_lines_since_ >= std::chrono::seconds(1)) {
    standing_lines_since_ = now;
    standing_lines_ = 0;
  }
  auto& standing = step.place.work->standing;
  if (standing_lines_ >= kMostLinesASecond ||
      now - standing.told_at < kTellAgain) {
    return;
  }
  standing.told_at = now;
  ++standing_lines_;
  TaskPlace place = step.place;
  place.index = step.state->first_waiting();
  hooks_.log_standing({place.Name(), now - *standing.since,
                       WhyItStands(now, place), OldestReport(now)});
}

auto JobOwner::WhyItStands(TimePoint now, const TaskPlace& place) const
    -> std::string {
  const auto& task = place.task();
  if (task.uncertain) {
    return DescribeMissing(now);
  }
  if (now < task.not_before) {
    return "not before its pause is over";
  }
  if (place.work->rules.service().empty()) {
    return "its queue has no rules";
  }
  if (workers_.empty()) {
    return "no workers";
  }
  const auto tickets = TicketsHeld(now, place);
  PlaceLimits limits;
  limits.any_speed = MayFillAnyway(place);
  limits.tickets = tickets ? &*tickets : nullptr;
  return DescribeRefusals(now, workers_, place, interference_, limits);
}

auto JobOwner::DescribeMissing(TimePoint now) const -> std::string {
  const CensusState census = DescribeCensus(now);
  return absl::StrCat("uncertain, the census waits for ", census.missing,
                      " of ", census.agents,
                      " agents: ", absl::StrJoin(census.missing_names, " "));
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
  StepTickets held;
  for (const auto& [name, worker] : workers_) {
    auto ticket = tickets_.Held(now, place.Name(), worker->worker_id);
    if (ticket) {
      held[worker->worker_id] = *std::move(ticket);
    }
  }
  return held;
}

auto JobOwner::NoteStanding(std::size_t jobs) -> void {
  if (std::exchange(standing_jobs_, jobs) != jobs) {
    hooks_.note_standing(jobs);
  }
}

}  // namespace rhubarbhaven::jobs

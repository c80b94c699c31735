#include "Jobs/place_choice.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "Jobs/opportunistic_speed.h"

namespace rhubarbhaven::jobs {
namespace {

// Added to the fit, which is 0 to 2. In another rack than its input, a task is
// slower by a half or more, which outweighs any fit.
constexpr double kOtherRackCost = 4.0;
// For each task of the same long-running step on the worker, to choose between
// workers that are otherwise equal, so that the loss of one worker affects few
// of them.
constexpr double kSameStepCost = 0.1;
// Weight of an opportunistic task's speed against the worker's utilization: the
// speed decides, utilization only between equals.
constexpr double kSpeedWeight = 4.0;
// Workers that failed their latest runs are chosen last.
constexpr double kFailureCost = 2.0;
// An opportunistic task does not start where it would run below this speed:
// many slow ones at once make every job late, while one after the other some
// are in time.
constexpr double kMinOpportunisticSpeed = 0.9;
// For an opportunistic task that starts at any speed on a worker with serving
// tasks.
constexpr double kInterferenceCost = 1.0;
// For a serving task on a worker that serves another image, and on one that
// does not serve its image yet. Images differ in how much opportunistic tasks
// disturb them. If they are kept apart, the sensitive ones occupy few workers,
// and opportunistic tasks run at full speed on the rest.
constexpr double kOtherImageCost = 2.0;
constexpr double kNewImageCost = 1.0;
// For each task on the worker that may have crashed one. Suspected tasks are
// kept apart with the highest weight, so that the next crash shows which of
// them was the cause; other tasks avoid them if they can.
constexpr double kSuspectBesideSuspectCost = 8.0;
constexpr double kBesideSuspectCost = 3.0;
// For a task that will be treated as the cause if its worker crashes again, by
// what that worker's crash would end.
constexpr double kLastAttemptCost = 4.0;
// Longest wait for a worker without suspected tasks, since long-running tasks
// have to run.
constexpr std::chrono::milliseconds kIsolationTimeout{1500};

auto Fits(const WorkerView& worker, const JobStep& step) -> bool {
  auto need = AmountsOf(step.need());
  if (step.uses_spare_processors()) {
    need.millicores = std::min<int64_t>(0, worker.Free().millicores);
  }
  return worker.Free().Covers(need);
}

// A worker without a service is not usable, even by a queue without one.
auto IsOfService(const WorkerView& worker, const QueueRules& rules) -> bool {
  return !worker.service.empty() && worker.service == rules.service();
}

auto RejectionByState(TimePoint now, const WorkerView& worker)
    -> PlacementRejection {
  if (worker.Accepts(now)) {
    return PlacementRejection::kNone;
  }
  if (!worker.confirmed) {
    return PlacementRejection::kNotReporting;
  }
  if (worker.draining) {
    return PlacementRejection::kDraining;
  }
  if (worker.evacuated) {
    return PlacementRejection::kEvacuated;
  }
  if (worker.silent) {
    return PlacementRejection::kUnresponsive;
  }
  return now < worker.quarantined_until ? PlacementRejection::kQuarantined
                                        : PlacementRejection::kNotReporting;
}

auto AtStepLimit(const WorkerView& worker,
                 const TaskPlace& place,
                 const PlaceLimits& limits) -> bool {
  const uint32_t limit = place.spec().max_per_worker();
  if (limit == 0) {
    return false;
  }
  const auto planned = limits.planned.find(&worker);
  return worker.CountOf(place) +
             (planned == limits.planned.end() ? 0 : planned->second) >=
         limit;
}

auto RejectionOf(TimePoint now,
                 const WorkerView& worker,
                 const TaskPlace& place,
                 const PlaceLimits& limits) -> PlacementRejection {
  const auto& step = place.spec();
  const PlacementRejection by_state = RejectionByState(now, worker);
  if (by_state != PlacementRejection::kNone) {
    return by_state;
  }
  if (!IsOfService(worker, place.work->rules)) {
    return PlacementRejection::kOtherService;
  }
  if (!limits.rack.empty() && worker.rack != limits.rack) {
    return PlacementRejection::kOtherRack;
  }
  if (limits.tickets != nullptr &&
      !limits.tickets->contains(worker.worker_id)) {
    return PlacementRejection::kNoTicket;
  }
  if (!step.required_label().empty() &&
      !worker.HasLabel(step.required_label())) {
    return PlacementRejection::kNoLabel;
  }
  if (!Fits(worker, step)) {
    return PlacementRejection::kNoRoom;
  }
  if (AtStepLimit(worker, place, limits)) {
    return PlacementRejection::kStepLimit;
  }
  return now < IsolationEnd(place) && !worker.suspects.empty()
             ? PlacementRejection::kSuspectedTasks
             : PlacementRejection::kNone;
}

auto NameOf(PlacementRejection refusal) -> const char* {
  switch (refusal) {
    case PlacementRejection::kNone:
      return "would accept it";
    case PlacementRejection::kNotReporting:
      return "not reporting";
    case PlacementRejection::kDraining:
      return "draining";
    case PlacementRejection::kEvacuated:
      return "evacuated";
    case PlacementRejection::kUnresponsive:
      return "silent";
    case PlacementRejection::kQuarantined:
      return "quarantined";
    case PlacementRejection::kOtherService:
      return "other service";
    case PlacementRejection::kOtherRack:
      return "other rack";
    case PlacementRejection::kNoTicket:
      return "no ticket";
    case PlacementRejection::kNoLabel:
      return "no label";
    case PlacementRejection::kNoRoom:
      return "no room";
    case PlacementRejection::kStepLimit:
      return "limit of the step";
    case PlacementRejection::kSuspectedTasks:
      return "suspected tasks present";
    case PlacementRejection::kInterference:
      return "too much interference";
  }
  return "";
}

auto UsedShare(const WorkerView& worker) -> double {
  if (worker.capacity.millicores <= 0) {
    return 1.0;
  }
  const auto used = worker.held.millicores + worker.spare_millicores_used;
  return static_cast<double>(used) /
         static_cast<double>(worker.capacity.millicores);
}

auto ImageCost(const WorkerView& worker, const JobStep& step) -> double {
  bool same = false;
  bool other = false;
  for (const auto& [run, serving] : worker.serving) {
    same = same || serving.image == step.image();
    other = other || serving.image != step.image();
  }
  return (other ? kOtherImageCost : 0.0) + (same ? 0.0 : kNewImageCost);
}

auto CrashCost(const WorkerView& worker, const TaskPlace& place) -> double {
  const auto& crashes = place.crashes();
  const double beside =
      crashes.suspected() ? kSuspectBesideSuspectCost : kBesideSuspectCost;
  const double load =
      crashes.on_last_attempt() ? kLastAttemptCost * UsedShare(worker) : 0.0;
  return beside * static_cast<double>(worker.suspects.size()) + load;
}

auto Cost(WorkerView& worker,
          const TaskPlace& place,
          const ImageInterference& interference,
          bool any_speed) -> double {
  const auto& step = place.spec();
  double cost =
      kFailureCost * worker.failures_in_row + CrashCost(worker, place);
  if (!step.data_rack().empty() && step.data_rack() != worker.rack) {
    cost += kOtherRackCost;
  }
  if (step.long_running()) {
    return cost + ImageCost(worker, step) +
           kSameStepCost * worker.CountOf(place) - UsedShare(worker);
  }
  if (step.uses_spare_processors()) {
    const double speed = OpportunisticSpeed(worker, place, interference);
    if (speed < kMinOpportunisticSpeed && !any_speed) {
      return std::numeric_limits<double>::infinity();
    }
    const bool disturbs =
        speed < kMinOpportunisticSpeed && !worker.serving.empty();
    return cost - kSpeedWeight * speed + UsedShare(worker) +
           (disturbs ? kInterferenceCost : 0.0);
  }
  // Best fit, which keeps large free capacities for large tasks.
  return cost - UsedShare(worker);
}

}  // namespace

auto IsolationEnd(const TaskPlace& place) -> TimePoint {
  return place.crashes().on_last_attempt()
             ? place.task().waiting_since + kIsolationTimeout
             : TimePoint();
}

auto DescribeRejections(TimePoint now,
                        const WorkerViews& workers,
                        const TaskPlace& place,
                        const ImageInterference& interference,
                        const PlaceLimits& limits) -> std::string {
  std::map<PlacementRejection, int> counts;
  for (const auto& [name, worker] : workers) {
    PlacementRejection refusal = RejectionOf(now, *worker, place, limits);
    if (refusal == PlacementRejection::kNone &&
        std::isinf(Cost(*worker, place, interference, limits.any_speed))) {
      refusal = PlacementRejection::kInterference;
    }
    ++counts[refusal];
  }
  return absl::StrJoin(
      counts, ", ", [](std::string* out, const auto& item) -> void {
        absl::StrAppend(out, NameOf(item.first), " ", item.second);
      });
}

auto CostOf(TimePoint now,
            WorkerView& worker,
            const TaskPlace& place,
            const ImageInterference& interference,
            const PlaceLimits& limits) -> std::optional<double> {
  if (RejectionOf(now, worker, place, limits) != PlacementRejection::kNone) {
    return std::nullopt;
  }
  const double cost = Cost(worker, place, interference, limits.any_speed);
  return std::isinf(cost) ? std::nullopt : std::optional(cost);
}

auto ChoosePlace(TimePoint now,
                 const WorkerChanges::Changed& workers,
                 const TaskPlace& place,
                 const ImageInterference& interference,
                 const PlaceLimits& limits) -> WorkerView* {
  WorkerView* best = nullptr;
  double best_cost = 0;
  for (const auto& [mark, worker] : workers) {
    const auto cost = CostOf(now, *worker, place, interference, limits);
    if (!cost) {
      continue;
    }
    const bool better = best == nullptr || *cost < best_cost ||
                        (*cost == best_cost && worker->agent < best->agent);
    if (better) {
      best_cost = *cost;
      best = worker;
    }
  }
  return best;
}

}  // namespace rhubarbhaven::jobs

#include "Jobs/place_choice.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "Jobs/opportunistic_speed.h"

namespace rhubarbhaven::jobs {
namespace {

// Costs beside the fit, which is 0 to 2. Another rack than that of the input
// makes a task a half or more slower, which outweighs any fit.
constexpr double kOtherRackCost = 4.0;
// For each task of the same lasting step on the worker, between workers that
// are equal otherwise, so that the loss of one worker takes few of them.
constexpr double kSameStepCost = 0.1;
// Of a filler's speed against the use of the worker: the speed decides, the
// use only between equals.
constexpr double kSpeedWeight = 4.0;
// A worker that failed its latest runs is taken last.
constexpr double kFailureCost = 2.0;
// A filler does not start where it would work more slowly than this: many slow
// ones at once make every job late, one after the other some are in time.
constexpr double kLeastFillerSpeed = 0.9;
// For a filler that starts all the same, where something serves.
constexpr double kDisturbingCost = 1.0;
// For a task that serves beside one of another image, and for one on a worker
// where none of its image serves yet. Images differ in how far fillers disturb
// them. Kept apart, the sensitive ones take up few workers, and fillers run at
// full speed on the rest.
constexpr double kOtherImageCost = 2.0;
constexpr double kNewImageCost = 1.0;
// For each task on the worker that may have crashed one. Suspects are kept
// apart before all else, so that the next crash tells which of them was the
// cause; other tasks keep away from them if they can.
constexpr double kSuspectBesideSuspectCost = 8.0;
constexpr double kBesideSuspectCost = 3.0;
// For a task that will be held to be the cause if its worker crashes again, by
// what that worker's crash would end.
constexpr double kLastTryCost = 4.0;
// It waits no longer for a worker without suspects: what lasts has to run.
constexpr std::chrono::milliseconds kApartFor{1500};

auto Fits(const WorkerView& worker, const JobStep& step) -> bool {
  auto need = RoomOf(step.need());
  if (step.uses_spare_processors()) {
    need.millicores = std::min<int64_t>(0, worker.Free().millicores);
  }
  return worker.Free().Holds(need);
}

// A worker that names no service is none to use, also for a queue without one.
auto IsOfService(const WorkerView& worker, const QueueRules& rules) -> bool {
  return !worker.service.empty() && worker.service == rules.service();
}

auto RefusalByState(TimePoint now, const WorkerView& worker) -> PlaceRefusal {
  if (worker.Accepts(now)) {
    return PlaceRefusal::kNone;
  }
  if (!worker.confirmed) {
    return PlaceRefusal::kNotHeard;
  }
  if (worker.draining) {
    return PlaceRefusal::kDraining;
  }
  if (worker.evacuated) {
    return PlaceRefusal::kEvacuated;
  }
  if (worker.silent) {
    return PlaceRefusal::kSilent;
  }
  return now < worker.set_aside_until ? PlaceRefusal::kSetAside
                                      : PlaceRefusal::kNotHeard;
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

auto RefusalOf(TimePoint now,
               const WorkerView& worker,
               const TaskPlace& place,
               const PlaceLimits& limits) -> PlaceRefusal {
  const auto& step = place.spec();
  const PlaceRefusal by_state = RefusalByState(now, worker);
  if (by_state != PlaceRefusal::kNone) {
    return by_state;
  }
  if (!IsOfService(worker, place.work->rules)) {
    return PlaceRefusal::kOtherService;
  }
  if (!limits.rack.empty() && worker.rack != limits.rack) {
    return PlaceRefusal::kOtherRack;
  }
  if (limits.tickets != nullptr &&
      !limits.tickets->contains(worker.worker_id)) {
    return PlaceRefusal::kNoTicket;
  }
  if (!step.required_label().empty() &&
      !worker.HasLabel(step.required_label())) {
    return PlaceRefusal::kNoLabel;
  }
  if (!Fits(worker, step)) {
    return PlaceRefusal::kNoRoom;
  }
  if (AtStepLimit(worker, place, limits)) {
    return PlaceRefusal::kStepLimit;
  }
  return now < ApartUntil(place) && !worker.suspects.empty()
             ? PlaceRefusal::kSuspects
             : PlaceRefusal::kNone;
}

auto NameOf(PlaceRefusal refusal) -> const char* {
  switch (refusal) {
    case PlaceRefusal::kNone:
      return "would take it";
    case PlaceRefusal::kNotHeard:
      return "not heard";
    case PlaceRefusal::kDraining:
      return "draining";
    case PlaceRefusal::kEvacuated:
      return "evacuated";
    case PlaceRefusal::kSilent:
      return "silent";
    case PlaceRefusal::kSetAside:
      return "set aside";
    case PlaceRefusal::kOtherService:
      return "other service";
    case PlaceRefusal::kOtherRack:
      return "other rack";
    case PlaceRefusal::kNoTicket:
      return "no ticket";
    case PlaceRefusal::kNoLabel:
      return "no label";
    case PlaceRefusal::kNoRoom:
      return "no room";
    case PlaceRefusal::kStepLimit:
      return "limit of the step";
    case PlaceRefusal::kSuspects:
      return "beside suspects";
    case PlaceRefusal::kDisturbing:
      return "too disturbing";
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
      crashes.on_last_try() ? kLastTryCost * UsedShare(worker) : 0.0;
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
    if (speed < kLeastFillerSpeed && !any_speed) {
      return std::numeric_limits<double>::infinity();
    }
    const bool disturbs = speed < kLeastFillerSpeed && !worker.serving.empty();
    return cost - kSpeedWeight * speed + UsedShare(worker) +
           (disturbs ? kDisturbingCost : 0.0);
  }
  // Best fit: keeps large holes for large tasks.
  return cost - UsedShare(worker);
}

}  // namespace

auto ApartUntil(const TaskPlace& place) -> TimePoint {
  return place.crashes().on_last_try() ? place.task().waiting_since + kApartFor
                                       : TimePoint();
}

auto DescribeRefusals(TimePoint now,
                      const WorkerViews& workers,
                      const TaskPlace& place,
                      const ImageInterference& interference,
                      const PlaceLimits& limits) -> std::string {
  std::map<PlaceRefusal, int> counts;
  for (const auto& [name, worker] : workers) {
    PlaceRefusal refusal = RefusalOf(now, *worker, place, limits);
    if (refusal == PlaceRefusal::kNone &&
        std::isinf(Cost(*worker, place, interference, limits.any_speed))) {
      refusal = PlaceRefusal::kDisturbing;
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
  if (RefusalOf(now, worker, place, limits) != PlaceRefusal::kNone) {
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

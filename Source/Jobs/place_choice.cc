#include "Jobs/place_choice.h"

#include <algorithm>
#include <limits>

#include "Jobs/filler_speed.h"

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
// For a task that serves beside one of another image, and for one on a worker
// where none of its image serves yet. Images differ in how far fillers disturb
// them. Kept apart, the sensitive ones take up few workers, and fillers run at
// full speed on the rest.
constexpr double kOtherImageCost = 2.0;
constexpr double kNewImageCost = 1.0;

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

auto MayRun(TimePoint now,
            const WorkerView& worker,
            const TaskPlace& place,
            const PlaceLimits& limits) -> bool {
  const auto& step = place.spec();
  if (!worker.Accepts(now) || !IsOfService(worker, place.work->rules)) {
    return false;
  }
  if (!limits.rack.empty() && worker.rack != limits.rack) {
    return false;
  }
  if (limits.tickets != nullptr &&
      !limits.tickets->contains(worker.worker_id)) {
    return false;
  }
  if (!step.required_label().empty() &&
      !worker.HasLabel(step.required_label())) {
    return false;
  }
  if (!Fits(worker, step)) {
    return false;
  }
  if (step.max_per_worker() == 0) {
    return true;
  }
  const auto planned = limits.planned.find(&worker);
  const uint32_t count =
      worker.CountOf(place) +
      (planned == limits.planned.end() ? 0 : planned->second);
  return count < step.max_per_worker();
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

auto Cost(WorkerView& worker,
          const TaskPlace& place,
          const ImageInterference& interference) -> double {
  const auto& step = place.spec();
  double cost = kFailureCost * worker.failures_in_row;
  if (!step.data_rack().empty() && step.data_rack() != worker.rack) {
    cost += kOtherRackCost;
  }
  if (step.long_running()) {
    return cost + ImageCost(worker, step) +
           kSameStepCost * worker.CountOf(place) - UsedShare(worker);
  }
  if (step.uses_spare_processors()) {
    const double speed = FillerSpeed(worker, place, interference);
    if (speed < kLeastFillerSpeed) {
      return std::numeric_limits<double>::infinity();
    }
    return cost - kSpeedWeight * speed + UsedShare(worker);
  }
  // Best fit: keeps large holes for large tasks.
  return cost - UsedShare(worker);
}

}  // namespace

auto ChoosePlace(TimePoint now,
                 const WorkerViews& workers,
                 const TaskPlace& place,
                 const ImageInterference& interference,
                 const PlaceLimits& limits) -> WorkerView* {
  WorkerView* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const auto& [name, worker] : workers) {
    if (!MayRun(now, *worker, place, limits)) {
      continue;
    }
    const double cost = Cost(*worker, place, interference);
    if (cost < best_cost) {
      best_cost = cost;
      best = worker.get();
    }
  }
  return best;
}

}  // namespace rhubarbhaven::jobs

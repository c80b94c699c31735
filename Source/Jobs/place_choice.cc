#include "Jobs/place_choice.h"

#include <algorithm>
#include <limits>

namespace rhubarbhaven::jobs {
namespace {

// Costs beside the fit, which is 0 to 2. Another rack than that of the input
// makes a task a half or more slower, which outweighs any fit.
constexpr double kOtherRackCost = 4.0;
// For each task of the same lasting step on the worker, so that the loss of
// one worker takes few of them.
constexpr double kSameStepCost = 3.0;
// For a run on spare processors beside one that serves; less than a worker that
// is full, so that such runs go there before they crowd elsewhere.
constexpr double kBesideServingCost = 0.5;
// A worker that failed its latest runs is taken last.
constexpr double kFailureCost = 2.0;
// Share of what other runs hold that they are taken to use. Tasks that serve
// are sized for their peaks and use about half; runs on spare processors get
// what is left.
constexpr double kUsedOfHeld = 0.5;

auto FitsSpare(const WorkerView& worker, const JobStep& step) -> bool {
  const auto free = worker.Free();
  const auto limit =
      worker.capacity.millicores -
      static_cast<int64_t>(static_cast<double>(worker.held.millicores) *
                           kUsedOfHeld);
  return step.need().memory_mb() <=
             static_cast<uint64_t>(std::max<int64_t>(0, free.memory_mb)) &&
         worker.spare_millicores_used + step.need().millicores() <= limit;
}

auto Fits(const WorkerView& worker, const JobStep& step) -> bool {
  if (step.uses_spare_processors()) {
    return FitsSpare(worker, step);
  }
  return worker.Free().Holds(RoomOf(step.need()));
}

auto MayRun(TimePoint now, const WorkerView& worker, const TaskPlace& place)
    -> bool {
  const auto& step = place.spec();
  if (!worker.Accepts(now) || worker.service != place.work->rules.service()) {
    return false;
  }
  if (!step.required_label().empty() &&
      !worker.HasLabel(step.required_label())) {
    return false;
  }
  if (!Fits(worker, step)) {
    return false;
  }
  return step.max_per_worker() == 0 ||
         worker.CountOf(place) < step.max_per_worker();
}

auto UsedShare(const WorkerView& worker) -> double {
  if (worker.capacity.millicores <= 0) {
    return 1.0;
  }
  const auto used = worker.held.millicores + worker.spare_millicores_used;
  return static_cast<double>(used) /
         static_cast<double>(worker.capacity.millicores);
}

auto Cost(const WorkerView& worker, const TaskPlace& place) -> double {
  const auto& step = place.spec();
  double cost = kFailureCost * worker.failures_in_row;
  if (!step.data_rack().empty() && step.data_rack() != worker.rack) {
    cost += kOtherRackCost;
  }
  if (step.long_running()) {
    // The tasks of one step on many workers, but those of all steps on few:
    // the other workers are left to runs that would disturb them.
    return cost + kSameStepCost * worker.CountOf(place) - UsedShare(worker);
  }
  if (step.uses_spare_processors()) {
    // Where most processors are unused it is fastest, and where nothing serves
    // it disturbs nobody and is never slowed.
    const double serves = worker.serving_runs > 0 ? kBesideServingCost : 0.0;
    return cost + serves + UsedShare(worker);
  }
  // Best fit: keeps large holes for large tasks.
  return cost - UsedShare(worker);
}

}  // namespace

auto ChoosePlace(TimePoint now,
                 const WorkerViews& workers,
                 const TaskPlace& place,
                 const std::string& rack) -> WorkerView* {
  WorkerView* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const auto& [name, worker] : workers) {
    if ((!rack.empty() && worker->rack != rack) ||
        !MayRun(now, *worker, place)) {
      continue;
    }
    const double cost = Cost(*worker, place);
    if (cost < best_cost) {
      best_cost = cost;
      best = worker.get();
    }
  }
  return best;
}

}  // namespace rhubarbhaven::jobs

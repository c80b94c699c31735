#include <algorithm>
#include <utility>

#include "Jobs/job_owner.h"

// The order of jobs when there is too little room for all, and the processors
// that they get.
namespace rhubarbhaven::jobs {
namespace {

constexpr double kMillicoresPerCore = 1000.0;
// Share of the processors held by other runs that opportunistic tasks cannot
// use; serving tasks are sized for their peaks and use about half.
constexpr double kUsedShareOfHeld = 0.5;

// Speed of the task's run on the worker; full while it is not known.
auto SpeedOn(const WorkerView& worker, const TaskPlace& place) -> double {
  for (const auto& run : place.task().runs) {
    if (run.worker == &worker) {
      return std::min(1.0, run.speed.value_or(1.0));
    }
  }
  return 0.0;
}

// Adds what the worker gives to tasks that end, at work or waiting.
auto AddRates(const WorkerView& worker, CellRates* millicores) -> void {
  for (const auto& [number, place] : worker.runs) {
    const auto& step = place.spec();
    if (step.uses_spare_processors()) {
      millicores->opportunistic_cores +=
          step.need().millicores() * SpeedOn(worker, place);
    } else if (!step.long_running()) {
      millicores->reserved_cores += step.need().millicores();
    }
  }
  const auto free = static_cast<double>(worker.Free().millicores);
  millicores->reserved_cores += std::max(0.0, free);
  if (worker.serving.empty()) {
    const double unused =
        static_cast<double>(worker.capacity.millicores) -
        kUsedShareOfHeld * static_cast<double>(worker.held.millicores) -
        static_cast<double>(worker.spare_millicores_used);
    millicores->opportunistic_cores += std::max(0.0, unused);
  }
}

}  // namespace

auto JobOwner::MeasureRates(TimePoint now) const -> CellRates {
  CellRates rates;
  for (const auto& [name, worker] : workers_) {
    if (worker->Accepts(now)) {
      AddRates(*worker, &rates);
    }
  }
  rates.reserved_cores /= kMillicoresPerCore;
  rates.opportunistic_cores /= kMillicoresPerCore;
  return rates;
}

auto JobOwner::CheckOverload(TimePoint now) -> void {
  const auto wall = hooks_.wall_clock();
  if (order_.steps().empty()) {
    EndOverload();
  }
  if (!order_.IsOverloadCheckDue(wall)) {
    return;
  }
  const auto state =
      order_.CheckOverload(wall, MeasureRates(now),
                           [this](JobWork& work, JobOutlook outlook) -> void {
                             ApplyOutlook(work, outlook);
                           });
  overload_reported_ = true;
  hooks_.report_overload(state);
}

auto JobOwner::EndOverload() -> void {
  if (std::exchange(overload_reported_, false)) {
    hooks_.report_overload(OverloadState());
  }
}

}  // namespace rhubarbhaven::jobs

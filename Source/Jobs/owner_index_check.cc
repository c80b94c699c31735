#include <absl/strings/str_cat.h>

#include <algorithm>

#include "Jobs/job_owner.h"

// Whether the indexes of an owner say what a look at everything would find.
namespace rhubarbhaven::jobs {
namespace {

auto CountWaiting(const StepWork& step) -> uint32_t {
  return static_cast<uint32_t>(
      std::count_if(step.tasks().begin(), step.tasks().end(),
                    [](const TaskWork& task) -> bool {
                      return !task.done && task.runs.empty();
                    }));
}

auto Describe(const TaskPlace& place) -> std::string {
  return DescribeTask(place.Name());
}

auto StandsInLine(const PlacementOrder& order, const TaskPlace& place) -> bool {
  return std::any_of(
      order.steps().begin(), order.steps().end(),
      [&place](const PlacementOrder::WaitingStep& waiting) -> bool {
        return waiting.place.work == place.work &&
               waiting.place.occurrence == place.occurrence &&
               waiting.place.step == place.step;
      });
}

// A worker that has refused the step and would take it now, although nothing
// has been noted of it since.
auto TakerOf(TimePoint now,
             const WorkerViews& workers,
             const TaskPlace& place,
             const ImageInterference& interference,
             const PlaceLimits& limits,
             uint64_t refused_at) -> const WorkerView* {
  for (const auto& [name, worker] : workers) {
    // What a filler's pressure on other workers teaches is taken in with the
    // worker's next report.
    const bool learns = place.spec().uses_spare_processors() &&
                        !worker->serving.empty() && !limits.any_speed;
    const bool refused = !learns && worker->changed_at <= refused_at;
    if (refused && CostOf(now, *worker, place, interference, limits)) {
      return worker.get();
    }
  }
  return nullptr;
}

}  // namespace

auto JobOwner::FalseIndexes(TimePoint now) const -> std::vector<std::string> {
  std::vector<std::string> problems;
  // Between two turns of placement only; within one they are being kept up.
  if (!active() || place_due_ || retry_at_ <= now) {
    return problems;
  }
  for (const auto& [id, work] : jobs_) {
    for (auto& [number, occurrence] : work->occurrences) {
      for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        CheckStep(now, {work.get(), number, step, 0}, &problems);
      }
    }
  }
  for (const auto& [name, worker] : workers_) {
    CheckWorker(*worker, &problems);
  }
  return problems;
}

auto JobOwner::CheckStep(TimePoint now,
                         const TaskPlace& place,
                         std::vector<std::string>* problems) const -> void {
  const auto& state = place.step_work();
  if (state.waiting() != CountWaiting(state)) {
    problems->push_back(
        absl::StrCat(Describe(place), " counts ", state.waiting()));
  }
  const auto& occurrence = place.work->occurrences.at(place.occurrence);
  const bool placeable = place.work->open() && state.waiting() > 0 &&
                         place.work->Ready(occurrence, place.step);
  if (!placeable) {
    return;
  }
  if (!StandsInLine(order_, place)) {
    problems->push_back(absl::StrCat(Describe(place), " is not in line"));
  }
  // A gang is refused as a whole, so a worker may take one of its members.
  PlaceLimits limits;
  limits.any_speed = MayFillAnyway(place);
  const auto* taker = place.spec().gang()
                          ? nullptr
                          : TakerOf(now, workers_, place, interference_, limits,
                                    RefusedAt(place.step_work(), limits));
  if (taker != nullptr) {
    problems->push_back(absl::StrCat(Describe(place), " is refused by ",
                                     taker->agent, ", which takes it"));
  }
}

auto JobOwner::CheckWorker(const WorkerView& worker,
                           std::vector<std::string>* problems) const -> void {
  if (worker.confirmed == unconfirmed_.contains(worker.agent)) {
    problems->push_back(absl::StrCat(worker.agent, " is on the wrong list"));
  }
  const bool leased = worker.confirmed || !worker.runs.empty();
  if (leased && leases_.next() > worker.lease_bound) {
    problems->push_back(
        absl::StrCat(worker.agent, " has a lease without a timer"));
  }
  for (const uint64_t number : worker.suspects) {
    if (!worker.runs.contains(number)) {
      problems->push_back(
          absl::StrCat(worker.agent, " lists a suspect that is gone"));
    }
  }
  if (polls_.next() > NextPoll(worker) && !worker.poll_due) {
    problems->push_back(absl::StrCat(worker.agent, " has no poll to come"));
  }
}

}  // namespace rhubarbhaven::jobs

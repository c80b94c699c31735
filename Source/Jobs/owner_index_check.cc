#include <absl/strings/str_cat.h>

#include <algorithm>

#include "Jobs/job_owner.h"

// Checks the indexes of an owner against a full scan.
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

auto IsQueued(const PlacementOrder& order, const TaskPlace& place) -> bool {
  return std::any_of(
      order.steps().begin(), order.steps().end(),
      [&place](const PlacementOrder::WaitingStep& waiting) -> bool {
        return waiting.place.work == place.work &&
               waiting.place.occurrence == place.occurrence &&
               waiting.place.step == place.step;
      });
}

// Finds a worker that has rejected the step and would accept it now, although
// no change of it has been recorded since.
auto FindWrongRejection(TimePoint now,
                        const WorkerViews& workers,
                        const TaskPlace& place,
                        const ImageInterference& interference,
                        const PlaceLimits& limits,
                        uint64_t rejected_mark) -> const WorkerView* {
  for (const auto& [name, worker] : workers) {
    // Interference learned on other workers is applied with the worker's next
    // report.
    const bool learns = place.spec().uses_spare_processors() &&
                        !worker->serving.empty() && !limits.any_speed;
    const bool rejected = !learns && worker->change_mark <= rejected_mark;
    if (rejected && CostOf(now, *worker, place, interference, limits)) {
      return worker.get();
    }
  }
  return nullptr;
}

}  // namespace

auto JobOwner::FindIndexErrors(TimePoint now) const
    -> std::vector<std::string> {
  std::vector<std::string> problems;
  // Only valid between placement rounds; the indexes are being updated within
  // one.
  if (!active() || placement_due_ || retry_at_ <= now) {
    return problems;
  }
  for (const auto& [id, work] : jobs_) {
    for (auto& [number, occurrence] : work->occurrences) {
      for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        CheckStep(now, {work.get(), number, step, 0}, &problems);
      }
    }
  }
  std::size_t unsent = 0;
  for (const auto& [name, worker] : workers_) {
    CheckWorker(*worker, &problems);
    unsent += worker->unsent_start_bytes;
  }
  if (unsent != unsent_start_bytes_) {
    problems.push_back(absl::StrCat(
        unsent_start_bytes_, " bytes of starts count as unsent, not ", unsent));
  }
  for (const auto& [number, worker] : waiting_for_room_) {
    const auto found = std::find_if(workers_.begin(), workers_.end(),
                                    [view = worker](const auto& item) -> bool {
                                      return item.second.get() == view;
                                    });
    if (found == workers_.end() || worker->waits_for_room != number) {
      problems.push_back(
          absl::StrCat("order ", number, " waits for the window by mistake"));
    }
  }
  return problems;
}

auto JobOwner::CheckStep(TimePoint now,
                         const TaskPlace& place,
                         std::vector<std::string>* problems) const -> void {
  const auto& state = place.step_work();
  if (state.waiting() != CountWaiting(state)) {
    problems->push_back(absl::StrCat(
        Describe(place),
        " has the wrong count of waiting tasks: ", state.waiting()));
  }
  const auto& occurrence = place.work->occurrences.at(place.occurrence);
  const bool placeable = place.work->open() && state.waiting() > 0 &&
                         place.work->Ready(occurrence, place.step);
  if (!placeable) {
    return;
  }
  if (!IsQueued(order_, place)) {
    problems->push_back(
        absl::StrCat(Describe(place), " is not in the placement order"));
  }
  // A gang is rejected as a whole, so a worker may accept one of its members.
  PlaceLimits limits;
  limits.any_speed = MayIgnoreInterference(place);
  const auto* acceptor =
      place.spec().gang()
          ? nullptr
          : FindWrongRejection(now, workers_, place, interference_, limits,
                               RejectedMark(place.step_work(), limits));
  if (acceptor != nullptr) {
    problems->push_back(
        absl::StrCat(Describe(place), " is recorded as rejected by ",
                     acceptor->agent, ", which would accept it"));
  }
}

auto JobOwner::CheckWorker(const WorkerView& worker,
                           std::vector<std::string>* problems) const -> void {
  if (worker.confirmed == unconfirmed_.contains(worker.agent)) {
    problems->push_back(absl::StrCat(
        worker.agent, " is confirmed and unconfirmed, or neither"));
  }
  const bool leased = worker.confirmed || !worker.runs.empty();
  if (leased && leases_.next() > worker.lease_bound) {
    problems->push_back(
        absl::StrCat(worker.agent, " has a lease without a timer"));
  }
  for (const uint64_t number : worker.suspects) {
    if (!worker.runs.contains(number)) {
      problems->push_back(absl::StrCat(
          worker.agent, " lists a suspected run that does not exist"));
    }
  }
  if (polls_.next() > worker.poll_at && !worker.poll_due) {
    problems->push_back(absl::StrCat(worker.agent, " has no poll scheduled"));
  }
}

}  // namespace rhubarbhaven::jobs

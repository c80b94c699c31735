#include <algorithm>
#include <set>
#include <vector>

#include "Jobs/job_owner.h"

// Placement of gangs: all members, or none.
namespace rhubarbhaven::jobs {
namespace {

// Until when at least one member waits for a worker without suspected tasks.
auto GangIsolationEnd(TaskPlace place) -> TimePoint {
  TimePoint until;
  for (place.index = 0; place.index < place.spec().count(); ++place.index) {
    until = std::max(until, IsolationEnd(place));
  }
  return until;
}

}  // namespace

auto JobOwner::PlaceGang(TimePoint now,
                         const PlacementOrder::WaitingStep& waiting) -> void {
  TaskPlace place = waiting.place;
  const auto count = waiting.spec->count();
  for (place.index = 0; place.index < count; ++place.index) {
    if (!MayStart(now, place)) {
      return;
    }
  }
  const auto tickets = TicketsFor(now, place);
  PlaceLimits limits;
  limits.any_speed = MayIgnoreInterference(waiting.place);
  if (!tickets && !MayFitGang(now, waiting, limits)) {
    LogWaiting(now, waiting.place, limits);
    return;
  }
  limits.tickets = tickets ? &*tickets : nullptr;
  std::set<std::string> racks = {""};
  if (place.spec().colocated()) {
    for (const auto& [name, worker] : workers_) {
      racks.insert(worker->rack);
    }
  }
  std::vector<WorkerView*> best;
  // The empty name, which means any rack, is tried last.
  for (auto rack = racks.rbegin(); rack != racks.rend() && best.empty();
       ++rack) {
    PlaceLimits in_rack = limits;
    in_rack.rack = *rack;
    best = PlacesOfGang(now, place, in_rack);
  }
  if (best.empty()) {
    // The end of the wait for workers without suspected tasks changes no
    // worker's mark.
    const TimePoint isolation_end = GangIsolationEnd(place);
    const bool ask_all_again = tickets || now < isolation_end;
    RejectedMark(*waiting.state, limits) = ask_all_again ? 0 : changes_.mark();
    if (now < isolation_end) {
      retry_at_ = std::min(retry_at_, isolation_end);
    }
    place.index = 0;
    RequestTickets(now, place);
    LogWaiting(now, place, limits);
    return;
  }
  const uint64_t run = NewRun();
  for (place.index = 0; place.index < best.size(); ++place.index) {
    WorkerView& worker = *best[place.index];
    Start(now, place, worker, run,
          tickets ? tickets->at(worker.worker_id) : "");
  }
}

auto JobOwner::MayFitGang(TimePoint now,
                          const PlacementOrder::WaitingStep& waiting,
                          const PlaceLimits& limits) -> bool {
  auto& rejected_mark = RejectedMark(*waiting.state, limits);
  if (rejected_mark == 0) {
    return true;
  }
  const bool fits =
      ChoosePlace(now, changes_.Since(rejected_mark), waiting.place,
                  interference_, limits) != nullptr;
  if (!fits) {
    rejected_mark = changes_.mark();
  }
  return fits;
}

auto JobOwner::PlacesOfGang(TimePoint now, TaskPlace place, PlaceLimits& limits)
    -> std::vector<WorkerView*> {
  const auto count = place.spec().count();
  std::vector<WorkerView*> places;
  for (place.index = 0; place.index < count; ++place.index) {
    WorkerView* worker =
        ChoosePlace(now, changes_.Since(0), place, interference_, limits);
    if (worker == nullptr) {
      break;
    }
    worker->Hold(place.spec(), 0);
    ++limits.planned[worker];
    places.push_back(worker);
  }
  for (WorkerView* worker : places) {
    worker->Release(place.spec(), 0);
  }
  if (places.size() < count) {
    places.clear();
  }
  return places;
}

}  // namespace rhubarbhaven::jobs

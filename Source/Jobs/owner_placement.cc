#include <algorithm>
#include <set>
#include <utility>

#include "Jobs/job_owner.h"

// Where tasks start, and what agents are told.
namespace rhubarbhaven::jobs {
namespace {

// Tasks wait for a second or two whenever the cell is busy. A task that lasts
// must be back 6 s after its worker is lost.
constexpr std::chrono::milliseconds kTellWaitingAfter{3000};
// A step that waits on costs one line in this time.
constexpr std::chrono::milliseconds kTellWaitingAgain{5000};
// Starts in one turn. Reports that wait meanwhile may renew leases.
constexpr int kMostStartsAtOnce = 100;
constexpr std::chrono::seconds kTellLag{1};
// A task that waits for a worker without suspects is looked at again.
constexpr std::chrono::milliseconds kTryApartAgain{200};

// Gives an order for the first time, or again.
auto AddOrder(PendingOrder& order, TimePoint now, AgentOrders* orders) -> void {
  if (order.start) {
    auto* start = orders->add_starts();
    *start = *order.start;
    start->set_repeated(order.sent);
  } else {
    *orders->add_stops() = *order.stop;
  }
  order.sent = true;
  order.sent_at = now;
}

}  // namespace

auto JobOwner::PlaceAll(TimePoint now) -> void {
  order_.Update(hooks_.wall_clock(),
                [this](JobWork& work, JobOutlook outlook) -> void {
                  NoteOutlook(work, outlook);
                });
  starts_left_ = kMostStartsAtOnce;
  for (const auto& step : order_.steps()) {
    if (step.spec->gang()) {
      PlaceGang(now, step);
    } else {
      PlaceStep(now, step);
    }
    if (starts_left_ <= 0) {
      place_due_ = true;
      return;
    }
  }
}

auto JobOwner::NoteOutlook(JobWork& work, JobOutlook outlook) -> void {
  work.outlook = outlook;
  for (auto& [number, occurrence] : work.occurrences) {
    for (auto& step : occurrence.steps) {
      for (auto& task : step.tasks()) {
        for (auto& run : task.runs) {
          // Its agent is told anew in what order to slow its runs.
          ++run.worker->pacing_version;
        }
      }
    }
  }
}

auto JobOwner::MayStart(TimePoint now, const TaskPlace& place) -> bool {
  const auto& task = place.task();
  if (task.done || task.uncertain || !task.runs.empty()) {
    return false;
  }
  if (now < task.not_before) {
    retry_at_ = std::min(retry_at_, task.not_before);
    return false;
  }
  return true;
}

auto JobOwner::PlaceStep(TimePoint now,
                         const PlacementOrder::WaitingStep& waiting) -> void {
  auto& step = *waiting.state;
  TaskPlace place = waiting.place;
  const auto count = waiting.spec->count();
  const auto tickets = TicketsFor(now, place);
  PlaceLimits limits;
  limits.tickets = tickets ? &*tickets : nullptr;
  for (place.index = step.first_waiting();
       step.waiting() > 0 && starts_left_ > 0 && place.index < count;
       ++place.index) {
    if (!MayStart(now, place)) {
      continue;
    }
    WorkerView* worker = ChoosePlace(now, changes_.Since(step.refused_at),
                                     place, interference_, limits);
    if (worker == nullptr && place.crashes().on_last_try()) {
      // It alone may be refused for what could crash its worker, and only for a
      // while.
      NoteWaiting(now, place, limits);
      retry_at_ = std::min(retry_at_, now + kTryApartAgain);
      continue;
    }
    if (worker == nullptr) {
      // New tickets change what the same workers answer.
      step.refused_at = tickets ? 0 : changes_.mark();
      NoteWaiting(now, place, limits);
      return;
    }
    Start(now, place, *worker, NewRun(),
          tickets ? tickets->at(worker->worker_id) : "");
  }
}

auto JobOwner::NoteWaiting(TimePoint now,
                           const TaskPlace& place,
                           const PlaceLimits& limits) -> void {
  const auto waited = now - place.task().waiting_since;
  auto& told_at = place.step_work().told_waiting_at;
  if (waited < kTellWaitingAfter || now - told_at < kTellWaitingAgain) {
    return;
  }
  told_at = now;
  Log("waits", place, 0, nullptr,
      DescribeRefusals(now, workers_, place, limits));
}

auto JobOwner::TicketsFor(TimePoint now, const TaskPlace& place)
    -> std::optional<StepTickets> {
  if (!place.work->rules.needs_ticket()) {
    return std::nullopt;
  }
  std::vector<std::string> ids;
  for (const auto& [name, worker] : workers_) {
    if (worker->Accepts(now) &&
        worker->service == place.work->rules.service()) {
      ids.push_back(worker->worker_id);
    }
  }
  StepTickets tickets;
  for (const auto& id : ids) {
    auto ticket = tickets_.Find(now, place.Name(), id, ids);
    if (ticket) {
      tickets[id] = *std::move(ticket);
    }
  }
  return tickets;
}

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
  if (!tickets && !MayFitGang(now, waiting)) {
    NoteWaiting(now, waiting.place, {});
    return;
  }
  std::set<std::string> racks = {""};
  if (place.spec().colocated()) {
    for (const auto& [name, worker] : workers_) {
      racks.insert(worker->rack);
    }
  }
  std::vector<WorkerView*> best;
  // The empty name, any rack, is tried last.
  for (auto rack = racks.rbegin(); rack != racks.rend() && best.empty();
       ++rack) {
    PlaceLimits limits;
    limits.tickets = tickets ? &*tickets : nullptr;
    limits.rack = *rack;
    best = PlacesOfGang(now, place, limits);
  }
  if (best.empty()) {
    waiting.state->refused_at = tickets ? 0 : changes_.mark();
    place.index = 0;
    PlaceLimits limits;
    limits.tickets = tickets ? &*tickets : nullptr;
    NoteWaiting(now, place, limits);
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
                          const PlacementOrder::WaitingStep& waiting) -> bool {
  auto& refused_at = waiting.state->refused_at;
  if (refused_at == 0) {
    return true;
  }
  const bool fits = ChoosePlace(now, changes_.Since(refused_at), waiting.place,
                                interference_) != nullptr;
  if (!fits) {
    refused_at = changes_.mark();
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

auto JobOwner::Start(TimePoint now,
                     const TaskPlace& place,
                     WorkerView& worker,
                     uint64_t run,
                     const std::string& ticket) -> void {
  auto& task = place.task();
  RunWork work;
  work.worker = &worker;
  work.run = run;
  work.ordered_at = now;
  work.progress_at = now;
  work.seen_at = now;
  --starts_left_;
  place.step_work().AddRun(place.index, work);
  if (place.step_work().waiting() == 0) {
    order_.Touch(*place.work);
  }
  worker.Hold(place.spec(), run);
  // Members of a gang share their run's number; the order tells them apart.
  const uint64_t number = next_order_++;
  AddRunTo(worker, number, place);
  StartOrder order;
  order.set_order(number);
  *order.mutable_task() = place.Name();
  order.set_run(run);
  order.set_payload(place.work->job().payload());
  order.set_checkpoint(task.checkpoint);
  order.set_worker_id(worker.worker_id);
  order.set_ticket(ticket);
  worker.orders[number] = {std::move(order), std::nullopt, now, false};
  if (place.spec().target_latency_ms() > 0 ||
      place.spec().uses_spare_processors()) {
    ++worker.pacing_version;
  }
  PollSoon(worker);
  Log("place", place, run, &worker, "");
}

auto JobOwner::AddRunTo(WorkerView& worker,
                        uint64_t number,
                        const TaskPlace& place) -> void {
  worker.runs[number] = place;
  if (place.crashes().suspected()) {
    worker.suspects.insert(number);
  }
}

auto JobOwner::StopRun(const TaskPlace& place,
                       RunWork& run,
                       const std::string& why) -> void {
  if (run.phase == RunPhase::kStopping) {
    return;
  }
  run.phase = RunPhase::kStopping;
  WorkerView& worker = *run.worker;
  StopOrder order;
  order.set_order(next_order_++);
  *order.mutable_task() = place.Name();
  order.set_run(run.run);
  order.set_worker_id(worker.worker_id);
  const uint64_t number = order.order();
  worker.orders[number] = {std::nullopt, std::move(order), TimePoint(), false};
  PollSoon(worker);
  Log("stop", place, run.run, &worker, why);
}

auto JobOwner::StopOrphan(WorkerView& worker, const RunningTask& row) -> void {
  StopOrder order;
  order.set_order(next_order_++);
  *order.mutable_task() = row.task();
  order.set_run(row.run());
  order.set_worker_id(worker.worker_id);
  const uint64_t number = order.order();
  worker.orders[number] = {std::nullopt, std::move(order), TimePoint(), false};
  PollSoon(worker);
  hooks_.log({"stop", row.task(), row.run(), worker.agent,
              "no open job has this run"});
}

auto JobOwner::PollAll(TimePoint now) -> void {
  while (const auto number = polls_.PopDue(now)) {
    WorkerView& worker = *numbered_.at(*number);
    if (worker.polled_at >= begun_at_) {
      longest_lag_ = std::max(longest_lag_, now - NextPoll(worker));
    }
    Poll(now, worker);
  }
  NoteLag(now);
}

auto JobOwner::NoteLag(TimePoint now) -> void {
  if (now - lag_told_at_ >= kTellLag) {
    lag_told_at_ = now;
    hooks_.note_lag(std::exchange(longest_lag_, Duration(0)));
  }
}

auto JobOwner::PollSoon(WorkerView& worker) -> void {
  if (!worker.poll_due) {
    worker.poll_due = true;
    polls_.Set(worker.number, TimePoint());
  }
}

auto JobOwner::NextPoll(const WorkerView& worker) const -> TimePoint {
  const bool first = !worker.confirmed &&
                     worker.polled_at < begun_at_ + options_.first_polls_for;
  return worker.polled_at +
         (first ? FirstPollInterval() : options_.poll_interval);
}

auto JobOwner::FirstPollInterval() const -> std::chrono::milliseconds {
  const auto waiting = static_cast<int64_t>(unconfirmed_.size());
  return std::clamp(options_.between_first_polls * waiting,
                    options_.first_polls, options_.poll_interval);
}

auto JobOwner::Poll(TimePoint now, WorkerView& worker) -> void {
  worker.poll_due = false;
  worker.polled_at = now;
  polls_.Set(worker.number, NextPoll(worker));
  AgentOrders orders;
  orders.set_fence(fence_);
  orders.set_owner_incarnation(options_.incarnation);
  if (worker.reported_us > 0 && worker.grants_noted) {
    orders.set_granted_from_us(worker.reported_us);
    orders.set_granted_to_incarnation(worker.agent_incarnation);
    orders.set_lease_ttl_ms(static_cast<uint64_t>(options_.lease_ttl.count()));
    worker.lease_bound =
        std::max(worker.lease_bound, LeaseBound(worker.reported_at));
  }
  orders.set_evacuated(worker.evacuated);
  orders.set_worker_id(worker.worker_id);
  orders.set_ends_logged(worker.ends_logged);
  orders.set_results_seen(worker.results_seen);
  orders.set_crashes_logged(worker.crashes_logged);
  orders.set_crashes_of_incarnation(worker.crashes_of_incarnation);
  orders.set_pacing_version(worker.pacing_version);
  if (worker.agent_pacing_version != worker.pacing_version) {
    AddPacedRuns(worker, &orders);
  }
  if (now - worker.pressures_told_at >= options_.tell_pressures) {
    worker.pressures_told_at = now;
    AddPressures(worker, &orders);
  }
  for (auto& [number, order] : worker.orders) {
    if (!order.sent || now - order.sent_at >= options_.repeat_after) {
      AddOrder(order, now, &orders);
    }
  }
  hooks_.send(worker.registration.link_endpoint(), std::move(orders));
}

auto JobOwner::AddPressures(const WorkerView& worker, AgentOrders* orders) const
    -> void {
  std::set<std::string> serving;
  std::set<std::string> fillers;
  for (const auto& [number, place] : worker.runs) {
    const auto& step = place.spec();
    if (step.target_latency_ms() > 0) {
      serving.insert(step.image());
    } else if (step.uses_spare_processors()) {
      fillers.insert(step.image());
    }
  }
  for (const auto& served : serving) {
    for (const auto& filler : fillers) {
      auto* pressure = orders->add_pressures();
      pressure->set_serving_image(served);
      pressure->set_filler_image(filler);
      pressure->set_pressure(interference_.Pressure(served, filler));
    }
  }
}

auto JobOwner::AddPacedRuns(const WorkerView& worker, AgentOrders* orders) const
    -> void {
  for (const auto& [number, place] : worker.runs) {
    const auto& step = place.spec();
    if (step.target_latency_ms() == 0 && !step.uses_spare_processors()) {
      continue;
    }
    for (const auto& run : place.task().runs) {
      if (run.worker == &worker) {
        auto* paced = orders->add_paced_runs();
        *paced->mutable_task() = place.Name();
        paced->set_run(run.run);
        paced->set_target_latency_ms(step.target_latency_ms());
        paced->set_uses_spare_processors(step.uses_spare_processors());
        paced->set_image(step.image());
        paced->set_millicores(step.need().millicores());
        paced->set_rank(static_cast<uint32_t>(place.work->outlook));
      }
    }
  }
}

}  // namespace rhubarbhaven::jobs

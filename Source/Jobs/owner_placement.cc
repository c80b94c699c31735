#include <algorithm>
#include <set>
#include <utility>

#include "Jobs/job_owner.h"

// Where tasks start.
namespace rhubarbhaven::jobs {
namespace {

// Tasks wait for a second or two whenever the cell is busy. A task that lasts
// must be back 6 s after its worker is lost.
constexpr std::chrono::milliseconds kTellWaitingAfter{3000};
// A step that waits on costs one line in this time.
constexpr std::chrono::milliseconds kTellWaitingAgain{5000};
// Starts in one turn. Reports that wait meanwhile may renew leases.
constexpr int kMostStartsAtOnce = 100;
// A task that waits for a worker without suspects is looked at again.
constexpr std::chrono::milliseconds kTryApartAgain{200};

}  // namespace

auto JobOwner::UpdateOrder() -> void {
  order_.Update(hooks_.wall_clock(),
                [this](JobWork& work, JobOutlook outlook) -> void {
                  NoteOutlook(work, outlook);
                });
}

auto JobOwner::PlaceAll(TimePoint now) -> void {
  UpdateOrder();
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

auto JobOwner::MayFillAnyway(const TaskPlace& place) -> bool {
  const auto& work = *place.work;
  return place.spec().uses_spare_processors() && work.standing.fills_anyway &&
         work.NothingRuns();
}

auto JobOwner::RefusedAt(StepWork& step, const PlaceLimits& limits)
    -> uint64_t& {
  return limits.any_speed ? step.refused_at_any_speed : step.refused_at;
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
    limits.any_speed = MayFillAnyway(place);
    WorkerView* worker =
        ChoosePlace(now, changes_.Since(RefusedAt(step, limits)), place,
                    interference_, limits);
    if (worker == nullptr && place.crashes().on_last_try()) {
      // It alone may be refused for what could crash its worker, and only for a
      // while.
      NoteWaiting(now, place, limits);
      retry_at_ = std::min(retry_at_, now + kTryApartAgain);
      continue;
    }
    if (worker == nullptr) {
      // New tickets change what the same workers answer.
      RefusedAt(step, limits) = tickets ? 0 : changes_.mark();
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
      DescribeRefusals(now, workers_, place, interference_, limits));
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
  if (OrderStop(place, run)) {
    Log("stop", place, run.run, run.worker, why);
  }
}

auto JobOwner::OrderStop(const TaskPlace& place, RunWork& run) -> bool {
  if (run.phase == RunPhase::kStopping) {
    return false;
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
  return true;
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

}  // namespace rhubarbhaven::jobs

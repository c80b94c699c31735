#include <algorithm>
#include <set>
#include <utility>

#include "Jobs/job_owner.h"

// Placement of tasks.
namespace rhubarbhaven::jobs {
namespace {

// Tasks wait for a second or two whenever the cell is busy. A long-running task
// must run again 6 s after its worker is lost.
constexpr std::chrono::milliseconds kWaitingLogDelay{3000};
// Minimum time between log lines about one waiting step.
constexpr std::chrono::milliseconds kWaitingLogInterval{5000};
// Limits the starts in one round. Reports that wait meanwhile may renew leases.
constexpr int kMaxStartsPerRound = 100;
// Interval at which a task that waits for a worker without suspected tasks is
// tried again.
constexpr std::chrono::milliseconds kIsolationRetryInterval{200};

}  // namespace

auto JobOwner::UpdateOrder() -> void {
  order_.Update(hooks_.wall_clock(),
                [this](JobWork& work, JobOutlook outlook) -> void {
                  ApplyOutlook(work, outlook);
                });
}

auto JobOwner::PlaceAll(TimePoint now) -> void {
  UpdateOrder();
  CheckOverload(now);
  starts_left_ = kMaxStartsPerRound;
  start_bytes_left_ = StartBytesLeft();
  placement_held_ = start_bytes_left_ == 0;
  if (placement_held_) {
    return;
  }
  for (const auto& step : order_.steps()) {
    if (step.spec->gang()) {
      PlaceGang(now, step);
    } else {
      PlaceStep(now, step);
    }
    if (starts_left_ <= 0) {
      placement_held_ = start_bytes_left_ == 0;
      placement_due_ = !placement_held_;
      return;
    }
  }
}

auto JobOwner::ApplyOutlook(JobWork& work, JobOutlook outlook) -> void {
  work.outlook = outlook;
  for (auto& [number, occurrence] : work.occurrences) {
    for (auto& step : occurrence.steps) {
      for (auto& task : step.tasks()) {
        for (auto& run : task.runs) {
          // Makes its agent receive the new order in which to slow its runs.
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

auto JobOwner::MayIgnoreInterference(const TaskPlace& place) -> bool {
  const auto& work = *place.work;
  return place.spec().uses_spare_processors() &&
         work.starved.ignore_interference && work.NothingRuns();
}

auto JobOwner::RejectedMark(StepWork& step, const PlaceLimits& limits)
    -> uint64_t& {
  return limits.any_speed ? step.rejected_mark_any_speed : step.rejected_mark;
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
    limits.any_speed = MayIgnoreInterference(place);
    held_places_.Release(place);
    WorkerView* worker =
        ChoosePlace(now, changes_.Since(RejectedMark(step, limits)), place,
                    interference_, limits);
    if (worker == nullptr && place.crashes().on_last_attempt()) {
      // Only this task may be rejected because of suspected tasks, and only for
      // a while.
      RequestTickets(now, place);
      LogWaiting(now, place, limits);
      retry_at_ = std::min(retry_at_, now + kIsolationRetryInterval);
      continue;
    }
    if (worker == nullptr) {
      RequestTickets(now, place);
      // New tickets change what the same workers accept.
      RejectedMark(step, limits) = tickets ? 0 : changes_.mark();
      LogWaiting(now, place, limits);
      return;
    }
    Start(now, place, *worker, NewRun(),
          tickets ? tickets->at(worker->worker_id) : "");
  }
}

auto JobOwner::LogWaiting(TimePoint now,
                          const TaskPlace& place,
                          const PlaceLimits& limits) -> void {
  const auto waited = now - place.task().waiting_since;
  auto& logged_at = place.step_work().waiting_logged_at;
  if (waited < kWaitingLogDelay || now - logged_at < kWaitingLogInterval) {
    return;
  }
  logged_at = now;
  Log("waits", place, 0, nullptr,
      DescribeRejections(now, workers_, place, interference_, limits));
}

auto JobOwner::TicketsFor(TimePoint now, const TaskPlace& place)
    -> std::optional<StepTickets> {
  auto tickets = TicketsHeld(now, place);
  if (tickets && tickets->empty()) {
    RequestTickets(now, place);
  }
  return tickets;
}

auto JobOwner::RequestTickets(TimePoint now, const TaskPlace& place) -> void {
  const QueueRules& rules = place.work->rules;
  if (!rules.needs_ticket() || tickets_.IsPending(place.Name())) {
    return;
  }
  TicketRequest request{place.Name(), place.work->job().queue(), {}};
  request.times = {std::chrono::milliseconds(rules.policy_call_ms()),
                   std::chrono::milliseconds(rules.policy_worker_ms()),
                   std::chrono::milliseconds(rules.ticket_valid_ms())};
  PlaceLimits limits;
  limits.any_speed = MayIgnoreInterference(place);
  std::vector<std::string> full;
  for (const auto& [name, worker] : workers_) {
    if (!worker->Accepts(now) || worker->service != rules.service()) {
      continue;
    }
    const bool has_room =
        CostOf(now, *worker, place, interference_, limits).has_value();
    (has_room ? request.workers : full).push_back(worker->worker_id);
  }
  request.with_room = request.workers.size();
  request.workers.insert(request.workers.end(), full.begin(), full.end());
  tickets_.Request(now, request);
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
  work.measured_at = now;
  work.expected_at_start = ExpectedRunTime(place.spec(), place.step_work());
  --starts_left_;
  place.step_work().AddRun(place.index, work);
  if (place.step_work().waiting() == 0) {
    order_.MarkChanged(*place.work);
  }
  worker.Hold(place.spec(), run);
  // Members of a gang share their run's number; the order number tells them
  // apart.
  const uint64_t number = next_order_++;
  AddRunTo(worker, number, place);
  StartOrder order;
  order.set_order(number);
  *order.mutable_task() = place.Name();
  order.set_run(run);
  order.set_payload(place.work->job().payload());
  order.set_payload_hash(StableHash(order.payload()));
  order.set_checkpoint(task.checkpoint);
  order.set_worker_id(worker.worker_id);
  order.set_ticket(ticket);
  worker.orders[number] = {std::move(order), std::nullopt, now, false, now};
  start_bytes_left_ -=
      std::min(start_bytes_left_, BytesOf(worker, worker.orders[number]));
  if (start_bytes_left_ == 0) {
    // What is decided later rests on newer knowledge.
    starts_left_ = 0;
  }
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

auto JobOwner::WithdrawStart(const TaskPlace& place, const RunWork& run)
    -> void {
  for (auto& [number, order] : run.worker->orders) {
    if (IsStartOf(order, place, run.run)) {
      order.withdrawn = true;
    }
  }
}

auto JobOwner::OrderStop(const TaskPlace& place, RunWork& run) -> bool {
  if (run.phase == RunPhase::kStopping) {
    return false;
  }
  run.phase = RunPhase::kStopping;
  WithdrawStart(place, run);
  WorkerView& worker = *run.worker;
  StopOrder order;
  order.set_order(next_order_++);
  *order.mutable_task() = place.Name();
  order.set_run(run.run);
  order.set_worker_id(worker.worker_id);
  const uint64_t number = order.order();
  worker.orders[number] = {std::nullopt, std::move(order), TimePoint(), false,
                           TimePoint()};
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
  worker.orders[number] = {std::nullopt, std::move(order), TimePoint(), false,
                           TimePoint()};
  PollSoon(worker);
  hooks_.log({"stop", row.task(), row.run(), worker.agent,
              "no open job has this run"});
}

}  // namespace rhubarbhaven::jobs

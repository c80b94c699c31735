#include "Jobs/task_agent.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// Pause before a call to the worker that got no answer is made again.
constexpr std::chrono::milliseconds kCallAgain{30};
// A worker's lease ends this long before the agent's own, so that a renewal
// that is a little late on its way grants nothing beyond it.
constexpr std::chrono::milliseconds kLeaseMargin{100};

auto SameTask(const TaskName& left, const TaskName& right) -> bool {
  return left.index() == right.index() && left.step() == right.step() &&
         left.occurrence() == right.occurrence() && left.job() == right.job();
}

auto Microseconds(TimePoint point) -> uint64_t {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          point.time_since_epoch())
          .count());
}

auto OutcomeName(WorkerCallOutcome outcome) -> std::string {
  switch (outcome) {
    case WorkerCallOutcome::kDone:
      return "done";
    case WorkerCallOutcome::kNoRoom:
      return "no_room";
    case WorkerCallOutcome::kRunOver:
      return "run_over";
    case WorkerCallOutcome::kLate:
      return "late";
    case WorkerCallOutcome::kFenced:
      return "fenced";
    case WorkerCallOutcome::kBadTicket:
      return "bad_ticket";
    case WorkerCallOutcome::kUnhealthy:
      return "unhealthy";
    case WorkerCallOutcome::kOtherLife:
      return "other_life";
    case WorkerCallOutcome::kRejected:
      return "rejected";
    case WorkerCallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

auto ResultOf(WorkerCallOutcome outcome) -> OrderOutcome {
  switch (outcome) {
    case WorkerCallOutcome::kNoRoom:
      return ORDER_NO_ROOM;
    case WorkerCallOutcome::kRunOver:
      return ORDER_RUN_OVER;
    case WorkerCallOutcome::kBadTicket:
      return ORDER_BAD_TICKET;
    case WorkerCallOutcome::kUnhealthy:
      return ORDER_UNHEALTHY;
    default:
      return ORDER_REFUSED;
  }
}

}  // namespace

TaskAgent::TaskAgent(TaskAgentOptions options, TaskAgentHooks hooks)
    : options_(options), hooks_(std::move(hooks)) {}

auto TaskAgent::OnOrders(TimePoint now,
                         const std::string& peer,
                         const AgentOrders& orders) -> void {
  if (orders.fence() < fence_) {
    // A replaced owner learns from the fence of the report that it is one.
    AgentReport report;
    report.set_fence(fence_);
    hooks_.report(peer, std::move(report));
    return;
  }
  if (orders.fence() > fence_ ||
      orders.owner_incarnation() != owner_incarnation_) {
    owner_incarnation_ = orders.owner_incarnation();
    AdoptFence(now, orders.fence());
  }
  owner_peer_ = peer;
  ordered_at_ = now;
  if (!LeaseHolds(now)) {
    // The owner may have given this worker's runs to others in the gap: what
    // it ordered before must not start under a later lease.
    ++lease_number_;
  }
  if (orders.granted_from_us() > 0) {
    const TimePoint from{std::chrono::microseconds(orders.granted_from_us())};
    lease_until_ = std::max(
        lease_until_, from + std::chrono::milliseconds(orders.lease_ttl_ms()));
  }
  TakeOrders(orders);
  RunOrders(now);
  ListIfDue(now);
  Report(now, /*with_running=*/true);
}

auto TaskAgent::OnHeartbeat(TimePoint now, const WorkerHeartbeat& heartbeat)
    -> bool {
  if (ended_lives_.contains(heartbeat.worker_id)) {
    return false;
  }
  if (heartbeat.worker_id == heartbeat_.worker_id) {
    if (heartbeat.sequence <= heartbeat_.sequence) {
      return true;
    }
    const bool drains = heartbeat.draining && !heartbeat_.draining;
    heartbeat_ = heartbeat;
    if (drains) {
      Report(now, /*with_running=*/true);
    }
    return true;
  }
  if (!heartbeat_.worker_id.empty()) {
    ended_lives_.insert(heartbeat_.worker_id);
  }
  heartbeat_ = heartbeat;
  ResetWorker(now);
  ListIfDue(now);
  return true;
}

auto TaskAgent::OnLeave(TimePoint now, const std::string& worker_id) -> void {
  ended_lives_.insert(worker_id);
  left_worker_id_ = worker_id;
  if (worker_id == heartbeat_.worker_id) {
    heartbeat_ = WorkerHeartbeat();
    ResetWorker(now);
    Report(now, /*with_running=*/true);
  }
}

auto TaskAgent::Tick(TimePoint now) -> void {
  RunOrders(now);
  ListIfDue(now);
  if (report_due_) {
    Report(now, /*with_running=*/false);
  }
}

auto TaskAgent::next_wake() const -> TimePoint {
  TimePoint wake = TimePoint::max();
  if (!listing_under_way_ && !heartbeat_.worker_id.empty() && fence_ != 0) {
    wake = list_not_before_;
  }
  for (const auto& [number, order] : orders_) {
    if (order->state == OrderState::kWaiting && listed_) {
      wake = std::min(wake, order->not_before);
    }
  }
  return wake;
}

auto TaskAgent::AdoptFence(TimePoint now, uint64_t fence) -> void {
  fence_ = fence;
  ++epoch_;
  orders_.clear();
  results_seen_ = 0;
  listed_ = false;
  listing_under_way_ = false;
  list_not_before_ = now;
}

auto TaskAgent::TakeOrders(const AgentOrders& orders) -> void {
  if (orders.worker_id() == heartbeat_.worker_id) {
    forget_through_ = std::max(forget_through_, orders.ends_logged());
  }
  results_seen_ = std::max(results_seen_, orders.results_seen());
  if (heartbeat_.worker_id.empty()) {
    // A process that has just started knows no worker. To refuse now would be
    // wrong if the process before it has given the order; the owner repeats it.
    return;
  }
  std::erase_if(orders_, [this](const auto& item) -> bool {
    return item.first <= results_seen_ &&
           item.second->state == OrderState::kFinished;
  });
  for (const auto& start : orders.starts()) {
    if (start.order() <= results_seen_ || orders_.contains(start.order())) {
      continue;
    }
    const bool other_life = start.worker_id() != heartbeat_.worker_id;
    if (other_life && start.repeated()) {
      // Which life is the newer one, the owner learns from the report.
      continue;
    }
    auto order = std::make_shared<Order>();
    order->start = start;
    order->task = start.task();
    order->run = start.run();
    order->unsure = start.repeated();
    order->lease_number = lease_number_;
    orders_[start.order()] = order;
    if (other_life) {
      // Another life of the worker: nothing of the order can happen there.
      Finish(start.order(), order, ORDER_REFUSED);
    }
  }
  for (const auto& stop : orders.stops()) {
    if (stop.order() <= results_seen_ || orders_.contains(stop.order())) {
      continue;
    }
    auto order = std::make_shared<Order>();
    order->is_stop = true;
    order->task = stop.task();
    order->run = stop.run();
    orders_[stop.order()] = order;
    if (stop.worker_id() != heartbeat_.worker_id) {
      Finish(stop.order(), order, ORDER_DONE);
    }
  }
  if (orders.pacing_version() != pacing_version_) {
    pacing_version_ = orders.pacing_version();
    pacing_.SetRuns({orders.paced_runs().begin(), orders.paced_runs().end()});
  }
  pacing_.SetPressures({orders.pressures().begin(), orders.pressures().end()});
}

auto TaskAgent::ResetWorker(TimePoint now) -> void {
  ++epoch_;
  for (const auto& [number, order] : orders_) {
    if (order->state != OrderState::kFinished) {
      Finish(number, order, order->is_stop ? ORDER_DONE : ORDER_REFUSED);
    }
  }
  forget_through_ = 0;
  listed_ = false;
  listing_ = WorkerListing();
  listing_under_way_ = false;
  list_not_before_ = now;
  silent_since_ = std::nullopt;
  worker_lease_until_ = now + options_.longest_lease;
  worker_clock_at_ = TimePoint();
}

auto TaskAgent::RunOrders(TimePoint now) -> void {
  if (!listed_) {
    return;
  }
  // A copy: a call that answers at once changes the map.
  const auto orders = orders_;
  for (const auto& [number, order] : orders) {
    if (order->state == OrderState::kWaiting && order->not_before <= now) {
      RunOrder(now, number, order);
    }
  }
}

auto TaskAgent::RunOrder(TimePoint now, uint64_t number, const OrderPtr& order)
    -> void {
  if (order->is_stop || order->poisoned) {
    CallStop(now, number, order);
    return;
  }
  const bool lease_holds =
      LeaseHolds(now) && order->lease_number == lease_number_;
  if (heartbeat_.draining || !lease_holds) {
    RefuseStart(now, number, order, ORDER_REFUSED);
    return;
  }
  CallStart(now, number, order);
}

auto TaskAgent::CallStart(TimePoint now, uint64_t number, const OrderPtr& order)
    -> void {
  order->state = OrderState::kCalling;
  StartCall call;
  call.task = order->task;
  call.run = order->run;
  call.fence = fence_;
  call.payload = order->start.payload();
  call.checkpoint = order->start.checkpoint();
  call.ticket = order->start.ticket();
  call.deadline = WorkerDeadline(now);
  call.worker_id = heartbeat_.worker_id;
  worker_lease_until_ =
      std::max(worker_lease_until_.value_or(now), lease_until_);
  hooks_.worker.start(call,
                      [this, number, order, epoch = epoch_](
                          TimePoint then, WorkerCallResult result) -> void {
                        if (epoch == epoch_) {
                          OnStarted(then, number, order, result);
                        }
                      });
}

auto TaskAgent::CallStop(TimePoint now, uint64_t number, const OrderPtr& order)
    -> void {
  static_cast<void>(now);
  order->state = OrderState::kCalling;
  StopCall call;
  call.task = order->task;
  call.run = order->run;
  call.fence = fence_;
  call.worker_id = heartbeat_.worker_id;
  hooks_.worker.stop(call,
                     [this, number, order, epoch = epoch_](
                         TimePoint then, WorkerCallResult result) -> void {
                       if (epoch == epoch_) {
                         OnStopped(then, number, order, result);
                       }
                     });
}

auto TaskAgent::OnStarted(TimePoint now,
                          uint64_t number,
                          const OrderPtr& order,
                          WorkerCallResult result) -> void {
  order->state = OrderState::kWaiting;
  if (result.outcome == WorkerCallOutcome::kDone) {
    hooks_.log("started", order->task, order->run, "");
    Finish(number, order, ORDER_DONE);
    Report(now, /*with_running=*/false);
    return;
  }
  hooks_.log("start_failed", order->task, order->run,
             OutcomeName(result.outcome));
  switch (result.outcome) {
    case WorkerCallOutcome::kUnknown:
      // The same run again: the worker starts it once.
      order->unsure = true;
      order->not_before = now + kCallAgain;
      return;
    case WorkerCallOutcome::kRunOver:
      // An earlier copy ran and ended; its end must be told before this.
      Verify(now, order, ORDER_RUN_OVER);
      return;
    case WorkerCallOutcome::kFenced:
    case WorkerCallOutcome::kOtherLife:
      // Who sent the higher fence, or the new life's heartbeat, settles it.
      order->not_before = now + options_.retry_pause;
      order->unsure = true;
      return;
    default:
      RefuseStart(now, number, order, ResultOf(result.outcome));
  }
}

auto TaskAgent::OnStopped(TimePoint now,
                          uint64_t number,
                          const OrderPtr& order,
                          WorkerCallResult result) -> void {
  order->state = OrderState::kWaiting;
  if (result.outcome == WorkerCallOutcome::kUnknown ||
      result.outcome == WorkerCallOutcome::kUnhealthy) {
    order->not_before = now + kCallAgain;
    return;
  }
  if (result.outcome != WorkerCallOutcome::kDone) {
    hooks_.log("stop_failed", order->task, order->run,
               OutcomeName(result.outcome));
    order->not_before = now + options_.retry_pause;
    return;
  }
  if (order->poisoned) {
    // The refused start is over for good once a listing shows no trace of it.
    Verify(now, order, order->outcome);
    return;
  }
  Finish(number, order, ORDER_DONE);
  Report(now, /*with_running=*/false);
}

auto TaskAgent::RefuseStart(TimePoint now,
                            uint64_t number,
                            const OrderPtr& order,
                            OrderOutcome outcome) -> void {
  if (!order->unsure) {
    Finish(number, order, outcome);
    Report(now, /*with_running=*/false);
    return;
  }
  // An earlier copy may be carried out later, when there is room for it, while
  // the task runs elsewhere. A worker refuses a run that was stopped before it
  // came.
  order->poisoned = true;
  order->outcome = outcome;
  CallStop(now, number, order);
}

auto TaskAgent::Verify(TimePoint now,
                       const OrderPtr& order,
                       OrderOutcome outcome) -> void {
  order->state = OrderState::kVerifying;
  order->verify_after = now;
  order->outcome = outcome;
}

auto TaskAgent::Finish(uint64_t number,
                       const OrderPtr& order,
                       OrderOutcome outcome) -> void {
  static_cast<void>(number);
  order->state = OrderState::kFinished;
  order->outcome = outcome;
  report_due_ = true;
}

auto TaskAgent::ListIfDue(TimePoint now) -> void {
  if (listing_under_way_ || heartbeat_.worker_id.empty() || fence_ == 0 ||
      now < list_not_before_) {
    return;
  }
  ListCall call;
  call.fence = fence_;
  call.forget_through = forget_through_;
  call.worker_id = heartbeat_.worker_id;
  // A silent worker is not granted more time: so its lease runs out, and its
  // tasks can be started elsewhere.
  if (listed_ && !silent_since_ && LeaseHolds(now)) {
    call.deadline = WorkerDeadline(now);
    call.wait = options_.list_wait;
    worker_lease_until_ =
        std::max(worker_lease_until_.value_or(now), lease_until_);
  }
  listing_under_way_ = true;
  hooks_.worker.list(call,
                     [this, now, epoch = epoch_](
                         TimePoint then, WorkerListing listing) -> void {
                       if (epoch == epoch_) {
                         OnListing(now, then, std::move(listing));
                       }
                     });
}

auto TaskAgent::OnListing(TimePoint asked, TimePoint now, WorkerListing listing)
    -> void {
  listing_under_way_ = false;
  if (!listing.answered) {
    if (!silent_since_) {
      silent_since_ = asked;
    }
    list_not_before_ = now + options_.retry_pause;
    return;
  }
  if (listing.other_life || listing.fenced) {
    list_not_before_ = now + options_.retry_pause;
    return;
  }
  const bool was_silent = silent_since_.has_value();
  silent_since_ = std::nullopt;
  const uint64_t newest_known =
      listing_.ended.empty() ? forget_through_ : listing_.ended.back().number();
  const bool new_ends =
      !listing.ended.empty() && listing.ended.back().number() > newest_known;
  const bool first = !listed_;
  listing_ = std::move(listing);
  listed_ = true;
  listed_at_ = asked;
  worker_clock_ = listing_.clock;
  worker_clock_at_ = now;
  const bool ends_wait = !listing_.ended.empty() &&
                         listing_.ended.back().number() > forget_through_;
  list_not_before_ = ends_wait && !first ? now + options_.list_pause : now;
  SettleVerified(asked);
  Pace(now);
  if (first || was_silent) {
    Report(now, /*with_running=*/true);
  } else if (new_ends || report_due_) {
    Report(now, /*with_running=*/false);
  }
  RunOrders(now);
  ListIfDue(now);
}

auto TaskAgent::SettleVerified(TimePoint asked) -> void {
  for (const auto& [number, order] : orders_) {
    if (order->state != OrderState::kVerifying || asked < order->verify_after) {
      continue;
    }
    const bool still_there = std::any_of(
        listing_.running.begin(), listing_.running.end(),
        [&order = order](const RunningTask& row) -> bool {
          return row.run() == order->run && SameTask(row.task(), order->task);
        });
    if (!still_there) {
      Finish(number, order, order->outcome);
    }
  }
}

auto TaskAgent::Pace(TimePoint now) -> void {
  for (const auto& change : pacing_.OnListing(
           now, listing_.running, heartbeat_.capacity.millicores())) {
    PaceCall call;
    call.task = change.run.task();
    call.run = change.run.run();
    call.fence = fence_;
    call.percent = change.percent;
    call.worker_id = heartbeat_.worker_id;
    hooks_.worker.pace(
        call,
        [this, run = call.run](TimePoint, WorkerCallResult result) -> void {
          if (result.outcome != WorkerCallOutcome::kDone) {
            pacing_.OnUnsure(run);
          }
        });
  }
}

auto TaskAgent::WorkerDeadline(TimePoint now) const -> WorkerTime {
  static_cast<void>(now);
  const auto left = lease_until_ - kLeaseMargin - worker_clock_at_;
  return worker_clock_ +
         std::max(WorkerTime(1), std::chrono::floor<WorkerTime>(left));
}

auto TaskAgent::Report(TimePoint now, bool with_running) -> void {
  if (owner_peer_.empty()) {
    return;
  }
  report_due_ = false;
  AgentReport report;
  report.set_fence(fence_);
  report.set_sent_us(Microseconds(now));
  report.set_worker_id(heartbeat_.worker_id);
  report.set_left_worker_id(left_worker_id_);
  report.set_service(heartbeat_.service);
  report.set_failure_domain(heartbeat_.failure_domain);
  *report.mutable_capacity() = heartbeat_.capacity;
  report.mutable_labels()->Assign(heartbeat_.labels.begin(),
                                  heartbeat_.labels.end());
  report.set_draining(heartbeat_.draining);
  report.set_draining_remaining_ms(
      static_cast<uint64_t>(heartbeat_.remaining.count()));
  report.set_pacing_version(pacing_version_);
  report.set_worker_silent(silent_since_ &&
                           now - *silent_since_ > options_.silent_after);
  if (silent_since_ && worker_lease_until_) {
    const auto drift = std::chrono::duration_cast<Duration>(
        (*worker_lease_until_ - *silent_since_) * options_.worker_clock_drift);
    report.set_worker_lapsed(now > *worker_lease_until_ + drift + kLeaseMargin);
  }
  // What was listed before the worker fell silent is no longer known to be so:
  // an owner that has taken its runs for lost would take them back.
  const bool listed = listed_ && !silent_since_;
  report.set_complete(listed && with_running);
  if (listed) {
    if (with_running) {
      for (const auto& row : listing_.running) {
        *report.add_running() = row;
      }
    }
    for (const auto& row : listing_.ended) {
      if (row.number() > forget_through_) {
        *report.add_ended() = row;
      }
    }
  }
  for (const auto& [number, order] : orders_) {
    if (order->state == OrderState::kFinished) {
      auto* result = report.add_results();
      result->set_order(number);
      result->set_outcome(order->outcome);
    }
  }
  hooks_.report(owner_peer_, std::move(report));
}

}  // namespace rhubarbhaven::jobs

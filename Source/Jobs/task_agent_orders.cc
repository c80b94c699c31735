#include <algorithm>
#include <utility>

#include "Jobs/task_agent.h"
#include "Jobs/worker_id.h"

// Execution of the owner's orders by an agent.
namespace rhubarbhaven::jobs {
namespace {

// Pause before a call to the worker without a response is repeated.
constexpr std::chrono::milliseconds kCallRetryPause{30};
// Interval at which a start whose check is pending is looked at.
constexpr std::chrono::milliseconds kCheckInterval{20};
// Interval at which a start whose payload is missing is looked at. The owner is
// asked for the payload with each report.
constexpr std::chrono::milliseconds kPayloadInterval{100};

auto SameTask(const TaskName& left, const TaskName& right) -> bool {
  return left.index() == right.index() && left.step() == right.step() &&
         left.occurrence() == right.occurrence() && left.job() == right.job();
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
    case WorkerCallOutcome::kOtherWorkerId:
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
    case WorkerCallOutcome::kLate:
      return ORDER_OUTDATED;
    default:
      return ORDER_REFUSED;
  }
}

}  // namespace

auto TaskAgent::AcceptOrders(TimePoint now, const AgentOrders& orders) -> void {
  if (orders.worker_id() == heartbeat_.worker_id) {
    forget_through_ = std::max(forget_through_, orders.ends_logged());
  }
  results_seen_ = std::max(results_seen_, orders.results_seen());
  if (heartbeat_.worker_id.empty()) {
    // A process that has just started knows no worker. Rejecting the order
    // would be wrong if the previous process has already passed it to the
    // worker. The owner repeats it.
    return;
  }
  const auto reported = ReportTime(now, options_.incarnation, orders);
  std::erase_if(orders_, [this](const auto& item) -> bool {
    return item.first <= results_seen_ &&
           item.second->state == OrderState::kFinished;
  });
  for (const auto& start : orders.starts()) {
    std::optional<OrderBasis> basis;
    if (reported) {
      basis = BasisOf(now, *reported, orders, start);
    }
    AcceptStart(now, start, basis);
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
    WithdrawStarts(stop);
    if (!MayBeSameWorker(stop.worker_id(), heartbeat_.worker_id)) {
      Finish(order, ORDER_DONE);
    }
  }
  if (orders.pacing_version() != pacing_version_) {
    pacing_version_ = orders.pacing_version();
    pacing_.SetRuns({orders.paced_runs().begin(), orders.paced_runs().end()});
  }
  pacing_.SetPressures({orders.pressures().begin(), orders.pressures().end()});
}

auto TaskAgent::AcceptStart(TimePoint now,
                            const StartOrder& start,
                            const std::optional<OrderBasis>& basis) -> void {
  if (start.order() <= results_seen_) {
    return;
  }
  if (!start.payload_omitted() && !start.payload().empty()) {
    payloads_.Put(start.task().job(), start.payload_hash(), start.payload());
  }
  const auto known = orders_.find(start.order());
  if (known != orders_.end()) {
    Order& order = *known->second;
    order.withdrawn = order.withdrawn || start.withdrawn();
    if (!start.payload_omitted() && order.start.payload_omitted()) {
      order.start.set_payload(start.payload());
      order.start.set_payload_omitted(false);
      order.not_before = now;
    }
    const bool newer = basis && (!order.basis || order.basis->confirmed_at <
                                                     basis->confirmed_at);
    if (newer && !order.withdrawn) {
      order.basis = basis;
    }
    return;
  }
  const bool other_worker_id =
      !MayBeSameWorker(start.worker_id(), heartbeat_.worker_id);
  if (other_worker_id && start.repeated()) {
    // The report shows the owner which worker id is the newer one.
    return;
  }
  auto order = std::make_shared<Order>();
  order->start = start;
  order->task = start.task();
  order->run = start.run();
  order->received_at = now;
  order->basis = basis;
  order->unconfirmed = start.repeated();
  order->withdrawn = start.withdrawn() || HasStop(start);
  order->lease_number = lease_number_;
  orders_[start.order()] = order;
  if (other_worker_id) {
    // The order is for another process of the worker, so it cannot have any
    // effect there.
    Finish(order, ORDER_REFUSED);
  }
}

auto TaskAgent::WithdrawStarts(const StopOrder& stop) -> void {
  for (const auto& [number, order] : orders_) {
    const bool matches = !order->is_stop && order->run <= stop.run() &&
                         SameTask(order->task, stop.task());
    order->withdrawn = order->withdrawn || matches;
  }
}

auto TaskAgent::HasStop(const StartOrder& start) const -> bool {
  return std::any_of(orders_.begin(), orders_.end(),
                     [&start](const auto& item) -> bool {
                       const auto& order = *item.second;
                       return order.is_stop && start.run() <= order.run &&
                              SameTask(order.task, start.task());
                     });
}

auto TaskAgent::SettleLapsed(TimePoint now) -> void {
  if (!LeaseLapsed(now)) {
    return;
  }
  for (const auto& [number, order] : orders_) {
    // A call in flight still gets its response or times out.
    if (order->state == OrderState::kWaiting ||
        order->state == OrderState::kVerifying) {
      Finish(order, order->is_stop ? ORDER_DONE : ORDER_REFUSED);
    }
  }
}

auto TaskAgent::ExecuteOrders(TimePoint now) -> void {
  SettleLapsed(now);
  if (!listed_ || stopped_) {
    return;
  }
  // Iterates over a copy, since a call that returns at once changes the map.
  const auto orders = orders_;
  for (const auto& [number, order] : orders) {
    if (order->state == OrderState::kWaiting && order->not_before <= now) {
      ExecuteOrder(now, order);
    }
  }
}

auto TaskAgent::ExecuteOrder(TimePoint now, const OrderPtr& order) -> void {
  if (order->is_stop || order->revoked) {
    CallStop(order);
    return;
  }
  const auto why = FindRejection(*order, now);
  if (!why.empty()) {
    LogStart(now, *order, "start_rejected", why);
    RejectStart(now, order, ORDER_REFUSED);
    return;
  }
  if (PayloadOf(*order) == nullptr) {
    order->not_before = now + kPayloadInterval;
    return;
  }
  const auto valid_until = FindValidity(now, order);
  if (valid_until) {
    CallStart(now, order, *valid_until);
  }
}

auto TaskAgent::PayloadOf(const Order& order) -> const std::string* {
  return order.start.payload_omitted()
             ? payloads_.Find(order.task.job(), order.start.payload_hash())
             : &order.start.payload();
}

auto TaskAgent::FindRejection(const Order& order, TimePoint now) const
    -> std::string {
  if (heartbeat_.draining) {
    return "its worker drains";
  }
  if (replaced_) {
    return "its worker has restarted";
  }
  if (evacuated_) {
    return "its failure domain is evacuated";
  }
  if (order.withdrawn) {
    return "its stop was ordered";
  }
  if (!LeaseHolds(now) || order.lease_number != lease_number_) {
    return "its lease has ended";
  }
  return "";
}

auto TaskAgent::FindValidity(TimePoint now, const OrderPtr& order)
    -> std::optional<TimePoint> {
  if (!order->basis) {
    RejectOutdated(now, order, "its age is unknown");
    return std::nullopt;
  }
  const OrderBasis& basis = *order->basis;
  if (now < basis.log_as_of + options_.max_log_age) {
    return basis.log_as_of + options_.max_log_age;
  }
  const auto check = CheckLog(now, *order);
  switch (check.verdict) {
    case StartCheck::Verdict::kStands:
      return check.as_of + options_.max_log_age;
    case StartCheck::Verdict::kOver:
      LogStart(now, *order, "start_rejected", "by the log its job is over");
      RejectStart(now, order, ORDER_OUTDATED);
      return std::nullopt;
    case StartCheck::Verdict::kUncertain:
      RejectOutdated(now, order, "the log has another owner, or lacks records");
      return std::nullopt;
    case StartCheck::Verdict::kPending:
      order->not_before = now + kCheckInterval;
      return std::nullopt;
    case StartCheck::Verdict::kUnreachable:
      break;
  }
  // Work goes on during an outage of the log. This agent cannot tell it from
  // being cut off together with the owner.
  if (now < basis.confirmed_at + options_.max_unconfirmed) {
    return basis.confirmed_at + options_.max_unconfirmed;
  }
  RejectOutdated(now, order, "it was not confirmed in time");
  return std::nullopt;
}

auto TaskAgent::CheckLog(TimePoint now, const Order& order)
    -> StartCheck::Result {
  if (order.basis->log_read_to == 0) {
    return {StartCheck::Verdict::kUnreachable, now};
  }
  return start_check_.Check(
      now, {order.task.job(), fence_, order.basis->log_read_to});
}

auto TaskAgent::RejectOutdated(TimePoint now,
                               const OrderPtr& order,
                               const std::string& why) -> void {
  if (order->unconfirmed) {
    // The run may exist, and a stop would end it. It is left to the owner's
    // next message, or to a successor.
    order->not_before = now + options_.retry_pause;
    return;
  }
  LogStart(now, *order, "start_rejected", why);
  RejectStart(now, order, ORDER_OUTDATED);
}

auto TaskAgent::CallStart(TimePoint now,
                          const OrderPtr& order,
                          TimePoint valid_until) -> void {
  order->state = OrderState::kCalling;
  StartCall call;
  call.task = order->task;
  call.run = order->run;
  call.fence = fence_;
  call.payload = *PayloadOf(*order);
  call.checkpoint = order->start.checkpoint();
  call.ticket = order->start.ticket();
  call.deadline = std::min(WorkerDeadline(), ToWorkerTime(valid_until));
  call.worker_id = heartbeat_.worker_id;
  run_watch_.OnCall(now, order->task, order->run);
  NoteGranted(now);
  hooks_.worker.start(call,
                      [this, order, epoch = epoch_](
                          TimePoint then, WorkerCallResult result) -> void {
                        if (epoch == epoch_) {
                          OnStarted(then, order, result);
                        }
                      });
}

auto TaskAgent::CallStop(const OrderPtr& order) -> void {
  order->state = OrderState::kCalling;
  StopCall call;
  call.task = order->task;
  call.run = order->run;
  call.fence = fence_;
  call.worker_id = heartbeat_.worker_id;
  hooks_.worker.stop(call,
                     [this, order, epoch = epoch_](
                         TimePoint then, WorkerCallResult result) -> void {
                       if (epoch == epoch_) {
                         OnStopped(then, order, result);
                       }
                     });
}

auto TaskAgent::OnStarted(TimePoint now,
                          const OrderPtr& order,
                          WorkerCallResult result) -> void {
  order->state = OrderState::kWaiting;
  if (stopped_) {
    return;
  }
  if (result.outcome == WorkerCallOutcome::kDone) {
    LogStart(now, *order, "started", "");
    run_watch_.OnStarted(now, order->task, order->run);
    Finish(order, ORDER_DONE);
    ReportSettled(now);
    return;
  }
  LogStart(now, *order, "start_failed", OutcomeName(result.outcome));
  switch (result.outcome) {
    case WorkerCallOutcome::kUnknown:
      // Repeats the start of the same run, which the worker starts only once.
      order->unconfirmed = true;
      order->not_before = now + kCallRetryPause;
      return;
    case WorkerCallOutcome::kRunOver:
      // An earlier copy of the call started the run, and the run has ended. Its
      // end must be reported before this outcome.
      Verify(now, order, ORDER_RUN_OVER);
      return;
    case WorkerCallOutcome::kFenced:
    case WorkerCallOutcome::kOtherWorkerId:
      // Orders with the higher fence, or the heartbeat of the new worker
      // process, will resolve this.
      order->not_before = now + options_.retry_pause;
      order->unconfirmed = true;
      return;
    default:
      RejectStart(now, order, ResultOf(result.outcome));
  }
}

auto TaskAgent::OnStopped(TimePoint now,
                          const OrderPtr& order,
                          WorkerCallResult result) -> void {
  order->state = OrderState::kWaiting;
  if (result.outcome == WorkerCallOutcome::kUnknown ||
      result.outcome == WorkerCallOutcome::kUnhealthy) {
    order->not_before = now + kCallRetryPause;
    return;
  }
  if (result.outcome != WorkerCallOutcome::kDone) {
    hooks_.log(
        {"stop_failed", order->task, order->run, OutcomeName(result.outcome)});
    order->not_before = now + options_.retry_pause;
    return;
  }
  if (order->revoked) {
    // The rejected start is final once a listing no longer contains its run.
    Verify(now, order, order->outcome);
    return;
  }
  Finish(order, ORDER_DONE);
  ReportSettled(now);
}

auto TaskAgent::LogStart(TimePoint now,
                         const Order& order,
                         const std::string& what,
                         const std::string& why) const -> void {
  AgentDecision decision{what, order.task, order.run, why};
  if (order.basis) {
    decision.ages = StartAges{
        now - order.basis->decided_at, now - order.basis->confirmed_at,
        now - order.basis->log_as_of, now - order.received_at};
  }
  hooks_.log(decision);
}

auto TaskAgent::RejectStart(TimePoint now,
                            const OrderPtr& order,
                            OrderOutcome outcome) -> void {
  if (!order->unconfirmed) {
    Finish(order, outcome);
    ReportSettled(now);
    return;
  }
  // An earlier copy of the call may be carried out later, when the worker has
  // room for it, while the task runs elsewhere. A worker rejects a run that was
  // stopped before its start arrived.
  order->revoked = true;
  order->outcome = outcome;
  CallStop(order);
}

auto TaskAgent::Verify(TimePoint now,
                       const OrderPtr& order,
                       OrderOutcome outcome) -> void {
  order->state = OrderState::kVerifying;
  order->verify_after = now;
  order->outcome = outcome;
}

auto TaskAgent::Finish(const OrderPtr& order, OrderOutcome outcome) -> void {
  order->state = OrderState::kFinished;
  order->outcome = outcome;
  if (!order->is_stop && outcome != ORDER_DONE) {
    run_watch_.OnRefused(order->task, order->run);
  }
  report_due_ = true;
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
    // The end of the run may be among those that do not fit the listing.
    if (!still_there && !listing_.ends_truncated) {
      const uint64_t newest = NewestListedEnd();
      order->after_end = newest > forget_through_ ? newest : 0;
      Finish(order, order->outcome);
    }
  }
}

auto TaskAgent::NewestListedEnd() const -> uint64_t {
  return listing_.ended.empty() ? forget_through_
                                : listing_.ended.back().number();
}

}  // namespace rhubarbhaven::jobs

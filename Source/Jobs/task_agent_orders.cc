#include <algorithm>
#include <utility>

#include "Jobs/task_agent.h"

// How an agent carries out the owner's orders.
namespace rhubarbhaven::jobs {
namespace {

// Pause before a call to the worker that got no answer is made again.
constexpr std::chrono::milliseconds kCallAgain{30};

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
    order->withdrawn = HasStop(start);
    order->lease_number = lease_number_;
    orders_[start.order()] = order;
    if (other_life) {
      // Another life of the worker: nothing of the order can happen there.
      Finish(order, ORDER_REFUSED);
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
    WithdrawStarts(stop);
    if (stop.worker_id() != heartbeat_.worker_id) {
      Finish(order, ORDER_DONE);
    }
  }
  if (orders.pacing_version() != pacing_version_) {
    pacing_version_ = orders.pacing_version();
    pacing_.SetRuns({orders.paced_runs().begin(), orders.paced_runs().end()});
  }
  pacing_.SetPressures({orders.pressures().begin(), orders.pressures().end()});
}

auto TaskAgent::WithdrawStarts(const StopOrder& stop) -> void {
  for (const auto& [number, order] : orders_) {
    const bool meant = !order->is_stop && order->run <= stop.run() &&
                       SameTask(order->task, stop.task());
    order->withdrawn = order->withdrawn || meant;
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
    // A call under way still gets its answer, or runs into its timeout.
    if (order->state == OrderState::kWaiting ||
        order->state == OrderState::kVerifying) {
      Finish(order, order->is_stop ? ORDER_DONE : ORDER_REFUSED);
    }
  }
}

auto TaskAgent::RunOrders(TimePoint now) -> void {
  SettleLapsed(now);
  if (!listed_) {
    return;
  }
  // A copy: a call that answers at once changes the map.
  const auto orders = orders_;
  for (const auto& [number, order] : orders) {
    if (order->state == OrderState::kWaiting && order->not_before <= now) {
      RunOrder(now, order);
    }
  }
}

auto TaskAgent::RunOrder(TimePoint now, const OrderPtr& order) -> void {
  if (order->is_stop || order->poisoned) {
    CallStop(order);
    return;
  }
  const bool lease_holds =
      LeaseHolds(now) && order->lease_number == lease_number_;
  if (heartbeat_.draining || evacuated_ || order->withdrawn || !lease_holds) {
    RefuseStart(now, order, ORDER_REFUSED);
    return;
  }
  CallStart(now, order);
}

auto TaskAgent::CallStart(TimePoint now, const OrderPtr& order) -> void {
  order->state = OrderState::kCalling;
  StartCall call;
  call.task = order->task;
  call.run = order->run;
  call.fence = fence_;
  call.payload = order->start.payload();
  call.checkpoint = order->start.checkpoint();
  call.ticket = order->start.ticket();
  call.deadline = WorkerDeadline();
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
  if (result.outcome == WorkerCallOutcome::kDone) {
    hooks_.log("started", order->task, order->run, "");
    run_watch_.OnStarted(now, order->task, order->run);
    Finish(order, ORDER_DONE);
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
      RefuseStart(now, order, ResultOf(result.outcome));
  }
}

auto TaskAgent::OnStopped(TimePoint now,
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
  Finish(order, ORDER_DONE);
  Report(now, /*with_running=*/false);
}

auto TaskAgent::RefuseStart(TimePoint now,
                            const OrderPtr& order,
                            OrderOutcome outcome) -> void {
  if (!order->unsure) {
    Finish(order, outcome);
    Report(now, /*with_running=*/false);
    return;
  }
  // An earlier copy may be carried out later, when there is room for it, while
  // the task runs elsewhere. A worker refuses a run that was stopped before it
  // came.
  order->poisoned = true;
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
    if (!still_there) {
      Finish(order, order->outcome);
    }
  }
}

}  // namespace rhubarbhaven::jobs

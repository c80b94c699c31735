#include "Tasks/task_supervisor.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Tasks/owner_register.h"
#include "Tasks/resource_math.h"
#include "Tasks/supervised_attempts.h"
#include "Tasks/supervisor_lease.h"
#include "Tasks/worker_driver.h"

namespace rhubarbhaven {
namespace {

using tasks::AttemptKey;
using tasks::SupervisedAttempt;
using Verdict = tasks::SupervisorLease::Verdict;

// One in this many requests is sent to all entries, so that a new owner
// receives it while the old one still grants leases.
constexpr uint64_t kRequestsPerBroadcast = 4;

auto WithCell(SupervisorOptions options) -> SupervisorOptions {
  if (options.cell.empty()) {
    options.cell = tasks::kDefaultCell;
  }
  return options;
}

}  // namespace

class TaskSupervisor::Impl {
 public:
  explicit Impl(SupervisorOptions options)
      : options_(WithCell(std::move(options))),
        lease_(options_.agent_incarnation, options_.lease_ttl),
        worker_(options_, &table_, &lease_) {}

  auto Begin(TimePoint now) -> void {
    if (!started_) {
      started_ = true;
      worker_.SetStartTime(now);
      next_request_ = now;
    }
  }

  auto OnGrant(TimePoint now,
               const std::string& entry,
               const schema::LeaseGrant& grant,
               SupervisorActions* actions) -> void {
    if (grant.cell() != options_.cell) {
      actions->push_back(CountSupervisorEvent{"grant_wrong_cell"});
      return;
    }
    const uint64_t fence = lease_.fence();
    switch (lease_.OnGrant(now, entry, grant)) {
      case Verdict::kGranted:
        if (fence != lease_.fence()) {
          worker_.usage().Reset();
          running_changed_ = true;
        }
        break;
      case Verdict::kUnknownNumber:
        actions->push_back(CountSupervisorEvent{"grant_unknown_number"});
        return;
      case Verdict::kLate:
        actions->push_back(CountSupervisorEvent{"grant_late"});
        return;
      case Verdict::kStaleFence:
        actions->push_back(CountSupervisorEvent{"grant_stale_fence"});
        return;
    }
    for (const schema::EndedTask& ended : grant.recorded()) {
      SupervisedAttempt* task =
          table_.Find(AttemptKey(ended.task(), ended.attempt()));
      if (task != nullptr && task->is_final()) {
        task->recorded = true;
      }
    }
  }

  auto OnOrder(TimePoint now,
               const schema::TaskOrder& order,
               SupervisorActions* actions) -> void {
    const std::string counter = RejectionCounter(order);
    if (!counter.empty()) {
      actions->push_back(CountSupervisorEvent{counter});
      return;
    }
    switch (order.kind()) {
      case schema::START:
        OnStart(now, order, actions);
        return;
      case schema::STOP:
        OnStop(order, SupervisedAttempt::Stop::kStop);
        return;
      case schema::CHECKPOINT_AND_STOP:
        OnStop(order, SupervisedAttempt::Stop::kCheckpointAndStop);
        return;
      case schema::THROTTLE:
      case schema::UNTHROTTLE:
        OnThrottle(order);
        return;
      default:
        actions->push_back(CountSupervisorEvent{"order_unknown_kind"});
        return;
    }
  }

  auto Leave() -> void {
    leaving_ = true;
    for (auto& [key, task] : table_.all()) {
      if (task.stop == SupervisedAttempt::Stop::kNone && !task.is_final()) {
        task.stop = SupervisedAttempt::Stop::kCheckpointAndStop;
      }
    }
  }

  // Runs after each event: makes the calls that are due, reports changes and
  // sends lease requests.
  auto Advance(TimePoint now, SupervisorActions* actions) -> void {
    if (leaving_) {
      Leave();
    }
    worker_.Step(now, actions);
    Report(actions);
    if (now >= next_request_ && worker_.incarnation() != 0) {
      Request(now, actions);
    }
  }

  auto next_wake() const -> TimePoint {
    // No lease is requested before the first status of the worker.
    return worker_.incarnation() == 0
               ? worker_.next_wake()
               : std::min(next_request_, worker_.next_wake());
  }

  auto idle() const -> bool {
    return leaving_ && std::all_of(table_.all().begin(), table_.all().end(),
                                   [](const auto& task) {
                                     return task.second.is_final() &&
                                            task.second.recorded;
                                   });
  }

  auto worker() -> tasks::WorkerDriver& { return worker_; }
  auto lease() const -> const tasks::SupervisorLease& { return lease_; }
  auto table() const -> const tasks::SupervisedAttempts& { return table_; }

 private:
  // Returns the counter for the reason why the order is rejected, or an empty
  // string if the order is valid.
  auto RejectionCounter(const schema::TaskOrder& order) const -> std::string {
    if (order.cell() != options_.cell) {
      return "order_wrong_cell";
    }
    if (order.agent_incarnation() != options_.agent_incarnation) {
      return "order_wrong_agent_incarnation";
    }
    if (order.fence() < lease_.fence()) {
      return "order_stale_fence";
    }
    if (order.instance_incarnation() != worker_.incarnation()) {
      return "order_wrong_instance_incarnation";
    }
    return "";
  }

  auto OnStart(TimePoint now,
               const schema::TaskOrder& order,
               SupervisorActions* actions) -> void {
    const std::string key = AttemptKey(order.task(), order.attempt());
    SupervisedAttempt* known = table_.Find(key);
    if (known != nullptr) {
      if (known->is_final()) {
        reportable_.insert(key);
      }
      return;
    }
    if (table_.IsForgotten(now, key)) {
      actions->push_back(CountSupervisorEvent{"order_ended_attempt"});
      return;
    }
    if (order.fence() != lease_.fence() || !lease_.leased(now)) {
      actions->push_back(CountSupervisorEvent{"order_unleased"});
      return;
    }
    // An order that was delayed in the network could start a task that the
    // owner, counting this lease as expired, has placed elsewhere. The order
    // refers to a request of this agent, which dates it on this agent's clock.
    if (!lease_.IsRecent(now, order.lease_number())) {
      actions->push_back(CountSupervisorEvent{"order_late"});
      return;
    }
    const tasks::WorkerTaskName name{.task = order.task(),
                                     .attempt = order.attempt(),
                                     .admitted = order.need()};
    const std::string why = StartRejectionReason(name);
    SupervisedAttempt& task = table_.Add(name);
    task.command = order.command();
    task.checkpoint = order.checkpoint();
    task.start_not_after = worker_.initial_lease_end();
    task.reject_reason = why;
    if (!why.empty()) {
      actions->push_back(CountSupervisorEvent{"order_refused"});
    }
  }

  auto StartRejectionReason(const tasks::WorkerTaskName& name) const
      -> std::string {
    if (leaving_) {
      return "the agent is leaving";
    }
    if (table_.HasOtherAttempt(name)) {
      return "another attempt of the task has not ended here";
    }
    const schema::Resources total =
        tasks::Sum(tasks::Sum(table_.held(), worker_.foreign()), name.admitted);
    if (!tasks::Fits(total, worker_.capacity())) {
      return "over the worker's capacity";
    }
    return "";
  }

  auto OnStop(const schema::TaskOrder& order, SupervisedAttempt::Stop stop)
      -> void {
    const std::string key = AttemptKey(order.task(), order.attempt());
    SupervisedAttempt* task = table_.Find(key);
    if (task == nullptr) {
      // The attempt is unknown here. It is rejected from now on, which the
      // owner must know before it may place the task elsewhere.
      task = &table_.Add({.task = order.task(),
                          .attempt = order.attempt(),
                          .admitted = order.need()});
      task->start_not_after = worker_.initial_lease_end();
      task->reject_reason = "stopped before its start";
    }
    if (task->is_final()) {
      reportable_.insert(key);
    } else if (task->stop != SupervisedAttempt::Stop::kStop) {
      task->stop = stop;
    }
  }

  auto OnThrottle(const schema::TaskOrder& order) -> void {
    SupervisedAttempt* task =
        table_.Find(AttemptKey(order.task(), order.attempt()));
    if (task != nullptr) {
      task->want_throttled = order.kind() == schema::THROTTLE;
    }
  }

  auto Report(SupervisorActions* actions) -> void {
    reportable_.merge(worker_.TakeChanged());
    running_changed_ = running_changed_ || !reportable_.empty();
    SendToOwner send;
    schema::TaskReport* report = send.message.mutable_task_report();
    for (const std::string& key : reportable_) {
      const SupervisedAttempt* task = table_.Find(key);
      if (task == nullptr) {
        continue;
      }
      if (task->phase == SupervisedAttempt::Phase::kRunning) {
        *report->add_started() = tasks::ToRunningTask(*task);
      } else if (task->phase == SupervisedAttempt::Phase::kEnded) {
        *report->add_ended() = tasks::ToEndedTask(*task);
      } else if (task->phase == SupervisedAttempt::Phase::kRejected) {
        *report->add_refused() = tasks::ToRefusedOrder(*task);
      }
    }
    reportable_.clear();
    const bool empty = report->started().empty() && report->ended().empty() &&
                       report->refused().empty();
    if (empty || lease_.owner().empty()) {
      return;
    }
    report->set_cell(options_.cell);
    report->set_instance(options_.instance);
    report->set_instance_incarnation(worker_.incarnation());
    send.entry = lease_.owner();
    Send(std::move(send), actions);
  }

  auto Request(TimePoint now, SupervisorActions* actions) -> void {
    next_request_ = now + options_.request_interval;
    ++requests_;
    SendToOwner send;
    schema::LeaseRequest* request = send.message.mutable_lease_request();
    request->set_cell(options_.cell);
    request->set_instance(options_.instance);
    request->set_instance_incarnation(worker_.incarnation());
    request->set_number(lease_.AddRequest(now));
    request->set_fence_seen(lease_.fence());
    request->set_leaving(leaving_);
    *request->mutable_capacity() = worker_.capacity();
    *request->mutable_used() = worker_.used();
    for (schema::EndedTask& ended : table_.Ended()) {
      *request->add_ended() = std::move(ended);
    }
    for (schema::RefusedOrder& refused : table_.Rejected()) {
      *request->add_refused() = std::move(refused);
    }
    for (schema::UsageReport& usage : worker_.usage().Take(now)) {
      *request->add_usage() = std::move(usage);
    }
    const bool to_all =
        !lease_.leased(now) || requests_ % kRequestsPerBroadcast == 0;
    AddRunning(to_all, request);
    send.entry = to_all ? "" : lease_.owner();
    Send(std::move(send), actions);
  }

  // Sends the full list of running tasks only if a task has started or ended
  // since the last full list, and in requests to all entries. With 25 tasks the
  // list is most of what an agent sends.
  auto AddRunning(bool to_all, schema::LeaseRequest* request) -> void {
    if (last_full_request_ != 0 && !to_all && !running_changed_) {
      request->set_running_as_of(last_full_request_);
      return;
    }
    running_changed_ = false;
    last_full_request_ = request->number();
    for (schema::RunningTask& running : table_.Running()) {
      *request->add_running() = std::move(running);
    }
  }

  auto Send(SendToOwner send, SupervisorActions* actions) -> void {
    send.message.set_sender(options_.agent_id);
    send.message.set_sender_incarnation(options_.agent_incarnation);
    actions->push_back(std::move(send));
  }

  SupervisorOptions options_;
  tasks::SupervisedAttempts table_;
  tasks::SupervisorLease lease_;
  tasks::WorkerDriver worker_;
  bool started_ = false;
  bool leaving_ = false;
  TimePoint next_request_;
  uint64_t requests_ = 0;
  std::set<std::string> reportable_;
  // Number of the latest request that listed the running tasks, and whether the
  // list has changed since.
  uint64_t last_full_request_ = 0;
  bool running_changed_ = false;
};

TaskSupervisor::TaskSupervisor(SupervisorOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

TaskSupervisor::~TaskSupervisor() = default;

auto TaskSupervisor::OnMessage(TimePoint now,
                               const std::string& entry,
                               const schema::Envelope& message)
    -> SupervisorActions {
  SupervisorActions actions;
  impl_->Begin(now);
  if (message.has_lease_grant()) {
    impl_->OnGrant(now, entry, message.lease_grant(), &actions);
  } else if (message.has_task_order()) {
    impl_->OnOrder(now, message.task_order(), &actions);
  } else {
    actions.push_back(CountSupervisorEvent{"message_unexpected"});
  }
  impl_->Advance(now, &actions);
  return actions;
}

auto TaskSupervisor::OnWorkerReply(TimePoint now, const TaskCallResult& outcome)
    -> SupervisorActions {
  SupervisorActions actions;
  impl_->Begin(now);
  impl_->worker().OnOutcome(now, outcome, &actions);
  impl_->Advance(now, &actions);
  return actions;
}

auto TaskSupervisor::Leave(TimePoint now) -> SupervisorActions {
  SupervisorActions actions;
  impl_->Begin(now);
  impl_->Leave();
  impl_->Advance(now, &actions);
  return actions;
}

auto TaskSupervisor::OnTick(TimePoint now) -> SupervisorActions {
  SupervisorActions actions;
  impl_->Begin(now);
  impl_->Advance(now, &actions);
  return actions;
}

auto TaskSupervisor::next_wake() const -> TimePoint {
  return impl_->next_wake();
}

auto TaskSupervisor::idle() const -> bool {
  return impl_->idle();
}

auto TaskSupervisor::leased(TimePoint now) const -> bool {
  return impl_->lease().leased(now);
}

auto TaskSupervisor::fence() const -> uint64_t {
  return impl_->lease().fence();
}

auto TaskSupervisor::running() const -> std::vector<schema::RunningTask> {
  return impl_->table().Running();
}

}  // namespace rhubarbhaven

#include "Tasks/task_keeper.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Tasks/keeper_lease.h"
#include "Tasks/keeper_table.h"
#include "Tasks/keeper_worker.h"
#include "Tasks/owner_register.h"
#include "Tasks/resource_math.h"

namespace rhubarbhaven {
namespace {

using tasks::AttemptKey;
using tasks::KeeperTask;
using Verdict = tasks::KeeperLease::Verdict;

// Every so many requests go to all entries, so that a new owner hears of the
// agent while an old one still grants leases.
constexpr uint64_t kRequestsPerBroadcast = 4;

auto WithCell(KeeperOptions options) -> KeeperOptions {
  if (options.cell.empty()) {
    options.cell = tasks::kDefaultCell;
  }
  return options;
}

}  // namespace

class TaskKeeper::Impl {
 public:
  explicit Impl(KeeperOptions options)
      : options_(WithCell(std::move(options))),
        lease_(options_.agent_incarnation, options_.lease_ttl),
        worker_(options_, &table_, &lease_) {}

  auto Begin(TimePoint now) -> void {
    if (!born_) {
      born_ = true;
      worker_.SetBirth(now);
      next_request_ = now;
    }
  }

  auto OnGrant(TimePoint now,
               const std::string& entry,
               const schema::LeaseGrant& grant,
               KeeperActions* actions) -> void {
    if (grant.cell() != options_.cell) {
      actions->push_back(CountKeeper{"grant_wrong_cell"});
      return;
    }
    const uint64_t fence = lease_.fence();
    switch (lease_.OnGrant(now, entry, grant)) {
      case Verdict::kTaken:
        if (fence != lease_.fence()) {
          worker_.usage().Reset();
          running_changed_ = true;
        }
        break;
      case Verdict::kUnknownNumber:
        actions->push_back(CountKeeper{"grant_unknown_number"});
        return;
      case Verdict::kLate:
        actions->push_back(CountKeeper{"grant_late"});
        return;
      case Verdict::kStaleFence:
        actions->push_back(CountKeeper{"grant_stale_fence"});
        return;
    }
    for (const schema::EndedTask& ended : grant.recorded()) {
      KeeperTask* task = table_.Find(AttemptKey(ended.task(), ended.attempt()));
      if (task != nullptr && task->over()) {
        task->recorded = true;
      }
    }
  }

  auto OnOrder(TimePoint now,
               const schema::TaskOrder& order,
               KeeperActions* actions) -> void {
    const std::string refusal = OrderRefusal(order);
    if (!refusal.empty()) {
      actions->push_back(CountKeeper{refusal});
      return;
    }
    switch (order.kind()) {
      case schema::START:
        OnStart(now, order, actions);
        return;
      case schema::STOP:
        OnStop(order, KeeperTask::Stop::kStop);
        return;
      case schema::CHECKPOINT_AND_STOP:
        OnStop(order, KeeperTask::Stop::kCheckpointAndStop);
        return;
      case schema::THROTTLE:
      case schema::UNTHROTTLE:
        OnThrottle(order);
        return;
      default:
        actions->push_back(CountKeeper{"order_unknown_kind"});
        return;
    }
  }

  auto Leave() -> void {
    leaving_ = true;
    for (auto& [key, task] : table_.all()) {
      if (task.stop == KeeperTask::Stop::kNone && !task.over()) {
        task.stop = KeeperTask::Stop::kCheckpointAndStop;
      }
    }
  }

  // After each event: calls that are due, reports of changes, requests.
  auto Advance(TimePoint now, KeeperActions* actions) -> void {
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
    // Until the worker was heard there is nothing to ask for.
    return worker_.incarnation() == 0
               ? worker_.next_wake()
               : std::min(next_request_, worker_.next_wake());
  }

  auto idle() const -> bool {
    return leaving_ && std::all_of(table_.all().begin(), table_.all().end(),
                                   [](const auto& task) {
                                     return task.second.over() &&
                                            task.second.recorded;
                                   });
  }

  auto worker() -> tasks::KeeperWorker& { return worker_; }
  auto lease() const -> const tasks::KeeperLease& { return lease_; }
  auto table() const -> const tasks::KeeperTable& { return table_; }

 private:
  // Name of the counter, or empty if the order may be looked at.
  auto OrderRefusal(const schema::TaskOrder& order) const -> std::string {
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
               KeeperActions* actions) -> void {
    const std::string key = AttemptKey(order.task(), order.attempt());
    KeeperTask* known = table_.Find(key);
    if (known != nullptr) {
      if (known->over()) {
        reportable_.insert(key);
      }
      return;
    }
    if (table_.IsForgotten(now, key)) {
      actions->push_back(CountKeeper{"order_ended_attempt"});
      return;
    }
    if (order.fence() != lease_.fence() || !lease_.leased(now)) {
      actions->push_back(CountKeeper{"order_unleased"});
      return;
    }
    // What goes wrong: an order that was long under way starts a task that
    // its owner, counting this lease as over, has placed elsewhere. Quoting a
    // request of this agent dates the order on this agent's clock.
    if (!lease_.IsRecent(now, order.lease_number())) {
      actions->push_back(CountKeeper{"order_late"});
      return;
    }
    const tasks::WorkerTaskName name{.task = order.task(),
                                     .attempt = order.attempt(),
                                     .admitted = order.need()};
    const std::string why = StartRefusal(name);
    KeeperTask& task = table_.Add(name);
    task.command = order.command();
    task.checkpoint = order.checkpoint();
    task.start_not_after = worker_.birth_lease_end();
    task.refuse_why = why;
    if (!why.empty()) {
      actions->push_back(CountKeeper{"order_refused"});
    }
  }

  auto StartRefusal(const tasks::WorkerTaskName& name) const -> std::string {
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

  auto OnStop(const schema::TaskOrder& order, KeeperTask::Stop stop) -> void {
    const std::string key = AttemptKey(order.task(), order.attempt());
    KeeperTask* task = table_.Find(key);
    if (task == nullptr) {
      // Not known: from here on it is refused, which is what the owner needs
      // to know before it may place the task elsewhere.
      task = &table_.Add({.task = order.task(),
                          .attempt = order.attempt(),
                          .admitted = order.need()});
      task->start_not_after = worker_.birth_lease_end();
      task->refuse_why = "stopped before its start";
    }
    if (task->over()) {
      reportable_.insert(key);
    } else if (task->stop != KeeperTask::Stop::kStop) {
      task->stop = stop;
    }
  }

  auto OnThrottle(const schema::TaskOrder& order) -> void {
    KeeperTask* task = table_.Find(AttemptKey(order.task(), order.attempt()));
    if (task != nullptr) {
      task->want_throttled = order.kind() == schema::THROTTLE;
    }
  }

  auto Report(KeeperActions* actions) -> void {
    reportable_.merge(worker_.TakeChanged());
    running_changed_ = running_changed_ || !reportable_.empty();
    SendToOwner send;
    schema::TaskReport* report = send.message.mutable_task_report();
    for (const std::string& key : reportable_) {
      const KeeperTask* task = table_.Find(key);
      if (task == nullptr) {
        continue;
      }
      if (task->phase == KeeperTask::Phase::kRunning) {
        *report->add_started() = tasks::RunningOf(*task);
      } else if (task->phase == KeeperTask::Phase::kEnded) {
        *report->add_ended() = tasks::EndedOf(*task);
      } else if (task->phase == KeeperTask::Phase::kRefused) {
        *report->add_refused() = tasks::RefusedOf(*task);
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

  auto Request(TimePoint now, KeeperActions* actions) -> void {
    next_request_ = now + options_.request_interval;
    ++requests_;
    SendToOwner send;
    schema::LeaseRequest* request = send.message.mutable_lease_request();
    request->set_cell(options_.cell);
    request->set_instance(options_.instance);
    request->set_instance_incarnation(worker_.incarnation());
    request->set_number(lease_.Ask(now));
    request->set_fence_seen(lease_.fence());
    request->set_leaving(leaving_);
    *request->mutable_capacity() = worker_.capacity();
    *request->mutable_used() = worker_.used();
    for (schema::EndedTask& ended : table_.Ended()) {
      *request->add_ended() = std::move(ended);
    }
    for (schema::RefusedOrder& refused : table_.Refused()) {
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

  // The whole list only if something started or ended since it was sent, and
  // to all entries: at 25 tasks it is most of what an agent sends.
  auto AddRunning(bool to_all, schema::LeaseRequest* request) -> void {
    if (full_number_ != 0 && !to_all && !running_changed_) {
      request->set_running_as_of(full_number_);
      return;
    }
    running_changed_ = false;
    full_number_ = request->number();
    for (schema::RunningTask& running : table_.Running()) {
      *request->add_running() = std::move(running);
    }
  }

  auto Send(SendToOwner send, KeeperActions* actions) -> void {
    send.message.set_sender(options_.agent_id);
    send.message.set_sender_incarnation(options_.agent_incarnation);
    actions->push_back(std::move(send));
  }

  KeeperOptions options_;
  tasks::KeeperTable table_;
  tasks::KeeperLease lease_;
  tasks::KeeperWorker worker_;
  bool born_ = false;
  bool leaving_ = false;
  TimePoint next_request_;
  uint64_t requests_ = 0;
  std::set<std::string> reportable_;
  // Latest request that listed what runs, and whether that has changed.
  uint64_t full_number_ = 0;
  bool running_changed_ = false;
};

TaskKeeper::TaskKeeper(KeeperOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

TaskKeeper::~TaskKeeper() = default;

auto TaskKeeper::OnMessage(TimePoint now,
                           const std::string& entry,
                           const schema::Envelope& message) -> KeeperActions {
  KeeperActions actions;
  impl_->Begin(now);
  if (message.has_lease_grant()) {
    impl_->OnGrant(now, entry, message.lease_grant(), &actions);
  } else if (message.has_task_order()) {
    impl_->OnOrder(now, message.task_order(), &actions);
  } else {
    actions.push_back(CountKeeper{"message_unexpected"});
  }
  impl_->Advance(now, &actions);
  return actions;
}

auto TaskKeeper::OnWorkerReply(TimePoint now, const WorkerOutcome& outcome)
    -> KeeperActions {
  KeeperActions actions;
  impl_->Begin(now);
  impl_->worker().OnOutcome(now, outcome, &actions);
  impl_->Advance(now, &actions);
  return actions;
}

auto TaskKeeper::Leave(TimePoint now) -> KeeperActions {
  KeeperActions actions;
  impl_->Begin(now);
  impl_->Leave();
  impl_->Advance(now, &actions);
  return actions;
}

auto TaskKeeper::OnTick(TimePoint now) -> KeeperActions {
  KeeperActions actions;
  impl_->Begin(now);
  impl_->Advance(now, &actions);
  return actions;
}

auto TaskKeeper::next_wake() const -> TimePoint {
  return impl_->next_wake();
}

auto TaskKeeper::idle() const -> bool {
  return impl_->idle();
}

auto TaskKeeper::leased(TimePoint now) const -> bool {
  return impl_->lease().leased(now);
}

auto TaskKeeper::fence() const -> uint64_t {
  return impl_->lease().fence();
}

auto TaskKeeper::running() const -> std::vector<schema::RunningTask> {
  return impl_->table().Running();
}

}  // namespace rhubarbhaven

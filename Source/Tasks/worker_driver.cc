#include "Tasks/worker_driver.h"

#include <algorithm>

#include "Tasks/resource_math.h"

namespace rhubarbhaven::tasks {
namespace {

// A start that has not been sent within this time is not sent at all. The
// window is short so that a lost answer is resolved soon.
constexpr std::chrono::milliseconds kStartWindow{2000};
// A call without a result after this time is treated as lost.
constexpr std::chrono::milliseconds kCallTimeout{10000};
// Calls that need a lease are made only while the latest reading of the
// worker's clock is younger than this number of status intervals.
constexpr int kClockReadingIntervals = 5;
constexpr std::chrono::milliseconds kClockMargin{50};
constexpr int kCheckpointTries = 3;
// If an attempt had been running for at least this long, its start is not the
// cause of an instance crash.
constexpr std::chrono::seconds kStableAfter{10};

}  // namespace

WorkerDriver::WorkerDriver(const SupervisorOptions& options,
                           SupervisedAttempts* table,
                           const SupervisorLease* lease)
    : options_(options), table_(table), lease_(lease) {}

auto WorkerDriver::SetStartTime(TimePoint now) -> void {
  initial_lease_end_ = now + options_.lease_ttl;
}

auto WorkerDriver::OnOutcome(TimePoint now,
                             const TaskCallResult& outcome,
                             SupervisorActions* actions) -> void {
  const auto call = calls_.Finish(outcome.call_id);
  if (!call.has_value()) {
    actions->push_back(CountSupervisorEvent{"worker_answer_late"});
    return;
  }
  if (call->kind == CallWorker::Kind::kStatus && outcome.known) {
    OnStatus(now, call->requested_at, outcome.status);
    Renew(now, actions);
    return;
  }
  SupervisedAttempt* task = table_->Find(call->key);
  if (task != nullptr && outcome.not_sent &&
      call->kind == CallWorker::Kind::kStart) {
    task->call_pending = false;
    task->retry_at = now + options_.status_interval;
    task->phase = SupervisedAttempt::Phase::kAccepted;
    actions->push_back(CountSupervisorEvent{"start_not_sent"});
    return;
  }
  if (!outcome.known) {
    actions->push_back(CountSupervisorEvent{"worker_answer_lost"});
    OnReplyLost(now, *call);
    return;
  }
  OnReply(now, *call, outcome.reply, actions);
}

auto WorkerDriver::OnReplyLost(TimePoint now, const PendingCall& call) -> void {
  SupervisedAttempt* task = table_->Find(call.key);
  if (task == nullptr) {
    return;
  }
  task->call_pending = false;
  task->retry_at = now + options_.status_interval;
  if (task->phase == SupervisedAttempt::Phase::kStarting) {
    task->phase = SupervisedAttempt::Phase::kUnresolved;
  }
}

auto WorkerDriver::OnReply(TimePoint now,
                           const PendingCall& call,
                           const schema::WorkerReply& reply,
                           SupervisorActions* actions) -> void {
  if (reply.expired()) {
    actions->push_back(CountSupervisorEvent{"worker_call_expired"});
  }
  SupervisedAttempt* task = table_->Find(call.key);
  if (task == nullptr) {
    return;
  }
  task->call_pending = false;
  switch (call.kind) {
    case CallWorker::Kind::kStart:
      OnStartReply(now, task, reply);
      return;
    case CallWorker::Kind::kForget:
      if (reply.ok()) {
        table_->Forget(call.key, now + options_.lease_ttl);
        return;
      }
      break;
    case CallWorker::Kind::kCheckpoint:
      task->checkpointed = reply.ok();
      break;
    default:
      break;
  }
  if (reply.ok()) {
    Update(now, task, reply.task());
  } else {
    task->retry_at = now + options_.status_interval;
  }
}

auto WorkerDriver::OnStartReply(TimePoint now,
                                SupervisedAttempt* task,
                                const schema::WorkerReply& reply) -> void {
  if (task->phase != SupervisedAttempt::Phase::kStarting) {
    // A status has already resolved the start.
    return;
  }
  if (reply.expired()) {
    task->phase = SupervisedAttempt::Phase::kAccepted;
    task->retry_at = now + options_.status_interval;
    return;
  }
  if (!reply.ok()) {
    End(task, schema::FAILED,
        "the worker refused the start: " + reply.problem());
    return;
  }
  Update(now, task, reply.task());
}

auto WorkerDriver::OnStatus(TimePoint now,
                            TimePoint requested_at,
                            const schema::WorkerStatus& status) -> void {
  if (status.incarnation() != incarnation_) {
    OnNewIncarnation(status.incarnation());
  }
  status_requested_at_ = requested_at;
  clock_.OnStatus(now, status.clock_ms());
  capacity_ = status.capacity();
  used_ = schema::Resources();
  foreign_ = schema::Resources();
  std::set<std::string> present;
  for (const schema::WorkerTask& seen : status.tasks()) {
    used_ = Sum(used_, seen.used());
    const auto name = ParseWorkerTaskName(seen.name());
    if (!name.has_value()) {
      foreign_ = Sum(foreign_, seen.used());
      continue;
    }
    present.insert(AttemptKey(name->task, name->attempt));
    OnWorkerTask(now, seen);
  }
  EndAbsentAttempts(requested_at, present);
  usage_.OnWorkerStatus(now, status);
}

auto WorkerDriver::MayHaveCausedCrash(const SupervisedAttempt& task) const
    -> bool {
  switch (task.phase) {
    case SupervisedAttempt::Phase::kStarting:
    case SupervisedAttempt::Phase::kUnresolved:
      return true;
    case SupervisedAttempt::Phase::kRunning:
      // Runtime up to the last status of the worker's previous incarnation.
      return status_requested_at_ - task.running_since < kStableAfter;
    default:
      return false;
  }
}

auto WorkerDriver::OnNewIncarnation(uint64_t incarnation) -> void {
  incarnation_ = incarnation;
  // No attempt of the previous incarnation is running any more, and the owner
  // detects that from the new incarnation. Only this agent knows which attempts
  // had just started, however, and one of them may have caused the crash.
  for (auto& [key, task] : table_->all()) {
    if (MayHaveCausedCrash(task)) {
      End(&task, schema::CRASHED, "the instance started anew");
    }
  }
  std::erase_if(table_->all(),
                [](const auto& task) { return !task.second.is_final(); });
  for (auto& [key, task] : table_->all()) {
    task.call_pending = false;
  }
}

auto WorkerDriver::OnWorkerTask(TimePoint now, const schema::WorkerTask& seen)
    -> void {
  const auto name = ParseWorkerTaskName(seen.name());
  const std::string key = AttemptKey(name->task, name->attempt);
  SupervisedAttempt* task = table_->Find(key);
  if (task == nullptr) {
    if (table_->IsForgotten(now, key)) {
      return;
    }
    // The attempt was started by an earlier incarnation of this agent.
    task = &table_->Add(*name);
    task->phase = SupervisedAttempt::Phase::kUnresolved;
    task->start_not_after = initial_lease_end_;
    task->want_throttled = seen.state() == schema::WORKER_TASK_THROTTLED;
  }
  Update(now, task, seen);
}

auto WorkerDriver::EndAbsentAttempts(TimePoint requested_at,
                                     const std::set<std::string>& present)
    -> void {
  for (auto& [key, task] : table_->all()) {
    // A status requested before the start took effect can arrive after the
    // answer to the start. Without this comparison, the running task would be
    // declared lost.
    if (task.phase == SupervisedAttempt::Phase::kRunning &&
        !present.contains(key) && requested_at > task.running_since) {
      End(&task, schema::LOST, "the worker does not know the task any more");
    }
  }
}

auto WorkerDriver::TakeChanged() -> std::set<std::string> {
  return std::exchange(changed_, {});
}

auto WorkerDriver::Update(TimePoint now,
                          SupervisedAttempt* task,
                          const schema::WorkerTask& seen) -> void {
  if (task->phase == SupervisedAttempt::Phase::kEnded) {
    return;
  }
  task->observed_usage = Larger(task->observed_usage, seen.used());
  task->progress_permille = seen.progress_permille();
  if (!seen.checkpoint().empty()) {
    task->checkpoint = seen.checkpoint();
  }
  switch (seen.state()) {
    case schema::WORKER_TASK_RUNNING:
    case schema::WORKER_TASK_THROTTLED:
      task->throttled = seen.state() == schema::WORKER_TASK_THROTTLED;
      if (task->phase != SupervisedAttempt::Phase::kRunning) {
        task->running_since = now;
        SetPhase(task, SupervisedAttempt::Phase::kRunning);
      }
      return;
    case schema::WORKER_TASK_FINISHED:
      End(task, schema::FINISHED, seen.detail());
      return;
    case schema::WORKER_TASK_FAILED:
      End(task, schema::FAILED, seen.detail());
      return;
    case schema::WORKER_TASK_STOPPED:
      if (task->stop == SupervisedAttempt::Stop::kNone) {
        End(task, schema::LOST, "stopped by the worker: " + seen.detail());
      } else if (task->stop == SupervisedAttempt::Stop::kStop) {
        End(task, schema::CANCELLED, seen.detail());
      } else {
        End(task, schema::EVICTED, seen.detail());
      }
      return;
    default:
      return;
  }
}

auto WorkerDriver::SetPhase(SupervisedAttempt* task,
                            SupervisedAttempt::Phase phase) -> void {
  task->phase = phase;
  changed_.insert(task->key);
}

auto WorkerDriver::End(SupervisedAttempt* task,
                       schema::TaskOutcome outcome,
                       const std::string& detail) -> void {
  task->outcome = outcome;
  task->detail = detail;
  task->call_pending = false;
  SetPhase(task, SupervisedAttempt::Phase::kEnded);
}

auto WorkerDriver::Step(TimePoint now, SupervisorActions* actions) -> void {
  for (const PendingCall& call : calls_.TakeOverdue(now - kCallTimeout)) {
    actions->push_back(CountSupervisorEvent{"worker_answer_lost"});
    OnReplyLost(now, call);
  }
  std::vector<std::string> keys;
  for (const auto& [key, task] : table_->all()) {
    keys.push_back(key);
  }
  for (const std::string& key : keys) {
    StepTask(now, table_->Find(key), actions);
  }
  PollStatus(now, actions);
}

auto WorkerDriver::StepTask(TimePoint now,
                            SupervisedAttempt* task,
                            SupervisorActions* actions) -> void {
  if (task->call_pending || now < task->retry_at) {
    return;
  }
  const bool unwanted = task->stop != SupervisedAttempt::Stop::kNone ||
                        !task->reject_reason.empty();
  switch (task->phase) {
    case SupervisedAttempt::Phase::kAccepted:
      if (unwanted) {
        task->phase = SupervisedAttempt::Phase::kUnresolved;
        StepUnresolved(task);
      } else if (MayAct(now)) {
        Start(now, task, actions);
      }
      return;
    case SupervisedAttempt::Phase::kUnresolved:
      StepUnresolved(task);
      return;
    case SupervisedAttempt::Phase::kRunning:
      StepRunning(now, task, actions);
      return;
    case SupervisedAttempt::Phase::kEnded:
      // A start whose answer was lost may still be in transit when the task has
      // ended. If the worker had already forgotten the attempt, it would run it
      // again, so it is told to forget only when no start can arrive any more.
      if (task->recorded && now > task->start_not_after + kClockMargin) {
        Command(now, task, CallWorker::Kind::kForget, actions);
      }
      return;
    case SupervisedAttempt::Phase::kRejected:
      if (task->recorded) {
        const std::string key = task->key;
        table_->Forget(key, now + options_.lease_ttl);
      }
      return;
    default:
      return;
  }
}

auto WorkerDriver::StepUnresolved(SupervisedAttempt* task) -> void {
  // A status that was requested after the last start had expired, and that does
  // not list the attempt, proves that the attempt never started.
  if (status_requested_at_ <= task->start_not_after + kClockMargin) {
    return;
  }
  if (task->stop == SupervisedAttempt::Stop::kNone &&
      task->reject_reason.empty()) {
    task->phase = SupervisedAttempt::Phase::kAccepted;
    return;
  }
  if (task->reject_reason.empty()) {
    task->reject_reason = "stopped before its start";
  }
  SetPhase(task, SupervisedAttempt::Phase::kRejected);
}

auto WorkerDriver::StepRunning(TimePoint now,
                               SupervisedAttempt* task,
                               SupervisorActions* actions) -> void {
  if (!task->reject_reason.empty() &&
      task->stop == SupervisedAttempt::Stop::kNone) {
    task->stop = SupervisedAttempt::Stop::kStop;
  }
  if (task->stop == SupervisedAttempt::Stop::kCheckpointAndStop &&
      !task->checkpointed && task->checkpoint_calls < kCheckpointTries) {
    ++task->checkpoint_calls;
    Command(now, task, CallWorker::Kind::kCheckpoint, actions);
    return;
  }
  if (task->stop != SupervisedAttempt::Stop::kNone) {
    Command(now, task, CallWorker::Kind::kStop, actions);
    return;
  }
  if (task->want_throttled != task->throttled) {
    Command(now, task,
            task->want_throttled ? CallWorker::Kind::kThrottle
                                 : CallWorker::Kind::kUnthrottle,
            actions);
  }
}

auto WorkerDriver::Start(TimePoint now,
                         SupervisedAttempt* task,
                         SupervisorActions* actions) -> void {
  CallWorker call = calls_.Begin(now, CallWorker::Kind::kStart, task->key);
  call.not_after = std::min(lease_->end(), now + kStartWindow);
  call.start.set_name(task->worker_name);
  call.start.set_attempt(task->name.attempt);
  *call.start.mutable_need() = task->name.admitted;
  call.start.set_command(task->command);
  call.start.set_checkpoint(task->checkpoint);
  call.start.set_lease_ms(static_cast<uint32_t>(options_.worker_lease.count()));
  call.start.set_incarnation(incarnation_);
  call.start.set_not_after_ms(clock_.ToWorkerMs(call.not_after));
  task->start_not_after = std::max(task->start_not_after, call.not_after);
  task->phase = SupervisedAttempt::Phase::kStarting;
  task->call_pending = true;
  actions->push_back(std::move(call));
}

auto WorkerDriver::Command(TimePoint now,
                           SupervisedAttempt* task,
                           CallWorker::Kind kind,
                           SupervisorActions* actions) -> void {
  CallWorker call = calls_.Begin(now, kind, task->key);
  call.command.set_name(task->worker_name);
  call.command.set_attempt(task->name.attempt);
  task->call_pending = true;
  actions->push_back(std::move(call));
}

auto WorkerDriver::Renew(TimePoint now, SupervisorActions* actions) -> void {
  if (!MayAct(now) || calls_.IsPending(CallWorker::Kind::kRenew)) {
    return;
  }
  CallWorker call = calls_.Begin(now, CallWorker::Kind::kRenew, "");
  call.not_after = lease_->end();
  call.renew.set_lease_ms(static_cast<uint32_t>(options_.worker_lease.count()));
  call.renew.set_incarnation(incarnation_);
  call.renew.set_not_after_ms(clock_.ToWorkerMs(call.not_after));
  for (const auto& [key, task] : table_->all()) {
    if (task.phase == SupervisedAttempt::Phase::kRunning) {
      call.renew.add_names(task.worker_name);
    }
  }
  if (call.renew.names().empty()) {
    calls_.Finish(call.call_id);
    return;
  }
  actions->push_back(std::move(call));
}

auto WorkerDriver::PollStatus(TimePoint now, SupervisorActions* actions)
    -> void {
  if (now < next_status_) {
    return;
  }
  next_status_ = now + options_.status_interval;
  if (calls_.IsPending(CallWorker::Kind::kStatus)) {
    return;
  }
  actions->push_back(calls_.Begin(now, CallWorker::Kind::kStatus, ""));
}

auto WorkerDriver::MayAct(TimePoint now) const -> bool {
  return incarnation_ != 0 && lease_->leased(now) &&
         now < clock_.replied() +
                   kClockReadingIntervals * options_.status_interval;
}

}  // namespace rhubarbhaven::tasks

#include "Tasks/keeper_worker.h"

#include <algorithm>

#include "Tasks/resource_math.h"

namespace rhubarbhaven::tasks {
namespace {

// A start that is not sent within this time is given up; short, so that an
// answer that was lost is resolved soon.
constexpr std::chrono::milliseconds kStartWindow{2000};
// Outcomes that do not come back within this time count as lost.
constexpr std::chrono::milliseconds kCallTimeout{10000};
// Readings of the worker's clock that are older are not acted on.
constexpr int kClockReadingIntervals = 5;
constexpr std::chrono::milliseconds kClockMargin{50};
constexpr int kCheckpointTries = 3;
// An attempt that has run for this long did not crash its instance by its
// start.
constexpr std::chrono::seconds kSoundAfter{10};

}  // namespace

KeeperWorker::KeeperWorker(const KeeperOptions& options,
                           KeeperTable* table,
                           const KeeperLease* lease)
    : options_(options), table_(table), lease_(lease) {}

auto KeeperWorker::SetBirth(TimePoint now) -> void {
  birth_lease_end_ = now + options_.lease_ttl;
}

auto KeeperWorker::OnOutcome(TimePoint now,
                             const WorkerOutcome& outcome,
                             KeeperActions* actions) -> void {
  const auto call = calls_.Finish(outcome.call_id);
  if (!call.has_value()) {
    actions->push_back(CountKeeper{"worker_answer_late"});
    return;
  }
  if (call->kind == CallWorker::Kind::kStatus && outcome.known) {
    OnStatus(now, call->asked, outcome.status);
    Renew(now, actions);
    return;
  }
  KeeperTask* task = table_->Find(call->key);
  if (task != nullptr && outcome.not_sent &&
      call->kind == CallWorker::Kind::kStart) {
    task->calling = false;
    task->retry_at = now + options_.status_interval;
    task->phase = KeeperTask::Phase::kAccepted;
    actions->push_back(CountKeeper{"start_not_sent"});
    return;
  }
  if (!outcome.known) {
    actions->push_back(CountKeeper{"worker_answer_lost"});
    OnUnknown(now, *call);
    return;
  }
  OnReply(now, *call, outcome.reply, actions);
}

auto KeeperWorker::OnUnknown(TimePoint now, const PendingCall& call) -> void {
  KeeperTask* task = table_->Find(call.key);
  if (task == nullptr) {
    return;
  }
  task->calling = false;
  task->retry_at = now + options_.status_interval;
  if (task->phase == KeeperTask::Phase::kStarting) {
    task->phase = KeeperTask::Phase::kUnresolved;
  }
}

auto KeeperWorker::OnReply(TimePoint now,
                           const PendingCall& call,
                           const schema::WorkerReply& reply,
                           KeeperActions* actions) -> void {
  if (reply.expired()) {
    actions->push_back(CountKeeper{"worker_call_expired"});
  }
  KeeperTask* task = table_->Find(call.key);
  if (task == nullptr) {
    return;
  }
  task->calling = false;
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

auto KeeperWorker::OnStartReply(TimePoint now,
                                KeeperTask* task,
                                const schema::WorkerReply& reply) -> void {
  if (task->phase != KeeperTask::Phase::kStarting) {
    // A status was faster.
    return;
  }
  if (reply.expired()) {
    task->phase = KeeperTask::Phase::kAccepted;
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

auto KeeperWorker::OnStatus(TimePoint now,
                            TimePoint asked,
                            const schema::WorkerStatus& status) -> void {
  if (status.incarnation() != incarnation_) {
    OnNewIncarnation(status.incarnation());
  }
  status_asked_ = asked;
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
  NoteAbsent(asked, present);
  usage_.Note(now, status);
}

auto KeeperWorker::MayHaveCrashed(const KeeperTask& task) const -> bool {
  switch (task.phase) {
    case KeeperTask::Phase::kStarting:
    case KeeperTask::Phase::kUnresolved:
      return true;
    case KeeperTask::Phase::kRunning:
      // Until the last status of the incarnation before.
      return status_asked_ - task.running_since < kSoundAfter;
    default:
      return false;
  }
}

auto KeeperWorker::OnNewIncarnation(uint64_t incarnation) -> void {
  incarnation_ = incarnation;
  // Nothing of the earlier incarnation runs. Its owner learns that from the
  // new incarnation; but only this agent knows what had just begun, which may
  // be what the instance crashed of.
  for (auto& [key, task] : table_->all()) {
    if (MayHaveCrashed(task)) {
      End(&task, schema::CRASHED, "the instance started anew");
    }
  }
  std::erase_if(table_->all(),
                [](const auto& task) { return !task.second.over(); });
  for (auto& [key, task] : table_->all()) {
    task.calling = false;
  }
}

auto KeeperWorker::OnWorkerTask(TimePoint now, const schema::WorkerTask& seen)
    -> void {
  const auto name = ParseWorkerTaskName(seen.name());
  const std::string key = AttemptKey(name->task, name->attempt);
  KeeperTask* task = table_->Find(key);
  if (task == nullptr) {
    if (table_->IsForgotten(now, key)) {
      return;
    }
    // Started by an earlier incarnation of this agent.
    task = &table_->Add(*name);
    task->phase = KeeperTask::Phase::kUnresolved;
    task->start_not_after = birth_lease_end_;
    task->want_throttled = seen.state() == schema::WORKER_TASK_THROTTLED;
  }
  Update(now, task, seen);
}

auto KeeperWorker::NoteAbsent(TimePoint asked,
                              const std::set<std::string>& present) -> void {
  for (auto& [key, task] : table_->all()) {
    // What goes wrong: a status that was asked before the start took effect
    // comes after the start's answer, and the running task is taken for gone.
    if (task.phase == KeeperTask::Phase::kRunning && !present.contains(key) &&
        asked > task.running_since) {
      End(&task, schema::LOST, "the worker does not know the task any more");
    }
  }
}

auto KeeperWorker::TakeChanged() -> std::set<std::string> {
  return std::exchange(changed_, {});
}

auto KeeperWorker::Update(TimePoint now,
                          KeeperTask* task,
                          const schema::WorkerTask& seen) -> void {
  if (task->phase == KeeperTask::Phase::kEnded) {
    return;
  }
  task->seen = Larger(task->seen, seen.used());
  task->progress_permille = seen.progress_permille();
  if (!seen.checkpoint().empty()) {
    task->checkpoint = seen.checkpoint();
  }
  switch (seen.state()) {
    case schema::WORKER_TASK_RUNNING:
    case schema::WORKER_TASK_THROTTLED:
      task->throttled = seen.state() == schema::WORKER_TASK_THROTTLED;
      if (task->phase != KeeperTask::Phase::kRunning) {
        task->running_since = now;
        SetPhase(task, KeeperTask::Phase::kRunning);
      }
      return;
    case schema::WORKER_TASK_FINISHED:
      End(task, schema::FINISHED, seen.detail());
      return;
    case schema::WORKER_TASK_FAILED:
      End(task, schema::FAILED, seen.detail());
      return;
    case schema::WORKER_TASK_STOPPED:
      if (task->stop == KeeperTask::Stop::kNone) {
        End(task, schema::LOST, "stopped by the worker: " + seen.detail());
      } else if (task->stop == KeeperTask::Stop::kStop) {
        End(task, schema::CANCELLED, seen.detail());
      } else {
        End(task, schema::EVICTED, seen.detail());
      }
      return;
    default:
      return;
  }
}

auto KeeperWorker::SetPhase(KeeperTask* task, KeeperTask::Phase phase) -> void {
  task->phase = phase;
  changed_.insert(task->key);
}

auto KeeperWorker::End(KeeperTask* task,
                       schema::TaskOutcome outcome,
                       const std::string& detail) -> void {
  task->outcome = outcome;
  task->detail = detail;
  task->calling = false;
  SetPhase(task, KeeperTask::Phase::kEnded);
}

auto KeeperWorker::Step(TimePoint now, KeeperActions* actions) -> void {
  for (const PendingCall& call : calls_.TakeOverdue(now - kCallTimeout)) {
    actions->push_back(CountKeeper{"worker_answer_lost"});
    OnUnknown(now, call);
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

auto KeeperWorker::StepTask(TimePoint now,
                            KeeperTask* task,
                            KeeperActions* actions) -> void {
  if (task->calling || now < task->retry_at) {
    return;
  }
  const bool unwanted =
      task->stop != KeeperTask::Stop::kNone || !task->refuse_why.empty();
  switch (task->phase) {
    case KeeperTask::Phase::kAccepted:
      if (unwanted) {
        task->phase = KeeperTask::Phase::kUnresolved;
        StepUnresolved(task);
      } else if (MayAct(now)) {
        Start(now, task, actions);
      }
      return;
    case KeeperTask::Phase::kUnresolved:
      StepUnresolved(task);
      return;
    case KeeperTask::Phase::kRunning:
      StepRunning(now, task, actions);
      return;
    case KeeperTask::Phase::kEnded:
      // What goes wrong: a start whose answer was lost may still be under way
      // when the task has ended; a worker that forgot the attempt would run it
      // again. So the worker forgets only when no start can arrive any more.
      if (task->recorded && now > task->start_not_after + kClockMargin) {
        Command(now, task, CallWorker::Kind::kForget, actions);
      }
      return;
    case KeeperTask::Phase::kRefused:
      if (task->recorded) {
        const std::string key = task->key;
        table_->Forget(key, now + options_.lease_ttl);
      }
      return;
    default:
      return;
  }
}

auto KeeperWorker::StepUnresolved(KeeperTask* task) -> void {
  // A status that was asked for after the last start became void, and does
  // not list the attempt, proves that it never started.
  if (status_asked_ <= task->start_not_after + kClockMargin) {
    return;
  }
  if (task->stop == KeeperTask::Stop::kNone && task->refuse_why.empty()) {
    task->phase = KeeperTask::Phase::kAccepted;
    return;
  }
  if (task->refuse_why.empty()) {
    task->refuse_why = "stopped before its start";
  }
  SetPhase(task, KeeperTask::Phase::kRefused);
}

auto KeeperWorker::StepRunning(TimePoint now,
                               KeeperTask* task,
                               KeeperActions* actions) -> void {
  if (!task->refuse_why.empty() && task->stop == KeeperTask::Stop::kNone) {
    task->stop = KeeperTask::Stop::kStop;
  }
  if (task->stop == KeeperTask::Stop::kCheckpointAndStop &&
      !task->checkpointed && task->checkpoint_calls < kCheckpointTries) {
    ++task->checkpoint_calls;
    Command(now, task, CallWorker::Kind::kCheckpoint, actions);
    return;
  }
  if (task->stop != KeeperTask::Stop::kNone) {
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

auto KeeperWorker::Start(TimePoint now,
                         KeeperTask* task,
                         KeeperActions* actions) -> void {
  CallWorker call = calls_.Begin(now, CallWorker::Kind::kStart, task->key);
  call.not_after = std::min(lease_->end(), now + kStartWindow);
  call.start.set_name(task->text);
  call.start.set_attempt(task->name.attempt);
  *call.start.mutable_need() = task->name.admitted;
  call.start.set_command(task->command);
  call.start.set_checkpoint(task->checkpoint);
  call.start.set_lease_ms(static_cast<uint32_t>(options_.worker_lease.count()));
  call.start.set_incarnation(incarnation_);
  call.start.set_not_after_ms(clock_.ToWorkerMs(call.not_after));
  task->start_not_after = std::max(task->start_not_after, call.not_after);
  task->phase = KeeperTask::Phase::kStarting;
  task->calling = true;
  actions->push_back(std::move(call));
}

auto KeeperWorker::Command(TimePoint now,
                           KeeperTask* task,
                           CallWorker::Kind kind,
                           KeeperActions* actions) -> void {
  CallWorker call = calls_.Begin(now, kind, task->key);
  call.command.set_name(task->text);
  call.command.set_attempt(task->name.attempt);
  task->calling = true;
  actions->push_back(std::move(call));
}

auto KeeperWorker::Renew(TimePoint now, KeeperActions* actions) -> void {
  if (!MayAct(now) || calls_.IsPending(CallWorker::Kind::kRenew)) {
    return;
  }
  CallWorker call = calls_.Begin(now, CallWorker::Kind::kRenew, "");
  call.not_after = lease_->end();
  call.renew.set_lease_ms(static_cast<uint32_t>(options_.worker_lease.count()));
  call.renew.set_incarnation(incarnation_);
  call.renew.set_not_after_ms(clock_.ToWorkerMs(call.not_after));
  for (const auto& [key, task] : table_->all()) {
    if (task.phase == KeeperTask::Phase::kRunning) {
      call.renew.add_names(task.text);
    }
  }
  if (call.renew.names().empty()) {
    calls_.Finish(call.call_id);
    return;
  }
  actions->push_back(std::move(call));
}

auto KeeperWorker::PollStatus(TimePoint now, KeeperActions* actions) -> void {
  if (now < next_status_) {
    return;
  }
  next_status_ = now + options_.status_interval;
  if (calls_.IsPending(CallWorker::Kind::kStatus)) {
    return;
  }
  actions->push_back(calls_.Begin(now, CallWorker::Kind::kStatus, ""));
}

auto KeeperWorker::MayAct(TimePoint now) const -> bool {
  return incarnation_ != 0 && lease_->leased(now) &&
         now < clock_.replied() +
                   kClockReadingIntervals * options_.status_interval;
}

}  // namespace rhubarbhaven::tasks

#include "Tests/Tasks/task_world.h"

#include <algorithm>
#include <utility>

#include "Placement/placement.h"
#include "Tasks/worker_task_name.h"

namespace rhubarbhaven::test {
namespace {

constexpr milliseconds kTick{100};
constexpr milliseconds kReadInterval{250};
constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kAppendTimeout{2000};
constexpr uint32_t kMillicores = 16000;
constexpr uint32_t kTaskMillicores = 6000;
constexpr int kThousand = 1000;

auto InstanceName(int index) -> std::string {
  return "instance-" + std::to_string(index);
}
auto AgentName(int index) -> std::string {
  return "agent-" + std::to_string(index);
}
auto EntryName(int index) -> std::string {
  return "entry-" + std::to_string(index);
}

}  // namespace

SimulatedTaskCluster::SimulatedTaskCluster(SimulationOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      now_(std::chrono::hours(1)),
      entries_(options_.entries),
      agents_(options_.instances),
      workers_(options_.instances),
      reference_fold_("cell-0"),
      faults_(options_.faults) {
  const auto set_clock = [this](Process* process) -> void {
    process->clock_offset = milliseconds(Random(1000000));
    process->clock_rate =
        1 + 1e-6 * (Random(2 * options_.drift + 1) - options_.drift);
  };
  for (Entry& entry : entries_) {
    set_clock(&entry.process);
  }
  for (Agent& agent : agents_) {
    set_clock(&agent.process);
  }
  for (Worker& worker : workers_) {
    set_clock(&worker.process);
  }
  for (int i = 0; i < options_.instances; ++i) {
    StartWorker(i);
    StartAgent(i);
  }
  for (int i = 0; i < options_.entries; ++i) {
    StartEntry(i);
  }
}

auto SimulatedTaskCluster::Schedule(milliseconds after,
                                    std::function<auto()->void> action)
    -> void {
  queue_[{now_ + after, ++sequence_}] = std::move(action);
}

auto SimulatedTaskCluster::RunInProcess(Process* process,
                                        milliseconds after,
                                        std::function<auto()->void> act)
    -> void {
  const uint64_t epoch = process->epoch;
  Schedule(
      after, [this, process, epoch, act = std::move(act)]() mutable -> void {
        if (!process->alive || process->epoch != epoch) {
          return;
        }
        if (process->frozen_until > now_) {
          const auto left =
              std::chrono::ceil<milliseconds>(process->frozen_until - now_);
          RunInProcess(process, left, std::move(act));
          return;
        }
        act();
      });
}

auto SimulatedTaskCluster::LocalTime(const Process& process) const
    -> TimePoint {
  const auto real = now_.time_since_epoch();
  return TimePoint(
             std::chrono::duration_cast<Duration>(real * process.clock_rate)) +
         process.clock_offset;
}

auto SimulatedTaskCluster::Random(int below) -> int {
  return static_cast<int>(random_() % static_cast<uint32_t>(below));
}

auto SimulatedTaskCluster::Chance(int in_thousand) -> bool {
  return Random(kThousand) < in_thousand;
}

auto SimulatedTaskCluster::NetDelay() -> milliseconds {
  return milliseconds(Chance(options_.delay) ? Random(10000) : 1 + Random(20));
}

auto SimulatedTaskCluster::ProcessOf(Target target, int index) -> Process* {
  switch (target) {
    case Target::kWorker:
      return &workers_[index].process;
    case Target::kAgent:
      return &agents_[index].process;
    default:
      return &entries_[index].process;
  }
}

auto SimulatedTaskCluster::StartWorker(int index) -> void {
  WorkerModelOptions options;
  options.incarnation = ++next_incarnation_;
  options.capacity.set_millicores(kMillicores);
  options.on_event =
      [this, index](const std::string& event, const std::string& name, uint32_t,
                    TimePoint) -> void { OnWorkerEvent(index, event, name); };
  workers_[index].model = std::make_unique<WorkerModel>(std::move(options));
}

auto SimulatedTaskCluster::StartAgent(int index) -> void {
  SupervisorOptions options;
  options.agent_id = AgentName(index);
  options.agent_incarnation = ++next_incarnation_;
  options.instance = InstanceName(index);
  options.cell = "cell-0";
  options.lease_ttl = options_.owner.lease_ttl;
  options.worker_lease = options_.owner.worker_lease;
  agents_[index].supervisor = std::make_unique<TaskSupervisor>(options);
  agents_[index].fence = 0;
  TickAgent(index);
}

auto SimulatedTaskCluster::StartEntry(int index) -> void {
  Entry& entry = entries_[index];
  OwnerOptions options = options_.owner;
  options.cell = "cell-0";
  options.entry_id = EntryName(index);
  options.entry_incarnation = ++next_incarnation_;
  AppendQueueOptions queue;
  queue.writer = options.entry_id;
  queue.incarnation = options.entry_incarnation;
  entry.queue = std::make_unique<AppendQueue>(queue);
  entry.owner = std::make_unique<Owner>(options);
  Execute(index, entry.owner->OnConfig(LocalTime(entry.process), config_));
  const int peer = Random(options_.entries);
  if (peer != index && entries_[peer].owner != nullptr) {
    Execute(index,
            entry.owner->OnSnapshot(LocalTime(entry.process),
                                    entries_[peer].owner->fold().Export()));
  }
  TickEntry(index);
  ReadLog(index);
}

auto SimulatedTaskCluster::SetConfig(
    std::vector<schema::VersionedObject> objects) -> void {
  config_ = std::move(objects);
  for (int i = 0; i < options_.entries; ++i) {
    RunInProcess(
        &entries_[i].process, milliseconds(Random(500)), [this, i]() -> void {
          Entry& entry = entries_[i];
          Execute(i, entry.owner->OnConfig(LocalTime(entry.process), config_));
        });
  }
}

auto SimulatedTaskCluster::TickEntry(int index) -> void {
  RunInProcess(&entries_[index].process, kTick, [this, index]() -> void {
    Entry& entry = entries_[index];
    Execute(index, entry.owner->OnTick(LocalTime(entry.process)));
    PumpAppends(index);
    TickEntry(index);
  });
}

auto SimulatedTaskCluster::TickAgent(int index) -> void {
  RunInProcess(&agents_[index].process, kTick, [this, index]() -> void {
    Agent& agent = agents_[index];
    Execute(index, agent.supervisor->OnTick(LocalTime(agent.process)));
    TickAgent(index);
  });
}

auto SimulatedTaskCluster::ReadLog(int index) -> void {
  RunInProcess(
      &entries_[index].process, kReadInterval, [this, index]() -> void {
        ReadLog(index);
        Entry& entry = entries_[index];
        const TimePoint asked = LocalTime(entry.process);
        if (log_down_ || entry.disconnected) {
          return;
        }
        if (Chance(options_.lose)) {
          return;
        }
        const uint64_t epoch = entry.process.epoch;
        Schedule(NetDelay(), [this, index, asked, epoch]() -> void {
          const std::size_t end = log_.size();
          Process* process = &entries_[index].process;
          if (process->epoch != epoch) {
            return;
          }
          RunInProcess(
              process, NetDelay(), [this, index, asked, end]() -> void {
                Entry& entry = entries_[index];
                const TimePoint now = LocalTime(entry.process);
                for (std::size_t i = entry.owner->fold().applied(); i < end;
                     ++i) {
                  Execute(index, entry.owner->OnRecord(now, i + 1, log_[i]));
                  entry.queue->OnRead(now, log_[i]);
                }
                entry.queue->OnCaughtUp(now, asked);
                Execute(index, entry.owner->OnCaughtUp(now, asked));
              });
        });
      });
}

auto SimulatedTaskCluster::PumpAppends(int index) -> void {
  Entry& entry = entries_[index];
  const TimePoint now = LocalTime(entry.process);
  const auto record = entry.queue->NextRecord(now);
  if (!record.has_value()) {
    return;
  }
  if (log_down_ || entry.disconnected) {
    entry.queue->OnRejected(now);
    for (const schema::LogEntry& failed : entry.queue->TakeUnsent()) {
      Execute(index, entry.owner->OnAppendFailed(now, failed));
    }
    return;
  }
  const bool arrives = !Chance(options_.lose);
  const milliseconds one_way_delay = NetDelay();
  if (arrives) {
    Schedule(one_way_delay,
             [this, copy = *record]() -> void { AppendToLog(copy); });
  }
  if (arrives && one_way_delay < kAppendTimeout && !Chance(options_.lose)) {
    RunInProcess(
        &entry.process, one_way_delay + milliseconds(1),
        [this, index]() -> void {
          entries_[index].queue->OnAppended(LocalTime(entries_[index].process));
        });
    return;
  }
  RunInProcess(&entry.process, kAppendTimeout, [this, index]() -> void {
    entries_[index].queue->OnUnknown(LocalTime(entries_[index].process));
  });
}

auto SimulatedTaskCluster::AppendToLog(const schema::LogRecord& record)
    -> void {
  log_.push_back(record);
  for (const CellEffect& effect : reference_fold_.Apply(log_.size(), record)) {
    if (!effect.accepted || !effect.entry.has_task_end()) {
      continue;
    }
    const schema::TaskEnd& end = effect.entry.task_end();
    if (end.outcome() == schema::FINISHED) {
      finished_.insert(TaskName(end.task()));
    }
    TriggerFaults(Step::kEnd, 0);
  }
  if (reference_fold_.fence() != 0 &&
      reference_fold_.fence() < highest_fence_) {
    ReportViolation("the fence decreased");
  }
  highest_fence_ = std::max(highest_fence_, reference_fold_.fence());
}

auto SimulatedTaskCluster::Execute(int entry, const OwnerActions& actions)
    -> void {
  for (const OwnerAction& action : actions) {
    if (const auto* append = std::get_if<AppendToCell>(&action)) {
      entries_[entry].queue->Enqueue(append->entry,
                                     LocalTime(entries_[entry].process));
      if (append->entry.has_placement()) {
        TriggerFaults(Step::kPlace,
                      append->entry.placement().instance().back() - '0');
      }
    } else if (const auto* count = std::get_if<CountOwnerEvent>(&action)) {
      ++counts_[count->counter];
    } else if (const auto* order = std::get_if<SendToSupervisor>(&action)) {
      const int agent = order->agent.back() - '0';
      if (!disconnected_links_.contains({entry, agent})) {
        Send(&agents_[agent].process,
             [this, entry, agent, message = order->message]() -> void {
               Agent& to = agents_[agent];
               Execute(agent,
                       to.supervisor->OnMessage(LocalTime(to.process),
                                                EntryName(entry), message));
             });
      }
    }
  }
}

auto SimulatedTaskCluster::Execute(int agent, const SupervisorActions& actions)
    -> void {
  for (const SupervisorAction& action : actions) {
    if (const auto* call = std::get_if<CallWorker>(&action)) {
      Call(agent, *call);
    } else if (const auto* count = std::get_if<CountSupervisorEvent>(&action)) {
      ++counts_[count->counter];
    } else if (const auto* send = std::get_if<SendToOwner>(&action)) {
      for (int i = 0; i < options_.entries; ++i) {
        const bool to = send->entry.empty() || send->entry == EntryName(i);
        if (!to || disconnected_links_.contains({i, agent})) {
          continue;
        }
        Send(&entries_[i].process,
             [this, i, agent, message = send->message]() -> void {
               Entry& entry = entries_[i];
               Execute(i, entry.owner->OnMessage(LocalTime(entry.process),
                                                 AgentName(agent), message));
             });
      }
    }
  }
}

auto SimulatedTaskCluster::Send(Process* to,
                                std::function<auto()->void> deliver) -> void {
  if (Chance(options_.lose)) {
    return;
  }
  // Delivers to the incarnation that is running on arrival.
  const auto arrive = [this, to, deliver = std::move(deliver)]() -> void {
    RunInProcess(to, milliseconds(0), deliver);
  };
  if (Chance(options_.repeat)) {
    Schedule(NetDelay(), arrive);
  }
  Schedule(NetDelay(), arrive);
}

auto SimulatedTaskCluster::Call(int agent, const CallWorker& call) -> void {
  Process* caller = &agents_[agent].process;
  const uint64_t id = call.call_id;
  // A restarted agent receives no answers to calls of its previous incarnation.
  const auto answer = [this, agent, epoch = caller->epoch](
                          const TaskCallResult& outcome) -> void {
    Agent& to = agents_[agent];
    if (to.process.epoch != epoch) {
      return;
    }
    Execute(agent,
            to.supervisor->OnWorkerReply(LocalTime(to.process), outcome));
  };
  TaskCallResult unsent;
  unsent.call_id = id;
  unsent.not_sent = true;
  if (LocalTime(*caller) >= call.not_after || !workers_[agent].process.alive) {
    RunInProcess(caller, milliseconds(1),
                 [answer, unsent]() -> void { answer(unsent); });
    return;
  }
  if (call.kind == CallWorker::Kind::kStart) {
    TriggerFaults(Step::kStartSent, agent);
  }
  // Either a pause between check and execution, or network delay.
  const milliseconds one_way_delay = Chance(options_.hold)
                                         ? milliseconds(Random(20000))
                                         : milliseconds(1 + Random(10));
  Process* worker = &workers_[agent].process;
  const bool answered = !Chance(options_.lose) && !workers_[agent].disconnected;
  if (workers_[agent].disconnected && Chance(kThousand / 2)) {
    // The request is lost; in the other half of the cases only the answer is.
    RunInProcess(caller, kCallTimeout, [answer, id]() -> void {
      TaskCallResult lost;
      lost.call_id = id;
      answer(lost);
    });
    return;
  }
  Schedule(one_way_delay,
           [this, agent, call, caller, worker, answer, answered]() -> void {
             if (!worker->alive) {
               return;
             }
             // Not bound to an incarnation of the worker: bytes in transit may
             // reach the next one.
             const milliseconds thaw_delay = std::max(
                 milliseconds(0),
                 std::chrono::ceil<milliseconds>(worker->frozen_until - now_));
             Schedule(thaw_delay,
                      [this, agent, call, caller, answer, answered]() -> void {
                        if (!workers_[agent].process.alive) {
                          return;
                        }
                        const TaskCallResult outcome = ExecuteCall(agent, call);
                        if (answered) {
                          RunInProcess(
                              caller, milliseconds(1 + Random(10)),
                              [answer, outcome]() -> void { answer(outcome); });
                        }
                      });
           });
  // Ignored by the supervisor if the answer was received earlier.
  TaskCallResult lost;
  lost.call_id = id;
  RunInProcess(caller, kCallTimeout,
               [answer, lost]() -> void { answer(lost); });
}

auto SimulatedTaskCluster::ExecuteCall(int instance, const CallWorker& call)
    -> TaskCallResult {
  Worker& worker = workers_[instance];
  WorkerModel& model = *worker.model;
  const TimePoint now = LocalTime(worker.process);
  TaskCallResult outcome;
  outcome.call_id = call.call_id;
  outcome.known = true;
  switch (call.kind) {
    case CallWorker::Kind::kStatus:
      outcome.status = model.Status(now);
      break;
    case CallWorker::Kind::kStart:
      outcome.reply = model.Start(now, call.start);
      TriggerFaults(Step::kStartDone, instance);
      break;
    case CallWorker::Kind::kRenew:
      outcome.reply = model.Renew(now, call.renew);
      TriggerFaults(Step::kRenewDone, instance);
      break;
    case CallWorker::Kind::kCheckpoint:
      outcome.reply = model.Command(now, "checkpoint", call.command);
      TriggerFaults(Step::kCheckpointDone, instance);
      break;
    case CallWorker::Kind::kStop:
      outcome.reply = model.Command(now, "stop", call.command);
      TriggerFaults(Step::kStopDone, instance);
      break;
    case CallWorker::Kind::kForget:
      outcome.reply = model.Command(now, "forget", call.command);
      break;
    case CallWorker::Kind::kThrottle:
      outcome.reply = model.Command(now, "throttle", call.command);
      break;
    case CallWorker::Kind::kUnthrottle:
      outcome.reply = model.Command(now, "unthrottle", call.command);
      break;
  }
  return outcome;
}

auto SimulatedTaskCluster::TriggerFaults(Step step, int instance) -> void {
  for (Fault& fault : faults_) {
    if (fault.step != step || --fault.nth != 0) {
      continue;
    }
    const Target target = fault.target;
    const int index =
        target == Target::kOwner ? std::max(owner(), 0) : instance;
    if (fault.kind == FaultKind::kFreeze) {
      Freeze(target, index, fault.downtime);
      continue;
    }
    if (fault.kind == FaultKind::kDisconnect) {
      DisconnectFor(target, index, fault.downtime);
      continue;
    }
    // Runs after the event that reached the step has completed.
    Schedule(milliseconds(0),
             [this, target, index]() -> void { Kill(target, index); });
    Schedule(fault.downtime,
             [this, target, index]() -> void { Restart(target, index); });
  }
  std::erase_if(faults_, [](const Fault& fault) { return fault.nth <= 0; });
}

auto SimulatedTaskCluster::DisconnectFor(Target target,
                                         int index,
                                         milliseconds time) -> void {
  if (target == Target::kWorker) {
    workers_[index].disconnected = true;
    Schedule(time,
             [this, index]() -> void { workers_[index].disconnected = false; });
  } else if (target == Target::kOwner) {
    SetLogDisconnected(index, true);
    Schedule(time,
             [this, index]() -> void { SetLogDisconnected(index, false); });
  } else {
    const int entry = std::max(owner(), 0);
    SetLinkDisconnected(entry, index, true);
    Schedule(time, [this, entry, index]() -> void {
      SetLinkDisconnected(entry, index, false);
    });
  }
}

auto SimulatedTaskCluster::Kill(Target target, int index) -> void {
  Process* process = ProcessOf(target, index);
  if (target == Target::kWorker && process->alive) {
    workers_[index].model->Advance(LocalTime(*process));
  }
  process->alive = false;
  ++process->epoch;
}

auto SimulatedTaskCluster::Restart(Target target, int index) -> void {
  Process* process = ProcessOf(target, index);
  if (process->alive) {
    return;
  }
  process->alive = true;
  process->frozen_until = TimePoint();
  if (target == Target::kWorker) {
    StartWorker(index);
  } else if (target == Target::kAgent) {
    StartAgent(index);
  } else {
    StartEntry(index);
  }
}

auto SimulatedTaskCluster::Freeze(Target target, int index, milliseconds time)
    -> void {
  ProcessOf(target, index)->frozen_until = now_ + time;
}

auto SimulatedTaskCluster::SetLinkDisconnected(int entry,
                                               int instance,
                                               bool disconnected) -> void {
  if (disconnected) {
    disconnected_links_.insert({entry, instance});
  } else {
    disconnected_links_.erase({entry, instance});
  }
}

auto SimulatedTaskCluster::Evict(const schema::TaskId& task) -> void {
  for (int i = 0; i < options_.entries; ++i) {
    Entry& entry = entries_[i];
    if (entry.process.alive && entry.owner->owns()) {
      Execute(i, entry.owner->Evict(LocalTime(entry.process), task));
    }
  }
}

auto SimulatedTaskCluster::ReleaseCell(int entry) -> void {
  Entry& from = entries_[entry];
  Execute(entry, from.owner->Release(LocalTime(from.process)));
}

auto SimulatedTaskCluster::LeaveAgent(int instance) -> void {
  Agent& agent = agents_[instance];
  Execute(instance, agent.supervisor->Leave(LocalTime(agent.process)));
}

auto SimulatedTaskCluster::owner() const -> int {
  for (int i = 0; i < options_.entries; ++i) {
    if (reference_fold_.fence() != 0 &&
        reference_fold_.owner() == EntryName(i)) {
      return i;
    }
  }
  return -1;
}

auto SimulatedTaskCluster::Runs(int instance, const std::string& task) const
    -> bool {
  const Worker& worker = workers_[instance];
  if (!worker.process.alive) {
    return false;
  }
  const schema::WorkerStatus status =
      worker.model->Status(LocalTime(worker.process));
  return std::any_of(status.tasks().begin(), status.tasks().end(),
                     [&](const schema::WorkerTask& seen) -> bool {
                       const auto name =
                           tasks::ParseWorkerTaskName(seen.name());
                       return (seen.state() == schema::WORKER_TASK_RUNNING ||
                               seen.state() == schema::WORKER_TASK_THROTTLED) &&
                              name.has_value() && TaskName(name->task) == task;
                     });
}

auto SimulatedTaskCluster::RunningInstance(const std::string& task) const
    -> int {
  for (int i = 0; i < options_.instances; ++i) {
    if (Runs(i, task)) {
      return i;
    }
  }
  return -1;
}

auto SimulatedTaskCluster::OnWorkerEvent(int instance,
                                         const std::string& event,
                                         const std::string& name) -> void {
  const auto parsed = tasks::ParseWorkerTaskName(name);
  const std::string task = TaskName(parsed->task);
  if (event != "start") {
    return;
  }
  ++starts_[task];
  if (finished_.contains(task)) {
    ReportViolation(task + " was restarted after its finish was recorded");
  }
  if (!started_attempts_.insert(name).second) {
    ReportViolation(name + " was started twice");
  }
  for (int i = 0; i < options_.instances; ++i) {
    if (i != instance && Runs(i, task)) {
      ReportViolation(task + " runs on " + InstanceName(i) + " and " +
                      InstanceName(instance));
    }
  }
}

auto SimulatedTaskCluster::Check() -> void {
  ++events_;
  for (int i = 0; i < options_.instances; ++i) {
    Agent& agent = agents_[i];
    if (agent.supervisor->fence() < agent.fence) {
      ReportViolation("the fence decreased at " + AgentName(i));
    }
    agent.fence = agent.supervisor->fence();
    if (!workers_[i].process.alive) {
      continue;
    }
    workers_[i].model->Advance(LocalTime(workers_[i].process));
    if (workers_[i].model->running_need().millicores() > kMillicores) {
      ReportViolation(InstanceName(i) + " exceeds its capacity");
    }
  }
}

auto SimulatedTaskCluster::ReportViolation(const std::string& what) -> void {
  if (violation_.empty()) {
    violation_ = what + " at " +
                 std::to_string(std::chrono::duration_cast<milliseconds>(
                                    now_ - TimePoint(std::chrono::hours(1)))
                                    .count()) +
                 " ms";
  }
}

auto SimulatedTaskCluster::RunUntil(milliseconds limit,
                                    const std::function<auto()->bool>& done)
    -> bool {
  const TimePoint end = now_ + limit;
  while (!queue_.empty() && queue_.begin()->first.first <= end) {
    auto next = queue_.extract(queue_.begin());
    now_ = next.key().first;
    next.mapped()();
    Check();
    if (!violation_.empty() || done()) {
      return violation_.empty();
    }
  }
  now_ = end;
  return false;
}

auto SimulatedTaskCluster::Describe() -> std::string {
  std::string text = "owner " + std::to_string(owner());
  for (const auto& [name, state] : reference_fold_.tasks()) {
    text += "\n" + name + ": " + state.ShortDebugString();
  }
  for (int i = 0; i < options_.entries; ++i) {
    const Entry& entry = entries_[i];
    for (const TaskView& view : entry.owner->Tasks(LocalTime(entry.process))) {
      text += "\n" + EntryName(i) + ": " +
              entry.owner->Explain(LocalTime(entry.process), view.task);
    }
    for (const InstanceView& view :
         entry.owner->Instances(LocalTime(entry.process))) {
      text += "\n" + EntryName(i) + ": " + view.instance + " " + view.state;
    }
  }
  for (const auto& [counter, count] : counts_) {
    text += "\n" + counter + "=" + std::to_string(count);
  }
  for (int i = 0; i < options_.instances; ++i) {
    text += "\n" + AgentName(i) + ":";
    for (const schema::RunningTask& task : agents_[i].supervisor->running()) {
      text += " " + TaskName(task.task());
    }
    text += "\n" + workers_[i]
                       .model->Status(LocalTime(workers_[i].process))
                       .ShortDebugString();
  }
  return text;
}

auto SimulatedTaskCluster::RunFor(milliseconds time) -> void {
  RunUntil(time, []() -> bool { return false; });
}

auto MakeInstance(int index) -> schema::VersionedObject {
  schema::VersionedObject object;
  object.mutable_key()->set_partner("p");
  schema::Instance* instance = object.mutable_object()->mutable_instance();
  instance->set_name(InstanceName(index));
  instance->mutable_capacity()->set_millicores(kMillicores);
  return object;
}

auto MakeJob(const std::string& name,
             uint32_t tasks,
             const std::string& command,
             uint64_t version) -> schema::VersionedObject {
  schema::VersionedObject object;
  object.mutable_key()->set_partner("p");
  object.set_version(version);
  object.set_created(version);
  schema::Job* job = object.mutable_object()->mutable_job();
  job->set_name(name);
  job->set_tasks(tasks);
  job->set_command(command);
  job->set_max_attempts(2);
  job->mutable_need()->set_millicores(kTaskMillicores);
  return object;
}

auto MakeTask(const std::string& job, uint32_t index, uint64_t version)
    -> schema::TaskId {
  schema::TaskId task;
  task.set_partner("p");
  task.set_job(job);
  task.set_index(index);
  task.set_job_version(version);
  return task;
}

}  // namespace rhubarbhaven::test

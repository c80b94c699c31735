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

TaskWorld::TaskWorld(WorldOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      now_(std::chrono::hours(1)),
      entries_(options_.entries),
      agents_(options_.instances),
      workers_(options_.instances),
      reference_("cell-0"),
      faults_(options_.faults) {
  const auto set_clock = [this](Process* process) -> void {
    process->ahead = milliseconds(Random(1000000));
    process->rate =
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

auto TaskWorld::At(milliseconds after, std::function<auto()->void> action)
    -> void {
  queue_[{now_ + after, ++sequence_}] = std::move(action);
}

auto TaskWorld::In(Process* process,
                   milliseconds after,
                   std::function<auto()->void> act) -> void {
  const uint64_t epoch = process->epoch;
  At(after, [this, process, epoch, act = std::move(act)]() mutable -> void {
    if (!process->alive || process->epoch != epoch) {
      return;
    }
    if (process->frozen_until > now_) {
      const auto left =
          std::chrono::ceil<milliseconds>(process->frozen_until - now_);
      In(process, left, std::move(act));
      return;
    }
    act();
  });
}

auto TaskWorld::Local(const Process& process) const -> TimePoint {
  const auto real = now_.time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(real * process.rate)) +
         process.ahead;
}

auto TaskWorld::Random(int below) -> int {
  return static_cast<int>(random_() % static_cast<uint32_t>(below));
}

auto TaskWorld::Chance(int in_thousand) -> bool {
  return Random(kThousand) < in_thousand;
}

auto TaskWorld::NetDelay() -> milliseconds {
  return milliseconds(Chance(options_.delay) ? Random(10000) : 1 + Random(20));
}

auto TaskWorld::ProcessOf(Target target, int index) -> Process* {
  switch (target) {
    case Target::kWorker:
      return &workers_[index].process;
    case Target::kAgent:
      return &agents_[index].process;
    default:
      return &entries_[index].process;
  }
}

auto TaskWorld::StartWorker(int index) -> void {
  WorkerModelOptions options;
  options.incarnation = ++next_incarnation_;
  options.capacity.set_millicores(kMillicores);
  options.on_event =
      [this, index](const std::string& event, const std::string& name, uint32_t,
                    TimePoint) -> void { OnWorkerEvent(index, event, name); };
  workers_[index].model = std::make_unique<WorkerModel>(std::move(options));
}

auto TaskWorld::StartAgent(int index) -> void {
  KeeperOptions options;
  options.agent_id = AgentName(index);
  options.agent_incarnation = ++next_incarnation_;
  options.instance = InstanceName(index);
  options.cell = "cell-0";
  options.lease_ttl = options_.owner.lease_ttl;
  options.worker_lease = options_.owner.worker_lease;
  agents_[index].keeper = std::make_unique<TaskKeeper>(options);
  agents_[index].fence = 0;
  TickAgent(index);
}

auto TaskWorld::StartEntry(int index) -> void {
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
  Carry(index, entry.owner->OnConfig(Local(entry.process), config_));
  const int peer = Random(options_.entries);
  if (peer != index && entries_[peer].owner != nullptr) {
    Carry(index,
          entry.owner->OnSnapshot(Local(entry.process),
                                  entries_[peer].owner->fold().Export()));
  }
  TickEntry(index);
  ReadLog(index);
}

auto TaskWorld::SetConfig(std::vector<schema::VersionedObject> objects)
    -> void {
  config_ = std::move(objects);
  for (int i = 0; i < options_.entries; ++i) {
    In(&entries_[i].process, milliseconds(Random(500)), [this, i]() -> void {
      Entry& entry = entries_[i];
      Carry(i, entry.owner->OnConfig(Local(entry.process), config_));
    });
  }
}

auto TaskWorld::TickEntry(int index) -> void {
  In(&entries_[index].process, kTick, [this, index]() -> void {
    Entry& entry = entries_[index];
    Carry(index, entry.owner->OnTick(Local(entry.process)));
    PumpAppends(index);
    TickEntry(index);
  });
}

auto TaskWorld::TickAgent(int index) -> void {
  In(&agents_[index].process, kTick, [this, index]() -> void {
    Agent& agent = agents_[index];
    Carry(index, agent.keeper->OnTick(Local(agent.process)));
    TickAgent(index);
  });
}

auto TaskWorld::ReadLog(int index) -> void {
  In(&entries_[index].process, kReadInterval, [this, index]() -> void {
    ReadLog(index);
    Entry& entry = entries_[index];
    const TimePoint asked = Local(entry.process);
    if (log_down_ || entry.cut) {
      return;
    }
    if (Chance(options_.lose)) {
      return;
    }
    const uint64_t epoch = entry.process.epoch;
    At(NetDelay(), [this, index, asked, epoch]() -> void {
      const std::size_t end = log_.size();
      Process* process = &entries_[index].process;
      if (process->epoch != epoch) {
        return;
      }
      In(process, NetDelay(), [this, index, asked, end]() -> void {
        Entry& entry = entries_[index];
        const TimePoint now = Local(entry.process);
        for (std::size_t i = entry.owner->fold().applied(); i < end; ++i) {
          Carry(index, entry.owner->OnRecord(now, i + 1, log_[i]));
          entry.queue->OnRead(now, log_[i]);
        }
        entry.queue->OnCaughtUp(now, asked);
        Carry(index, entry.owner->OnCaughtUp(now, asked));
      });
    });
  });
}

auto TaskWorld::PumpAppends(int index) -> void {
  Entry& entry = entries_[index];
  const TimePoint now = Local(entry.process);
  const auto record = entry.queue->NextRecord(now);
  if (!record.has_value()) {
    return;
  }
  if (log_down_ || entry.cut) {
    entry.queue->OnRefused(now);
    for (const schema::LogEntry& failed : entry.queue->TakeUnsent()) {
      Carry(index, entry.owner->OnAppendFailed(now, failed));
    }
    return;
  }
  const bool arrives = !Chance(options_.lose);
  const milliseconds there = NetDelay();
  if (arrives) {
    At(there, [this, copy = *record]() -> void { AppendToLog(copy); });
  }
  if (arrives && there < kAppendTimeout && !Chance(options_.lose)) {
    In(&entry.process, there + milliseconds(1), [this, index]() -> void {
      entries_[index].queue->OnAppended(Local(entries_[index].process));
    });
    return;
  }
  In(&entry.process, kAppendTimeout, [this, index]() -> void {
    entries_[index].queue->OnUnknown(Local(entries_[index].process));
  });
}

auto TaskWorld::AppendToLog(const schema::LogRecord& record) -> void {
  log_.push_back(record);
  for (const CellEffect& effect : reference_.Apply(log_.size(), record)) {
    if (!effect.accepted || !effect.entry.has_task_end()) {
      continue;
    }
    const schema::TaskEnd& end = effect.entry.task_end();
    if (end.outcome() == schema::FINISHED) {
      finished_.insert(TaskName(end.task()));
    }
    Reach(Step::kEnd, 0);
  }
  if (reference_.fence() != 0 && reference_.fence() < highest_fence_) {
    Break("the fence went down");
  }
  highest_fence_ = std::max(highest_fence_, reference_.fence());
}

auto TaskWorld::Carry(int entry, const OwnerActions& actions) -> void {
  for (const OwnerAction& action : actions) {
    if (const auto* append = std::get_if<AppendCell>(&action)) {
      entries_[entry].queue->Enqueue(append->entry,
                                     Local(entries_[entry].process));
      if (append->entry.has_placement()) {
        Reach(Step::kPlace, append->entry.placement().instance().back() - '0');
      }
    } else if (const auto* count = std::get_if<CountOwner>(&action)) {
      ++counts_[count->counter];
    } else if (const auto* order = std::get_if<OrderAgent>(&action)) {
      const int agent = order->agent.back() - '0';
      if (!cut_links_.contains({entry, agent})) {
        Send(&agents_[agent].process,
             [this, entry, agent, message = order->message]() -> void {
               Agent& to = agents_[agent];
               Carry(agent, to.keeper->OnMessage(Local(to.process),
                                                 EntryName(entry), message));
             });
      }
    }
  }
}

auto TaskWorld::Carry(int agent, const KeeperActions& actions) -> void {
  for (const KeeperAction& action : actions) {
    if (const auto* call = std::get_if<CallWorker>(&action)) {
      Call(agent, *call);
    } else if (const auto* count = std::get_if<CountKeeper>(&action)) {
      ++counts_[count->counter];
    } else if (const auto* send = std::get_if<SendToOwner>(&action)) {
      for (int i = 0; i < options_.entries; ++i) {
        const bool to = send->entry.empty() || send->entry == EntryName(i);
        if (!to || cut_links_.contains({i, agent})) {
          continue;
        }
        Send(&entries_[i].process,
             [this, i, agent, message = send->message]() -> void {
               Entry& entry = entries_[i];
               Carry(i, entry.owner->OnMessage(Local(entry.process),
                                               AgentName(agent), message));
             });
      }
    }
  }
}

auto TaskWorld::Send(Process* to, std::function<auto()->void> deliver) -> void {
  if (Chance(options_.lose)) {
    return;
  }
  // Reaches whichever incarnation is there by then.
  const auto arrive = [this, to, deliver = std::move(deliver)]() -> void {
    In(to, milliseconds(0), deliver);
  };
  if (Chance(options_.repeat)) {
    At(NetDelay(), arrive);
  }
  At(NetDelay(), arrive);
}

auto TaskWorld::Call(int agent, const CallWorker& call) -> void {
  Process* caller = &agents_[agent].process;
  const uint64_t id = call.call_id;
  // A restarted agent gets no answers to calls of the one before.
  const auto answer = [this, agent, epoch = caller->epoch](
                          const WorkerOutcome& outcome) -> void {
    Agent& to = agents_[agent];
    if (to.process.epoch != epoch) {
      return;
    }
    Carry(agent, to.keeper->OnWorkerReply(Local(to.process), outcome));
  };
  WorkerOutcome unsent;
  unsent.call_id = id;
  unsent.not_sent = true;
  if (Local(*caller) >= call.not_after || !workers_[agent].process.alive) {
    In(caller, milliseconds(1), [answer, unsent]() -> void { answer(unsent); });
    return;
  }
  if (call.kind == CallWorker::Kind::kStart) {
    Reach(Step::kStartSent, agent);
  }
  // A pause between check and act, or a delay on the way, or none.
  const milliseconds there = Chance(options_.hold)
                                 ? milliseconds(Random(20000))
                                 : milliseconds(1 + Random(10));
  Process* worker = &workers_[agent].process;
  const bool answered = !Chance(options_.lose) && !workers_[agent].cut;
  if (workers_[agent].cut && Chance(kThousand / 2)) {
    // Lost before it acted; else only its answer is lost.
    In(caller, kCallTimeout, [answer, id]() -> void {
      WorkerOutcome lost;
      lost.call_id = id;
      answer(lost);
    });
    return;
  }
  At(there, [this, agent, call, caller, worker, answer, answered]() -> void {
    if (!worker->alive) {
      return;
    }
    // Not bound to the worker's incarnation: bytes may reach the next one.
    const milliseconds thaw =
        std::max(milliseconds(0),
                 std::chrono::ceil<milliseconds>(worker->frozen_until - now_));
    At(thaw, [this, agent, call, caller, answer, answered]() -> void {
      if (!workers_[agent].process.alive) {
        return;
      }
      const WorkerOutcome outcome = Act(agent, call);
      if (answered) {
        In(caller, milliseconds(1 + Random(10)),
           [answer, outcome]() -> void { answer(outcome); });
      }
    });
  });
  // Ignored by the keeper if the answer came before.
  WorkerOutcome lost;
  lost.call_id = id;
  In(caller, kCallTimeout, [answer, lost]() -> void { answer(lost); });
}

auto TaskWorld::Act(int instance, const CallWorker& call) -> WorkerOutcome {
  Worker& worker = workers_[instance];
  WorkerModel& model = *worker.model;
  const TimePoint now = Local(worker.process);
  WorkerOutcome outcome;
  outcome.call_id = call.call_id;
  outcome.known = true;
  switch (call.kind) {
    case CallWorker::Kind::kStatus:
      outcome.status = model.Status(now);
      break;
    case CallWorker::Kind::kStart:
      outcome.reply = model.Start(now, call.start);
      Reach(Step::kStartDone, instance);
      break;
    case CallWorker::Kind::kRenew:
      outcome.reply = model.Renew(now, call.renew);
      Reach(Step::kRenewDone, instance);
      break;
    case CallWorker::Kind::kCheckpoint:
      outcome.reply = model.Command(now, "checkpoint", call.command);
      Reach(Step::kCheckpointDone, instance);
      break;
    case CallWorker::Kind::kStop:
      outcome.reply = model.Command(now, "stop", call.command);
      Reach(Step::kStopDone, instance);
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

auto TaskWorld::Reach(Step step, int instance) -> void {
  for (Fault& fault : faults_) {
    if (fault.step != step || --fault.nth != 0) {
      continue;
    }
    const Target target = fault.target;
    const int index =
        target == Target::kOwner ? std::max(owner(), 0) : instance;
    if (fault.kind == FaultKind::kFreeze) {
      Freeze(target, index, fault.down);
      continue;
    }
    if (fault.kind == FaultKind::kCut) {
      CutFor(target, index, fault.down);
      continue;
    }
    // After the event that reached the step, not within it.
    At(milliseconds(0),
       [this, target, index]() -> void { Kill(target, index); });
    At(fault.down, [this, target, index]() -> void { Restart(target, index); });
  }
  std::erase_if(faults_, [](const Fault& fault) { return fault.nth <= 0; });
}

auto TaskWorld::CutFor(Target target, int index, milliseconds time) -> void {
  if (target == Target::kWorker) {
    workers_[index].cut = true;
    At(time, [this, index]() -> void { workers_[index].cut = false; });
  } else if (target == Target::kOwner) {
    CutFromLog(index, true);
    At(time, [this, index]() -> void { CutFromLog(index, false); });
  } else {
    const int entry = std::max(owner(), 0);
    CutLink(entry, index, true);
    At(time, [this, entry, index]() -> void { CutLink(entry, index, false); });
  }
}

auto TaskWorld::Kill(Target target, int index) -> void {
  Process* process = ProcessOf(target, index);
  if (target == Target::kWorker && process->alive) {
    workers_[index].model->Advance(Local(*process));
  }
  process->alive = false;
  ++process->epoch;
}

auto TaskWorld::Restart(Target target, int index) -> void {
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

auto TaskWorld::Freeze(Target target, int index, milliseconds time) -> void {
  ProcessOf(target, index)->frozen_until = now_ + time;
}

auto TaskWorld::CutLink(int entry, int instance, bool cut) -> void {
  if (cut) {
    cut_links_.insert({entry, instance});
  } else {
    cut_links_.erase({entry, instance});
  }
}

auto TaskWorld::Evict(const schema::TaskId& task) -> void {
  for (int i = 0; i < options_.entries; ++i) {
    Entry& entry = entries_[i];
    if (entry.process.alive && entry.owner->owns()) {
      Carry(i, entry.owner->Evict(Local(entry.process), task));
    }
  }
}

auto TaskWorld::ReleaseCell(int entry) -> void {
  Entry& from = entries_[entry];
  Carry(entry, from.owner->Release(Local(from.process)));
}

auto TaskWorld::LeaveAgent(int instance) -> void {
  Agent& agent = agents_[instance];
  Carry(instance, agent.keeper->Leave(Local(agent.process)));
}

auto TaskWorld::owner() const -> int {
  for (int i = 0; i < options_.entries; ++i) {
    if (reference_.fence() != 0 && reference_.owner() == EntryName(i)) {
      return i;
    }
  }
  return -1;
}

auto TaskWorld::Runs(int instance, const std::string& task) const -> bool {
  const Worker& worker = workers_[instance];
  if (!worker.process.alive) {
    return false;
  }
  const schema::WorkerStatus status =
      worker.model->Status(Local(worker.process));
  return std::any_of(status.tasks().begin(), status.tasks().end(),
                     [&](const schema::WorkerTask& seen) -> bool {
                       const auto name =
                           tasks::ParseWorkerTaskName(seen.name());
                       return (seen.state() == schema::WORKER_TASK_RUNNING ||
                               seen.state() == schema::WORKER_TASK_THROTTLED) &&
                              name.has_value() && TaskName(name->task) == task;
                     });
}

auto TaskWorld::RunsOn(const std::string& task) const -> int {
  for (int i = 0; i < options_.instances; ++i) {
    if (Runs(i, task)) {
      return i;
    }
  }
  return -1;
}

auto TaskWorld::OnWorkerEvent(int instance,
                              const std::string& event,
                              const std::string& name) -> void {
  const auto parsed = tasks::ParseWorkerTaskName(name);
  const std::string task = TaskName(parsed->task);
  if (event != "start") {
    return;
  }
  ++starts_[task];
  if (finished_.contains(task)) {
    Break(task + " runs again after its finish was recorded");
  }
  if (!started_attempts_.insert(name).second) {
    Break(name + " was started twice");
  }
  for (int i = 0; i < options_.instances; ++i) {
    if (i != instance && Runs(i, task)) {
      Break(task + " runs on " + InstanceName(i) + " and " +
            InstanceName(instance));
    }
  }
}

auto TaskWorld::Check() -> void {
  ++events_;
  for (int i = 0; i < options_.instances; ++i) {
    Agent& agent = agents_[i];
    if (agent.keeper->fence() < agent.fence) {
      Break("the fence went down at " + AgentName(i));
    }
    agent.fence = agent.keeper->fence();
    if (!workers_[i].process.alive) {
      continue;
    }
    workers_[i].model->Advance(Local(workers_[i].process));
    if (workers_[i].model->running_need().millicores() > kMillicores) {
      Break(InstanceName(i) + " holds more than its capacity");
    }
  }
}

auto TaskWorld::Break(const std::string& what) -> void {
  if (broken_.empty()) {
    broken_ = what + " at " +
              std::to_string(std::chrono::duration_cast<milliseconds>(
                                 now_ - TimePoint(std::chrono::hours(1)))
                                 .count()) +
              " ms";
  }
}

auto TaskWorld::RunUntil(milliseconds limit,
                         const std::function<auto()->bool>& done) -> bool {
  const TimePoint end = now_ + limit;
  while (!queue_.empty() && queue_.begin()->first.first <= end) {
    auto next = queue_.extract(queue_.begin());
    now_ = next.key().first;
    next.mapped()();
    Check();
    if (!broken_.empty() || done()) {
      return broken_.empty();
    }
  }
  now_ = end;
  return false;
}

auto TaskWorld::Describe() -> std::string {
  std::string text = "owner " + std::to_string(owner());
  for (const auto& [name, state] : reference_.tasks()) {
    text += "\n" + name + ": " + state.ShortDebugString();
  }
  for (int i = 0; i < options_.entries; ++i) {
    const Entry& entry = entries_[i];
    for (const TaskView& view : entry.owner->Tasks(Local(entry.process))) {
      text += "\n" + EntryName(i) + ": " +
              entry.owner->Explain(Local(entry.process), view.task);
    }
    for (const InstanceView& view :
         entry.owner->Instances(Local(entry.process))) {
      text += "\n" + EntryName(i) + ": " + view.instance + " " + view.state;
    }
  }
  for (const auto& [counter, count] : counts_) {
    text += "\n" + counter + "=" + std::to_string(count);
  }
  for (int i = 0; i < options_.instances; ++i) {
    text += "\n" + AgentName(i) + ":";
    for (const schema::RunningTask& task : agents_[i].keeper->running()) {
      text += " " + TaskName(task.task());
    }
    text += "\n" + workers_[i]
                       .model->Status(Local(workers_[i].process))
                       .ShortDebugString();
  }
  return text;
}

auto TaskWorld::RunFor(milliseconds time) -> void {
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

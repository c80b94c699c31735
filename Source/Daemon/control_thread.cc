#include "Daemon/control_thread.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kPeerRequestInterval{1000};
constexpr std::chrono::milliseconds kTickInterval{100};
constexpr std::chrono::milliseconds kStopTimeout{2000};

auto StatusOf(const TaskView& view) -> schema::TaskStatus {
  schema::TaskStatus task;
  task.set_partner(view.task.partner());
  task.set_job(view.task.job());
  task.set_index(view.task.index());
  task.set_attempt(view.attempt);
  task.set_state(view.state);
  task.set_instance(view.instance);
  task.set_why(view.why);
  task.set_evictions(view.evictions);
  return task;
}

}  // namespace

ControlThread::ControlThread(const schema::DaemonSettings& settings,
                             uint64_t incarnation,
                             ControlHooks hooks,
                             Metrics* metrics)
    : settings_(settings),
      incarnation_(incarnation),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      thread_({.on_tick = [this](TimePoint now) -> void { OnTick(now); },
               .next_wake = [this]() -> TimePoint { return next_wake_; }}),
      config_stream_(StreamOptionsOf(settings, incarnation, kConfigStream),
                     ConfigHooks(),
                     metrics) {
  MakeCells(settings);
}

auto ControlThread::MakeCells(const schema::DaemonSettings& settings) -> void {
  const auto& entry = settings.entry();
  for (const auto& cell : entry.cells()) {
    CellServiceOptions options;
    options.stream = StreamOptionsOf(settings, incarnation_, CellStream(cell));
    options.owner.cell = cell;
    options.owner.entry_id = settings.id();
    options.owner.entry_incarnation = incarnation_;
    options.owner.claim_timeout =
        std::chrono::milliseconds(entry.claim_timeout_ms());
    constexpr int kRenewalsPerTimeout = 3;
    options.owner.claim_renewal =
        options.owner.claim_timeout / kRenewalsPerTimeout;
    options.owner.unverified_limit =
        std::chrono::seconds(entry.unverified_owner_limit_s());
    CellHooks hooks;
    hooks.post = [this](const EventLoopThread::Callback& job) -> void {
      thread_.PostOrWait(job);
    };
    hooks.send = hooks_.send;
    cells_[cell] = std::make_unique<CellService>(options, hooks, metrics_);
  }
}

auto ControlThread::Start() -> void {
  thread_.Start();
  config_stream_.Start();
  for (auto& [name, cell] : cells_) {
    cell->Start();
  }
}

auto ControlThread::Stop() -> void {
  thread_.PostOrWait([this](TimePoint now) -> void {
    for (auto& [name, cell] : cells_) {
      cell->Release(now);
    }
  });
  for (auto& [name, cell] : cells_) {
    cell->Stop(kStopTimeout);
  }
  config_stream_.Stop(kStopTimeout);
  thread_.Stop();
}

auto ControlThread::ConfigHooks() -> StreamHooks {
  StreamHooks hooks;
  hooks.post = [this](const EventLoopThread::Callback& job) -> void {
    thread_.PostOrWait(job);
  };
  hooks.on_record = [this](TimePoint now, uint64_t offset,
                           const schema::LogRecord& record) -> void {
    config_.Apply(offset, record);
    ConfigChanged(now);
  };
  hooks.on_snapshot = [this](TimePoint now, const std::string& bytes) -> void {
    AdoptConfig(now, bytes);
  };
  hooks.on_caught_up = [this](TimePoint, TimePoint) -> void { ready_ = true; };
  hooks.on_reachable = [this](TimePoint, bool reachable) -> void {
    log_reachable_ = reachable;
  };
  hooks.on_append_failed = [](TimePoint, const schema::LogEntry&) -> void {};
  hooks.export_state = [this]() -> CompleteSnapshot {
    return {config_.applied(), config_.Export().SerializeAsString()};
  };
  return hooks;
}

auto ControlThread::AdoptConfig(TimePoint now, const std::string& bytes)
    -> bool {
  schema::ConfigState state;
  if (!state.ParseFromString(bytes) || !config_.Adopt(state)) {
    return false;
  }
  ConfigChanged(now);
  ready_ = true;
  return true;
}

auto ControlThread::ConfigChanged(TimePoint now) -> void {
  const auto objects = config_.objects();
  metrics_->SetGauge("rhubarbhaven_config_applied",
                     static_cast<double>(config_.applied()));
  hooks_.on_config(objects);
  for (auto& [name, cell] : cells_) {
    cell->OnConfig(now, objects);
  }
  agents_.ForEach(
      [this](const AgentView& agent) -> void { SendNotice(agent); });
}

auto ControlThread::OnMessage(std::string peer, schema::Envelope message)
    -> void {
  Post([this, peer = std::move(peer), message = std::move(message)](
           TimePoint now) -> void { Dispatch(now, peer, message); });
}

auto ControlThread::Dispatch(TimePoint now,
                             const std::string& peer,
                             const schema::Envelope& message) -> void {
  switch (message.body_case()) {
    case schema::Envelope::kAnnounce:
      OnAnnounce(now, message);
      break;
    case schema::Envelope::kStateRequest:
      OnStateRequest(peer, message.state_request());
      break;
    case schema::Envelope::kStateReply:
      OnStateReply(now, message.state_reply());
      break;
    default: {
      const std::string& cell = message.has_lease_request()
                                    ? message.lease_request().cell()
                                    : message.task_report().cell();
      const auto found = cells_.find(cell);
      if (found != cells_.end()) {
        found->second->OnMessage(now, peer, message);
      }
    }
  }
}

auto ControlThread::OnAnnounce(TimePoint now, const schema::Envelope& message)
    -> void {
  const AgentView& agent = agents_.OnAnnounce(now, message);
  if (agent.config_applied < config_.applied()) {
    SendNotice(agent);
  }
}

auto ControlThread::SendNotice(const AgentView& agent) -> void {
  schema::Envelope message;
  auto* notice = message.mutable_config_notice();
  notice->set_applied(config_.applied());
  schema::ObjectKey key;
  key.set_partner(agent.partner);
  key.set_kind("service");
  key.set_name(agent.service);
  if (const auto service = config_.Find(key)) {
    *notice->mutable_service() = service->object().service();
  }
  key.set_kind("instance");
  key.set_name(agent.instance);
  if (const auto instance = config_.Find(key)) {
    *notice->mutable_instance() = instance->object().instance();
  }
  hooks_.send(agent.agent, std::move(message));
}

auto ControlThread::OnStateRequest(const std::string& peer,
                                   const schema::StateRequest& request)
    -> void {
  schema::Envelope message;
  auto* reply = message.mutable_state_reply();
  reply->set_stream(request.stream());
  if (request.stream() == kConfigStream) {
    if (config_.applied() > request.applied()) {
      reply->set_applied(config_.applied());
      config_.Export().SerializeToString(reply->mutable_state());
    }
  }
  for (const auto& [name, cell] : cells_) {
    const auto& fold = cell->owner().fold();
    if (CellStream(name) == request.stream() &&
        fold.applied() > request.applied()) {
      reply->set_applied(fold.applied());
      fold.Export().SerializeToString(reply->mutable_state());
    }
  }
  if (!reply->state().empty()) {
    hooks_.send(peer, std::move(message));
  }
}

auto ControlThread::OnStateReply(TimePoint now, const schema::StateReply& reply)
    -> void {
  if (reply.stream() == kConfigStream) {
    if (AdoptConfig(now, reply.state())) {
      config_stream_.SkipTo(config_.applied());
      metrics_->Add("rhubarbhaven_states_from_peers_total");
    }
    return;
  }
  schema::CellState state;
  const auto found = cells_.find(
      state.ParseFromString(reply.state()) ? state.cell() : std::string());
  if (found != cells_.end()) {
    found->second->OnPeerState(now, state);
    metrics_->Add("rhubarbhaven_states_from_peers_total");
  }
}

// While the log cannot be read, peers may have a newer state. Without these
// requests, a process started during an outage of the log would have no
// configuration, or an outdated one.
auto ControlThread::RequestPeerStates(TimePoint now) -> void {
  if (now < next_peer_request_ || (log_reachable_ && ready_)) {
    return;
  }
  next_peer_request_ = now + kPeerRequestInterval;
  for (const auto& peer : settings_.entry().peers()) {
    schema::Envelope message;
    auto* request = message.mutable_state_request();
    request->set_stream(kConfigStream);
    request->set_applied(config_.applied());
    hooks_.send(peer, message);
    for (const auto& [name, cell] : cells_) {
      request->set_stream(CellStream(name));
      request->set_applied(cell->owner().fold().applied());
      hooks_.send(peer, message);
    }
  }
}

auto ControlThread::OnTick(TimePoint now) -> void {
  next_wake_ = now + kTickInterval;
  RequestPeerStates(now);
  agents_.RemoveExpired(now);
  for (auto& [name, cell] : cells_) {
    cell->OnTick(now);
    metrics_->SetGauge("rhubarbhaven_owns_cell{cell=\"" + name + "\"}",
                       cell->owner().owns() ? 1 : 0);
  }
}

auto ControlThread::Post(EventLoopThread::Callback job) -> void {
  if (!thread_.Post(std::move(job))) {
    metrics_->AddReason("dropped", schema::RING_FULL);
  }
}

auto ControlThread::Status(
    std::function<auto(schema::OperatorStatus)->void> answer) -> void {
  thread_.PostOrWait([this, answer = std::move(answer)](TimePoint now) -> void {
    schema::OperatorStatus status;
    status.set_process(settings_.id());
    status.set_incarnation(incarnation_);
    status.set_config_applied(config_.applied());
    status.set_log_reachable(log_reachable_);
    for (const auto& agent : agents_.Statuses(now)) {
      *status.add_agents() = agent;
    }
    AddInstances(now, status);
    answer(std::move(status));
  });
}

auto ControlThread::AddInstances(TimePoint now, schema::OperatorStatus& status)
    -> void {
  for (const auto& [name, cell] : cells_) {
    if (!cell->owner().owns()) {
      continue;
    }
    status.add_owns(name);
    for (const auto& view : cell->owner().Instances(now)) {
      auto* instance = status.add_instances();
      instance->set_instance(view.instance);
      instance->set_agent(view.agent);
      instance->set_state(view.state);
      instance->set_incarnation(view.incarnation);
      instance->set_silent_ms(
          static_cast<uint64_t>(view.unresponsive_for.count()));
      instance->set_tasks(view.tasks);
    }
  }
}

auto ControlThread::Tasks(
    std::function<auto(bool owned, schema::OperatorTasks)->void> answer)
    -> void {
  thread_.PostOrWait([this, answer = std::move(answer)](TimePoint now) -> void {
    bool owned = false;
    schema::OperatorTasks tasks;
    for (const auto& [name, cell] : cells_) {
      if (!cell->owner().owns()) {
        tasks.set_owner(cell->owner().fold().owner());
        continue;
      }
      owned = true;
      for (const auto& view : cell->owner().Tasks(now)) {
        *tasks.add_tasks() = StatusOf(view);
      }
    }
    if (owned) {
      tasks.set_owner(settings_.id());
    }
    answer(owned, std::move(tasks));
  });
}

auto ControlThread::FindOwnerOf(TimePoint now, const schema::TaskId& task)
    -> CellService* {
  for (auto& [name, cell] : cells_) {
    if (!cell->owner().owns()) {
      continue;
    }
    const auto tasks = cell->owner().Tasks(now);
    const bool known = std::any_of(
        tasks.begin(), tasks.end(), [&task](const TaskView& view) -> bool {
          return view.task.partner() == task.partner() &&
                 view.task.job() == task.job() &&
                 view.task.index() == task.index();
        });
    if (known) {
      return cell.get();
    }
  }
  return nullptr;
}

// Operators' requests contain no job version; they refer to the current job.
auto ControlThread::WithTask(
    schema::TaskId task,
    std::function<auto(TimePoint, const schema::TaskId&, CellService*)->void>
        on_found) -> void {
  thread_.PostOrWait(
      [this, task = std::move(task),
       on_found = std::move(on_found)](TimePoint now) mutable -> void {
        schema::ObjectKey key;
        key.set_partner(task.partner());
        key.set_kind("job");
        key.set_name(task.job());
        if (const auto job = config_.Find(key)) {
          task.set_job_version(job->created());
        }
        on_found(now, task, FindOwnerOf(now, task));
      });
}

auto ControlThread::Explain(
    schema::TaskId task,
    std::function<auto(std::optional<schema::OperatorExplanation>)->void>
        answer) -> void {
  WithTask(
      std::move(task),
      [answer = std::move(answer)](TimePoint now, const schema::TaskId& found,
                                   CellService* cell) -> void {
        if (cell == nullptr) {
          answer(std::nullopt);
          return;
        }
        schema::OperatorExplanation explanation;
        explanation.set_text(cell->owner().Explain(now, found));
        answer(std::move(explanation));
      });
}

auto ControlThread::Evict(
    schema::TaskId task,
    std::function<auto(std::optional<schema::OperatorReply>)->void> answer)
    -> void {
  WithTask(
      std::move(task),
      [answer = std::move(answer)](TimePoint now, const schema::TaskId& found,
                                   CellService* cell) -> void {
        if (cell == nullptr) {
          answer(std::nullopt);
          return;
        }
        cell->Evict(now, found);
        schema::OperatorReply reply;
        reply.set_ok(true);
        answer(std::move(reply));
      });
}

}  // namespace rhubarbhaven

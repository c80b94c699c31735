#include "Daemon/supervisor_thread.h"

#include <utility>
#include <variant>

namespace rhubarbhaven {
namespace {

auto OptionsOf(const schema::DaemonSettings& settings, uint64_t incarnation)
    -> SupervisorOptions {
  const auto& agent = settings.agent();
  SupervisorOptions options;
  options.agent_id = settings.id();
  options.agent_incarnation = incarnation;
  options.instance = agent.instance();
  options.cell = agent.cell();
  options.lease_ttl = std::chrono::milliseconds(agent.lease_ttl_ms());
  options.worker_lease = std::chrono::milliseconds(agent.worker_lease_ms());
  return options;
}

}  // namespace

SupervisorThread::SupervisorThread(const schema::DaemonSettings& settings,
                                   uint64_t incarnation,
                                   SupervisorHooks hooks,
                                   Metrics* metrics)
    : entries_(settings.agent().entries().begin(),
               settings.agent().entries().end()),
      supervisor_(OptionsOf(settings, incarnation)),
      worker_(settings.agent().worker_url()),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      thread_({.on_tick = [this](TimePoint now) -> void {
                 ExecuteActions(supervisor_.OnTick(now));
               },
               .next_wake = [this]() -> TimePoint {
                 return supervisor_.next_wake();
               }}),
      worker_thread_(
          {.on_tick = [](TimePoint) -> void {},
           .next_wake = []() -> TimePoint { return TimePoint::max(); }}) {}

auto SupervisorThread::Start() -> void {
  worker_thread_.Start();
  thread_.Start();
}

auto SupervisorThread::Stop() -> void {
  thread_.Stop();
  worker_thread_.Stop();
}

auto SupervisorThread::OnMessage(std::string entry, schema::Envelope message)
    -> void {
  const bool accepted =
      thread_.Post([this, entry = std::move(entry),
                    message = std::move(message)](TimePoint now) -> void {
        ExecuteActions(supervisor_.OnMessage(now, entry, message));
      });
  if (!accepted) {
    metrics_->AddReason("dropped", schema::RING_FULL);
  }
}

auto SupervisorThread::Leave() -> void {
  thread_.PostOrWait([this](TimePoint now) -> void {
    ExecuteActions(supervisor_.Leave(now));
  });
}

auto SupervisorThread::ExecuteActions(const SupervisorActions& actions)
    -> void {
  for (const auto& action : actions) {
    std::visit([this](const auto& one) -> void { ExecuteAction(one); }, action);
  }
  idle_ = supervisor_.idle();
  metrics_->SetGauge("rhubarbhaven_tasks_running",
                     static_cast<double>(supervisor_.running().size()));
}

auto SupervisorThread::ExecuteAction(const CallWorker& call) -> void {
  const bool accepted = worker_thread_.Post([this, call](TimePoint) -> void {
    const TaskCallResult outcome = worker_.Call(call);
    if (!outcome.known) {
      metrics_->Add("rhubarbhaven_worker_calls_unanswered_total");
    }
    Finish(outcome);
  });
  if (!accepted) {
    TaskCallResult outcome;
    outcome.call_id = call.call_id;
    outcome.not_sent = true;
    Finish(outcome);
  }
}

auto SupervisorThread::Finish(const TaskCallResult& outcome) -> void {
  thread_.PostOrWait([this, outcome](TimePoint now) -> void {
    ExecuteActions(supervisor_.OnWorkerReply(now, outcome));
  });
}

auto SupervisorThread::ExecuteAction(const SendToOwner& send) -> void {
  for (const auto& entry : entries_) {
    if (send.entry.empty() || send.entry == entry) {
      hooks_.send(entry, send.message);
    }
  }
}

auto SupervisorThread::ExecuteAction(const CountSupervisorEvent& count)
    -> void {
  metrics_->Add("rhubarbhaven_keeper_events_total{event=\"" + count.counter +
                "\"}");
}

}  // namespace rhubarbhaven

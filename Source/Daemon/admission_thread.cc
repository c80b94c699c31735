#include "Daemon/admission_thread.h"

#include <utility>
#include <variant>

namespace rhubarbhaven {
namespace {

auto OptionsOf(const schema::DaemonSettings& settings, uint64_t incarnation)
    -> AdmissionOptions {
  const auto& agent = settings.agent();
  AdmissionOptions options;
  options.agent_id = settings.id();
  options.incarnation = incarnation;
  options.slots = agent.endpoint_url().empty() ? 0 : agent.slots();
  options.connections = agent.connections();
  options.credit_ttl = std::chrono::milliseconds(agent.credit_ttl_ms());
  options.announce_interval =
      std::chrono::milliseconds(agent.announce_interval_ms());
  return options;
}

}  // namespace

AdmissionThread::AdmissionThread(const schema::DaemonSettings& settings,
                                 uint64_t incarnation,
                                 AdmissionHooks hooks,
                                 Metrics* metrics)
    : entries_(settings.agent().entries().begin(),
               settings.agent().entries().end()),
      admission_(OptionsOf(settings, incarnation)),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      thread_({.on_tick = [this](TimePoint now) -> void {
                 ExecuteActions(admission_.OnTick(now));
               },
               .next_wake = [this]() -> TimePoint {
                 return admission_.next_wake();
               }}) {
  if (!settings.agent().endpoint_url().empty()) {
    endpoint_ = std::make_unique<EndpointCaller>(
        settings.agent().endpoint_url(), settings.agent().connections());
  }
}

auto AdmissionThread::Start() -> void {
  thread_.Start();
  thread_.PostOrWait([this](TimePoint now) -> void {
    ExecuteActions(admission_.SetEntries(now, entries_));
  });
}

auto AdmissionThread::Stop() -> void {
  thread_.Stop();
}

auto AdmissionThread::OnMessage(std::string entry, schema::Envelope message)
    -> void {
  const bool accepted =
      thread_.Post([this, entry = std::move(entry),
                    message = std::move(message)](TimePoint now) -> void {
        ExecuteActions(admission_.OnMessage(now, entry, message));
      });
  if (!accepted) {
    metrics_->AddReason("dropped", schema::RING_FULL);
  }
}

auto AdmissionThread::SetIdentity(schema::Announce identity) -> void {
  thread_.PostOrWait([this, identity = std::move(identity)](TimePoint) -> void {
    admission_.SetIdentity(identity);
  });
}

auto AdmissionThread::SetEndpointHealthy(bool healthy) -> void {
  thread_.PostOrWait([this, healthy](TimePoint now) -> void {
    ExecuteActions(admission_.SetEndpointHealthy(now, healthy));
  });
}

auto AdmissionThread::Leave() -> void {
  thread_.PostOrWait(
      [this](TimePoint now) -> void { ExecuteActions(admission_.Leave(now)); });
}

auto AdmissionThread::ExecuteActions(const AdmissionActions& actions) -> void {
  for (const auto& action : actions) {
    std::visit([this](const auto& one) -> void { ExecuteAction(one); }, action);
  }
  idle_ = admission_.idle();
  metrics_->SetGauge("rhubarbhaven_endpoint_running", admission_.running());
  metrics_->SetGauge("rhubarbhaven_endpoint_queued", admission_.queued());
}

auto AdmissionThread::ExecuteAction(const CallEndpoint& call) -> void {
  endpoint_->Start(call, [this](EndpointOutcome outcome) -> void {
    metrics_->RecordLatency("rhubarbhaven_endpoint_seconds",
                            outcome.service_time);
    thread_.PostOrWait(
        [this, outcome = std::move(outcome)](TimePoint now) -> void {
          ExecuteActions(admission_.OnEndpointAnswer(now, outcome));
        });
  });
}

auto AdmissionThread::ExecuteAction(const SendToEntry& send) -> void {
  if (!hooks_.send(send.entry, send.message)) {
    metrics_->AddReason("dropped", schema::RING_FULL);
  }
}

auto AdmissionThread::ExecuteAction(const CountRejection& count) -> void {
  metrics_->AddReason("refused", count.reason);
}

}  // namespace rhubarbhaven

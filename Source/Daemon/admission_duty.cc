#include "Daemon/admission_duty.h"

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

AdmissionDuty::AdmissionDuty(const schema::DaemonSettings& settings,
                             uint64_t incarnation,
                             AdmissionHooks hooks,
                             Metrics* metrics)
    : entries_(settings.agent().entries().begin(),
               settings.agent().entries().end()),
      admission_(OptionsOf(settings, incarnation)),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      thread_({.on_tick = [this](TimePoint now) -> void {
                 Carry(admission_.OnTick(now));
               },
               .next_wake = [this]() -> TimePoint {
                 return admission_.next_wake();
               }}) {
  if (!settings.agent().endpoint_url().empty()) {
    endpoint_ = std::make_unique<EndpointCaller>(
        settings.agent().endpoint_url(), settings.agent().connections());
  }
}

auto AdmissionDuty::Start() -> void {
  thread_.Start();
  thread_.PostOrWait([this](TimePoint now) -> void {
    Carry(admission_.SetEntries(now, entries_));
  });
}

auto AdmissionDuty::Stop() -> void {
  thread_.Stop();
}

auto AdmissionDuty::OnMessage(std::string entry, schema::Envelope message)
    -> void {
  const bool taken =
      thread_.Post([this, entry = std::move(entry),
                    message = std::move(message)](TimePoint now) -> void {
        Carry(admission_.OnMessage(now, entry, message));
      });
  if (!taken) {
    metrics_->AddReason("dropped", schema::RING_FULL);
  }
}

auto AdmissionDuty::SetIdentity(schema::Announce identity) -> void {
  thread_.PostOrWait([this, identity = std::move(identity)](TimePoint) -> void {
    admission_.SetIdentity(identity);
  });
}

auto AdmissionDuty::SetEndpointHealthy(bool healthy) -> void {
  thread_.PostOrWait([this, healthy](TimePoint now) -> void {
    Carry(admission_.SetEndpointHealthy(now, healthy));
  });
}

auto AdmissionDuty::Leave() -> void {
  thread_.PostOrWait(
      [this](TimePoint now) -> void { Carry(admission_.Leave(now)); });
}

auto AdmissionDuty::Carry(const AdmissionActions& actions) -> void {
  for (const auto& action : actions) {
    std::visit([this](const auto& one) -> void { CarryOne(one); }, action);
  }
  idle_ = admission_.idle();
  metrics_->SetGauge("rhubarbhaven_endpoint_running", admission_.running());
  metrics_->SetGauge("rhubarbhaven_endpoint_queued", admission_.queued());
}

auto AdmissionDuty::CarryOne(const CallEndpoint& call) -> void {
  endpoint_->Start(call, [this](EndpointOutcome outcome) -> void {
    metrics_->RecordLatency("rhubarbhaven_endpoint_seconds",
                            outcome.service_time);
    thread_.PostOrWait(
        [this, outcome = std::move(outcome)](TimePoint now) -> void {
          Carry(admission_.OnEndpointAnswer(now, outcome));
        });
  });
}

auto AdmissionDuty::CarryOne(const SendToEntry& send) -> void {
  if (!hooks_.send(send.entry, send.message)) {
    metrics_->AddReason("dropped", schema::RING_FULL);
  }
}

auto AdmissionDuty::CarryOne(const CountRejection& count) -> void {
  metrics_->AddReason("refused", count.reason);
}

}  // namespace rhubarbhaven

#include "Daemon/agent_daemon.h"

#include <thread>
#include <utility>

#include "Daemon/metrics_page.h"

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kLinkLinger{500};
constexpr std::chrono::milliseconds kIdlePoll{10};
constexpr unsigned kUnavailable = 503;
constexpr unsigned kNotFound = 404;

auto IdentityOf(const schema::DaemonSettings& settings) -> schema::Announce {
  const auto& agent = settings.agent();
  schema::Announce identity;
  identity.set_instance(agent.instance());
  identity.set_failure_domain(settings.failure_domain());
  identity.set_rack(agent.rack());
  identity.set_cell(agent.cell());
  identity.set_partner(agent.partner());
  identity.set_service(agent.service());
  return identity;
}

auto HealthUrl(const schema::AgentSettings& agent) -> std::string {
  return agent.endpoint_url() +
         (agent.health_path().empty() ? "/health" : agent.health_path());
}

}  // namespace

AgentDaemon::AgentDaemon(const schema::DaemonSettings& settings)
    : settings_(settings),
      incarnation_(RandomIncarnation()),
      log_(ComponentLogger("agent")),
      identity_(IdentityOf(settings)),
      link_(MakeLinkOptions()),
      admission_(settings,
                 incarnation_,
                 {.send = [this](const std::string& entry,
                                 schema::Envelope message) -> bool {
                   return Send(entry, std::move(message));
                 }},
                 &metrics_) {
  if (!settings.agent().worker_url().empty()) {
    const SupervisorHooks hooks{
        .send = [this](const std::string& entry,
                       schema::Envelope message) -> bool {
          return Send(entry, std::move(message));
        }};
    supervisor_ = std::make_unique<SupervisorThread>(settings, incarnation_,
                                                     hooks, &metrics_);
  }
  if (!settings.agent().endpoint_url().empty()) {
    probe_ = std::make_unique<HealthProbe>(
        HealthUrl(settings.agent()), [this](bool healthy) -> void {
          log_->info("Endpoint health changed. healthy={}", healthy);
          admission_.SetEndpointHealthy(healthy);
        });
  }
}

AgentDaemon::~AgentDaemon() = default;

auto AgentDaemon::Start() -> absl::Status {
  http_ = std::make_unique<HttpServer>(HttpOptions());
  auto status = http_->Start();
  if (!status.ok()) {
    return status;
  }
  admission_.SetIdentity(identity_);
  admission_.Start();
  status = link_.Start();
  if (!status.ok()) {
    return status;
  }
  if (supervisor_) {
    supervisor_->Start();
  }
  if (probe_) {
    probe_->Start();
  }
  log_->info("Agent started. id={} incarnation={} instance={}", settings_.id(),
             incarnation_, settings_.agent().instance());
  return absl::OkStatus();
}

auto AgentDaemon::Stop() -> void {
  log_->info("Planned stop started. id={}", settings_.id());
  stopping_ = true;
  if (probe_) {
    probe_->Stop();
  }
  admission_.Leave();
  if (supervisor_) {
    supervisor_->Leave();
  }
  WaitIdle();
  link_.Stop(kLinkLinger);
  admission_.Stop();
  if (supervisor_) {
    supervisor_->Stop();
  }
  http_.reset();
  log_->info("Agent stopped. id={}", settings_.id());
}

auto AgentDaemon::WaitIdle() -> void {
  const TimePoint limit = Clock::now() + std::chrono::milliseconds(
                                             settings_.agent().stop_grace_ms());
  while (Clock::now() < limit &&
         !(admission_.idle() && (!supervisor_ || supervisor_->idle()))) {
    std::this_thread::sleep_for(kIdlePoll);
  }
  if (!admission_.idle()) {
    log_->warn(
        "Requests were still in progress at the end of the grace period. "
        "Increase agent.stop_grace_ms.");
  }
}

auto AgentDaemon::Send(const std::string& entry, schema::Envelope message)
    -> bool {
  return link_.Send(entry, std::move(message));
}

auto AgentDaemon::MakeLinkOptions() -> LinkOptions {
  LinkOptions options;
  options.id = settings_.id();
  options.incarnation = incarnation_;
  options.connect.assign(settings_.agent().entries().begin(),
                         settings_.agent().entries().end());
  options.on_message = [this](const std::string& entry,
                              schema::Envelope message) -> void {
    OnLinkMessage(entry, std::move(message));
  };
  options.on_dropped = [this](schema::Reason reason) -> void {
    metrics_.AddReason("dropped", reason);
  };
  return options;
}

auto AgentDaemon::OnLinkMessage(const std::string& entry,
                                schema::Envelope message) -> void {
  switch (message.body_case()) {
    case schema::Envelope::kOffer:
    case schema::Envelope::kRecall:
      admission_.OnMessage(entry, std::move(message));
      break;
    case schema::Envelope::kLeaseGrant:
    case schema::Envelope::kTaskOrder:
      if (supervisor_) {
        supervisor_->OnMessage(entry, std::move(message));
      }
      break;
    case schema::Envelope::kConfigNotice:
      OnNotice(message.config_notice());
      break;
    default:
      metrics_.AddReason("dropped", schema::MESSAGE_MALFORMED);
  }
}

// Entries may have applied different configurations: one that cannot reach the
// log sends an older one. The agent keeps the newest version that it received,
// so that its version never decreases.
auto AgentDaemon::OnNotice(const schema::ConfigNotice& notice) -> void {
  if (notice.applied() <= identity_.config_applied()) {
    return;
  }
  identity_.set_config_applied(notice.applied());
  admission_.SetIdentity(identity_);
  metrics_.SetGauge("rhubarbhaven_config_applied",
                    static_cast<double>(notice.applied()));
}

auto AgentDaemon::HttpOptions() -> HttpServerOptions {
  HttpServerOptions options;
  options.address = settings_.agent().http_address();
  options.port = static_cast<uint16_t>(settings_.agent().http_port());
  options.threads = 1;
  options.max_body_bytes = 1 << 10;
  options.max_connections = 64;
  options.handler = [this](const HttpServerRequest& request,
                           const HttpResponder& respond) -> void {
    HandleHttp(request, respond);
  };
  return options;
}

auto AgentDaemon::HandleHttp(const HttpServerRequest& request,
                             const HttpResponder& respond) -> void {
  if (request.path == "/metrics") {
    respond(AnswerMetrics(metrics_, link_));
  } else if (request.path == "/health/live") {
    respond({200, {}, "alive\n"});
  } else if (request.path == "/health/ready") {
    respond(stopping_ ? HttpServerAnswer{kUnavailable, {}, "stopping\n"}
                      : HttpServerAnswer{200, {}, "ready\n"});
  } else {
    respond({kNotFound, {}, "No such path.\n"});
  }
}

}  // namespace rhubarbhaven

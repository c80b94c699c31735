#include "Daemon/entry_daemon.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <thread>
#include <utility>

#include "Daemon/caller_api.h"
#include "Daemon/metrics_page.h"

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kLinkLinger{500};
constexpr std::chrono::milliseconds kIdempotencyStopTimeout{1000};
// A non-repeatable request whose intent cannot be appended within this time is
// rejected as not run instead of waiting longer for the log.
constexpr std::chrono::milliseconds kIntentAppendTimeout{1000};
constexpr std::chrono::milliseconds kRetryAfterRingFull{1000};
constexpr unsigned kUnavailable = 503;

auto OptionsOfRouter(const schema::DaemonSettings& settings,
                     uint64_t incarnation) -> RouterOptions {
  RouterOptions options;
  options.entry_id = settings.id();
  options.entry_incarnation = incarnation;
  options.failure_domain = settings.failure_domain();
  options.seed = incarnation;
  options.max_pending = settings.entry().max_pending_requests();
  return options;
}

auto OptionsOfIdempotencyStream(const schema::DaemonSettings& settings,
                                uint64_t incarnation) -> StreamServiceOptions {
  auto options = StreamOptionsOf(settings, incarnation, kOnceStream);
  options.give_back_after = kIntentAppendTimeout;
  return options;
}

}  // namespace

EntryDaemon::EntryDaemon(const schema::DaemonSettings& settings)
    : settings_(settings),
      incarnation_(RandomIncarnation()),
      log_(ComponentLogger("entry")),
      link_(MakeLinkOptions()),
      router_(OptionsOfRouter(settings, incarnation_),
              MakeRouterHooks(),
              &metrics_),
      control_(settings, incarnation_, MakeControlHooks(), &metrics_),
      idempotency_stream_(OptionsOfIdempotencyStream(settings, incarnation_),
                          IdempotencyStreamHooks(),
                          &metrics_),
      operator_api_(&control_, &router_) {}

EntryDaemon::~EntryDaemon() = default;

auto EntryDaemon::Start() -> absl::Status {
  http_ = std::make_unique<HttpServer>(HttpOptions());
  auto status = http_->Start();
  if (!status.ok()) {
    return status;
  }
  router_.Start();
  status = link_.Start();
  if (!status.ok()) {
    return status;
  }
  control_.Start();
  idempotency_stream_.Start();
  log_->info("Entry started. id={} incarnation={} http={}:{} link={}",
             settings_.id(), incarnation_, settings_.entry().http_address(),
             http_->port(), settings_.entry().link_endpoint());
  return absl::OkStatus();
}

auto EntryDaemon::Stop() -> void {
  log_->info("Planned stop started. grace_ms={}",
             settings_.entry().stop_grace_ms());
  stopping_ = true;
  // The load balancer needs time to detect the failing health check. Until then
  // new requests still arrive and are served.
  std::this_thread::sleep_for(
      std::chrono::milliseconds(settings_.entry().stop_grace_ms()));
  http_.reset();
  idempotency_stream_.Stop(kIdempotencyStopTimeout);
  control_.Stop();
  link_.Stop(kLinkLinger);
  router_.Stop();
  log_->info("Entry stopped. id={}", settings_.id());
}

auto EntryDaemon::MakeLinkOptions() -> LinkOptions {
  LinkOptions options;
  options.id = settings_.id();
  options.incarnation = incarnation_;
  options.bind = settings_.entry().link_endpoint();
  options.connect.assign(settings_.entry().peers().begin(),
                         settings_.entry().peers().end());
  options.on_message = [this](const std::string& peer,
                              schema::Envelope message) -> void {
    OnLinkMessage(peer, std::move(message));
  };
  options.on_dropped = [this](schema::Reason reason) -> void {
    metrics_.AddReason("dropped", reason);
  };
  options.on_unsent = [this](const std::string& peer,
                             const schema::Envelope& message) -> void {
    if (message.has_offer() || message.has_recall()) {
      router_.OnUnsent(peer, message);
    }
  };
  return options;
}

auto EntryDaemon::MakeRouterHooks() -> RouterHooks {
  RouterHooks hooks;
  hooks.send = [this](const std::string& agent,
                      schema::Envelope message) -> bool {
    return link_.Send(agent, std::move(message));
  };
  hooks.append_idempotency_entry = [this](schema::LogEntry entry) -> bool {
    return idempotency_stream_.Append(std::move(entry));
  };
  return hooks;
}

auto EntryDaemon::MakeControlHooks() -> ControlHooks {
  ControlHooks hooks;
  hooks.send = [this](const std::string& peer,
                      schema::Envelope message) -> bool {
    return link_.Send(peer, std::move(message));
  };
  hooks.on_config =
      [this](std::vector<schema::VersionedObject> objects) -> void {
    router_.SetServices(std::move(objects));
  };
  return hooks;
}

auto EntryDaemon::IdempotencyStreamHooks() -> StreamHooks {
  StreamHooks hooks;
  hooks.post = [this](const EventLoopThread::Callback& callback) -> void {
    router_.PostOrWait(callback);
  };
  hooks.on_record = [this](TimePoint now, uint64_t offset,
                           const schema::LogRecord& record) -> void {
    router_.OnIdempotencyRecord(now, offset, record);
  };
  hooks.on_snapshot = [](TimePoint, const std::string&) -> void {};
  hooks.on_caught_up = [](TimePoint, TimePoint) -> void {};
  hooks.on_reachable = [this](TimePoint now, bool reachable) -> void {
    router_.OnIdempotencyStream(now, reachable);
  };
  hooks.on_append_failed = [this](TimePoint now,
                                  const schema::LogEntry& entry) -> void {
    router_.OnAppendFailed(now, entry);
  };
  return hooks;
}

auto EntryDaemon::HttpOptions() -> HttpServerOptions {
  HttpServerOptions options;
  options.address = settings_.entry().http_address();
  options.port = static_cast<uint16_t>(settings_.entry().http_port());
  options.max_body_bytes = settings_.entry().max_body_bytes();
  options.handler = [this](const HttpServerRequest& request,
                           const HttpResponder& respond) -> void {
    HandleHttp(request, respond);
  };
  options.on_rejected = [this](schema::Reason reason) -> void {
    metrics_.AddReason("refused", reason);
  };
  return options;
}

auto EntryDaemon::OnLinkMessage(const std::string& peer,
                                schema::Envelope message) -> void {
  switch (message.body_case()) {
    case schema::Envelope::kAnnounce:
      control_.OnMessage(peer, message);
      router_.OnMessage(peer, std::move(message));
      break;
    case schema::Envelope::kAnswer:
      router_.OnMessage(peer, std::move(message));
      break;
    case schema::Envelope::kLeaseRequest:
    case schema::Envelope::kTaskReport:
    case schema::Envelope::kStateRequest:
    case schema::Envelope::kStateReply:
      control_.OnMessage(peer, std::move(message));
      break;
    default:
      metrics_.AddReason("dropped", schema::MESSAGE_MALFORMED);
  }
}

auto EntryDaemon::HandleHttp(const HttpServerRequest& request,
                             const HttpResponder& respond) -> void {
  if (absl::StartsWith(request.path, kCallPath)) {
    HandleCall(request, respond);
  } else if (absl::StartsWith(request.path, kOperatorPath)) {
    operator_api_.Handle(request, respond);
  } else if (request.path == "/metrics") {
    respond(AnswerMetrics(metrics_, link_));
  } else if (request.path == "/health/live") {
    respond({200, {}, "alive\n"});
  } else if (request.path == "/health/ready") {
    respond(AnswerReady());
  } else {
    metrics_.AddReason("refused", schema::BAD_REQUEST);
    respond({404, {}, "No such path; callers use /call/PARTNER/SERVICE/.\n"});
  }
}

auto EntryDaemon::AnswerReady() const -> HttpServerAnswer {
  if (stopping_) {
    return {kUnavailable, {}, "stopping\n"};
  }
  if (!control_.ready()) {
    return {kUnavailable, {}, "waiting for a configuration\n"};
  }
  return {200, {}, "ready\n"};
}

auto EntryDaemon::HandleCall(const HttpServerRequest& http,
                             const HttpResponder& respond) -> void {
  const uint64_t ticket = next_ticket_++;
  auto parsed = ParseCallerRequest(http, settings_.entry(), ticket);
  if (const auto* reason = std::get_if<schema::Reason>(&parsed)) {
    metrics_.AddReason("refused", *reason);
    respond(RenderRejection(*reason, std::chrono::milliseconds(0)));
    return;
  }
  auto request = std::get<CallerRequest>(std::move(parsed));
  if (request.request_id.empty()) {
    request.request_id =
        absl::StrCat(settings_.id(), "-", incarnation_, "-", ticket);
    auto* header = request.http.add_headers();
    header->set_name("rhubarbhaven-request-id");
    header->set_value(request.request_id);
  }
  const std::string request_id = request.request_id;
  const bool accepted =
      router_.Submit(std::move(request),
                     [respond, request_id](const CallerReply& reply) -> void {
                       respond(RenderReply(reply, request_id));
                     });
  if (!accepted) {
    metrics_.AddReason("refused", schema::RING_FULL);
    respond(RenderRejection(schema::RING_FULL, kRetryAfterRingFull));
  }
}

}  // namespace rhubarbhaven

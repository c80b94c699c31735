#ifndef RHUBARBHAVEN_DAEMON_ENTRY_DAEMON_H_
#define RHUBARBHAVEN_DAEMON_ENTRY_DAEMON_H_

#include <absl/status/status.h>

#include <atomic>
#include <memory>

#include "Daemon/control_thread.h"
#include "Daemon/operator_api.h"
#include "Daemon/router_thread.h"
#include "Daemon/stream_service.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// An entry: accepts callers' requests over HTTP, routes them to agents, follows
// the configuration stream, and may own cells.
class EntryDaemon {
 public:
  explicit EntryDaemon(const schema::DaemonSettings& settings);
  EntryDaemon(const EntryDaemon&) = delete;
  auto operator=(const EntryDaemon&) -> EntryDaemon& = delete;
  ~EntryDaemon();

  auto Start() -> absl::Status;
  // A planned stop: fails the readiness check, continues to serve for the grace
  // period, and finishes requests in progress.
  auto Stop() -> void;

 private:
  auto MakeLinkOptions() -> LinkOptions;
  auto MakeRouterHooks() -> RouterHooks;
  auto MakeControlHooks() -> ControlHooks;
  auto IdempotencyStreamHooks() -> StreamHooks;
  auto HttpOptions() -> HttpServerOptions;
  auto OnLinkMessage(const std::string& peer, schema::Envelope message) -> void;
  auto HandleHttp(const HttpServerRequest& request,
                  const HttpResponder& respond) -> void;
  auto HandleCall(const HttpServerRequest& request,
                  const HttpResponder& respond) -> void;
  auto AnswerReady() const -> HttpServerAnswer;

  schema::DaemonSettings settings_;
  uint64_t incarnation_;
  std::shared_ptr<spdlog::logger> log_;
  Metrics metrics_;
  std::atomic<uint64_t> next_ticket_ = 1;
  std::atomic<bool> stopping_ = false;
  // Declared before the members that send through it, so that it is destroyed
  // after them.
  Link link_;
  RouterThread router_;
  ControlThread control_;
  StreamService idempotency_stream_;
  OperatorApi operator_api_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_ENTRY_DAEMON_H_

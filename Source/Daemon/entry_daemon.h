#ifndef RHUBARBHAVEN_DAEMON_ENTRY_DAEMON_H_
#define RHUBARBHAVEN_DAEMON_ENTRY_DAEMON_H_

#include <absl/status/status.h>

#include <atomic>
#include <memory>

#include "Daemon/control_duty.h"
#include "Daemon/operator_api.h"
#include "Daemon/router_duty.h"
#include "Daemon/stream_duty.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// An entry: takes callers' requests over HTTP, routes them to agents, follows
// the configuration, and may own cells.
class EntryDaemon {
 public:
  explicit EntryDaemon(const schema::DaemonSettings& settings);
  EntryDaemon(const EntryDaemon&) = delete;
  auto operator=(const EntryDaemon&) -> EntryDaemon& = delete;
  ~EntryDaemon();

  auto Start() -> absl::Status;
  // A planned stop: fails the health check, goes on serving for the grace
  // time, finishes what is in progress.
  auto Stop() -> void;

 private:
  auto MakeLink() -> LinkOptions;
  auto MakeRouter() -> RouterHooks;
  auto MakeControl() -> ControlHooks;
  auto OnceHooks() -> StreamHooks;
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
  // Ends after everything that sends through it.
  Link link_;
  RouterDuty router_;
  ControlDuty control_;
  StreamDuty once_stream_;
  OperatorApi operator_api_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_ENTRY_DAEMON_H_

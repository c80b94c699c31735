#ifndef RHUBARBHAVEN_DAEMON_AGENT_DAEMON_H_
#define RHUBARBHAVEN_DAEMON_AGENT_DAEMON_H_

#include <absl/status/status.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "Daemon/admission_thread.h"
#include "Daemon/health_probe.h"
#include "Daemon/supervisor_thread.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// The agent process of one endpoint and one worker: admits requests to the
// endpoint, and supervises the tasks that the worker runs.
class AgentDaemon {
 public:
  explicit AgentDaemon(const schema::DaemonSettings& settings);
  AgentDaemon(const AgentDaemon&) = delete;
  auto operator=(const AgentDaemon&) -> AgentDaemon& = delete;
  ~AgentDaemon();

  auto Start() -> absl::Status;
  // A planned stop: accepts no new work, finishes requests in progress, and
  // stops tasks after a checkpoint.
  auto Stop() -> void;

 private:
  auto MakeLinkOptions() -> LinkOptions;
  auto OnLinkMessage(const std::string& entry, schema::Envelope message)
      -> void;
  auto OnNotice(const schema::ConfigNotice& notice) -> void;
  auto HandleHttp(const HttpServerRequest& request,
                  const HttpResponder& respond) -> void;
  auto HttpOptions() -> HttpServerOptions;
  auto Send(const std::string& entry, schema::Envelope message) -> bool;
  auto WaitIdle() -> void;

  schema::DaemonSettings settings_;
  uint64_t incarnation_;
  std::shared_ptr<spdlog::logger> log_;
  Metrics metrics_;
  std::atomic<bool> stopping_ = false;
  // Accessed only on the link's thread after Start().
  schema::Announce identity_;
  // Declared before the members that send through it, so that it is destroyed
  // after them.
  Link link_;
  AdmissionThread admission_;
  // `supervisor_` is null without a worker, `probe_` without an endpoint.
  std::unique_ptr<SupervisorThread> supervisor_;
  std::unique_ptr<HealthProbe> probe_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_AGENT_DAEMON_H_

#ifndef RHUBARBHAVEN_DAEMON_AGENT_DAEMON_H_
#define RHUBARBHAVEN_DAEMON_AGENT_DAEMON_H_

#include <absl/status/status.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "Daemon/admission_duty.h"
#include "Daemon/health_probe.h"
#include "Daemon/keeper_duty.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// The process beside one endpoint and one worker: admits requests to the
// endpoint, and keeps the tasks that the worker runs.
class AgentDaemon {
 public:
  explicit AgentDaemon(const schema::DaemonSettings& settings);
  AgentDaemon(const AgentDaemon&) = delete;
  auto operator=(const AgentDaemon&) -> AgentDaemon& = delete;
  ~AgentDaemon();

  auto Start() -> absl::Status;
  // A planned stop: takes no new work, finishes requests in progress, stops
  // tasks after a checkpoint.
  auto Stop() -> void;

 private:
  auto MakeLink() -> LinkOptions;
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
  // Belongs to the link's thread after the start.
  schema::Announce identity_;
  // Ends after everything that sends through it.
  Link link_;
  AdmissionDuty admission_;
  // Empty if there is no worker or no endpoint.
  std::unique_ptr<KeeperDuty> keeper_;
  std::unique_ptr<HealthProbe> probe_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_AGENT_DAEMON_H_

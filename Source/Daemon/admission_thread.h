#ifndef RHUBARBHAVEN_DAEMON_ADMISSION_THREAD_H_
#define RHUBARBHAVEN_DAEMON_ADMISSION_THREAD_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Daemon/endpoint_caller.h"
#include "Daemon/event_loop_thread.h"
#include "Routing/routing.h"

namespace rhubarbhaven {

struct AdmissionHooks {
  std::function<auto(const std::string& entry, schema::Envelope)->bool> send;
};

// The thread on which an agent admits offers and calls its endpoint.
class AdmissionThread {
 public:
  AdmissionThread(const schema::DaemonSettings& settings,
                  uint64_t incarnation,
                  AdmissionHooks hooks,
                  Metrics* metrics);

  auto Start() -> void;
  auto Stop() -> void;
  // Handles an Offer or a Recall from an entry.
  auto OnMessage(std::string entry, schema::Envelope message) -> void;
  auto SetIdentity(schema::Announce identity) -> void;
  auto SetEndpointHealthy(bool healthy) -> void;
  // Begins a planned stop: no new requests are admitted.
  auto Leave() -> void;
  // True if no request is running or queued.
  auto idle() const -> bool { return idle_; }

 private:
  auto ExecuteActions(const AdmissionActions& actions) -> void;
  auto ExecuteAction(const CallEndpoint& call) -> void;
  auto ExecuteAction(const SendToEntry& send) -> void;
  auto ExecuteAction(const CountRejection& count) -> void;

  std::vector<std::string> entries_;
  AgentAdmission admission_;
  AdmissionHooks hooks_;
  Metrics* metrics_;
  std::atomic<bool> idle_ = false;
  EventLoopThread thread_;
  // Null if the agent has no endpoint.
  std::unique_ptr<EndpointCaller> endpoint_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_ADMISSION_THREAD_H_

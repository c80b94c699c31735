#ifndef RHUBARBHAVEN_DAEMON_ADMISSION_DUTY_H_
#define RHUBARBHAVEN_DAEMON_ADMISSION_DUTY_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Daemon/duty_thread.h"
#include "Daemon/endpoint_caller.h"
#include "Routing/routing.h"

namespace rhubarbhaven {

struct AdmissionHooks {
  std::function<auto(const std::string& entry, schema::Envelope)->bool> send;
};

// The thread that admits offers at an agent and calls the endpoint.
class AdmissionDuty {
 public:
  AdmissionDuty(const schema::DaemonSettings& settings,
                uint64_t incarnation,
                AdmissionHooks hooks,
                Metrics* metrics);

  auto Start() -> void;
  auto Stop() -> void;
  // Offer and Recall, from an entry.
  auto OnMessage(std::string entry, schema::Envelope message) -> void;
  auto SetIdentity(schema::Announce identity) -> void;
  auto SetEndpointHealthy(bool healthy) -> void;
  // A planned stop begins.
  auto Leave() -> void;
  // True when nothing runs and nothing waits.
  auto idle() const -> bool { return idle_; }

 private:
  auto Carry(const AdmissionActions& actions) -> void;
  auto CarryOne(const CallEndpoint& call) -> void;
  auto CarryOne(const SendToEntry& send) -> void;
  auto CarryOne(const CountRejection& count) -> void;

  std::vector<std::string> entries_;
  AgentAdmission admission_;
  AdmissionHooks hooks_;
  Metrics* metrics_;
  std::atomic<bool> idle_ = false;
  DutyThread thread_;
  // Empty if there is no endpoint beside the agent.
  std::unique_ptr<EndpointCaller> endpoint_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_ADMISSION_DUTY_H_

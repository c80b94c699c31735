#ifndef RHUBARBHAVEN_DAEMON_JOB_AGENT_H_
#define RHUBARBHAVEN_DAEMON_JOB_AGENT_H_

#include <functional>
#include <future>
#include <memory>
#include <string>

#include "Daemon/duty_thread.h"
#include "Jobs/jobs.h"

namespace rhubarbhaven {

struct JobAgentHooks {
  jobs::KeyedLogPort log;
  // Over the link; false if it was not sent.
  std::function<auto(const std::string& peer, schema::Envelope)->bool> send;
  // Calls to the worker; they may answer on any thread.
  jobs::WorkerPort worker;
};

// The duty of an agent on the platform: one thread that owns a `TaskAgent`,
// and the agent's registration in the log.
class JobAgent {
 public:
  JobAgent(jobs::AgentRegistrationOptions options,
           JobAgentHooks hooks,
           Metrics* metrics);
  JobAgent(const JobAgent&) = delete;
  auto operator=(const JobAgent&) -> JobAgent& = delete;

  auto Start() -> void;
  auto Stop() -> void;
  auto OnOrders(const std::string& peer, jobs::AgentOrders orders) -> void;
  // `respond` tells whether the heartbeat is taken.
  auto OnHeartbeat(jobs::WorkerHeartbeat heartbeat,
                   const std::function<auto(bool taken)->void>& respond)
      -> void;
  auto OnLeave(const std::string& worker_id,
               const std::function<auto(bool taken)->void>& respond) -> void;

 private:
  auto Tick(TimePoint now) -> void;
  auto NextWake() const -> TimePoint;
  auto Register(TimePoint now) -> void;
  auto WorkerOnThread(const jobs::WorkerPort& port) -> jobs::WorkerPort;
  auto MakeAgentHooks() -> jobs::TaskAgentHooks;

  JobAgentHooks hooks_;
  Metrics* metrics_;
  EventLog log_;
  jobs::TaskAgent agent_;
  jobs::AgentRegistration registration_;
  TimePoint looked_at_;
  DutyThread duty_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_JOB_AGENT_H_

#ifndef RHUBARBHAVEN_DAEMON_JOB_AGENT_H_
#define RHUBARBHAVEN_DAEMON_JOB_AGENT_H_

#include <functional>
#include <future>
#include <memory>
#include <string>

#include "Daemon/event_loop_thread.h"
#include "Jobs/jobs.h"

namespace rhubarbhaven {

struct JobAgentHooks {
  jobs::KeyedLogPort log;
  // Sends over the link. Returns false if the message was not sent.
  std::function<auto(const std::string& peer, schema::Envelope)->bool> send;
  // Calls to the worker. Their callbacks may run on any thread.
  jobs::WorkerPort worker;
};

// An agent on the platform: one thread that owns a `TaskAgent` and the agent's
// registration in the log.
class JobAgent {
 public:
  JobAgent(jobs::AgentRegistrationOptions options,
           JobAgentHooks hooks,
           Metrics* metrics);
  JobAgent(const JobAgent&) = delete;
  auto operator=(const JobAgent&) -> JobAgent& = delete;

  auto Start() -> void;
  // Stops using the worker, and waits until that is recorded in the log, for at
  // most `record_limit`.
  auto Stop(std::chrono::milliseconds record_limit) -> void;
  auto OnOrders(const std::string& peer, jobs::AgentOrders orders) -> void;
  // Calls `respond` with whether the heartbeat was accepted.
  auto OnHeartbeat(jobs::WorkerHeartbeat heartbeat,
                   const std::function<auto(bool accepted)->void>& respond)
      -> void;
  auto OnLeave(const std::string& worker_id,
               const std::function<auto(bool accepted)->void>& respond) -> void;

 private:
  auto Tick(TimePoint now) -> void;
  auto NextWake() const -> TimePoint;
  auto Register(TimePoint now) -> void;
  auto SendRegistration(TimePoint now) -> void;
  auto RecordStop(TimePoint now) -> void;
  auto WorkerOnThread(const jobs::WorkerPort& port) -> jobs::WorkerPort;
  auto LogDecision(const jobs::AgentDecision& decision) -> void;
  auto MakeAgentHooks() -> jobs::TaskAgentHooks;

  JobAgentHooks hooks_;
  Metrics* metrics_;
  EventLog log_;
  jobs::TaskAgent agent_;
  jobs::AgentRegistration registration_;
  const TimePoint started_at_ = Clock::now();
  TimePoint last_tick_;
  // Set once the log contains that this process has stopped using its worker.
  std::promise<void> stop_recorded_;
  bool stop_reported_ = false;
  EventLoopThread thread_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_JOB_AGENT_H_

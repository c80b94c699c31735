#ifndef RHUBARBHAVEN_DAEMON_SUPERVISOR_THREAD_H_
#define RHUBARBHAVEN_DAEMON_SUPERVISOR_THREAD_H_

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "Daemon/event_loop_thread.h"
#include "Daemon/worker_caller.h"
#include "Tasks/tasks.h"

namespace rhubarbhaven {

struct SupervisorHooks {
  std::function<auto(const std::string& entry, schema::Envelope)->bool> send;
};

// The thread that supervises the tasks of one instance. Calls to the worker run
// on a second thread, so that a slow worker does not delay lease renewals.
class SupervisorThread {
 public:
  SupervisorThread(const schema::DaemonSettings& settings,
                   uint64_t incarnation,
                   SupervisorHooks hooks,
                   Metrics* metrics);

  auto Start() -> void;
  auto Stop() -> void;
  // Handles a LeaseGrant or a TaskOrder from an entry.
  auto OnMessage(std::string entry, schema::Envelope message) -> void;
  auto Leave() -> void;
  auto idle() const -> bool { return idle_; }

 private:
  auto ExecuteActions(const SupervisorActions& actions) -> void;
  auto ExecuteAction(const CallWorker& call) -> void;
  auto ExecuteAction(const SendToOwner& send) -> void;
  auto ExecuteAction(const CountSupervisorEvent& count) -> void;
  auto Finish(const TaskCallResult& outcome) -> void;

  std::vector<std::string> entries_;
  TaskSupervisor supervisor_;
  WorkerCaller worker_;
  SupervisorHooks hooks_;
  Metrics* metrics_;
  std::atomic<bool> idle_ = false;
  EventLoopThread thread_;
  EventLoopThread worker_thread_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_SUPERVISOR_THREAD_H_

#ifndef RHUBARBHAVEN_DAEMON_KEEPER_DUTY_H_
#define RHUBARBHAVEN_DAEMON_KEEPER_DUTY_H_

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "Daemon/duty_thread.h"
#include "Daemon/worker_caller.h"
#include "Tasks/tasks.h"

namespace rhubarbhaven {

struct KeeperHooks {
  std::function<auto(const std::string& entry, schema::Envelope)->bool> send;
};

// The thread that keeps the tasks of one instance, and the one that calls its
// worker: a slow worker holds back no lease.
class KeeperDuty {
 public:
  KeeperDuty(const schema::DaemonSettings& settings,
             uint64_t incarnation,
             KeeperHooks hooks,
             Metrics* metrics);

  auto Start() -> void;
  auto Stop() -> void;
  // LeaseGrant and TaskOrder, from an entry.
  auto OnMessage(std::string entry, schema::Envelope message) -> void;
  auto Leave() -> void;
  auto idle() const -> bool { return idle_; }

 private:
  auto Carry(const SupervisorActions& actions) -> void;
  auto CarryOne(const CallWorker& call) -> void;
  auto CarryOne(const SendToOwner& send) -> void;
  auto CarryOne(const CountSupervisorEvent& count) -> void;
  auto Finish(const TaskCallResult& outcome) -> void;

  std::vector<std::string> entries_;
  TaskSupervisor keeper_;
  WorkerCaller worker_;
  KeeperHooks hooks_;
  Metrics* metrics_;
  std::atomic<bool> idle_ = false;
  DutyThread thread_;
  DutyThread worker_thread_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_KEEPER_DUTY_H_

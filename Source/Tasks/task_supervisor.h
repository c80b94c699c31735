#ifndef RHUBARBHAVEN_TASKS_TASK_SUPERVISOR_H_
#define RHUBARBHAVEN_TASKS_TASK_SUPERVISOR_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

struct SupervisorOptions {
  std::string agent_id;
  uint64_t agent_incarnation = 0;
  std::string instance;
  std::string cell;
  std::chrono::milliseconds lease_ttl{6000};
  std::chrono::milliseconds worker_lease{6000};
  std::chrono::milliseconds request_interval{1000};
  std::chrono::milliseconds status_interval{1000};
};

// A call to the worker; its result is passed to `OnWorkerReply`.
struct CallWorker {
  enum class Kind {
    kStatus,
    kStart,
    kRenew,
    kCheckpoint,
    kThrottle,
    kUnthrottle,
    kStop,
    kForget
  };
  uint64_t call_id = 0;
  Kind kind = Kind::kStatus;
  schema::WorkerStart start;
  schema::WorkerRenew renew;
  schema::WorkerCommand command;
  // The call must not be sent after this point, when the lease may have
  // expired.
  TimePoint not_after = TimePoint::max();
};

// A message to one entry or to all entries.
struct SendToOwner {
  // Empty for all entries.
  std::string entry;
  schema::Envelope message;
};

struct CountSupervisorEvent {
  std::string counter;
};

using SupervisorAction =
    std::variant<CallWorker, SendToOwner, CountSupervisorEvent>;
using SupervisorActions = std::vector<SupervisorAction>;

// The result of a call to the worker. `known` is false if the answer was lost,
// so that the call may or may not have taken effect.
struct TaskCallResult {
  uint64_t call_id = 0;
  bool known = false;
  // The call was certainly not sent: `not_after` had passed or no connection
  // could be made.
  bool not_sent = false;
  schema::WorkerReply reply;
  schema::WorkerStatus status;
};

// Runs tasks on behalf of a cell's owner: executes the owner's orders under the
// agent's lease, renews the leases of tasks at the worker, and reports which
// tasks run and have ended.
class TaskSupervisor {
 public:
  explicit TaskSupervisor(SupervisorOptions options);
  TaskSupervisor(const TaskSupervisor&) = delete;
  auto operator=(const TaskSupervisor&) -> TaskSupervisor& = delete;
  ~TaskSupervisor();

  // Handles a LeaseGrant or TaskOrder from an entry.
  auto OnMessage(TimePoint now,
                 const std::string& entry,
                 const schema::Envelope& message) -> SupervisorActions;
  auto OnWorkerReply(TimePoint now, const TaskCallResult& outcome)
      -> SupervisorActions;
  // Begins a planned stop: every task is checkpointed and stopped.
  auto Leave(TimePoint now) -> SupervisorActions;
  auto OnTick(TimePoint now) -> SupervisorActions;
  auto next_wake() const -> TimePoint;

  // True when a planned stop is complete: no task runs and every end has been
  // recorded in the log.
  auto idle() const -> bool;
  auto leased(TimePoint now) const -> bool;
  auto fence() const -> uint64_t;
  auto running() const -> std::vector<schema::RunningTask>;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TASKS_TASK_SUPERVISOR_H_

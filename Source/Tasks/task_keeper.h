#ifndef RHUBARBHAVEN_TASKS_TASK_KEEPER_H_
#define RHUBARBHAVEN_TASKS_TASK_KEEPER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

struct KeeperOptions {
  std::string agent_id;
  uint64_t agent_incarnation = 0;
  std::string instance;
  std::string cell;
  std::chrono::milliseconds lease_ttl{6000};
  std::chrono::milliseconds worker_lease{6000};
  std::chrono::milliseconds request_interval{1000};
  std::chrono::milliseconds status_interval{1000};
};

// One call of the worker; its outcome comes back by `OnWorkerReply`.
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
  // The call must not be sent after this point: the lease would be over.
  TimePoint not_after = TimePoint::max();
};

// To every entry, or to one.
struct SendToOwner {
  // Empty for all entries.
  std::string entry;
  schema::Envelope message;
};

struct CountKeeper {
  std::string counter;
};

using KeeperAction = std::variant<CallWorker, SendToOwner, CountKeeper>;
using KeeperActions = std::vector<KeeperAction>;

// What became of a call of the worker. `known` is false if the answer was
// lost, so that the call may or may not have taken effect.
struct WorkerOutcome {
  uint64_t call_id = 0;
  bool known = false;
  // The call was certainly not sent (`not_after` passed, or no connection).
  bool not_sent = false;
  schema::WorkerReply reply;
  schema::WorkerStatus status;
};

// An agent's part in running tasks: carries out the owner's orders under its
// lease, renews the worker's leases, and says what ran and ended.
class TaskKeeper {
 public:
  explicit TaskKeeper(KeeperOptions options);
  TaskKeeper(const TaskKeeper&) = delete;
  auto operator=(const TaskKeeper&) -> TaskKeeper& = delete;
  ~TaskKeeper();

  // LeaseGrant and TaskOrder, from an entry.
  auto OnMessage(TimePoint now,
                 const std::string& entry,
                 const schema::Envelope& message) -> KeeperActions;
  auto OnWorkerReply(TimePoint now, const WorkerOutcome& outcome)
      -> KeeperActions;
  // A planned stop: checkpoint and stop every task, then leave.
  auto Leave(TimePoint now) -> KeeperActions;
  auto OnTick(TimePoint now) -> KeeperActions;
  auto next_wake() const -> TimePoint;

  // True when a planned stop may end: nothing runs, everything was recorded.
  auto idle() const -> bool;
  auto leased(TimePoint now) const -> bool;
  auto fence() const -> uint64_t;
  auto running() const -> std::vector<schema::RunningTask>;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TASKS_TASK_KEEPER_H_

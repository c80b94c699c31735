#ifndef RHUBARBHAVEN_TASKS_WORKER_CALLS_H_
#define RHUBARBHAVEN_TASKS_WORKER_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Tasks/task_keeper.h"

namespace rhubarbhaven::tasks {

// A call of the worker whose outcome has not come back.
struct PendingCall {
  CallWorker::Kind kind = CallWorker::Kind::kStatus;
  uint64_t call_id = 0;
  // Key of the attempt; empty for status and renewal.
  std::string key;
  TimePoint asked;
};

// Numbers the calls of the worker and says which are under way. Outcomes of
// calls that are not known (any more) are ignored.
class WorkerCalls {
 public:
  // Makes a call with its number filled in.
  auto Begin(TimePoint now, CallWorker::Kind kind, const std::string& key)
      -> CallWorker;
  // Calls begun before `asked_before`; their outcomes count as lost.
  auto TakeOverdue(TimePoint asked_before) -> std::vector<PendingCall>;
  auto Finish(uint64_t call_id) -> std::optional<PendingCall>;
  auto IsPending(CallWorker::Kind kind) const -> bool;

 private:
  uint64_t next_id_ = 1;
  std::map<uint64_t, PendingCall> pending_;
};

// The worker's own clock as seen from an agent: the point of the worker's
// clock that is certainly not later than a point of the agent's.
class WorkerClock {
 public:
  // A status that came back at `replied` said `clock_ms`.
  auto OnStatus(TimePoint replied, uint64_t clock_ms) -> void;
  // Zero if the worker does not tell its clock.
  auto ToWorkerMs(TimePoint point) const -> uint64_t;
  auto replied() const -> TimePoint { return replied_; }

 private:
  TimePoint replied_ = TimePoint::min();
  uint64_t clock_ms_ = 0;
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_WORKER_CALLS_H_

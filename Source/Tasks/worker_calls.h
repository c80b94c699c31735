#ifndef RHUBARBHAVEN_TASKS_WORKER_CALLS_H_
#define RHUBARBHAVEN_TASKS_WORKER_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Tasks/task_supervisor.h"

namespace rhubarbhaven::tasks {

// A call to the worker whose result has not been received.
struct PendingCall {
  CallWorker::Kind kind = CallWorker::Kind::kStatus;
  uint64_t call_id = 0;
  // Key of the attempt; empty for status and renewal calls.
  std::string key;
  TimePoint requested_at;
};

// Assigns call numbers and keeps track of pending calls. Results of calls that
// are not pending are ignored.
class WorkerCalls {
 public:
  // Creates a call with its number set and adds it to the pending calls.
  auto Begin(TimePoint now, CallWorker::Kind kind, const std::string& key)
      -> CallWorker;
  // Removes and returns the calls made before `requested_before`; they are
  // treated as lost.
  auto TakeOverdue(TimePoint requested_before) -> std::vector<PendingCall>;
  auto Finish(uint64_t call_id) -> std::optional<PendingCall>;
  auto IsPending(CallWorker::Kind kind) const -> bool;

 private:
  uint64_t next_id_ = 1;
  std::map<uint64_t, PendingCall> pending_;
};

// Converts points in time from the agent's clock to the worker's clock. The
// result is never later than the given point.
class WorkerClock {
 public:
  // Records that a status received at `replied` contained `clock_ms`.
  auto OnStatus(TimePoint replied, uint64_t clock_ms) -> void;
  // Returns zero if the worker does not report its clock.
  auto ToWorkerMs(TimePoint point) const -> uint64_t;
  auto replied() const -> TimePoint { return replied_; }

 private:
  TimePoint replied_ = TimePoint::min();
  uint64_t clock_ms_ = 0;
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_WORKER_CALLS_H_

#ifndef RHUBARBHAVEN_JOBS_WORKER_PORT_H_
#define RHUBARBHAVEN_JOBS_WORKER_PORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// A point in time on a worker's own clock.
using WorkerTime = std::chrono::milliseconds;

// The state that a worker publishes periodically.
struct WorkerHeartbeat {
  // Unique to one process of the worker, see MakeWorkerId.
  std::string worker_id;
  // Increases with each heartbeat of one process.
  uint64_t sequence = 0;
  std::string service;
  std::string failure_domain;
  schema::Resources capacity;
  std::vector<std::string> labels;
  bool draining = false;
  // The minimum remaining time of a worker that drains.
  std::chrono::milliseconds remaining{0};
};

// The tasks that a worker runs, and the task ends that it still stores.
struct WorkerListing {
  bool answered = false;
  // The process that answered is not the one that the call names.
  bool other_worker_id = false;
  // Its id. Adds the start to that of the call if the call does not name one.
  std::string worker_id;
  // A higher fence is in force at the worker.
  bool fenced = false;
  WorkerTime clock{0};
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  // The worker may store further ends, which are newer than those in `ended`.
  bool ends_truncated = false;
};

enum class WorkerCallOutcome {
  kDone,
  // The call was not carried out and will not be.
  kNoRoom,
  kRunOver,
  kLate,
  kFenced,
  kBadTicket,
  kUnhealthy,
  kOtherWorkerId,
  kRejected,
  // The call may have been carried out, or may still be carried out later.
  kUnknown,
};

struct WorkerCallResult {
  WorkerCallOutcome outcome = WorkerCallOutcome::kUnknown;
};

struct StartCall {
  TaskName task;
  uint64_t run = 0;
  uint64_t fence = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  // The worker rejects the start after this time, and its lease lasts until
  // then.
  WorkerTime deadline{0};
  std::string worker_id;
};

struct StopCall {
  TaskName task;
  uint64_t run = 0;
  uint64_t fence = 0;
  std::string worker_id;
};

struct ListCall {
  uint64_t fence = 0;
  // The worker may discard ends up to this number.
  uint64_t forget_through = 0;
  // Renews the worker's lease until this time; zero renews nothing.
  WorkerTime deadline{0};
  // How long the response may wait for a task end.
  std::chrono::milliseconds wait{0};
  std::string worker_id;
};

struct PaceCall {
  TaskName task;
  uint64_t run = 0;
  uint64_t fence = 0;
  // The share of its full speed at which the task runs, 0 to 100.
  uint32_t percent = 100;
  std::string worker_id;
};

// Calls to the agent's worker. Each calls back exactly once, on the thread of
// the agent's state, also when the worker is unresponsive.
struct WorkerPort {
  using OnCall = std::function<auto(TimePoint, WorkerCallResult)->void>;
  using OnListing = std::function<auto(TimePoint, WorkerListing)->void>;
  std::function<auto(const StartCall&, OnCall)->void> start;
  std::function<auto(const StopCall&, OnCall)->void> stop;
  std::function<auto(const ListCall&, OnListing)->void> list;
  std::function<auto(const PaceCall&, OnCall)->void> pace;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_WORKER_PORT_H_

#ifndef RHUBARBHAVEN_JOBS_WORKER_PORT_H_
#define RHUBARBHAVEN_JOBS_WORKER_PORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// A point on a worker's own clock.
using WorkerTime = std::chrono::milliseconds;

// What a worker says of itself at an interval.
struct WorkerHeartbeat {
  // Unique to one life of the worker.
  std::string worker_id;
  // Rises with each heartbeat of one life.
  uint64_t sequence = 0;
  std::string service;
  std::string failure_domain;
  schema::Resources capacity;
  std::vector<std::string> labels;
  bool draining = false;
  // At least this long is left to a worker that drains.
  std::chrono::milliseconds remaining{0};
};

// What a worker runs, and which ends it has not been told to forget.
struct WorkerListing {
  bool answered = false;
  // The worker has another life than the one that was meant.
  bool other_life = false;
  // A higher fence is in force at the worker.
  bool fenced = false;
  WorkerTime clock{0};
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

enum class WorkerCallOutcome {
  kDone,
  // Nothing was done, and nothing will be by this call.
  kNoRoom,
  kRunOver,
  kLate,
  kFenced,
  kBadTicket,
  kUnhealthy,
  kOtherLife,
  kRejected,
  // Done, or not, or later.
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
  // The worker refuses the start from then on, and its lease lasts until then.
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
  // Ends up to this one may be forgotten.
  uint64_t forget_through = 0;
  // Renews the worker's lease until then; zero renews nothing.
  WorkerTime deadline{0};
  // How long the answer may wait for an end.
  std::chrono::milliseconds wait{0};
  std::string worker_id;
};

struct PaceCall {
  TaskName task;
  uint64_t run = 0;
  uint64_t fence = 0;
  // Share of its speed at which the task works, 0 to 100.
  uint32_t percent = 100;
  std::string worker_id;
};

// Calls to the worker beside an agent. Each answers once, on the thread of the
// agent's state, also when the worker is silent.
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

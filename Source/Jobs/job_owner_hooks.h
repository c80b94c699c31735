#ifndef RHUBARBHAVEN_JOBS_JOB_OWNER_HOOKS_H_
#define RHUBARBHAVEN_JOBS_JOB_OWNER_HOOKS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Jobs/job_work.h"
#include "Jobs/placement_order.h"
#include "Jobs/ticket_cache.h"

namespace rhubarbhaven::jobs {

// A decision of the owner about one or several runs, for logging.
struct OwnerDecision {
  std::string what;
  // Task of the first run.
  TaskName task;
  uint64_t run = 0;
  // Empty if the runs are on several agents.
  std::string agent;
  std::string why;
  std::size_t runs = 1;
  // Tasks of several runs, at most as many as a log line should hold.
  std::vector<TaskName> some_tasks = {};
};

// State of a new owner's reconciliation. Tasks of jobs accepted before its
// claim wait until it is done.
struct ReconciliationState {
  bool done = false;
  // Time since the owner began.
  Duration waited{0};
  // Longest remaining wait if no missing agent answers.
  Duration longest{0};
  std::size_t agents = 0;
  // Agents that it waits for, and the names of some of them.
  std::size_t missing = 0;
  std::vector<std::string> missing_names;
  // For each of these agents, why it is waited for, for how long, and when it
  // last answered.
  std::vector<std::string> missing_bounds;
};

// How long a run took, relative to what was expected when it started.
struct RunLengthSample {
  double by_estimate = 1;
  double by_learned = 1;
};

// A job that has no run although one of its steps is ready, or a ready step of
// long-running tasks some of which have no run.
struct StarvedJob {
  // The first waiting task.
  TaskName task;
  Duration waited{0};
  std::string why;
  // Age of the oldest report among workers that have listed their runs.
  Duration oldest_report{0};
  // Waiting long-running tasks, at most as many as a log line should hold, and
  // the number of all of them.
  std::vector<TaskName> tasks = {};
  std::size_t waiting = 0;
};

// Agents that this owner uses and that have not reported lately.
struct SilentAgents {
  std::size_t silent = 0;
  std::size_t agents = 0;
  Duration longest{0};
  // At most as many as a log line should hold.
  std::vector<std::string> names;
};

// Bytes that the owner has sent to agents.
struct OrderTraffic {
  uint64_t bytes = 0;
  // Of starts, of the jobs' payloads in them, and of starts that were sent
  // before.
  uint64_t start_bytes = 0;
  uint64_t payload_bytes = 0;
  uint64_t repeated_bytes = 0;
};

// A record that is larger than the log accepts.
struct LargeRecord {
  std::string key;
  std::size_t bytes = 0;
  // A part of it is stored.
  bool reduced = false;
};

// How much of the log a copy contains: all records that the log had at `as_of`,
// and all before the offset `read_to`.
struct LogPosition {
  TimePoint as_of;
  uint64_t read_to = 0;
};

struct JobOwnerHooks {
  // Sends orders over the link to the agent at the endpoint.
  std::function<auto(const std::string& link_endpoint, AgentOrders)->void> send;
  std::function<auto(const OwnerDecision&)->void> log;
  // Logs a decision about an agent as a whole: "agent_known" or
  // "agent_forgotten".
  std::function<auto(const std::string& what, const std::string& agent)->void>
      log_agent;
  // Reports that reconciliation still waits or is done.
  std::function<auto(const ReconciliationState&)->void> log_reconciliation;
  // Logs a starved job. The number of lines per second is limited over all
  // jobs.
  std::function<auto(const StarvedJob&)->void> log_starved;
  // Logs agents that have not reported lately, repeatedly while there are any.
  std::function<auto(const SilentAgents&)->void> log_silent;
  // Reports the number of jobs that have been starved for long enough to be
  // logged, whenever it changes.
  std::function<auto(std::size_t)->void> report_starved;
  // Reports which jobs can be in time, whenever that has been computed, and an
  // empty state once no task waits.
  std::function<auto(const OverloadState&)->void> report_overload;
  // Reports a run that ended well.
  std::function<auto(const RunLengthSample&)->void> report_run_length;
  // Logs that learned run lengths were "loaded" or "stored", for this number of
  // keys.
  std::function<auto(const std::string& what, std::size_t keys)->void>
      log_run_lengths;
  // Logs a record that is stored in part or not at all.
  std::function<auto(const LargeRecord&)->void> log_large_record;
  // Reports each second the longest delay of a poll since the previous report.
  std::function<auto(Duration)->void> report_lag;
  // Reports each second the longest time from the decision on a start until its
  // result, among the results since the previous report.
  std::function<auto(Duration)->void> report_start_delay;
  // Reports each second what was sent to agents since the previous report.
  std::function<auto(const OrderTraffic&)->void> report_orders;
  // Returns the queue's rules in the newest configuration, or null if it has
  // none.
  std::function<auto(const std::string& queue)->const QueueRules*> rules;
  // Whether operators have evacuated the failure domain, so that nothing may
  // start in it.
  std::function<auto(const std::string& failure_domain)->bool> is_evacuated;
  // The time until which no other owner can have followed this one. Runs under
  // a lease that expired before it are over; a later lease may have been
  // renewed by a successor.
  std::function<auto()->TimePoint> exclusive_until;
  // When the newest renewal of this owner's claim that the log has stored was
  // sent.
  std::function<auto()->TimePoint> renewed_at;
  // Reports that the grants of the previous owner expire at `end`.
  std::function<auto(TimePoint now, TimePoint end)->void> on_last_owner_bound;
  // When the lease of the agent's worker has expired, by the record of the
  // agent's process that it was told to stop; none if there is no such record.
  std::function<auto(const std::string& agent)->std::optional<TimePoint>>
      stopped_lease_end;
  // Returns what the fold contains.
  std::function<auto()->LogPosition> log_position;
  // Time since the Unix epoch.
  std::function<auto()->std::chrono::milliseconds> wall_clock;
  // Requests tickets from the policy.
  AskAdvice ask_advice;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_OWNER_HOOKS_H_

#ifndef RHUBARBHAVEN_TASKS_WORKER_DRIVER_H_
#define RHUBARBHAVEN_TASKS_WORKER_DRIVER_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "Tasks/supervised_attempts.h"
#include "Tasks/supervisor_lease.h"
#include "Tasks/task_supervisor.h"
#include "Tasks/usage_reporter.h"
#include "Tasks/worker_calls.h"

namespace rhubarbhaven::tasks {

// Makes the calls that bring the worker to the state requested in the attempt
// table, with at most one call pending per attempt. If an answer is lost, no
// outcome is assumed; a later status shows whether the call took effect.
class WorkerDriver {
 public:
  WorkerDriver(const SupervisorOptions& options,
               SupervisedAttempts* table,
               const SupervisorLease* lease);

  // Time at which this incarnation of the agent started. Starts sent by an
  // earlier incarnation may still reach the worker for one lease after it.
  auto SetStartTime(TimePoint now) -> void;
  auto OnOutcome(TimePoint now,
                 const TaskCallResult& outcome,
                 SupervisorActions* actions) -> void;
  // Makes every call that is due at `now`.
  auto Step(TimePoint now, SupervisorActions* actions) -> void;

  // Incarnation of the worker; zero until its first status.
  auto incarnation() const -> uint64_t { return incarnation_; }
  auto capacity() const -> const schema::Resources& { return capacity_; }
  auto used() const -> const schema::Resources& { return used_; }
  // Usage of tasks on the worker that this scheduler did not start.
  auto foreign() const -> const schema::Resources& { return foreign_; }
  auto usage() -> UsageReporter& { return usage_; }
  // Returns and clears the keys of attempts whose phase has changed.
  auto TakeChanged() -> std::set<std::string>;
  auto next_wake() const -> TimePoint { return next_status_; }
  auto initial_lease_end() const -> TimePoint { return initial_lease_end_; }

 private:
  auto OnReplyLost(TimePoint now, const PendingCall& call) -> void;
  auto OnReply(TimePoint now,
               const PendingCall& call,
               const schema::WorkerReply& reply,
               SupervisorActions* actions) -> void;
  auto OnStartReply(TimePoint now,
                    SupervisedAttempt* task,
                    const schema::WorkerReply& reply) -> void;
  auto OnStatus(TimePoint now,
                TimePoint requested_at,
                const schema::WorkerStatus& status) -> void;
  auto OnNewIncarnation(uint64_t incarnation) -> void;
  // True if the attempt had started so shortly before the worker terminated
  // that it may have caused the crash.
  auto MayHaveCausedCrash(const SupervisedAttempt& task) const -> bool;
  auto OnWorkerTask(TimePoint now, const schema::WorkerTask& seen) -> void;
  auto EndAbsentAttempts(TimePoint requested_at,
                         const std::set<std::string>& present) -> void;
  auto Update(TimePoint now,
              SupervisedAttempt* task,
              const schema::WorkerTask& seen) -> void;
  auto SetPhase(SupervisedAttempt* task, SupervisedAttempt::Phase phase)
      -> void;
  auto End(SupervisedAttempt* task,
           schema::TaskOutcome outcome,
           const std::string& detail) -> void;

  auto StepTask(TimePoint now,
                SupervisedAttempt* task,
                SupervisorActions* actions) -> void;
  auto StepUnresolved(SupervisedAttempt* task) -> void;
  auto StepRunning(TimePoint now,
                   SupervisedAttempt* task,
                   SupervisorActions* actions) -> void;
  auto Start(TimePoint now, SupervisedAttempt* task, SupervisorActions* actions)
      -> void;
  auto Command(TimePoint now,
               SupervisedAttempt* task,
               CallWorker::Kind kind,
               SupervisorActions* actions) -> void;
  auto Renew(TimePoint now, SupervisorActions* actions) -> void;
  auto PollStatus(TimePoint now, SupervisorActions* actions) -> void;
  // True while the agent holds a lease and the latest reading of the worker's
  // clock is recent enough.
  auto MayAct(TimePoint now) const -> bool;

  SupervisorOptions options_;
  SupervisedAttempts* table_;
  const SupervisorLease* lease_;
  WorkerCalls calls_;
  WorkerClock clock_;
  TimePoint initial_lease_end_ = TimePoint::min();
  TimePoint next_status_ = TimePoint::min();
  TimePoint status_requested_at_ = TimePoint::min();
  uint64_t incarnation_ = 0;
  schema::Resources capacity_;
  schema::Resources used_;
  schema::Resources foreign_;
  UsageReporter usage_;
  std::set<std::string> changed_;
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_WORKER_DRIVER_H_

#ifndef RHUBARBHAVEN_TASKS_KEEPER_WORKER_H_
#define RHUBARBHAVEN_TASKS_KEEPER_WORKER_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "Tasks/keeper_lease.h"
#include "Tasks/keeper_table.h"
#include "Tasks/task_keeper.h"
#include "Tasks/usage_reporter.h"
#include "Tasks/worker_calls.h"

namespace rhubarbhaven::tasks {

// Drives the worker towards what the table asks for, one call at a time for
// each task. An answer that was lost is never assumed: a later status says
// whether the call took effect.
class KeeperWorker {
 public:
  KeeperWorker(const KeeperOptions& options,
               KeeperTable* table,
               const KeeperLease* lease);

  // The agent's first moment. Starts that an earlier incarnation of it sent
  // may reach the worker for one lease from here.
  auto SetBirth(TimePoint now) -> void;
  auto OnOutcome(TimePoint now,
                 const WorkerOutcome& outcome,
                 KeeperActions* actions) -> void;
  // Makes every call that is due.
  auto Step(TimePoint now, KeeperActions* actions) -> void;

  // Zero until the worker was first heard.
  auto incarnation() const -> uint64_t { return incarnation_; }
  auto capacity() const -> const schema::Resources& { return capacity_; }
  auto used() const -> const schema::Resources& { return used_; }
  // What tasks that are not the scheduler's use.
  auto foreign() const -> const schema::Resources& { return foreign_; }
  auto usage() -> UsageReporter& { return usage_; }
  // Attempts whose phase changed since the last call.
  auto TakeChanged() -> std::set<std::string>;
  auto next_wake() const -> TimePoint { return next_status_; }
  auto birth_lease_end() const -> TimePoint { return birth_lease_end_; }

 private:
  auto OnUnknown(TimePoint now, const PendingCall& call) -> void;
  auto OnReply(TimePoint now,
               const PendingCall& call,
               const schema::WorkerReply& reply,
               KeeperActions* actions) -> void;
  auto OnStartReply(TimePoint now,
                    KeeperTask* task,
                    const schema::WorkerReply& reply) -> void;
  auto OnStatus(TimePoint now,
                TimePoint asked,
                const schema::WorkerStatus& status) -> void;
  auto OnNewIncarnation(uint64_t incarnation) -> void;
  // Whether the attempt had begun so shortly before the worker's end that it
  // may be the cause.
  auto MayHaveCrashed(const KeeperTask& task) const -> bool;
  auto OnWorkerTask(TimePoint now, const schema::WorkerTask& seen) -> void;
  auto NoteAbsent(TimePoint asked, const std::set<std::string>& present)
      -> void;
  auto Update(TimePoint now, KeeperTask* task, const schema::WorkerTask& seen)
      -> void;
  auto SetPhase(KeeperTask* task, KeeperTask::Phase phase) -> void;
  auto End(KeeperTask* task,
           schema::TaskOutcome outcome,
           const std::string& detail) -> void;

  auto StepTask(TimePoint now, KeeperTask* task, KeeperActions* actions)
      -> void;
  auto StepUnresolved(KeeperTask* task) -> void;
  auto StepRunning(TimePoint now, KeeperTask* task, KeeperActions* actions)
      -> void;
  auto Start(TimePoint now, KeeperTask* task, KeeperActions* actions) -> void;
  auto Command(TimePoint now,
               KeeperTask* task,
               CallWorker::Kind kind,
               KeeperActions* actions) -> void;
  auto Renew(TimePoint now, KeeperActions* actions) -> void;
  auto PollStatus(TimePoint now, KeeperActions* actions) -> void;
  // The lease is in force and the worker's clock is known well enough.
  auto MayAct(TimePoint now) const -> bool;

  KeeperOptions options_;
  KeeperTable* table_;
  const KeeperLease* lease_;
  WorkerCalls calls_;
  WorkerClock clock_;
  TimePoint birth_lease_end_ = TimePoint::min();
  TimePoint next_status_ = TimePoint::min();
  TimePoint status_asked_ = TimePoint::min();
  uint64_t incarnation_ = 0;
  schema::Resources capacity_;
  schema::Resources used_;
  schema::Resources foreign_;
  UsageReporter usage_;
  std::set<std::string> changed_;
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_KEEPER_WORKER_H_

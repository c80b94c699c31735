#ifndef RHUBARBHAVEN_TASKS_OWNER_SCHEDULER_H_
#define RHUBARBHAVEN_TASKS_OWNER_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Placement/placement.h"
#include "Tasks/cell_fold.h"
#include "Tasks/owner.h"
#include "Tasks/owner_agents.h"
#include "Tasks/owner_register.h"

namespace rhubarbhaven::tasks {

// Updates the placer, the worker health tracker and the interference model of
// an owned cell from its log, register and agents.
class OwnerScheduler {
 public:
  OwnerScheduler(const OwnerOptions& options,
                 const CellFold* fold,
                 const Register* config,
                 const AgentTable* agents);

  // Loads the present state of the log and the register.
  auto Begin(TimePoint now) -> void;
  auto OnConfig(TimePoint now, const std::set<std::string>& changed_jobs)
      -> void;
  auto OnPlaced(TimePoint now, const schema::TaskState& state) -> void;
  // Called when a placement did not take effect and never will.
  auto OnPlacementVoid(TimePoint now, const schema::TaskId& task) -> void;
  auto OnRunning(TimePoint now,
                 const std::string& instance,
                 const schema::TaskId& task) -> void;
  auto OnEnded(TimePoint now,
               const std::string& instance,
               const schema::TaskId& task,
               schema::TaskOutcome outcome) -> void;
  auto OnStopping(const schema::TaskId& task) -> void;
  auto OnUsage(TimePoint now,
               const std::string& instance,
               const schema::UsageReport& usage)
      -> std::vector<InterferenceAction>;
  // Updates the placer on which workers accept tasks now.
  auto SyncWorkers(TimePoint now) -> void;
  auto Round(TimePoint now) -> PlacerRound;

  auto Explain(TimePoint now, const schema::TaskId& task) const -> Explanation;
  // Resources that the placer reserves for a placement that it decided.
  auto Admitted(const schema::TaskId& task) const -> schema::Resources;
  // Returns why the instance does not accept tasks, or an empty string if it
  // does.
  auto IneligibleReason(TimePoint now, const std::string& instance) const
      -> std::string;
  auto pending() const -> std::size_t { return placer_.pending(); }
  auto in_flight() const -> std::size_t { return in_flight_.size(); }

 private:
  // Cost of running the task on the instance, in addition to the cost of fit.
  auto ExtraCost(const PendingTask& task, const std::string& instance) const
      -> double;
  auto LoadRules() -> void;
  auto AddPendingJob(TimePoint now, const RegisterJob& job) -> void;
  auto AddPending(TimePoint now, const RegisterJob& job, uint32_t index)
      -> void;
  auto MakePendingTask(TimePoint now,
                       const RegisterJob& job,
                       uint32_t index) const -> PendingTask;
  auto SetWorker(TimePoint now, const std::string& instance) -> void;

  OwnerOptions options_;
  const CellFold* fold_;
  const Register* config_;
  const AgentTable* agents_;
  InterferenceModel interference_;
  WorkerHealth health_;
  Placer placer_;
  TimePoint now_;
  // Names of tasks whose placement is being appended to the log.
  std::set<std::string> in_flight_;
  // Names of tasks reported to the interference model as running.
  std::set<std::string> started_;
  // Resource needs passed to the placer that exceed the declared ones.
  std::map<std::string, schema::Resources> raised_need_;
  // Largest usage observed of a job's tasks, keyed by "partner/job".
  std::map<std::string, schema::Resources> peak_usage_;
  std::set<std::string> known_workers_;
  // Serialized state of each worker that was last passed to the placer.
  std::map<std::string, std::string> last_synced_;
};

// True if the task must not be placed again: finished, cancelled or failed.
auto IsOver(const RegisterJob& job, const schema::TaskState& state) -> bool;

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_OWNER_SCHEDULER_H_

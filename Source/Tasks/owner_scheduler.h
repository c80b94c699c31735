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

// Feeds the placer, the workers' health and the interference model of a cell
// that is owned, from its log, its register and its agents.
class OwnerScheduler {
 public:
  OwnerScheduler(const OwnerOptions& options,
                 const CellFold* fold,
                 const Register* config,
                 const AgentTable* agents);

  // Takes up everything that the log and the register say.
  auto Begin(TimePoint now) -> void;
  auto OnConfig(TimePoint now, const std::set<std::string>& changed_jobs)
      -> void;
  auto OnPlaced(TimePoint now, const schema::TaskState& state) -> void;
  // The placement did not take effect and never will.
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
  // Tells the placer which workers take work now.
  auto SyncWorkers(TimePoint now) -> void;
  auto Round(TimePoint now) -> PlacerRound;

  auto Explain(TimePoint now, const schema::TaskId& task) const -> Explanation;
  // What the placer counts for a placement that it decided.
  auto Admitted(const schema::TaskId& task) const -> schema::Resources;
  // Empty if the instance may take work, else why not.
  auto WhyNot(TimePoint now, const std::string& instance) const -> std::string;
  auto pending() const -> std::size_t { return placer_.pending(); }
  auto in_flight() const -> std::size_t { return in_flight_.size(); }

 private:
  // Cost of running the task on the instance beyond fit.
  auto ExtraCost(const PendingTask& task, const std::string& instance) const
      -> double;
  auto LoadRules() -> void;
  auto AddPendingJob(TimePoint now, const RegisterJob& job) -> void;
  auto AddPending(TimePoint now, const RegisterJob& job, uint32_t index)
      -> void;
  auto Pending(TimePoint now, const RegisterJob& job, uint32_t index) const
      -> PendingTask;
  auto SetWorker(TimePoint now, const std::string& instance) -> void;

  OwnerOptions options_;
  const CellFold* fold_;
  const Register* config_;
  const AgentTable* agents_;
  InterferenceModel interference_;
  WorkerHealth health_;
  Placer placer_;
  TimePoint now_;
  // Names of tasks whose placement is under way to the log.
  std::set<std::string> in_flight_;
  // Names of tasks that were reported to the interference model as running.
  std::set<std::string> started_;
  // Need that the placer was given, where it is not the declared one.
  std::map<std::string, schema::Resources> raised_need_;
  // Largest usage seen of a job's tasks, by "partner/job".
  std::map<std::string, schema::Resources> seen_;
  std::set<std::string> known_workers_;
  // What the placer was told of each worker last.
  std::map<std::string, std::string> told_;
};

// True if the task must not be placed (again): done, cancelled or given up.
auto IsOver(const RegisterJob& job, const schema::TaskState& state) -> bool;

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_OWNER_SCHEDULER_H_

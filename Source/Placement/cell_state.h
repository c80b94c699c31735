#ifndef RHUBARBHAVEN_PLACEMENT_CELL_STATE_H_
#define RHUBARBHAVEN_PLACEMENT_CELL_STATE_H_

#include <cstdint>
#include <vector>

#include "Placement/amounts.h"
#include "Placement/job_table.h"
#include "Placement/name_table.h"
#include "Placement/placer.h"
#include "Placement/task_key.h"
#include "Placement/team_quotas.h"
#include "Placement/worker_table.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven {

// State of a placed task that is not part of its job's record.
struct PlacedRecord {
  Amounts held;
  WorkerId worker = 0;
  // Values at the time of placement, under which the task was counted and
  // charged. Later changes of the worker or the job do not alter them.
  uint32_t rack = kNoName;
  uint32_t failure_domain = kNoName;
  uint32_t team = kNoName;
  // Peak memory use reported so far; 0 until the first report.
  int64_t peak_memory_mb = 0;
  uint32_t unsaved_progress_s = 0;
  uint32_t evictions = 0;
  bool stopping = false;
  // The caller has confirmed the placement. An unconfirmed task is not a
  // preemption victim: a round would otherwise evict what it has just placed.
  bool confirmed = false;
};

// Resources reserved on a worker for one waiting task until enough tasks there
// have stopped, either evicted for it or ended by themselves.
struct PlaceClaim {
  TaskKey task;
  WorkerId worker = 0;
  Amounts need;
  TimePoint expires;
};

// The placer's state of its cell. Every change of held resources goes through
// this class, so that the accounts of workers, teams and jobs stay consistent.
class CellState {
 public:
  CellState() : workers_(&names_) {}
  CellState(const CellState&) = delete;
  auto operator=(const CellState&) -> CellState& = delete;

  auto names() -> NameTable& { return names_; }
  auto names() const -> const NameTable& { return names_; }
  auto jobs() -> JobTable& { return jobs_; }
  auto jobs() const -> const JobTable& { return jobs_; }
  auto workers() -> WorkerTable& { return workers_; }
  auto workers() const -> const WorkerTable& { return workers_; }
  auto quotas() -> TeamQuotas& { return quotas_; }
  auto quotas() const -> const TeamQuotas& { return quotas_; }
  auto claims() const -> const std::vector<PlaceClaim>& { return claims_; }
  auto placed() const -> std::size_t { return placed_.size(); }

  auto SetRules(uint32_t partner, const schema::PartnerRules& rules) -> void;
  // Returns the default rules if the partner has none.
  auto Rules(uint32_t partner) const -> const schema::PartnerRules&;

  // Returns null if the task is not placed.
  auto FindPlaced(TaskKey task) const -> const PlacedRecord*;
  auto Place(TaskKey task, const PlacedRecord& record) -> void;
  auto Unplace(TaskKey task) -> void;
  // Raises the held amounts to the reported `usage`; never lowers them.
  auto RaiseUsage(TaskKey task, const Amounts& usage) -> void;
  auto SetStopping(TaskKey task) -> void;

  // Returns null if the task has no claim.
  auto FindClaim(TaskKey task) const -> const PlaceClaim*;
  auto AddClaim(const PlaceClaim& claim) -> void;
  auto RemoveClaim(TaskKey task) -> void;
  auto RemoveClaimsOfJob(JobId job) -> void;
  // Removes expired claims and claims on workers that accept no new work.
  auto RemoveStaleClaims(TimePoint now) -> void;

 private:
  template <typename Predicate>
  auto RemoveClaimsIf(Predicate predicate) -> void;

  NameTable names_;
  JobTable jobs_;
  WorkerTable workers_;
  TeamQuotas quotas_;
  absl::flat_hash_map<TaskKey, PlacedRecord> placed_;
  std::vector<PlaceClaim> claims_;
  absl::flat_hash_map<uint32_t, schema::PartnerRules> rules_;
  schema::PartnerRules default_rules_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_CELL_STATE_H_

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

// What is kept of a placed task beyond its job's record.
struct PlacedRecord {
  Amounts held;
  WorkerId worker = 0;
  // As counted and charged, which later changes of the worker or the job
  // don't alter.
  uint32_t rack = kNoName;
  uint32_t failure_domain = kNoName;
  uint32_t team = kNoName;
  // Most memory that it was seen to use; what it holds until then.
  int64_t used_memory_mb = 0;
  uint32_t unsaved_s = 0;
  uint32_t evictions = 0;
  bool stopping = false;
  // The caller has said that it holds the place. Before that it is only
  // decided, and not a victim: a round would displace what it has just placed.
  bool confirmed = false;
};

// Room kept free on a worker for one waiting task, while tasks that were
// evicted for it (or that end by themselves) leave.
struct PlaceClaim {
  TaskKey task;
  WorkerId worker = 0;
  Amounts need;
  TimePoint expires;
};

// Everything the placer knows of its cell. Every change of what is held goes
// through here, so that workers, teams and jobs always agree.
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
  // Defaults if the partner has written none.
  auto Rules(uint32_t partner) const -> const schema::PartnerRules&;

  // Null if the task holds no place.
  auto FindPlaced(TaskKey task) const -> const PlacedRecord*;
  auto Place(TaskKey task, const PlacedRecord& record) -> void;
  auto Unplace(TaskKey task) -> void;
  auto Raise(TaskKey task, const Amounts& seen) -> void;
  auto SetStopping(TaskKey task) -> void;

  // Null if nothing is claimed for the task.
  auto FindClaim(TaskKey task) const -> const PlaceClaim*;
  auto AddClaim(const PlaceClaim& claim) -> void;
  auto DropClaim(TaskKey task) -> void;
  auto DropClaimsOfJob(JobId job) -> void;
  // Drops claims past their end, and of workers that take nothing any more.
  auto DropStaleClaims(TimePoint now) -> void;

 private:
  template <typename Predicate>
  auto DropClaimsIf(Predicate predicate) -> void;

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

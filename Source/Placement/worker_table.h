#ifndef RHUBARBHAVEN_PLACEMENT_WORKER_TABLE_H_
#define RHUBARBHAVEN_PLACEMENT_WORKER_TABLE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Placement/amounts.h"
#include "Placement/name_table.h"
#include "Placement/placer.h"
#include "Placement/task_key.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven {

// Index of a worker in a `WorkerTable`.
using WorkerId = uint32_t;

struct WorkerSlot {
  std::string instance;
  uint32_t partner = kNoName;
  // Partners whose tasks the worker accepts, its own first.
  std::vector<uint32_t> partners;
  uint32_t rack = kNoName;
  uint32_t failure_domain = kNoName;
  // Capacity minus reserved; negative where more is reserved than the worker
  // has, so that not even a task without a need is placed there.
  Amounts usable;
  // Sum of the amounts that the placed tasks hold.
  Amounts held;
  // Sum of the amounts claimed for tasks that wait for this worker.
  Amounts claimed;
  // Registered. A worker that was removed keeps the amounts still held on it.
  bool known = false;
  bool accepting = false;
  std::vector<TaskKey> tasks;
};

// The part of a worker's state that a placement search reads; kept small and
// contiguous, since a search may scan every worker of the cell.
struct WorkerRow {
  // Usable minus held minus claimed; all -1 for a worker that accepts no new
  // work, so that no need fits.
  Amounts free;
  uint32_t access = 0;
  uint32_t rack = kNoName;
  uint32_t failure_domain = kNoName;
  bool has_accelerators = false;
};

// The workers of a cell, with the resources held and claimed on them.
class WorkerTable {
 public:
  explicit WorkerTable(NameTable* names) : names_(names) {}

  auto Set(const WorkerState& state) -> void;
  auto Remove(const std::string& instance) -> void;
  auto Find(const std::string& instance) const -> std::optional<WorkerId>;
  // Also adds an instance that is not registered, or not yet.
  auto FindOrAdd(const std::string& instance) -> WorkerId;

  auto Hold(WorkerId id, TaskKey task, const Amounts& amounts) -> void;
  auto Release(WorkerId id, TaskKey task, const Amounts& amounts) -> void;
  auto RaiseHeld(WorkerId id, const Amounts& by) -> void;
  auto Claim(WorkerId id, const Amounts& amounts) -> void;
  auto Unclaim(WorkerId id, const Amounts& amounts) -> void;

  auto slot(WorkerId id) const -> const WorkerSlot& { return slots_[id]; }
  auto slots() const -> const std::vector<WorkerSlot>& { return slots_; }
  auto rows() const -> const std::vector<WorkerRow>& { return rows_; }
  // Usable minus held, ignoring claims; may be negative.
  auto FreeIgnoringClaims(WorkerId id) const -> Amounts;
  auto AcceptsPartner(WorkerId id, uint32_t partner) const -> bool;
  // Returns, indexed by `WorkerRow::access`, whether the partner's tasks may
  // run on workers with that access number.
  auto Access(uint32_t partner) const -> std::vector<char>;
  // Registered workers whose tasks hold more memory than is usable.
  auto overcommitted() const -> const std::set<WorkerId>& {
    return overcommitted_;
  }
  // Element-wise maximum of the usable amounts of all registered workers.
  auto largest() const -> const Amounts& { return largest_; }

 private:
  auto AccessNumber(const std::vector<uint32_t>& partners) -> uint32_t;
  auto Refresh(WorkerId id) -> void;
  auto RefreshOvercommitted(WorkerId id) -> void;
  auto RefreshLargest() -> void;

  NameTable* names_;
  std::vector<WorkerSlot> slots_;
  std::vector<WorkerRow> rows_;
  absl::flat_hash_map<std::string, WorkerId> ids_;
  // Distinct sets of accepted partners, sorted, indexed by access number.
  std::vector<std::vector<uint32_t>> accesses_;
  std::set<WorkerId> overcommitted_;
  Amounts largest_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_WORKER_TABLE_H_

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

// Number of a worker in a `WorkerTable`.
using WorkerId = uint32_t;

struct WorkerSlot {
  std::string instance;
  uint32_t partner = kNoName;
  // Partners whose tasks it takes, its own first.
  std::vector<uint32_t> partners;
  uint32_t rack = kNoName;
  uint32_t failure_domain = kNoName;
  // Capacity minus what is reserved; negative where more is reserved than
  // there is, so that not even a task without need goes there.
  Amounts usable;
  // Sum of what the placed tasks hold.
  Amounts held;
  // Sum of what is claimed for tasks that wait for this worker.
  Amounts claimed;
  // In the register. One that left it keeps what is still held.
  bool known = false;
  bool accepting = false;
  std::vector<TaskKey> tasks;
};

// What the search for a place reads of a worker; kept small and contiguous,
// since a search may pass over every worker of the cell.
struct WorkerRow {
  // Usable minus held minus claimed; all -1 for a worker that takes nothing,
  // so that no need fits.
  Amounts free;
  uint32_t access = 0;
  uint32_t rack = kNoName;
  uint32_t failure_domain = kNoName;
  bool has_accelerators = false;
};

// Workers of a cell with what is held on them.
class WorkerTable {
 public:
  explicit WorkerTable(NameTable* names) : names_(names) {}

  auto Set(const WorkerState& state) -> void;
  auto Remove(const std::string& instance) -> void;
  auto Find(const std::string& instance) const -> std::optional<WorkerId>;
  // Also for an instance that is not in the register (yet).
  auto FindOrMake(const std::string& instance) -> WorkerId;

  auto Hold(WorkerId id, TaskKey task, const Amounts& amounts) -> void;
  auto Release(WorkerId id, TaskKey task, const Amounts& amounts) -> void;
  auto RaiseHeld(WorkerId id, const Amounts& by) -> void;
  auto Claim(WorkerId id, const Amounts& amounts) -> void;
  auto Unclaim(WorkerId id, const Amounts& amounts) -> void;

  auto slot(WorkerId id) const -> const WorkerSlot& { return slots_[id]; }
  auto slots() const -> const std::vector<WorkerSlot>& { return slots_; }
  auto rows() const -> const std::vector<WorkerRow>& { return rows_; }
  // Usable minus held, regardless of claims.
  auto Unheld(WorkerId id) const -> Amounts;
  auto Takes(WorkerId id, uint32_t partner) const -> bool;
  // For each access number of a row, whether the partner's tasks may run.
  auto Access(uint32_t partner) const -> std::vector<char>;
  // Workers in the register whose tasks hold more memory than is usable.
  auto overcommitted() const -> const std::set<WorkerId>& {
    return overcommitted_;
  }
  // The largest usable amounts of any known worker, dimension by dimension.
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
  // Distinct sets of partners that workers take.
  std::vector<std::vector<uint32_t>> accesses_;
  std::set<WorkerId> overcommitted_;
  Amounts largest_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_WORKER_TABLE_H_

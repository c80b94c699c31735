#include "Placement/cell_state.h"

#include <algorithm>

namespace rhubarbhaven {

auto CellState::SetRules(uint32_t partner, const schema::PartnerRules& rules)
    -> void {
  rules_[partner] = rules;
}

auto CellState::Rules(uint32_t partner) const -> const schema::PartnerRules& {
  const auto entry = rules_.find(partner);
  return entry == rules_.end() ? default_rules_ : entry->second;
}

auto CellState::FindPlaced(TaskKey task) const -> const PlacedRecord* {
  const auto entry = placed_.find(task);
  return entry == placed_.end() ? nullptr : &entry->second;
}

auto CellState::Place(TaskKey task, const PlacedRecord& record) -> void {
  PlacedRecord& placed = placed_[task];
  placed = record;
  const WorkerSlot& slot = workers_.slot(record.worker);
  placed.rack = slot.rack;
  placed.failure_domain = slot.failure_domain;
  placed.team = jobs_.job(task.job).team;
  workers_.Hold(record.worker, task, placed.held);
  quotas_.Charge(placed.team, placed.held);
  jobs_.CountPlaced(task.job, placed.rack, placed.failure_domain);
}

auto CellState::Unplace(TaskKey task) -> void {
  const auto entry = placed_.find(task);
  if (entry == placed_.end()) {
    return;
  }
  const PlacedRecord& placed = entry->second;
  workers_.Release(placed.worker, task, placed.held);
  quotas_.Refund(placed.team, placed.held);
  jobs_.UncountPlaced(task.job, placed.rack, placed.failure_domain);
  placed_.erase(entry);
}

auto CellState::RaiseUsage(TaskKey task, const Amounts& usage) -> void {
  const auto entry = placed_.find(task);
  if (entry == placed_.end()) {
    return;
  }
  PlacedRecord& placed = entry->second;
  jobs_.RecordMemoryUse(task.job, usage.memory_mb);
  placed.peak_memory_mb = std::max(placed.peak_memory_mb, usage.memory_mb);
  const Amounts by = Larger(placed.held, usage) - placed.held;
  placed.held += by;
  workers_.RaiseHeld(placed.worker, by);
  quotas_.Charge(placed.team, by);
}

auto CellState::SetStopping(TaskKey task) -> void {
  const auto entry = placed_.find(task);
  if (entry != placed_.end()) {
    entry->second.stopping = true;
  }
}

auto CellState::FindClaim(TaskKey task) const -> const PlaceClaim* {
  const auto entry = std::ranges::find(claims_, task, &PlaceClaim::task);
  return entry == claims_.end() ? nullptr : &*entry;
}

auto CellState::AddClaim(const PlaceClaim& claim) -> void {
  claims_.push_back(claim);
  workers_.Claim(claim.worker, claim.need);
}

auto CellState::RemoveClaim(TaskKey task) -> void {
  RemoveClaimsIf(
      [task](const PlaceClaim& claim) -> bool { return claim.task == task; });
}

auto CellState::RemoveClaimsOfJob(JobId job) -> void {
  RemoveClaimsIf(
      [job](const PlaceClaim& claim) -> bool { return claim.task.job == job; });
}

auto CellState::RemoveStaleClaims(TimePoint now) -> void {
  RemoveClaimsIf([this, now](const PlaceClaim& claim) -> bool {
    return claim.expires <= now || !workers_.slot(claim.worker).accepting;
  });
}

template <typename Predicate>
auto CellState::RemoveClaimsIf(Predicate predicate) -> void {
  for (const PlaceClaim& claim : claims_) {
    if (predicate(claim)) {
      workers_.Unclaim(claim.worker, claim.need);
    }
  }
  std::erase_if(claims_, predicate);
}

}  // namespace rhubarbhaven

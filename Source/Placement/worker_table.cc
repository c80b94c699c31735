#include "Placement/worker_table.h"

#include <algorithm>

namespace rhubarbhaven {

auto WorkerTable::Set(const WorkerState& state) -> void {
  const WorkerId id = FindOrAdd(state.instance);
  WorkerSlot& slot = slots_[id];
  slot.partner = names_->Intern(state.partner);
  slot.partners = {slot.partner};
  for (const std::string& partner : state.open_to) {
    slot.partners.push_back(names_->Intern(partner));
  }
  slot.rack = names_->Intern(state.rack);
  slot.failure_domain = names_->Intern(state.failure_domain);
  slot.usable = FromMessage(state.capacity) - FromMessage(state.reserved);
  slot.known = true;
  slot.accepting = state.accepting;
  rows_[id].access = AccessNumber(slot.partners);
  Refresh(id);
  RefreshLargest();
}

auto WorkerTable::Remove(const std::string& instance) -> void {
  const std::optional<WorkerId> id = Find(instance);
  if (!id.has_value()) {
    return;
  }
  slots_[*id].known = false;
  slots_[*id].accepting = false;
  Refresh(*id);
  RefreshLargest();
}

auto WorkerTable::Find(const std::string& instance) const
    -> std::optional<WorkerId> {
  const auto entry = ids_.find(instance);
  if (entry == ids_.end()) {
    return std::nullopt;
  }
  return entry->second;
}

auto WorkerTable::FindOrAdd(const std::string& instance) -> WorkerId {
  const auto next = static_cast<WorkerId>(slots_.size());
  const auto [entry, added] = ids_.try_emplace(instance, next);
  if (added) {
    slots_.emplace_back().instance = instance;
    rows_.emplace_back();
    Refresh(next);
  }
  return entry->second;
}

auto WorkerTable::Hold(WorkerId id, TaskKey task, const Amounts& amounts)
    -> void {
  slots_[id].held += amounts;
  slots_[id].tasks.push_back(task);
  Refresh(id);
}

auto WorkerTable::Release(WorkerId id, TaskKey task, const Amounts& amounts)
    -> void {
  slots_[id].held -= amounts;
  std::erase(slots_[id].tasks, task);
  Refresh(id);
}

auto WorkerTable::RaiseHeld(WorkerId id, const Amounts& by) -> void {
  slots_[id].held += by;
  Refresh(id);
}

auto WorkerTable::Claim(WorkerId id, const Amounts& amounts) -> void {
  slots_[id].claimed += amounts;
  Refresh(id);
}

auto WorkerTable::Unclaim(WorkerId id, const Amounts& amounts) -> void {
  slots_[id].claimed -= amounts;
  Refresh(id);
}

auto WorkerTable::FreeIgnoringClaims(WorkerId id) const -> Amounts {
  return slots_[id].usable - slots_[id].held;
}

auto WorkerTable::AcceptsPartner(WorkerId id, uint32_t partner) const -> bool {
  return std::ranges::find(slots_[id].partners, partner) !=
         slots_[id].partners.end();
}

auto WorkerTable::Access(uint32_t partner) const -> std::vector<char> {
  std::vector<char> access;
  access.reserve(accesses_.size());
  for (const std::vector<uint32_t>& partners : accesses_) {
    access.push_back(
        static_cast<char>(std::ranges::binary_search(partners, partner)));
  }
  return access;
}

auto WorkerTable::AccessNumber(const std::vector<uint32_t>& partners)
    -> uint32_t {
  std::vector<uint32_t> sorted = partners;
  std::ranges::sort(sorted);
  const auto known = std::ranges::find(accesses_, sorted);
  const auto number = static_cast<uint32_t>(known - accesses_.begin());
  if (known == accesses_.end()) {
    accesses_.push_back(std::move(sorted));
  }
  return number;
}

auto WorkerTable::Refresh(WorkerId id) -> void {
  const WorkerSlot& slot = slots_[id];
  WorkerRow& row = rows_[id];
  row.rack = slot.rack;
  row.failure_domain = slot.failure_domain;
  row.has_accelerators = slot.usable.accelerators > 0;
  row.free = slot.accepting ? slot.usable - slot.held - slot.claimed
                            : Amounts{-1, -1, -1};
  RefreshOvercommitted(id);
}

auto WorkerTable::RefreshOvercommitted(WorkerId id) -> void {
  const WorkerSlot& slot = slots_[id];
  if (slot.known && slot.held.memory_mb > slot.usable.memory_mb) {
    overcommitted_.insert(id);
  } else if (!overcommitted_.empty()) {
    overcommitted_.erase(id);
  }
}

auto WorkerTable::RefreshLargest() -> void {
  largest_ = {};
  for (const WorkerSlot& slot : slots_) {
    if (slot.known) {
      largest_ = Larger(largest_, slot.usable);
    }
  }
}

}  // namespace rhubarbhaven

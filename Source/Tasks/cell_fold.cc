#include "Tasks/cell_fold.h"

#include <utility>

#include "Placement/placement.h"

namespace rhubarbhaven {
namespace {

auto Rejected(schema::LogEntry entry, std::string why) -> CellEffect {
  return {.accepted = false, .why = std::move(why), .entry = std::move(entry)};
}

auto Accepted(schema::LogEntry entry) -> CellEffect {
  return {.accepted = true, .why = "", .entry = std::move(entry)};
}

// Removes all fields except those needed to reject further attempts.
auto Compact(schema::TaskState* state) -> void {
  state->clear_instance();
  state->clear_instance_incarnation();
  state->clear_checkpoint();
  state->clear_admitted();
  state->clear_detail();
}

}  // namespace

CellFold::CellFold(std::string cell) : cell_(std::move(cell)) {}

auto CellFold::Apply(uint64_t offset, const schema::LogRecord& record)
    -> std::vector<CellEffect> {
  std::vector<CellEffect> effects;
  if (offset <= applied_) {
    return effects;
  }
  applied_ = offset;
  if (IsDuplicate(record)) {
    return effects;
  }
  for (const schema::LogEntry& entry : record.entries()) {
    switch (entry.body_case()) {
      case schema::LogEntry::kClaim:
        effects.push_back(ApplyClaim(offset, entry));
        break;
      case schema::LogEntry::kPlacement:
        effects.push_back(ApplyPlacement(offset, entry));
        break;
      case schema::LogEntry::kTaskEnd:
        effects.push_back(ApplyEnd(entry));
        break;
      case schema::LogEntry::kInstanceSeen:
        effects.push_back(ApplyInstance(entry));
        break;
      default:
        break;
    }
  }
  return effects;
}

auto CellFold::IsDuplicate(const schema::LogRecord& record) -> bool {
  schema::WriterMark& mark = writers_[record.writer()];
  if (mark.incarnation() == record.incarnation() &&
      record.sequence() <= mark.sequence()) {
    return true;
  }
  mark.set_writer(record.writer());
  mark.set_incarnation(record.incarnation());
  mark.set_sequence(record.sequence());
  return false;
}

auto CellFold::ApplyClaim(uint64_t offset, const schema::LogEntry& entry)
    -> CellEffect {
  const schema::OwnerClaim& claim = entry.claim();
  if (claim.cell() != cell_) {
    return Rejected(entry, "claim for another cell");
  }
  if (claim.renewal() || claim.release()) {
    return ApplyOwnClaim(offset, entry);
  }
  if (claim.replaces() != claim_offset_) {
    return Rejected(entry, "replaces a claim that is not the latest");
  }
  unsettled_ = unsettled_ || fence_ != 0;
  fence_ = offset;
  claim_offset_ = offset;
  owner_ = claim.owner();
  owner_incarnation_ = claim.owner_incarnation();
  return Accepted(entry);
}

auto CellFold::ApplyOwnClaim(uint64_t offset, const schema::LogEntry& entry)
    -> CellEffect {
  const schema::OwnerClaim& claim = entry.claim();
  const bool own = fence_ != 0 && claim.owner() == owner_ &&
                   claim.owner_incarnation() == owner_incarnation_;
  if (!own) {
    return Rejected(entry, "writer is not the current owner");
  }
  if (claim.renewal()) {
    if (claim.replaces() != claim_offset_) {
      return Rejected(entry, "renews a claim that is not the latest");
    }
    claim_offset_ = offset;
    return Accepted(entry);
  }
  if (claim.replaces() != fence_) {
    return Rejected(entry, "releases another claim");
  }
  unsettled_ = unsettled_ && !claim.settled();
  fence_ = 0;
  claim_offset_ = 0;
  owner_.clear();
  owner_incarnation_ = 0;
  return Accepted(entry);
}

auto CellFold::ApplyPlacement(uint64_t offset, const schema::LogEntry& entry)
    -> CellEffect {
  const schema::Placement& placement = entry.placement();
  if (fence_ == 0 || placement.fence() != fence_) {
    return Rejected(entry, "fence is not current");
  }
  const std::string name = TaskName(placement.task());
  const auto known = tasks_.find(name);
  const uint32_t last = known == tasks_.end() ? 0 : known->second.attempt();
  if (placement.attempt() != last + 1) {
    return Rejected(entry, "attempt number is not the next one");
  }
  if (known != tasks_.end() && known->second.placed()) {
    return Rejected(entry, "task is already placed");
  }
  if (known != tasks_.end() &&
      known->second.last_outcome() == schema::FINISHED) {
    return Rejected(entry, "task has finished");
  }
  schema::TaskState& state = tasks_[name];
  *state.mutable_task() = placement.task();
  state.set_attempt(placement.attempt());
  state.set_placed(true);
  state.set_instance(placement.instance());
  state.set_instance_incarnation(placement.instance_incarnation());
  state.set_fence(fence_);
  state.set_placement_offset(offset);
  *state.mutable_admitted() = placement.admitted();
  return Accepted(entry);
}

auto CellFold::ApplyEnd(const schema::LogEntry& entry) -> CellEffect {
  const schema::TaskEnd& end = entry.task_end();
  if (fence_ == 0 || end.fence() != fence_) {
    return Rejected(entry, "fence is not current");
  }
  const auto known = tasks_.find(TaskName(end.task()));
  if (known == tasks_.end() || !known->second.placed() ||
      known->second.attempt() != end.attempt()) {
    return Rejected(entry, "attempt is not placed");
  }
  schema::TaskState& state = known->second;
  state.set_placed(false);
  state.set_last_outcome(end.outcome());
  state.set_detail(end.detail());
  if (!end.checkpoint().empty()) {
    state.set_checkpoint(end.checkpoint());
  }
  if (end.outcome() == schema::FAILED) {
    state.set_failures(state.failures() + 1);
  }
  if (end.outcome() == schema::CRASHED) {
    state.set_crashes(state.crashes() + 1);
  }
  if (end.outcome() == schema::EVICTED) {
    state.set_evictions(state.evictions() + 1);
    state.set_crashes(0);
  }
  if (end.outcome() == schema::FINISHED) {
    Compact(&state);
  }
  return Accepted(entry);
}

auto CellFold::ApplyInstance(const schema::LogEntry& entry) -> CellEffect {
  const schema::InstanceSeen& seen = entry.instance_seen();
  if (fence_ == 0 || seen.fence() != fence_) {
    return Rejected(entry, "fence is not current");
  }
  instances_[seen.instance()] = seen;
  return Accepted(entry);
}

auto CellFold::Adopt(const schema::CellState& state) -> bool {
  if (state.applied() <= applied_ || state.cell() != cell_) {
    return false;
  }
  applied_ = state.applied();
  fence_ = state.fence();
  claim_offset_ = state.claim_offset();
  owner_ = state.owner();
  owner_incarnation_ = state.owner_incarnation();
  unsettled_ = state.unsettled();
  tasks_.clear();
  for (const schema::TaskState& task : state.tasks()) {
    tasks_[TaskName(task.task())] = task;
  }
  writers_.clear();
  for (const schema::WriterMark& mark : state.writers()) {
    writers_[mark.writer()] = mark;
  }
  instances_.clear();
  for (const schema::InstanceSeen& seen : state.instances()) {
    instances_[seen.instance()] = seen;
  }
  return true;
}

auto CellFold::Export() const -> schema::CellState {
  schema::CellState state;
  state.set_applied(applied_);
  state.set_cell(cell_);
  state.set_fence(fence_);
  state.set_owner(owner_);
  state.set_owner_incarnation(owner_incarnation_);
  state.set_claim_offset(claim_offset_);
  state.set_unsettled(unsettled_);
  for (const auto& [name, task] : tasks_) {
    *state.add_tasks() = task;
  }
  for (const auto& [name, mark] : writers_) {
    *state.add_writers() = mark;
  }
  for (const auto& [name, seen] : instances_) {
    *state.add_instances() = seen;
  }
  return state;
}

auto CellFold::applied() const -> uint64_t {
  return applied_;
}

auto CellFold::fence() const -> uint64_t {
  return fence_;
}

auto CellFold::claim_offset() const -> uint64_t {
  return claim_offset_;
}

auto CellFold::unsettled() const -> bool {
  return unsettled_;
}

auto CellFold::owner() const -> const std::string& {
  return owner_;
}

auto CellFold::owner_incarnation() const -> uint64_t {
  return owner_incarnation_;
}

auto CellFold::tasks() const
    -> const std::map<std::string, schema::TaskState>& {
  return tasks_;
}

}  // namespace rhubarbhaven

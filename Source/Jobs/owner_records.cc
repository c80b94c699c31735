#include <algorithm>
#include <utility>

#include "Jobs/job_owner.h"

// What the owner writes into the log.
namespace rhubarbhaven::jobs {

auto JobOwner::TakeBatch() -> std::vector<KeyedRecord> {
  std::vector<KeyedRecord> records;
  if (!active() || batch_out_) {
    return records;
  }
  for (const auto& id : std::exchange(dirty_jobs_, {})) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second->dirty) {
      found->second->dirty = false;
      records.push_back(
          MakeRecord(RecordKind::kProgress, id, found->second->Progress()));
    }
  }
  AddCrashes();
  AddEnds(&records);
  AddRoster(&records);
  AddGrants(&records);
  for (const auto& key : keys_to_drop_) {
    records.push_back({key, "", 0});
  }
  keys_to_drop_.clear();
  if (pressures_due_) {
    pressures_due_ = false;
    records.push_back(
        MakeRecord(RecordKind::kPressures, "", interference_.Learned()));
  }
  batch_out_ = !records.empty();
  if (!batch_out_) {
    // Crashes of which nothing is to be stored.
    OnCrashesStored();
  }
  return records;
}

auto JobOwner::AddEnds(std::vector<KeyedRecord>* records) -> void {
  batch_ends_.clear();
  for (const auto& name : std::exchange(ends_due_, {})) {
    const auto found = workers_.find(name);
    if (found == workers_.end() ||
        found->second->ends_taken <= found->second->ends_logged) {
      continue;
    }
    const WorkerView& worker = *found->second;
    WorkerEnds ends;
    ends.set_worker_id(worker.worker_id);
    ends.set_last_end(worker.ends_taken);
    records->push_back(
        MakeRecord(RecordKind::kWorkerEnds, worker.worker_id, ends));
    batch_ends_[name] = std::move(ends);
  }
}

auto JobOwner::AddRoster(std::vector<KeyedRecord>* records) -> void {
  for (const auto& key : keys_to_drop_) {
    const RecordKey parsed = ParseKey(key);
    if (parsed.kind == RecordKind::kAgent) {
      agents_in_drop_.insert(parsed.name);
      batch_drops_.insert(parsed.name);
    }
  }
  for (const auto& name : agents_to_restore_) {
    const auto found = workers_.find(name);
    if (found != workers_.end()) {
      records->push_back(
          MakeRecord(RecordKind::kAgent, name, found->second->registration));
    }
  }
  agents_to_restore_.clear();
}

auto JobOwner::AddGrants(std::vector<KeyedRecord>* records) -> void {
  batch_grants_.clear();
  for (const auto& name : std::exchange(agents_to_note_, {})) {
    const auto found = workers_.find(name);
    if (found == workers_.end()) {
      continue;
    }
    const std::string& life = found->second->worker_id;
    batch_grants_[name] = life;
    AgentGrants grants;
    grants.set_name(name);
    grants.set_fence(fence_);
    grants.set_worker_id(life);
    records->push_back(MakeRecord(RecordKind::kAgentGrants, name, grants));
  }
}

auto JobOwner::OnGrantsNoted() -> void {
  for (const auto& [name, life] : batch_grants_) {
    const auto found = workers_.find(name);
    // A life that came meanwhile has a note of its own to wait for.
    if (found != workers_.end() && found->second->worker_id == life) {
      found->second->grants_noted = true;
      changes_.Note(*found->second);
      PollSoon(*found->second);
      place_due_ = true;
    }
  }
  batch_grants_.clear();
}

auto JobOwner::OnReadAnew() -> void {
  // Drops that are stored already are not read any more, and what is read of
  // their agents now stands behind them.
  agents_in_drop_ = batch_drops_;
}

auto JobOwner::OnBatchStored() -> void {
  batch_out_ = false;
  OnCrashesStored();
  OnGrantsNoted();
  batch_drops_.clear();
  for (const auto& [name, ends] : std::exchange(batch_ends_, {})) {
    const auto found = workers_.find(name);
    if (found != workers_.end() &&
        found->second->worker_id == ends.worker_id()) {
      WorkerView& worker = *found->second;
      worker.ends_logged = std::max(worker.ends_logged, ends.last_end());
      PollSoon(worker);
    }
  }
}

auto JobOwner::DropOldJobs(TimePoint now) -> void {
  while (const auto id = over_.PopDue(now)) {
    for (const auto kind :
         {RecordKind::kJob, RecordKind::kProgress, RecordKind::kCancellation}) {
      keys_to_drop_.push_back(MakeKey(kind, *id));
    }
  }
}

}  // namespace rhubarbhaven::jobs

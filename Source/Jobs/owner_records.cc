#include <algorithm>
#include <utility>

#include "Jobs/job_owner.h"
#include "Jobs/job_progress.h"

// Records that the owner writes to the log.
namespace rhubarbhaven::jobs {
namespace {

// A job's progress that the log does not accept is written again after this
// time, with what it is by then.
constexpr std::chrono::milliseconds kProgressRetryInterval{1000};

}  // namespace

auto JobOwner::TakeBatch() -> std::vector<KeyedRecord> {
  std::vector<KeyedRecord> records;
  if (!active() || batch_pending_) {
    return records;
  }
  for (const auto& id : std::exchange(dirty_jobs_, {})) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second->dirty) {
      found->second->dirty = false;
      AddProgress(*found->second, &records);
    }
  }
  AddCrashes();
  AddEnds(&records);
  AddMembership(&records);
  AddGrants(&records);
  for (const auto& key : keys_to_delete_) {
    records.push_back({key, "", 0});
  }
  keys_to_delete_.clear();
  if (pressures_due_) {
    pressures_due_ = false;
    AddIfAccepted(MakeRecord(RecordKind::kPressures, "",
                             interference_.Learned(
                                 MaxValueBytes(RecordKind::kPressures, ""))),
                  &records);
  }
  if (std::exchange(run_lengths_due_, false)) {
    const auto learned = run_lengths_.Learned();
    run_lengths_.MarkStored();
    records.push_back(MakeRecord(RecordKind::kRunLengths, "", learned));
    hooks_.log_run_lengths("stored",
                           static_cast<std::size_t>(learned.lengths_size()));
  }
  batch_pending_ = !records.empty();
  if (!batch_pending_) {
    // Crashes of which nothing has to be stored.
    OnCrashesStored();
  }
  return records;
}

auto JobOwner::MaxValueBytes(RecordKind kind, const std::string& name) const
    -> std::size_t {
  const std::size_t overhead = SizeInLog({MakeKey(kind, name), "", 0});
  return options_.log_limits.record_bytes -
         std::min(overhead, options_.log_limits.record_bytes);
}

auto JobOwner::AddIfAccepted(KeyedRecord record,
                             std::vector<KeyedRecord>* records) -> void {
  const std::size_t bytes = SizeInLog(record);
  if (bytes > options_.log_limits.record_bytes) {
    hooks_.log_large_record({record.key, bytes, /*reduced=*/false});
    return;
  }
  records->push_back(std::move(record));
}

auto JobOwner::AddProgress(const JobWork& work,
                           std::vector<KeyedRecord>* records) -> void {
  const auto& id = work.job().id();
  const auto made =
      MakeProgress(work, MaxValueBytes(RecordKind::kProgress, id));
  auto record = MakeRecord(RecordKind::kProgress, id, made.progress);
  if (made.without_failures &&
      SizeInLog(record) <= options_.log_limits.record_bytes) {
    hooks_.log_large_record({record.key, SizeInLog(record), /*reduced=*/true});
  }
  AddIfAccepted(std::move(record), records);
}

auto JobOwner::AddEnds(std::vector<KeyedRecord>* records) -> void {
  batch_ends_.clear();
  for (const auto& name : std::exchange(ends_due_, {})) {
    const auto found = workers_.find(name);
    if (found == workers_.end() ||
        found->second->ends_processed <= found->second->ends_logged) {
      continue;
    }
    const WorkerView& worker = *found->second;
    WorkerEnds ends;
    ends.set_worker_id(worker.worker_id);
    ends.set_last_end(worker.ends_processed);
    records->push_back(
        MakeRecord(RecordKind::kWorkerEnds, worker.worker_id, ends));
    batch_ends_[name] = std::move(ends);
  }
}

auto JobOwner::AddMembership(std::vector<KeyedRecord>* records) -> void {
  for (const auto& key : keys_to_delete_) {
    const RecordKey parsed = ParseKey(key);
    if (parsed.kind == RecordKind::kAgent) {
      agents_being_deleted_.insert(parsed.name);
      batch_deletions_.insert(parsed.name);
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
  for (const auto& name : std::exchange(grants_to_record_, {})) {
    const auto found = workers_.find(name);
    if (found == workers_.end()) {
      continue;
    }
    const WorkerView& worker = *found->second;
    unread_grants_.insert(name);
    batch_grants_[name] = {worker.worker_id, worker.agent_incarnation};
    AgentGrants grants;
    grants.set_name(name);
    grants.set_fence(fence_);
    grants.set_worker_id(worker.worker_id);
    grants.set_agent_incarnation(worker.agent_incarnation);
    records->push_back(MakeRecord(RecordKind::kAgentGrants, name, grants));
  }
}

auto JobOwner::OnGrantsRecorded() -> void {
  for (const auto& [name, granted] : batch_grants_) {
    const auto found = workers_.find(name);
    // A process that reported meanwhile has to wait for a record of its own.
    if (found != workers_.end() &&
        found->second->worker_id == granted.worker_id &&
        found->second->agent_incarnation == granted.agent_incarnation) {
      found->second->grants_recorded = true;
      changes_.Record(*found->second);
      PollSoon(*found->second);
      placement_due_ = true;
    }
  }
  batch_grants_.clear();
}

auto JobOwner::OnReread() -> void {
  // Deletions that are already stored are not read again, and anything read
  // about their agents from now on was written after them.
  agents_being_deleted_ = batch_deletions_;
}

auto JobOwner::OnBatchStored(TimePoint now,
                             const std::vector<std::string>& invalid_keys)
    -> void {
  batch_pending_ = false;
  for (const auto& key : invalid_keys) {
    OnInvalidRecord(now, ParseKey(key));
  }
  OnCrashesStored();
  OnGrantsRecorded();
  batch_deletions_.clear();
  for (const auto& [name, ends] : std::exchange(batch_ends_, {})) {
    const auto found = workers_.find(name);
    if (found != workers_.end() &&
        found->second->worker_id == ends.worker_id()) {
      WorkerView& worker = *found->second;
      worker.ends_logged = std::max(worker.ends_logged, ends.last_end());
      // An agent that lists ends which are already stored causes no harm, and
      // the message costs an answer as well.
      if (!behind_) {
        PollSoon(worker);
      }
    }
  }
}

auto JobOwner::OnInvalidRecord(TimePoint now, const RecordKey& key) -> void {
  switch (key.kind) {
    case RecordKind::kProgress:
      unstored_progress_.Set(key.name, now + kProgressRetryInterval);
      break;
    case RecordKind::kWorkerEnds:
      std::erase_if(batch_ends_, [&key](const auto& item) -> bool {
        return item.second.worker_id() == key.name;
      });
      break;
    case RecordKind::kAgentGrants:
      batch_grants_.erase(key.name);
      break;
    default:
      break;
  }
}

auto JobOwner::RetryUnstoredProgress(TimePoint now) -> void {
  while (const auto id = unstored_progress_.PopDue(now)) {
    const auto found = jobs_.find(*id);
    if (found != jobs_.end()) {
      MarkProgressDirty(*found->second);
    }
  }
}

auto JobOwner::ExpireOldJobs(TimePoint now) -> void {
  while (const auto id = ended_jobs_.PopDue(now)) {
    for (const auto kind :
         {RecordKind::kJob, RecordKind::kProgress, RecordKind::kCancellation}) {
      keys_to_delete_.push_back(MakeKey(kind, *id));
    }
  }
}

}  // namespace rhubarbhaven::jobs

#include "Jobs/job_fold.h"

namespace rhubarbhaven::jobs {

auto StoredJob::state() const -> JobState {
  const bool ended =
      progress.state() == JOB_COMPLETED || progress.state() == JOB_FAILED;
  if (cancelled_at && !(ended && progress_at < *cancelled_at)) {
    return JOB_CANCELLED;
  }
  return progress.state();
}

auto StoredJob::over() const -> bool {
  return state() >= JOB_COMPLETED;
}

auto JobFold::Apply(const KeyedRecord& record) -> FoldChange {
  const RecordKey key = ParseKey(record.key);
  switch (key.kind) {
    case RecordKind::kJob:
      ApplyJob(key.name, record);
      break;
    case RecordKind::kProgress:
      ApplyProgress(key.name, record);
      break;
    case RecordKind::kCancellation:
      if (!record.value.empty() && !EntryOf(key.name).cancelled_at) {
        EntryOf(key.name).cancelled_at = record.offset;
      }
      break;
    case RecordKind::kAgent:
      if (record.value.empty()) {
        agents_.erase(key.name);
      } else {
        agents_[key.name].ParseFromString(record.value);
      }
      break;
    case RecordKind::kWorkerEnds:
      if (record.value.empty()) {
        worker_ends_.erase(key.name);
      } else {
        worker_ends_[key.name].ParseFromString(record.value);
      }
      break;
    case RecordKind::kClaim:
      ApplyClaim(record);
      break;
    case RecordKind::kPressures:
      pressures_.ParseFromString(record.value);
      break;
    case RecordKind::kUnknown:
      break;
  }
  return {key.kind, key.name};
}

auto JobFold::Find(const std::string& job) const -> const StoredJob* {
  const auto found = jobs_.find(job);
  // A cancellation or progress may be read ahead of its job, from the pages
  // of newest records.
  const bool known = found != jobs_.end() && !found->second->job.id().empty();
  return known ? found->second.get() : nullptr;
}

auto JobFold::ends_logged(const std::string& worker_id) const -> uint64_t {
  const auto found = worker_ends_.find(worker_id);
  return found == worker_ends_.end() ? 0 : found->second.last_end();
}

auto JobFold::PendingIn(const std::string& queue) const -> uint64_t {
  uint64_t pending = 0;
  for (const auto& [id, entry] : jobs_) {
    if (entry->job.queue() == queue && entry->job.occurrences() == 0 &&
        entry->state() == JOB_QUEUED) {
      ++pending;
    }
  }
  return pending;
}

auto JobFold::ApplyJob(const std::string& id, const KeyedRecord& record)
    -> void {
  if (record.value.empty()) {
    jobs_.erase(id);
    return;
  }
  StoredJob& entry = EntryOf(id);
  // The first record of an id counts: a caller that heard no answer hands its
  // job in again, also at other entries.
  if (!entry.job.id().empty()) {
    return;
  }
  if (entry.job.ParseFromString(record.value)) {
    entry.accepted_at = record.offset;
  }
}

auto JobFold::ApplyProgress(const std::string& id, const KeyedRecord& record)
    -> void {
  if (record.value.empty()) {
    return;
  }
  StoredJob& entry = EntryOf(id);
  if (record.offset >= entry.progress_at) {
    entry.progress.ParseFromString(record.value);
    entry.progress_at = record.offset;
  }
}

auto JobFold::ApplyClaim(const KeyedRecord& record) -> void {
  if (claim_known_ && record.offset <= claim_at_) {
    return;
  }
  claim_.ParseFromString(record.value);
  claim_at_ = record.offset;
  claim_known_ = true;
}

auto JobFold::EntryOf(const std::string& id) -> StoredJob& {
  auto& entry = jobs_[id];
  if (entry == nullptr) {
    entry = std::make_unique<StoredJob>();
  }
  return *entry;
}

}  // namespace rhubarbhaven::jobs

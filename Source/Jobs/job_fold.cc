#include "Jobs/job_fold.h"

#include <absl/strings/str_cat.h>

#include <utility>

#include "Jobs/record_reader.h"

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
  FoldChange change{key.kind, key.name, ""};
  const auto taken = Take(key, record, &change.passed_over);
  if (!taken.ok()) {
    // Named to nobody: an owner would look for what is not there, and a claim
    // that cannot be read would count as a sign of life of the one before.
    change.kind = RecordKind::kUnknown;
    change.passed_over = std::string(taken.message());
  }
  return change;
}

auto JobFold::Take(const RecordKey& key,
                   const KeyedRecord& record,
                   std::string* earlier_passed_over) -> absl::Status {
  switch (key.kind) {
    case RecordKind::kJob:
      return TakeJob(key.name, record, earlier_passed_over);
    case RecordKind::kProgress:
      return TakeProgress(key.name, record);
    case RecordKind::kCancellation:
      return TakeCancellation(key.name, record);
    case RecordKind::kAgent:
      return TakeAgent(key.name, record);
    case RecordKind::kAgentGrants:
      return TakeAgentGrants(key.name, record);
    case RecordKind::kWorkerEnds:
      return TakeWorkerEnds(key.name, record);
    case RecordKind::kClaim:
      return TakeClaim(key.name, record);
    case RecordKind::kResignation:
      return TakeResignation(key.name, record);
    case RecordKind::kPressures:
      return TakePressures(key.name, record);
    case RecordKind::kUnknown:
      break;
  }
  return absl::InvalidArgumentError("no such key belongs to this system");
}

auto JobFold::Find(const std::string& job) const -> const StoredJob* {
  const auto found = jobs_.find(job);
  // A cancellation or progress may be read ahead of its job, from the pages
  // of newest records.
  const bool known = found != jobs_.end() && !found->second->job.id().empty();
  return known ? found->second.get() : nullptr;
}

auto JobFold::granted_by(const std::string& agent) const
    -> std::optional<uint64_t> {
  const auto found = grants_.find(agent);
  return found == grants_.end() ? std::nullopt
                                : std::optional(found->second.fence());
}

auto JobFold::worker_has_left(const std::string& agent) const -> bool {
  const auto entry = agents_.find(agent);
  const auto grants = grants_.find(agent);
  return entry != agents_.end() && grants != grants_.end() &&
         !entry->second.left_worker_id().empty() &&
         entry->second.left_worker_id() == grants->second.worker_id();
}

auto JobFold::ends_logged(const std::string& worker_id) const -> uint64_t {
  const auto found = worker_ends_.find(worker_id);
  return found == worker_ends_.end() ? 0 : found->second.last_end();
}

auto JobFold::resigned_fence(const std::string& entry) const -> uint64_t {
  const auto found = resigned_fences_.find(entry);
  return found == resigned_fences_.end() ? 0 : found->second;
}

auto JobFold::CancelledAhead(const std::string& job) const -> bool {
  return cancelled_ahead_.contains(job);
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

auto JobFold::TakeJob(const std::string& id,
                      const KeyedRecord& record,
                      std::string* earlier_passed_over) -> absl::Status {
  if (record.value.empty()) {
    DropJob(id);
    return absl::OkStatus();
  }
  auto job = ReadJob(id, record.value);
  if (!job.ok()) {
    return job.status();
  }
  StoredJob& entry = EntryOf(id);
  // The first record of an id counts: a caller that heard no answer hands its
  // job in again, also at other entries.
  if (!entry.job.id().empty()) {
    return absl::OkStatus();
  }
  entry.job = *std::move(job);
  entry.accepted_at = record.offset;
  cancelled_ahead_.erase(id);
  auto status = CheckProgress(entry.job, entry.progress);
  if (!status.ok()) {
    *earlier_passed_over =
        absl::StrCat("of its progress, read before: ", status.message());
    entry.progress.Clear();
    entry.progress_at = 0;
  }
  return absl::OkStatus();
}

auto JobFold::TakeProgress(const std::string& id, const KeyedRecord& record)
    -> absl::Status {
  if (record.value.empty()) {
    return absl::OkStatus();
  }
  auto progress = ReadProgress(id, record.value);
  if (!progress.ok()) {
    return progress.status();
  }
  const auto* known = Find(id);
  if (known != nullptr) {
    auto status = CheckProgress(known->job, *progress);
    if (!status.ok()) {
      return status;
    }
  }
  StoredJob& entry = EntryOf(id);
  if (record.offset >= entry.progress_at) {
    entry.progress = *std::move(progress);
    entry.progress_at = record.offset;
  }
  return absl::OkStatus();
}

auto JobFold::TakeCancellation(const std::string& id, const KeyedRecord& record)
    -> absl::Status {
  if (record.value.empty()) {
    if (cancelled_ahead_.contains(id)) {
      DropJob(id);
    }
    return absl::OkStatus();
  }
  auto status = CheckCancellation(id, record.value);
  if (!status.ok()) {
    return status;
  }
  StoredJob& entry = EntryOf(id);
  if (!entry.cancelled_at) {
    entry.cancelled_at = record.offset;
  }
  if (entry.job.id().empty()) {
    cancelled_ahead_.insert(id);
  }
  return absl::OkStatus();
}

auto JobFold::TakeAgentGrants(const std::string& name,
                              const KeyedRecord& record) -> absl::Status {
  if (record.value.empty()) {
    grants_.erase(name);
    return absl::OkStatus();
  }
  auto grants = ReadAgentGrants(name, record.value);
  if (!grants.ok()) {
    return grants.status();
  }
  // An earlier owner than was read before is none that wrote later.
  auto& newest = grants_[name];
  if (grants->fence() >= newest.fence()) {
    newest = *std::move(grants);
  }
  return absl::OkStatus();
}

auto JobFold::TakeAgent(const std::string& name, const KeyedRecord& record)
    -> absl::Status {
  if (record.value.empty()) {
    agents_.erase(name);
    return absl::OkStatus();
  }
  // Symptom: the owner polls an agent that is none, and a new owner starts
  // nothing of before its claim until the leases are over, as its census waits
  // for that agent's answer. So only what can be asked is an agent.
  auto entry = ReadAgent(name, record.value);
  if (!entry.ok()) {
    return entry.status();
  }
  if (is_endpoint_ != nullptr && !is_endpoint_(entry->link_endpoint())) {
    return absl::InvalidArgumentError(
        absl::StrCat("\"", entry->link_endpoint(), "\" is no endpoint"));
  }
  agents_[name] = *std::move(entry);
  return absl::OkStatus();
}

auto JobFold::TakeWorkerEnds(const std::string& worker_id,
                             const KeyedRecord& record) -> absl::Status {
  if (record.value.empty()) {
    worker_ends_.erase(worker_id);
    return absl::OkStatus();
  }
  auto ends = ReadWorkerEnds(worker_id, record.value);
  if (!ends.ok()) {
    return ends.status();
  }
  worker_ends_[worker_id] = *std::move(ends);
  return absl::OkStatus();
}

auto JobFold::TakeClaim(const std::string& name, const KeyedRecord& record)
    -> absl::Status {
  if (claim_known_ && record.offset <= claim_at_) {
    return absl::OkStatus();
  }
  auto claim = ReadClaim(name, record.value);
  if (!claim.ok()) {
    return claim.status();
  }
  claim_ = *std::move(claim);
  claim_at_ = record.offset;
  claim_known_ = true;
  return absl::OkStatus();
}

auto JobFold::TakeResignation(const std::string& name,
                              const KeyedRecord& record) -> absl::Status {
  if (record.value.empty()) {
    resigned_fences_.erase(name);
    return absl::OkStatus();
  }
  auto resignation = ReadResignation(name, record.value);
  if (!resignation.ok()) {
    return resignation.status();
  }
  auto& fence = resigned_fences_[name];
  fence = std::max(fence, resignation->fence());
  return absl::OkStatus();
}

auto JobFold::TakePressures(const std::string& name, const KeyedRecord& record)
    -> absl::Status {
  auto learned = ReadPressures(name, record.value);
  if (!learned.ok()) {
    return learned.status();
  }
  pressures_ = *std::move(learned);
  return absl::OkStatus();
}

auto JobFold::DropJob(const std::string& id) -> void {
  cancelled_ahead_.erase(id);
  const auto found = jobs_.find(id);
  if (found != jobs_.end()) {
    dropped_job_ = std::move(found->second);
    jobs_.erase(found);
  }
}

auto JobFold::EntryOf(const std::string& id) -> StoredJob& {
  auto& entry = jobs_[id];
  if (entry == nullptr) {
    entry = std::make_unique<StoredJob>();
  }
  return *entry;
}

}  // namespace rhubarbhaven::jobs

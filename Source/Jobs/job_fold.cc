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
  const auto taken = ApplyByKind(key, record, &change.skipped_reason);
  if (!taken.ok()) {
    // A skipped record is not reported as a change: an owner would look up
    // something that does not exist, and a claim that cannot be parsed would
    // count as a renewal of the previous one.
    change.kind = RecordKind::kUnknown;
    change.skipped_reason = std::string(taken.message());
  }
  return change;
}

auto JobFold::ApplyByKind(const RecordKey& key,
                          const KeyedRecord& record,
                          std::string* earlier_skipped_reason) -> absl::Status {
  switch (key.kind) {
    case RecordKind::kJob:
      return ApplyJob(key.name, record, earlier_skipped_reason);
    case RecordKind::kProgress:
      return ApplyProgress(key.name, record);
    case RecordKind::kCancellation:
      return ApplyCancellation(key.name, record);
    case RecordKind::kAgent:
      return ApplyAgent(key.name, record);
    case RecordKind::kAgentGrants:
      return ApplyAgentGrants(key.name, record);
    case RecordKind::kWorkerEnds:
      return ApplyWorkerEnds(key.name, record);
    case RecordKind::kClaim:
      return ApplyClaim(key.name, record);
    case RecordKind::kResignation:
      return ApplyResignation(key.name, record);
    case RecordKind::kPressures:
      return ApplyPressures(key.name, record);
    case RecordKind::kRunLengths:
      return ApplyRunLengths(key.name, record);
    case RecordKind::kUnknown:
      break;
  }
  return absl::InvalidArgumentError("the key is of no known kind");
}

auto JobFold::Find(const std::string& job) const -> const StoredJob* {
  const auto found = jobs_.find(job);
  // Pages of newest records may contain a cancellation or progress before its
  // job.
  const bool known = found != jobs_.end() && !found->second->job.id().empty();
  return known ? found->second.get() : nullptr;
}

auto JobFold::granted_by(const std::string& agent) const
    -> std::optional<uint64_t> {
  const auto found = grants_.find(agent);
  return found == grants_.end() ? std::nullopt
                                : std::optional(found->second.fence());
}

auto JobFold::granted_process(const std::string& agent) const -> uint64_t {
  const auto found = grants_.find(agent);
  return found == grants_.end() ? 0 : found->second.agent_incarnation();
}

auto JobFold::granted_agents() const -> std::vector<std::string> {
  std::vector<std::string> names;
  names.reserve(grants_.size());
  for (const auto& [name, grants] : grants_) {
    names.push_back(name);
  }
  return names;
}

auto JobFold::granted_worker(const std::string& agent) const -> std::string {
  const auto found = grants_.find(agent);
  return found == grants_.end() || worker_has_left(agent)
             ? ""
             : found->second.worker_id();
}

auto JobFold::worker_has_left(const std::string& agent) const -> bool {
  const auto entry = agents_.find(agent);
  const auto grants = grants_.find(agent);
  return entry != agents_.end() && grants != grants_.end() &&
         !entry->second.left_worker_id().empty() &&
         entry->second.left_worker_id() == grants->second.worker_id();
}

auto JobFold::granted_process_has_stopped(const std::string& agent) const
    -> bool {
  const auto entry = agents_.find(agent);
  const auto grants = grants_.find(agent);
  return entry != agents_.end() && grants != grants_.end() &&
         entry->second.has_stop() && grants->second.agent_incarnation() != 0 &&
         grants->second.agent_incarnation() == entry->second.incarnation();
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

auto JobFold::ApplyJob(const std::string& id,
                       const KeyedRecord& record,
                       std::string* earlier_skipped_reason) -> absl::Status {
  if (record.value.empty()) {
    RemoveJob(id);
    return absl::OkStatus();
  }
  auto job = ReadJob(id, record.value);
  if (!job.ok()) {
    return job.status();
  }
  StoredJob& entry = FindOrCreate(id);
  // The first record of an id is binding: a caller that received no response
  // may submit its job again, also to other entries.
  if (!entry.job.id().empty()) {
    return absl::OkStatus();
  }
  entry.job = *std::move(job);
  entry.accepted_at = record.offset;
  cancelled_ahead_.erase(id);
  auto status = CheckProgress(entry.job, entry.progress);
  if (!status.ok()) {
    *earlier_skipped_reason = absl::StrCat(
        "its progress, read earlier, does not match: ", status.message());
    entry.progress.Clear();
    entry.progress_at = 0;
  }
  return absl::OkStatus();
}

auto JobFold::ApplyProgress(const std::string& id, const KeyedRecord& record)
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
  StoredJob& entry = FindOrCreate(id);
  if (record.offset >= entry.progress_at) {
    entry.progress = *std::move(progress);
    entry.progress_at = record.offset;
  }
  return absl::OkStatus();
}

auto JobFold::ApplyCancellation(const std::string& id,
                                const KeyedRecord& record) -> absl::Status {
  if (record.value.empty()) {
    if (cancelled_ahead_.contains(id)) {
      RemoveJob(id);
    }
    return absl::OkStatus();
  }
  auto status = CheckCancellation(id, record.value);
  if (!status.ok()) {
    return status;
  }
  StoredJob& entry = FindOrCreate(id);
  if (!entry.cancelled_at) {
    entry.cancelled_at = record.offset;
  }
  if (entry.job.id().empty()) {
    cancelled_ahead_.insert(id);
  }
  return absl::OkStatus();
}

auto JobFold::ApplyAgentGrants(const std::string& name,
                               const KeyedRecord& record) -> absl::Status {
  if (record.value.empty()) {
    grants_.erase(name);
    return absl::OkStatus();
  }
  auto grants = ReadAgentGrants(name, record.value);
  if (!grants.ok()) {
    return grants.status();
  }
  // A record with a lower fence than the one known is not newer, whatever its
  // offset.
  auto& newest = grants_[name];
  if (grants->fence() >= newest.fence()) {
    newest = *std::move(grants);
  }
  return absl::OkStatus();
}

auto JobFold::ApplyAgent(const std::string& name, const KeyedRecord& record)
    -> absl::Status {
  if (record.value.empty()) {
    agents_.erase(name);
    return absl::OkStatus();
  }
  // An agent with an invalid endpoint would be polled without success, and the
  // reconciliation of a new owner would wait for its answer: the owner would
  // start nothing from before its claim until the leases expire. Only an agent
  // that can be polled is accepted.
  auto entry = ReadAgent(name, record.value);
  if (!entry.ok()) {
    return entry.status();
  }
  if (is_endpoint_ != nullptr && !is_endpoint_(entry->link_endpoint())) {
    return absl::InvalidArgumentError(absl::StrCat(
        "\"", entry->link_endpoint(), "\" is not a valid endpoint"));
  }
  agents_[name] = *std::move(entry);
  return absl::OkStatus();
}

auto JobFold::ApplyWorkerEnds(const std::string& worker_id,
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

auto JobFold::ApplyClaim(const std::string& name, const KeyedRecord& record)
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

auto JobFold::ApplyResignation(const std::string& name,
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

auto JobFold::ApplyPressures(const std::string& name, const KeyedRecord& record)
    -> absl::Status {
  auto learned = ReadPressures(name, record.value);
  if (!learned.ok()) {
    return learned.status();
  }
  pressures_ = *std::move(learned);
  return absl::OkStatus();
}

auto JobFold::ApplyRunLengths(const std::string& name,
                              const KeyedRecord& record) -> absl::Status {
  auto learned = ReadRunLengths(name, record.value);
  if (!learned.ok()) {
    return learned.status();
  }
  run_lengths_ = *std::move(learned);
  return absl::OkStatus();
}

auto JobFold::RemoveJob(const std::string& id) -> void {
  cancelled_ahead_.erase(id);
  const auto found = jobs_.find(id);
  if (found != jobs_.end()) {
    removed_job_ = std::move(found->second);
    jobs_.erase(found);
  }
}

auto JobFold::FindOrCreate(const std::string& id) -> StoredJob& {
  auto& entry = jobs_[id];
  if (entry == nullptr) {
    entry = std::make_unique<StoredJob>();
  }
  return *entry;
}

}  // namespace rhubarbhaven::jobs

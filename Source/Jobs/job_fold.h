#ifndef RHUBARBHAVEN_JOBS_JOB_FOLD_H_
#define RHUBARBHAVEN_JOBS_JOB_FOLD_H_

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Base/base.h"
#include "Jobs/job_records.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven::jobs {

// A job as the log has it.
struct StoredJob {
  Job job;
  // Place of the job's first record.
  uint64_t accepted_at = 0;
  std::optional<uint64_t> cancelled_at;
  JobProgress progress;
  // Place of the newest progress; zero if there is none.
  uint64_t progress_at = 0;

  auto state() const -> JobState;
  // Completed, failed or cancelled.
  auto over() const -> bool;
};

// Changes that one record made, for whoever acts on them.
struct FoldChange {
  // kUnknown if nothing was changed.
  RecordKind kind = RecordKind::kUnknown;
  std::string name;
  // Why the record, or the progress that waited for it, was passed over; empty
  // if all was taken.
  std::string passed_over;
};

// Whether a link can be made to an endpoint of this form.
using IsLinkEndpoint = std::function<auto(const std::string& endpoint)->bool>;

// The state of all jobs, agents and of the ownership, folded from the records
// of the keyed log. Every entry keeps one; two entries that have read to the
// same place have the same.
class JobFold {
 public:
  // Any endpoint will do if `is_endpoint` is null.
  explicit JobFold(IsLinkEndpoint is_endpoint = nullptr)
      : is_endpoint_(std::move(is_endpoint)) {}

  // Records of one key must come in the order of their offsets; an older one
  // than the newest applied is ignored, so pages of newest records and the
  // records behind them may overlap. A record of another writer that cannot be
  // read, or names what is not there, leaves what an earlier one of its key
  // said; an empty value drops the key.
  auto Apply(const KeyedRecord& record) -> FoldChange;

  auto Find(const std::string& job) const -> const StoredJob*;
  auto jobs() const
      -> const absl::flat_hash_map<std::string, std::unique_ptr<StoredJob>>& {
    return jobs_;
  }
  auto agents() const -> const std::map<std::string, AgentEntry>& {
    return agents_;
  }
  // Fence of the newest owner that may have granted something to the agent;
  // none if no owner has said so.
  auto granted_by(const std::string& agent) const -> std::optional<uint64_t>;
  // Whether the agent has registered that its worker has left, in the very life
  // that an owner granted to last: nothing of any owner runs there. An owner
  // grants nothing to a worker's next life before the log says so.
  auto worker_has_left(const std::string& agent) const -> bool;
  // The last end in the log of a worker's life; zero if there is none.
  auto ends_logged(const std::string& worker_id) const -> uint64_t;
  // The newest claim; its place in the log.
  auto claim() const -> const OwnerClaim& { return claim_; }
  auto claim_at() const -> uint64_t { return claim_at_; }
  // Up to which fence the entry has said that it grants nothing any more; zero
  // if it has not.
  auto resigned_fence(const std::string& entry) const -> uint64_t;
  // What the latest owners have learned of images.
  auto pressures() const -> const LearnedPressures& { return pressures_; }
  // Whether the log has a cancellation of a job that it does not have (yet).
  auto CancelledAhead(const std::string& job) const -> bool;
  // Ids of which that is so.
  auto cancelled_ahead() const -> const std::set<std::string>& {
    return cancelled_ahead_;
  }
  // Jobs of a queue that are accepted and run once, none of whose tasks has
  // started.
  auto PendingIn(const std::string& queue) const -> uint64_t;

 private:
  // Takes one record; an error says why it was passed over.
  auto Take(const RecordKey& key,
            const KeyedRecord& record,
            std::string* earlier_passed_over) -> absl::Status;
  // Says of progress that was read ahead of the job why it is not the job's.
  auto TakeJob(const std::string& id,
               const KeyedRecord& record,
               std::string* earlier_passed_over) -> absl::Status;
  auto TakeProgress(const std::string& id, const KeyedRecord& record)
      -> absl::Status;
  auto TakeCancellation(const std::string& id, const KeyedRecord& record)
      -> absl::Status;
  auto TakeAgent(const std::string& name, const KeyedRecord& record)
      -> absl::Status;
  auto TakeAgentGrants(const std::string& name, const KeyedRecord& record)
      -> absl::Status;
  auto TakeWorkerEnds(const std::string& worker_id, const KeyedRecord& record)
      -> absl::Status;
  auto TakeClaim(const std::string& name, const KeyedRecord& record)
      -> absl::Status;
  auto TakeResignation(const std::string& name, const KeyedRecord& record)
      -> absl::Status;
  auto TakePressures(const std::string& name, const KeyedRecord& record)
      -> absl::Status;
  auto DropJob(const std::string& id) -> void;
  auto EntryOf(const std::string& id) -> StoredJob&;

  IsLinkEndpoint is_endpoint_;
  absl::flat_hash_map<std::string, std::unique_ptr<StoredJob>> jobs_;
  std::set<std::string> cancelled_ahead_;
  // The job dropped last, kept until the next: an owner that works on it reads
  // it once more when it is told of the change.
  std::unique_ptr<StoredJob> dropped_job_;
  std::map<std::string, AgentEntry> agents_;
  std::map<std::string, AgentGrants> grants_;
  std::map<std::string, WorkerEnds> worker_ends_;
  std::map<std::string, uint64_t> resigned_fences_;
  LearnedPressures pressures_;
  OwnerClaim claim_;
  uint64_t claim_at_ = 0;
  bool claim_known_ = false;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_FOLD_H_

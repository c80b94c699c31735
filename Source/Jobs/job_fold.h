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

// A job as stored in the log.
struct StoredJob {
  Job job;
  // Offset of the job's first record.
  uint64_t accepted_at = 0;
  std::optional<uint64_t> cancelled_at;
  JobProgress progress;
  // Offset of the newest progress record; zero if there is none.
  uint64_t progress_at = 0;

  auto state() const -> JobState;
  // Completed, failed or cancelled.
  auto over() const -> bool;
};

// The change that one record made, for the code that acts on it.
struct FoldChange {
  // kUnknown if nothing was changed.
  RecordKind kind = RecordKind::kUnknown;
  std::string name;
  // Why the record, or the progress that preceded it, was skipped; empty if all
  // of it was applied.
  std::string skipped_reason;
};

// Whether a string has the form of an endpoint to which a link can be opened.
using IsLinkEndpoint = std::function<auto(const std::string& endpoint)->bool>;

// The state of all jobs and agents and of the ownership, folded from the
// records of the keyed log. Every entry keeps a copy. Copies that were read up
// to the same offset are equal.
class JobFold {
 public:
  // If `is_endpoint` is null, every endpoint is accepted.
  explicit JobFold(IsLinkEndpoint is_endpoint = nullptr)
      : is_endpoint_(std::move(is_endpoint)) {}

  // Applies one record. Records of one key must arrive in the order of their
  // offsets. A record older than the newest applied one is ignored, so pages of
  // newest records may overlap with the records read after them. A record of a
  // foreign writer that cannot be parsed or that refers to something that does
  // not exist is skipped, and the state from the key's previous record is kept.
  // An empty value removes the key.
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
  // none if no owner has recorded a grant.
  auto granted_by(const std::string& agent) const -> std::optional<uint64_t>;
  // Names of all agents to which owners have recorded a grant.
  auto granted_agents() const -> std::vector<std::string>;
  // The agent's process that the newest of these records names; zero if none.
  auto granted_process(const std::string& agent) const -> uint64_t;
  // Number of these agents.
  auto granted_count() const -> std::size_t { return grants_.size(); }
  // The agent's worker process for which an owner last recorded a grant; empty
  // if there is none, or if it has left.
  auto granted_worker(const std::string& agent) const -> std::string;
  // Whether the agent has registered that its worker has left, with the same
  // worker id that an owner granted to last. If so, no owner has anything
  // running there. An owner grants nothing to the worker's next process before
  // the log contains the grant.
  auto worker_has_left(const std::string& agent) const -> bool;
  // Whether the only process of the agent to which an owner may have granted
  // has recorded that it was told to stop. No owner grants to a process before
  // the log names it.
  auto granted_process_has_stopped(const std::string& agent) const -> bool;
  // Number of the last task end in the log for a worker id; zero if there is
  // none.
  auto ends_logged(const std::string& worker_id) const -> uint64_t;
  // The newest claim and its offset in the log.
  auto claim() const -> const OwnerClaim& { return claim_; }
  auto claim_at() const -> uint64_t { return claim_at_; }
  // The highest fence for which the entry has announced that it grants nothing
  // more; zero if there is none.
  auto resigned_fence(const std::string& entry) const -> uint64_t;
  // Pressures between images, as learned by the latest owners.
  auto pressures() const -> const LearnedPressures& { return pressures_; }
  // How long runs take, as learned by the latest owners.
  auto run_lengths() const -> const LearnedRunLengths& { return run_lengths_; }
  // Whether the log contains a cancellation of the job but not the job itself
  // (yet).
  auto CancelledAhead(const std::string& job) const -> bool;
  // Ids of all such jobs.
  auto cancelled_ahead() const -> const std::set<std::string>& {
    return cancelled_ahead_;
  }
  // Number of accepted jobs of a queue that run once and none of whose tasks
  // has started.
  auto PendingIn(const std::string& queue) const -> uint64_t;

 private:
  // Applies one record by its kind. The error states why it was skipped.
  auto ApplyByKind(const RecordKey& key,
                   const KeyedRecord& record,
                   std::string* earlier_skipped_reason) -> absl::Status;
  // If progress that was read before its job does not match the job, sets
  // `earlier_skipped_reason`.
  auto ApplyJob(const std::string& id,
                const KeyedRecord& record,
                std::string* earlier_skipped_reason) -> absl::Status;
  auto ApplyProgress(const std::string& id, const KeyedRecord& record)
      -> absl::Status;
  auto ApplyCancellation(const std::string& id, const KeyedRecord& record)
      -> absl::Status;
  auto ApplyAgent(const std::string& name, const KeyedRecord& record)
      -> absl::Status;
  auto ApplyAgentGrants(const std::string& name, const KeyedRecord& record)
      -> absl::Status;
  auto ApplyWorkerEnds(const std::string& worker_id, const KeyedRecord& record)
      -> absl::Status;
  auto ApplyClaim(const std::string& name, const KeyedRecord& record)
      -> absl::Status;
  auto ApplyResignation(const std::string& name, const KeyedRecord& record)
      -> absl::Status;
  auto ApplyPressures(const std::string& name, const KeyedRecord& record)
      -> absl::Status;
  auto ApplyRunLengths(const std::string& name, const KeyedRecord& record)
      -> absl::Status;
  auto RemoveJob(const std::string& id) -> void;
  auto FindOrCreate(const std::string& id) -> StoredJob&;

  IsLinkEndpoint is_endpoint_;
  absl::flat_hash_map<std::string, std::unique_ptr<StoredJob>> jobs_;
  std::set<std::string> cancelled_ahead_;
  // The job that was removed last, kept until the next removal: an owner that
  // works on it reads it once more when it is notified of the change.
  std::unique_ptr<StoredJob> removed_job_;
  std::map<std::string, AgentEntry> agents_;
  std::map<std::string, AgentGrants> grants_;
  std::map<std::string, WorkerEnds> worker_ends_;
  std::map<std::string, uint64_t> resigned_fences_;
  LearnedPressures pressures_;
  LearnedRunLengths run_lengths_;
  OwnerClaim claim_;
  uint64_t claim_at_ = 0;
  bool claim_known_ = false;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_FOLD_H_

#ifndef RHUBARBHAVEN_PLACEMENT_JOB_TABLE_H_
#define RHUBARBHAVEN_PLACEMENT_JOB_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Placement/amounts.h"
#include "Placement/name_table.h"
#include "Placement/placer.h"
#include "Placement/task_key.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven {

// What is kept of a waiting task beyond its job's record.
struct WaitingTask {
  uint32_t attempt = 1;
  Amounts need;
  TimePoint since;
};

// A job with its waiting tasks and a count of its placed ones. Trivially
// destructible records in flat containers: dropping all the waiting tasks of
// a job frees two blocks, whatever their number.
struct JobGroup {
  std::string partner_name;
  std::string name;
  uint64_t version = 0;
  uint32_t partner = 0;
  uint32_t team = kNoName;
  uint32_t failure_domain = kNoName;
  schema::Urgency urgency = schema::NORMAL;
  uint32_t priority = 0;
  uint32_t max_per_rack = 0;
  bool costly_to_evict = false;
  bool in_use = false;
  // Most memory that one task of any version of the job was seen to use.
  int64_t seen_memory_mb = 0;

  absl::flat_hash_map<uint32_t, WaitingTask> waiting;
  // Indices in order of arrival; those no longer in `waiting` are skipped.
  std::vector<uint32_t> order;
  std::size_t head = 0;
  // The need of all waiting tasks, while they have the same.
  std::optional<Amounts> common_need;
  // The first waiting task, while `first_known`: a round looks at it for
  // every job, and each look into `waiting` costs a cache miss.
  bool first_known = false;
  uint32_t first_index = 0;
  TimePoint first_since;

  uint32_t placed = 0;
  absl::flat_hash_map<uint32_t, uint32_t> placed_per_rack;
  absl::flat_hash_map<uint32_t, uint32_t> placed_per_domain;
};

// All jobs that have waiting or placed tasks.
class JobTable {
 public:
  auto Find(const schema::TaskId& task) const -> std::optional<TaskKey>;
  // Finds or makes the task's job and takes over what `spec` says of it.
  auto Update(PendingTask spec, NameTable& names) -> TaskKey;
  // Every version of a job that is known.
  auto Versions(const std::string& partner, const std::string& job) const
      -> std::vector<JobId>;
  auto Id(TaskKey key) const -> schema::TaskId;

  auto job(JobId id) -> JobGroup& { return jobs_[id]; }
  auto job(JobId id) const -> const JobGroup& { return jobs_[id]; }
  auto jobs() const -> const std::vector<JobGroup>& { return jobs_; }
  auto waiting() const -> std::size_t { return waiting_; }

  auto AddWaiting(TaskKey key, const WaitingTask& task) -> void;
  // False if the task did not wait.
  auto RemoveWaiting(TaskKey key) -> bool;
  auto ClearWaiting(JobId id) -> void;
  // Index of the first waiting task at or behind position `from` of the
  // job's order; moves `from` to it.
  auto NextWaiting(JobId id, std::size_t& from) -> std::optional<uint32_t>;

  // Since when the job's first waiting task waits; none if none does.
  auto FirstSince(JobId id) -> std::optional<TimePoint>;

  // Memory seen of one task, which the others are likely to need as well.
  auto SawMemory(JobId id, int64_t memory_mb) -> void;
  // What is held for a waiting task of the job: its own need, but as much
  // memory as others of the job were seen to use, if that is at most `most`.
  auto Expected(JobId id, const Amounts& need, const Amounts& most) const
      -> Amounts;

  auto CountPlaced(JobId id, uint32_t rack, uint32_t domain) -> void;
  auto UncountPlaced(JobId id, uint32_t rack, uint32_t domain) -> void;
  // Forgets the job if it has no task left.
  auto ReleaseIfEmpty(JobId id) -> void;

 private:
  auto Make(schema::TaskId task) -> JobId;

  std::vector<JobGroup> jobs_;
  std::vector<JobId> unused_;
  // Versions by "partner/job".
  absl::flat_hash_map<std::string, std::vector<JobId>> by_name_;
  // Memory seen by "partner/job", beyond the life of a version.
  absl::flat_hash_map<std::string, int64_t> seen_memory_mb_;
  std::size_t waiting_ = 0;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_JOB_TABLE_H_

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

// State of a waiting task that is not part of its job's record.
struct WaitingTask {
  uint32_t attempt = 1;
  Amounts need;
  TimePoint since;
};

// A job with its waiting tasks and a count of its placed ones. The waiting
// tasks are trivially destructible records in flat containers, so that
// discarding all of them frees two memory blocks, whatever their number.
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
  // Peak memory reported for a single task of any version of the job.
  int64_t peak_memory_mb = 0;

  absl::flat_hash_map<uint32_t, WaitingTask> waiting;
  // Indices in order of arrival; those no longer in `waiting` are skipped.
  std::vector<uint32_t> order;
  std::size_t head = 0;
  // The need of the waiting tasks while it is the same for all of them.
  std::optional<Amounts> common_need;
  // The first waiting task, valid while `first_known`. It is cached because a
  // round reads it for every job, and each lookup in `waiting` costs a cache
  // miss.
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
  // Finds or creates the task's job and updates its properties from `spec`.
  auto Update(PendingTask spec, NameTable& names) -> TaskKey;
  // Returns all versions of a job in the table.
  auto Versions(const std::string& partner, const std::string& job) const
      -> std::vector<JobId>;
  auto Id(TaskKey key) const -> schema::TaskId;

  auto job(JobId id) -> JobGroup& { return jobs_[id]; }
  auto job(JobId id) const -> const JobGroup& { return jobs_[id]; }
  auto jobs() const -> const std::vector<JobGroup>& { return jobs_; }
  auto waiting() const -> std::size_t { return waiting_; }

  auto AddWaiting(TaskKey key, const WaitingTask& task) -> void;
  // Returns false if the task was not waiting.
  auto RemoveWaiting(TaskKey key) -> bool;
  auto ClearWaiting(JobId id) -> void;
  // Returns the index of the first waiting task at or after position `from` of
  // the job's order, and advances `from` to its position.
  auto NextWaiting(JobId id, std::size_t& from) -> std::optional<uint32_t>;

  // Returns since when the job's first waiting task has waited; none if no task
  // of the job waits.
  auto FirstWaitingSince(JobId id) -> std::optional<TimePoint>;

  // Records the memory use of one task. The job's other tasks are likely to
  // need as much.
  auto RecordMemoryUse(JobId id, int64_t memory_mb) -> void;
  // Returns the amounts to hold for a waiting task of the job: its own need,
  // with the memory raised to the peak use of the job's tasks if that is at
  // most `max_amounts`.
  auto ExpectedNeed(JobId id,
                    const Amounts& need,
                    const Amounts& max_amounts) const -> Amounts;

  auto CountPlaced(JobId id, uint32_t rack, uint32_t domain) -> void;
  auto UncountPlaced(JobId id, uint32_t rack, uint32_t domain) -> void;
  // Removes the job if it has no waiting or placed task.
  auto ReleaseIfEmpty(JobId id) -> void;

 private:
  auto Create(schema::TaskId task) -> JobId;

  std::vector<JobGroup> jobs_;
  std::vector<JobId> unused_;
  // Versions of each job by "partner/job".
  absl::flat_hash_map<std::string, std::vector<JobId>> by_name_;
  // Peak memory use by "partner/job", kept after a version is removed.
  absl::flat_hash_map<std::string, int64_t> peak_memory_mb_;
  std::size_t waiting_ = 0;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_JOB_TABLE_H_

#ifndef RHUBARBHAVEN_PLACEMENT_PENDING_ORDER_H_
#define RHUBARBHAVEN_PLACEMENT_PENDING_ORDER_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "Placement/job_table.h"

namespace rhubarbhaven {

// The order in which jobs with waiting tasks are served in one round: by
// urgency, then priority, then the time since which the first task waits. Jobs
// that aged into a higher class share it: every `kOwnTurnsPerAgedTurn`
// placements of the class's own jobs are followed by one placement of an aged
// job, so that neither group starves.
class PendingOrder {
 public:
  PendingOrder(JobTable* jobs, TimePoint now, std::chrono::seconds ageing);

  // Returns the job to serve next, or none when all are removed. `turn` counts
  // the placements of all rounds, including earlier ones.
  auto Next(uint64_t turn) -> std::optional<JobId>;
  // Removes the job that `Next` returned last from the round.
  auto RemoveCurrent() -> void;

 private:
  struct Entry {
    JobId job = 0;
    uint32_t priority = 0;
    TimePoint since;
  };
  // A heap: a round seldom serves every job, so a full sort would be wasted.
  using EntryHeap = std::vector<Entry>;
  // Jobs of one urgency class: its own, and those that aged into it, which are
  // ordered by time alone.
  struct Class {
    EntryHeap own;
    EntryHeap aged;
  };

  static constexpr int kClassCount = 3;
  static constexpr uint64_t kOwnTurnsPerAgedTurn = 4;

  // Heap comparators: true if `left` is served after `right`.
  static auto AfterByPriority(const Entry& left, const Entry& right) -> bool;
  static auto AfterByTime(const Entry& left, const Entry& right) -> bool;
  auto Add(JobTable* jobs, JobId id, TimePoint now, std::chrono::seconds ageing)
      -> void;

  std::array<Class, kClassCount> classes_;
  EntryHeap* current_ = nullptr;
  bool current_is_aged_ = false;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_PENDING_ORDER_H_

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
// urgency, then priority, then the time of the first waiting task. Jobs that
// aged into a higher class share it: each of `kUrgentTurns` placements of the
// class's own jobs is followed by one of theirs, so that neither starves.
class PendingOrder {
 public:
  PendingOrder(JobTable* jobs, TimePoint now, std::chrono::seconds ageing);

  // The job to serve next; none at the end. `turn` counts the placements of
  // earlier rounds too.
  auto Next(uint64_t turn) -> std::optional<JobId>;
  // Takes the job that `Next` named last out of the round.
  auto Drop() -> void;

 private:
  struct Entry {
    JobId job = 0;
    uint32_t priority = 0;
    TimePoint since;
  };
  // A heap: a round seldom gets to the end, so sorting would be wasted.
  using Lane = std::vector<Entry>;
  // Jobs of one class: its own, and those that aged into it (by time alone).
  struct Class {
    Lane own;
    Lane aged;
  };

  static constexpr int kClasses = 3;
  static constexpr uint64_t kUrgentTurns = 4;

  // Heap orders: true if `left` is served after `right`.
  static auto AfterByPriority(const Entry& left, const Entry& right) -> bool;
  static auto AfterByTime(const Entry& left, const Entry& right) -> bool;
  auto Add(JobTable* jobs, JobId id, TimePoint now, std::chrono::seconds ageing)
      -> void;

  std::array<Class, kClasses> classes_;
  Lane* current_ = nullptr;
  bool current_is_aged_ = false;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_PENDING_ORDER_H_

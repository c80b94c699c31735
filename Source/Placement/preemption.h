#ifndef RHUBARBHAVEN_PLACEMENT_PREEMPTION_H_
#define RHUBARBHAVEN_PLACEMENT_PREEMPTION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "Placement/cell_state.h"

namespace rhubarbhaven {

// Tasks to evict from one worker, so that another task fits there. Empty
// `victims` means that what already stops there suffices.
struct Preemption {
  WorkerId worker = 0;
  std::vector<TaskKey> victims;
};

// How high an urgency stands; higher goes first.
auto UrgencyRank(schema::Urgency urgency) -> int;

// Whether the rules allow that `preemptor` displaces a task of `victim` on an
// instance of the partner `host`. Between tasks of one partner that partner's
// rules decide. Between partners only the host's tasks may displace guests,
// by the host's rules. A task never displaces one that stands as high.
auto MayPreempt(const CellState& cell,
                const JobGroup& preemptor,
                const JobGroup& victim,
                uint32_t host) -> bool;

// What evicting a placed task costs: first whether its job is marked as
// costly, then the progress that is lost, scaled by how much its partner
// weighs evictions. Infinite for a task that was evicted too often already.
auto EvictionCost(const CellState& cell,
                  TaskKey task,
                  const PlacedRecord& placed) -> double;

// Cheapest set of victims, at most `limit` of them, on any of a bounded
// number of workers, beginning with worker `start` modulo their number.
auto ChoosePreemption(const CellState& cell,
                      const JobGroup& preemptor,
                      const Amounts& need,
                      std::size_t limit,
                      std::size_t start) -> std::optional<Preemption>;

// The worker that comes nearest to holding the need, among those that could
// when empty and on which nothing is claimed yet.
auto ChooseReservation(const CellState& cell,
                       const JobGroup& job,
                       const Amounts& need) -> std::optional<WorkerId>;

// The task whose eviction brings the memory that is used on an overcommitted
// worker back under its capacity at the least cost. None while that memory
// fits: nothing more is placed there, and what is declared but not used kills
// nobody. None if a task is stopping there already.
auto ChooseOvercommitVictim(const CellState& cell, WorkerId worker)
    -> std::optional<TaskKey>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_PREEMPTION_H_

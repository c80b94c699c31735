#ifndef RHUBARBHAVEN_PLACEMENT_PREEMPTION_H_
#define RHUBARBHAVEN_PLACEMENT_PREEMPTION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "Placement/cell_state.h"

namespace rhubarbhaven {

// Tasks to evict from one worker so that another task fits there. `victims` is
// empty if the tasks that are already stopping there free enough.
struct Preemption {
  WorkerId worker = 0;
  std::vector<TaskKey> victims;
};

// Rank of an urgency class; a higher rank is served first.
auto UrgencyRank(schema::Urgency urgency) -> int;

// Returns whether the rules allow `preemptor` to preempt a task of `victim` on
// an instance of the partner `host`. Between tasks of one partner, that
// partner's rules decide. Between partners, only the host's tasks may preempt
// those of guests, by the host's rules. A task never preempts one of equal or
// higher precedence, by urgency and then by priority.
auto MayPreempt(const CellState& cell,
                const JobGroup& preemptor,
                const JobGroup& victim,
                uint32_t host) -> bool;

// Cost of evicting a placed task. It is dominated by whether the job is marked
// as costly to evict, then by the lost progress, scaled by the weight that the
// partner gives to evictions. Infinite for a task that has reached the limit of
// evictions.
auto EvictionCost(const CellState& cell,
                  TaskKey task,
                  const PlacedRecord& placed) -> double;

// Returns the cheapest set of at most `limit` victims among a bounded number of
// workers, beginning with worker `start` modulo the number of workers.
auto ChoosePreemption(const CellState& cell,
                      const JobGroup& preemptor,
                      const Amounts& need,
                      std::size_t limit,
                      std::size_t start) -> std::optional<Preemption>;

// Returns the worker with the smallest shortage for the need, among those that
// could hold it when empty and on which nothing is claimed yet.
auto ChooseReservation(const CellState& cell,
                       const JobGroup& job,
                       const Amounts& need) -> std::optional<WorkerId>;

// Returns the task whose eviction brings the memory in use on an overcommitted
// worker back under its capacity at the lowest cost. Returns none while the
// memory in use fits: no further task is placed there anyway, and memory that
// is declared but unused is no reason to evict. Returns none if a task there is
// already stopping or not confirmed yet.
auto ChooseOvercommitVictim(const CellState& cell, WorkerId worker)
    -> std::optional<TaskKey>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_PREEMPTION_H_

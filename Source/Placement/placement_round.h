#ifndef RHUBARBHAVEN_PLACEMENT_PLACEMENT_ROUND_H_
#define RHUBARBHAVEN_PLACEMENT_PLACEMENT_ROUND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Placement/cell_state.h"
#include "Placement/pending_order.h"
#include "Placement/place_finder.h"
#include "Placement/placer.h"
#include "Placement/preemption.h"

namespace rhubarbhaven {

// One call of `Placer::Decide`. Serves the waiting jobs in order, places the
// tasks that fit, and claims resources for tasks that may preempt others or
// have waited long.
class PlacementRound {
 public:
  PlacementRound(CellState* cell,
                 PlaceFinder* finder,
                 const PlacerOptions* options,
                 TimePoint now);

  // `turn` counts the placements of all rounds.
  auto Run(std::size_t limit, uint64_t& turn) -> PlacerRound;

 private:
  // A need that fitted on no worker earlier in this round. No search is made
  // for another need of the same partner and failure domain that is at least
  // as large.
  struct FailedNeed {
    uint32_t partner = 0;
    uint32_t failure_domain = 0;
    Amounts need;
  };

  enum class Attempt {
    kPlaced,
    kNotPlaced,
    // Resources are claimed for the task but not free yet.
    kClaimed,
  };

  auto EvictFromOvercommitted() -> void;
  // Places the job's next task that fits. Returns false if none of the tasks
  // tried could be placed.
  auto PlaceNextTask(JobId id) -> bool;
  auto TryTask(TaskKey task) -> Attempt;
  auto TryClaim(PlaceClaim claim, const WaitingTask& waiting) -> Attempt;
  auto Commit(TaskKey task, const WaitingTask& waiting, WorkerId worker)
      -> void;
  auto IsNeedKnownToFail(const JobGroup& job, const Amounts& need) const
      -> bool;
  // Returns true if all waiting tasks of the job have the same need, that need
  // is known to fail, and none of them has a claim.
  auto IsJobKnownToFail(JobId id) const -> bool;
  // Preempts other tasks or reserves resources for a task that fits on no
  // worker. Returns false if neither is possible.
  auto MakeRoom(TaskKey task, const WaitingTask& waiting) -> bool;
  auto Preempt(TaskKey task, const WaitingTask& waiting) -> bool;
  auto Reserve(TaskKey task, const WaitingTask& waiting) -> bool;
  auto Evict(TaskKey victim, const std::string& why) -> void;

  CellState* cell_;
  PlaceFinder* finder_;
  const PlacerOptions* options_;
  TimePoint now_;
  PlacerRound round_;
  std::vector<FailedNeed> failed_needs_;
  std::size_t preempted_count_ = 0;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_PLACEMENT_ROUND_H_

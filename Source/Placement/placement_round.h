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

// One call of `Placer::Decide`: walks the waiting jobs in their order, places
// what fits, and claims room for what may displace others or has waited long.
class PlacementRound {
 public:
  PlacementRound(CellState* cell,
                 PlaceFinder* finder,
                 const PlacerOptions* options,
                 TimePoint now);

  // `turn` counts placements over all rounds.
  auto Run(std::size_t limit, uint64_t& turn) -> PlacerRound;

 private:
  // A need for which no worker had room earlier in this round. Another that
  // is at least as large, of the same partner and failure domain, is not
  // searched for again.
  struct FailedNeed {
    uint32_t partner = 0;
    uint32_t failure_domain = 0;
    Amounts need;
  };

  enum class Attempt {
    kPlaced,
    kNoPlace,
    // Room is kept for it, and not free yet.
    kClaimed,
  };

  auto EvictFromOvercommitted() -> void;
  // Places the job's next task that fits; false if none of those tried does.
  auto PlaceOneOf(JobId id) -> bool;
  auto TryTask(TaskKey task) -> Attempt;
  auto TryClaim(PlaceClaim claim, const WaitingTask& waiting) -> Attempt;
  auto Commit(TaskKey task, const WaitingTask& waiting, WorkerId worker)
      -> void;
  auto KnownToFail(const JobGroup& job, const Amounts& need) const -> bool;
  // All the job's tasks have one need, and no worker has room for it.
  auto KnownToBeStuck(JobId id) const -> bool;
  // No worker has room: displaces others, or keeps room from now on. False if
  // neither may be done.
  auto MakeRoom(TaskKey task, const WaitingTask& waiting) -> bool;
  auto Preempt(TaskKey task, const WaitingTask& waiting) -> bool;
  auto Reserve(TaskKey task, const WaitingTask& waiting) -> bool;
  auto Evict(TaskKey victim, const std::string& why) -> void;

  CellState* cell_;
  PlaceFinder* finder_;
  const PlacerOptions* options_;
  TimePoint now_;
  PlacerRound round_;
  std::vector<FailedNeed> failed_;
  std::size_t preempted_ = 0;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_PLACEMENT_ROUND_H_

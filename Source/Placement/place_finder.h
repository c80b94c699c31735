#ifndef RHUBARBHAVEN_PLACEMENT_PLACE_FINDER_H_
#define RHUBARBHAVEN_PLACEMENT_PLACE_FINDER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "Placement/cell_state.h"

namespace rhubarbhaven {

// Why no worker was found for a task.
enum class PlacementFailure {
  kNone,
  // No worker has enough free resources in every dimension.
  kCapacity,
  // Some workers have enough, but their racks have reached the job's
  // `max_per_rack`.
  kRackLimit,
  // Some workers have enough, but `extra_cost` is infinite for all candidates.
  kExtraCost,
};

struct PlaceSearchResult {
  std::optional<WorkerId> worker;
  PlacementFailure failure = PlacementFailure::kNone;
};

// Returns whether the job may place one more task on the rack.
auto RackHasRoom(const JobGroup& job, uint32_t rack) -> bool;

// Chooses a worker for one task: the one with the lowest cost by fit, spread
// and extra cost among a bounded sample of the workers that can hold the task.
class PlaceFinder {
 public:
  PlaceFinder(const CellState* cell, const PlacerOptions* options)
      : cell_(cell), options_(options) {}

  // Start of the latest search, to be reduced modulo the number of workers.
  auto start() const -> uint32_t { return start_; }
  auto Find(TaskKey task, const WaitingTask& waiting) -> PlaceSearchResult;

 private:
  struct Candidate {
    double cost = 0;
    WorkerId worker = 0;
  };

  // Fills `candidates_` with the workers that are cheapest by fit and spread.
  auto CollectCandidates(const JobGroup& job, const Amounts& need)
      -> PlacementFailure;
  // Adds a candidate, replacing the most expensive one when the list is full.
  auto AddCandidate(double cost, WorkerId worker) -> void;
  auto Cost(const JobGroup& job,
            const Amounts& need,
            const WorkerRow& row,
            WorkerId worker) const -> double;
  auto AddExtraCost(TaskKey task, const WaitingTask& waiting) -> void;

  const CellState* cell_;
  const PlacerOptions* options_;
  // Pseudo-random start of the latest search, advanced by each search so that
  // samples differ.
  uint32_t start_ = 0;
  std::vector<Candidate> candidates_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_PLACE_FINDER_H_

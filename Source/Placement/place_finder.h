#ifndef RHUBARBHAVEN_PLACEMENT_PLACE_FINDER_H_
#define RHUBARBHAVEN_PLACEMENT_PLACE_FINDER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "Placement/cell_state.h"

namespace rhubarbhaven {

// Why no place was found for a task.
enum class NoPlace {
  kNone,
  // No worker has enough free in every dimension.
  kCapacity,
  // Some have, but their racks hold enough tasks of the job already.
  kRackLimit,
  // Some have, but `extra_cost` forbids them all for now.
  kForbidden,
};

struct PlaceSearch {
  std::optional<WorkerId> worker;
  NoPlace why_not = NoPlace::kNone;
};

// Whether the job may put one more task on the rack.
auto RackHasRoom(const JobGroup& job, uint32_t rack) -> bool;

// Chooses the worker for one task: the cheapest by fit, spread and the extra
// cost among a bounded sample of those that can hold it.
class PlaceFinder {
 public:
  PlaceFinder(const CellState* cell, const PlacerOptions* options)
      : cell_(cell), options_(options) {}

  // Where the latest search began; any number.
  auto start() const -> uint32_t { return start_; }
  auto Find(TaskKey task, const WaitingTask& waiting) -> PlaceSearch;

 private:
  struct Candidate {
    double cost = 0;
    WorkerId worker = 0;
  };

  // Fills `candidates_` with the cheapest by fit and spread.
  auto Collect(const JobGroup& job, const Amounts& need) -> NoPlace;
  auto Offer(double cost, WorkerId worker) -> void;
  auto Cost(const JobGroup& job,
            const Amounts& need,
            const WorkerRow& row,
            WorkerId worker) const -> double;
  auto AddExtraCost(TaskKey task, const WaitingTask& waiting) -> void;

  const CellState* cell_;
  const PlacerOptions* options_;
  // Where the next search begins, so that samples differ.
  uint32_t start_ = 0;
  std::vector<Candidate> candidates_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_PLACE_FINDER_H_

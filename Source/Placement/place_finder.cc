#include "Placement/place_finder.h"

#include <algorithm>
#include <cmath>

namespace rhubarbhaven {
namespace {

// A search stops after finding this many workers that can hold the task.
constexpr std::size_t kMaxSampledWorkers = 64;
// Maximum number of workers whose extra cost is computed.
constexpr std::size_t kMaxCandidates = 16;

// Weights of the terms of a placement's cost; the terms are shares from 0 to 1.
constexpr double kLeftoverWeight = 0.5;
constexpr double kImbalanceWeight = 0.5;
// Cost of using a worker with accelerators for a task that needs none.
constexpr double kIdleAcceleratorsCost = 2.0;
constexpr double kSameRackWeight = 1.0;
constexpr double kSameDomainWeight = 0.5;
constexpr double kGuestCost = 0.25;

auto Share(int64_t part, int64_t whole) -> double {
  return whole <= 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

auto CountOf(const absl::flat_hash_map<uint32_t, uint32_t>& counts,
             uint32_t key) -> uint32_t {
  const auto entry = counts.find(key);
  return entry == counts.end() ? 0 : entry->second;
}

auto SpecOf(const CellState& cell, TaskKey task, const WaitingTask& waiting)
    -> PendingTask {
  const JobGroup& job = cell.jobs().job(task.job);
  PendingTask spec;
  spec.task = cell.jobs().Id(task);
  spec.attempt = waiting.attempt;
  spec.need = ToMessage(waiting.need);
  spec.urgency = job.urgency;
  spec.priority = job.priority;
  spec.max_per_rack = job.max_per_rack;
  spec.costly_to_evict = job.costly_to_evict;
  spec.waiting_since = waiting.since;
  return spec;
}

}  // namespace

auto RackHasRoom(const JobGroup& job, uint32_t rack) -> bool {
  return job.max_per_rack == 0 ||
         CountOf(job.placed_per_rack, rack) < job.max_per_rack;
}

auto PlaceFinder::Find(TaskKey task, const WaitingTask& waiting)
    -> PlaceSearchResult {
  const JobGroup& job = cell_->jobs().job(task.job);
  const PlacementFailure failure = CollectCandidates(job, waiting.need);
  if (candidates_.empty()) {
    return {std::nullopt, failure};
  }
  AddExtraCost(task, waiting);
  const auto best = std::ranges::min_element(candidates_, {}, &Candidate::cost);
  if (!std::isfinite(best->cost)) {
    return {std::nullopt, PlacementFailure::kExtraCost};
  }
  return {best->worker, PlacementFailure::kNone};
}

auto PlaceFinder::CollectCandidates(const JobGroup& job, const Amounts& need)
    -> PlacementFailure {
  candidates_.clear();
  const std::vector<WorkerRow>& rows = cell_->workers().rows();
  const std::vector<char> access = cell_->workers().Access(job.partner);
  const std::size_t count = rows.size();
  start_ = start_ * 1664525U + 1013904223U;
  std::size_t position = count == 0 ? 0 : start_ % count;
  std::size_t found = 0;
  PlacementFailure failure = PlacementFailure::kCapacity;
  for (std::size_t scanned = 0; scanned < count && found < kMaxSampledWorkers;
       ++scanned) {
    const WorkerRow& row = rows[position];
    const auto worker = static_cast<WorkerId>(position);
    position = position + 1 == count ? 0 : position + 1;
    if (!Fits(need, row.free) || access[row.access] == 0) {
      continue;
    }
    if (job.failure_domain != kNoName &&
        job.failure_domain != row.failure_domain) {
      continue;
    }
    if (!RackHasRoom(job, row.rack)) {
      failure = PlacementFailure::kRackLimit;
      continue;
    }
    ++found;
    AddCandidate(Cost(job, need, row, worker), worker);
  }
  return failure;
}

auto PlaceFinder::AddCandidate(double cost, WorkerId worker) -> void {
  if (candidates_.size() < kMaxCandidates) {
    candidates_.push_back({cost, worker});
    return;
  }
  const auto worst =
      std::ranges::max_element(candidates_, {}, &Candidate::cost);
  if (cost < worst->cost) {
    *worst = {cost, worker};
  }
}

auto PlaceFinder::Cost(const JobGroup& job,
                       const Amounts& need,
                       const WorkerRow& row,
                       WorkerId worker) const -> double {
  const Amounts& largest = cell_->workers().largest();
  const Amounts left = row.free - need;
  const double processors = Share(left.millicores, largest.millicores);
  const double memory = Share(left.memory_mb, largest.memory_mb);
  const double accelerators = Share(left.accelerators, largest.accelerators);
  double cost = kLeftoverWeight * (processors + memory) / 2 +
                kImbalanceWeight * std::abs(processors - memory);
  if (need.accelerators > 0) {
    cost += kLeftoverWeight * accelerators;
  } else if (row.has_accelerators) {
    cost += kIdleAcceleratorsCost;
  }
  if (job.placed > 0) {
    cost += kSameRackWeight *
            Share(CountOf(job.placed_per_rack, row.rack), job.placed);
    cost +=
        kSameDomainWeight *
        Share(CountOf(job.placed_per_domain, row.failure_domain), job.placed);
  }
  if (cell_->workers().slot(worker).partner != job.partner) {
    cost += kGuestCost;
  }
  return cost;
}

auto PlaceFinder::AddExtraCost(TaskKey task, const WaitingTask& waiting)
    -> void {
  if (!options_->extra_cost) {
    return;
  }
  const PendingTask spec = SpecOf(*cell_, task, waiting);
  for (Candidate& candidate : candidates_) {
    const std::string& instance =
        cell_->workers().slot(candidate.worker).instance;
    candidate.cost += options_->extra_cost(spec, instance);
  }
}

}  // namespace rhubarbhaven

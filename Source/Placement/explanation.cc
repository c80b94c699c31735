#include "Placement/explanation.h"

#include <optional>
#include <string>

#include "Placement/place_finder.h"

namespace rhubarbhaven {
namespace {

// Counts of the workers that satisfy increasingly strict conditions for one
// need.
struct WorkerCounts {
  int reachable = 0;
  int in_domain = 0;
  int large_enough = 0;
  int accepting = 0;
  int with_room = 0;
  // The instance with the smallest shortage when empty, its usable amounts, and
  // that shortage.
  std::string largest_instance;
  Amounts largest;
  int64_t smallest_shortage = 0;
};

// Returns the missing amounts on a single scale, by which instances are
// compared: 1 GB counts as half a processor, an accelerator as 16 processors.
auto MissingAmount(const Amounts& need, const Amounts& free) -> int64_t {
  const Amounts missing = Larger(need - free, Amounts{});
  return missing.millicores + missing.memory_mb / 2 +
         missing.accelerators * 16000;
}

auto UpdateLargest(const WorkerSlot& slot,
                   const Amounts& need,
                   WorkerCounts& counts) -> void {
  const int64_t missing = MissingAmount(need, slot.usable);
  if (counts.largest_instance.empty() || missing < counts.smallest_shortage) {
    counts.largest_instance = slot.instance;
    counts.largest = slot.usable;
    counts.smallest_shortage = missing;
  }
}

auto CountWorkers(const CellState& cell,
                  const JobGroup& job,
                  const Amounts& need) -> WorkerCounts {
  WorkerCounts counts;
  const std::vector<WorkerSlot>& slots = cell.workers().slots();
  for (std::size_t index = 0; index < slots.size(); ++index) {
    const WorkerSlot& slot = slots[index];
    const auto worker = static_cast<WorkerId>(index);
    if (!slot.known || !cell.workers().AcceptsPartner(worker, job.partner)) {
      continue;
    }
    ++counts.reachable;
    if (job.failure_domain != kNoName &&
        job.failure_domain != slot.failure_domain) {
      continue;
    }
    ++counts.in_domain;
    UpdateLargest(slot, need, counts);
    if (!Fits(need, slot.usable)) {
      continue;
    }
    ++counts.large_enough;
    if (!slot.accepting) {
      continue;
    }
    ++counts.accepting;
    if (Fits(need, cell.workers().rows()[worker].free)) {
      ++counts.with_room;
    }
  }
  return counts;
}

auto ExplainInfeasible(const CellState& cell,
                       const JobGroup& job,
                       const Amounts& need,
                       const WorkerCounts& counts)
    -> std::optional<std::string> {
  if (counts.reachable == 0) {
    return "no instance takes tasks of partner " + job.partner_name +
           "; add one or open one to the partner";
  }
  if (counts.in_domain == 0) {
    return "no instance that takes the partner's tasks is in failure domain " +
           cell.names().name(job.failure_domain);
  }
  if (counts.large_enough == 0) {
    return "needs more than any instance has: " +
           DescribeShortage(need, counts.largest) + " (nearest is " +
           counts.largest_instance + "); reduce the need or add an instance";
  }
  if (job.team != kNoName && !Fits(need, cell.quotas().Limit(job.team))) {
    return "needs more than the quota of team " + cell.names().name(job.team) +
           ": " + DescribeShortage(need, cell.quotas().Limit(job.team)) +
           "; reduce the need or raise the quota";
  }
  return std::nullopt;
}

auto ExplainWait(const CellState& cell,
                 const JobGroup& job,
                 TaskKey key,
                 const Amounts& need,
                 const WorkerCounts& counts) -> std::string {
  if (job.team != kNoName && !Fits(need, cell.quotas().Room(job.team))) {
    return "the quota of team " + cell.names().name(job.team) +
           " is in use: needs " +
           DescribeShortage(need, cell.quotas().Room(job.team)) + " left";
  }
  const PlaceClaim* claim = cell.FindClaim(key);
  if (claim != nullptr) {
    return "room is kept on " + cell.workers().slot(claim->worker).instance +
           " until tasks there have stopped";
  }
  if (counts.accepting == 0) {
    return "none of the " + std::to_string(counts.large_enough) +
           " instances that are large enough takes new work now (silent, "
           "draining or set aside)";
  }
  if (counts.with_room == 0) {
    return "all " + std::to_string(counts.accepting) +
           " instances that are large enough are in use";
  }
  return std::to_string(counts.with_room) +
         " instances have room; waits for its turn, for a rack below the job's "
         "max_per_rack, or for an instance whose service bears it";
}

}  // namespace

auto ExplainTask(const CellState& cell,
                 const PlacerOptions& options,
                 TimePoint now,
                 const schema::TaskId& task) -> Explanation {
  const std::optional<TaskKey> key = cell.jobs().Find(task);
  if (!key.has_value()) {
    return {false, "not known to the placer"};
  }
  const PlacedRecord* placed = cell.FindPlaced(*key);
  if (placed != nullptr) {
    const std::string& instance = cell.workers().slot(placed->worker).instance;
    return {false,
            (placed->stopping ? "is stopping on " : "runs on ") + instance};
  }
  const JobGroup& job = cell.jobs().job(key->job);
  const auto waiting = job.waiting.find(key->index);
  if (waiting == job.waiting.end()) {
    return {false, "not known to the placer"};
  }
  const Amounts need = cell.jobs().ExpectedNeed(key->job, waiting->second.need,
                                                cell.workers().largest());
  const WorkerCounts counts = CountWorkers(cell, job, need);
  const std::optional<std::string> infeasible_reason =
      ExplainInfeasible(cell, job, need, counts);
  if (infeasible_reason.has_value()) {
    return {true, "can never run: " + *infeasible_reason};
  }
  std::string text = "waits: " + ExplainWait(cell, job, *key, need, counts);
  if (now - waiting->second.since >= options.ageing) {
    text += "; has aged by a class";
  }
  return {false, text};
}

}  // namespace rhubarbhaven

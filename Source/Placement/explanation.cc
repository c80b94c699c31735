#include "Placement/explanation.h"

#include <optional>
#include <string>

#include "Placement/place_finder.h"

namespace rhubarbhaven {
namespace {

// What the workers say to one need, counted.
struct Survey {
  int reachable = 0;
  int in_domain = 0;
  int large_enough = 0;
  int accepting = 0;
  int with_room = 0;
  // Of the instance that lacks least, empty and now.
  std::string largest_instance;
  Amounts largest;
  int64_t least_missing = 0;
};

// Missing amounts on one scale, by which instances are compared: 1 GB counts
// like half a processor, an accelerator like 16.
auto Missing(const Amounts& need, const Amounts& free) -> int64_t {
  const Amounts missing = Larger(need - free, Amounts{});
  return missing.millicores + missing.memory_mb / 2 +
         missing.accelerators * 16000;
}

auto NoteLargest(const WorkerSlot& slot, const Amounts& need, Survey& survey)
    -> void {
  const int64_t missing = Missing(need, slot.usable);
  if (survey.largest_instance.empty() || missing < survey.least_missing) {
    survey.largest_instance = slot.instance;
    survey.largest = slot.usable;
    survey.least_missing = missing;
  }
}

auto Look(const CellState& cell, const JobGroup& job, const Amounts& need)
    -> Survey {
  Survey survey;
  const std::vector<WorkerSlot>& slots = cell.workers().slots();
  for (std::size_t index = 0; index < slots.size(); ++index) {
    const WorkerSlot& slot = slots[index];
    const auto worker = static_cast<WorkerId>(index);
    if (!slot.known || !cell.workers().Takes(worker, job.partner)) {
      continue;
    }
    ++survey.reachable;
    if (job.failure_domain != kNoName &&
        job.failure_domain != slot.failure_domain) {
      continue;
    }
    ++survey.in_domain;
    NoteLargest(slot, need, survey);
    if (!Fits(need, slot.usable)) {
      continue;
    }
    ++survey.large_enough;
    if (!slot.accepting) {
      continue;
    }
    ++survey.accepting;
    if (Fits(need, cell.workers().rows()[worker].free)) {
      ++survey.with_room;
    }
  }
  return survey;
}

auto ExplainNever(const CellState& cell,
                  const JobGroup& job,
                  const Amounts& need,
                  const Survey& survey) -> std::optional<std::string> {
  if (survey.reachable == 0) {
    return "no instance takes tasks of partner " + job.partner_name +
           "; add one or open one to the partner";
  }
  if (survey.in_domain == 0) {
    return "no instance that takes the partner's tasks is in failure domain " +
           cell.names().name(job.failure_domain);
  }
  if (survey.large_enough == 0) {
    return "needs more than any instance has: " +
           DescribeShortage(need, survey.largest) + " (nearest is " +
           survey.largest_instance + "); reduce the need or add an instance";
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
                 const Survey& survey) -> std::string {
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
  if (survey.accepting == 0) {
    return "none of the " + std::to_string(survey.large_enough) +
           " instances that are large enough takes new work now (silent, "
           "draining or set aside)";
  }
  if (survey.with_room == 0) {
    return "all " + std::to_string(survey.accepting) +
           " instances that are large enough are in use";
  }
  return std::to_string(survey.with_room) +
         " instances have room; waits for its turn, for a rack below the "
         "job's max_per_rack, or for an instance whose service bears it";
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
  const Amounts need = cell.jobs().Expected(key->job, waiting->second.need,
                                            cell.workers().largest());
  const Survey survey = Look(cell, job, need);
  const std::optional<std::string> never =
      ExplainNever(cell, job, need, survey);
  if (never.has_value()) {
    return {true, "can never run: " + *never};
  }
  std::string text = "waits: " + ExplainWait(cell, job, *key, need, survey);
  if (now - waiting->second.since >= options.ageing) {
    text += "; has aged by a class";
  }
  return {false, text};
}

}  // namespace rhubarbhaven

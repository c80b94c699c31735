#include "Placement/preemption.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "Placement/place_finder.h"

namespace rhubarbhaven {
namespace {

// Maximum number of workers whose tasks are examined, and of victim sets that
// are compared.
constexpr std::size_t kMaxWorkersTried = 256;
constexpr std::size_t kMaxChoicesCompared = 32;
// A task that was evicted this often is not preempted again. Without the limit,
// a busy cell would evict the same cheap task repeatedly and it would never
// finish. The symptom is an `evictions` count that grows while the job makes no
// progress.
constexpr uint32_t kMaxEvictions = 3;
// Costs of an eviction, in seconds of lost work.
constexpr double kBaseEvictionCost = 60;
constexpr double kCostPerEarlierEviction = 300;
constexpr double kCostlyJobCost = 1e7;

struct Victim {
  TaskKey task;
  Amounts held;
  double cost = 0;
};

struct Choice {
  Preemption preemption;
  double cost = std::numeric_limits<double>::infinity();
};

auto EvictionShare(const schema::PartnerRules& rules) -> double {
  const double all = static_cast<double>(rules.tail_latency_weight()) +
                     rules.batch_throughput_weight() + rules.eviction_weight();
  return all == 0 ? 1.0 / 3 : rules.eviction_weight() / all;
}

auto Matches(const schema::PreemptionRule& rule,
             const CellState& cell,
             const JobGroup& preemptor,
             const JobGroup& victim) -> bool {
  if (rule.preemptor() != preemptor.urgency ||
      rule.victim() != victim.urgency) {
    return false;
  }
  if (rule.victim_team().empty()) {
    return true;
  }
  return victim.team != kNoName &&
         cell.names().name(victim.team) ==
             victim.partner_name + "/" + rule.victim_team();
}

auto HasHigherPrecedence(const JobGroup& preemptor, const JobGroup& victim)
    -> bool {
  const int by_urgency =
      UrgencyRank(preemptor.urgency) - UrgencyRank(victim.urgency);
  return by_urgency > 0 ||
         (by_urgency == 0 && preemptor.priority > victim.priority);
}

// Returns the amounts free on the worker, minus claims, once all tasks that are
// stopping there have stopped.
auto FreeAfterStops(const CellState& cell, WorkerId worker) -> Amounts {
  Amounts free = cell.workers().FreeIgnoringClaims(worker);
  free -= cell.workers().slot(worker).claimed;
  for (const TaskKey task : cell.workers().slot(worker).tasks) {
    const PlacedRecord* placed = cell.FindPlaced(task);
    if (placed->stopping) {
      free += placed->held;
    }
  }
  return free;
}

auto VictimsOn(const CellState& cell,
               const JobGroup& preemptor,
               WorkerId worker) -> std::vector<Victim> {
  const WorkerSlot& slot = cell.workers().slot(worker);
  std::vector<Victim> victims;
  for (const TaskKey task : slot.tasks) {
    const PlacedRecord* placed = cell.FindPlaced(task);
    const JobGroup& job = cell.jobs().job(task.job);
    if (placed->stopping || !placed->confirmed ||
        !MayPreempt(cell, preemptor, job, slot.partner)) {
      continue;
    }
    const double cost = EvictionCost(cell, task, *placed);
    if (std::isfinite(cost)) {
      victims.push_back({task, placed->held, cost});
    }
  }
  std::ranges::sort(victims, {}, &Victim::cost);
  return victims;
}

// Adds victims, cheapest first, until the need fits. Then removes those whose
// eviction is not needed for the fit, most expensive first.
auto ChooseOn(const CellState& cell,
              const JobGroup& preemptor,
              const Amounts& need,
              WorkerId worker) -> std::optional<Choice> {
  Amounts free = FreeAfterStops(cell, worker);
  std::vector<Victim> chosen;
  if (!Fits(need, free)) {
    for (const Victim& victim : VictimsOn(cell, preemptor, worker)) {
      free += victim.held;
      chosen.push_back(victim);
      if (Fits(need, free)) {
        break;
      }
    }
  }
  if (!Fits(need, free)) {
    return std::nullopt;
  }
  Choice choice{{worker, {}}, 0};
  for (auto victim = chosen.rbegin(); victim != chosen.rend(); ++victim) {
    if (Fits(need, free - victim->held)) {
      free -= victim->held;
      continue;
    }
    choice.preemption.victims.push_back(victim->task);
    choice.cost += victim->cost;
  }
  return choice;
}

auto MayRunOn(const CellState& cell,
              const JobGroup& job,
              const Amounts& need,
              WorkerId worker) -> bool {
  const WorkerSlot& slot = cell.workers().slot(worker);
  const bool right_domain = job.failure_domain == kNoName ||
                            job.failure_domain == slot.failure_domain;
  return slot.accepting && right_domain && Fits(need, slot.usable) &&
         RackHasRoom(job, slot.rack) &&
         cell.workers().AcceptsPartner(worker, job.partner);
}

// Returns the peak memory use reported for the task, or the memory that it
// holds if none was reported.
auto UsedMemory(const PlacedRecord& placed) -> int64_t {
  return placed.peak_memory_mb == 0 ? placed.held.memory_mb
                                    : placed.peak_memory_mb;
}

// Returns the sum of the amounts, each as a share of the largest one.
auto SumOfShares(const Amounts& amounts, const Amounts& largest) -> double {
  const auto share = [](int64_t part, int64_t whole) -> double {
    return whole <= 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
  };
  return share(amounts.millicores, largest.millicores) +
         share(amounts.memory_mb, largest.memory_mb) +
         share(amounts.accelerators, largest.accelerators);
}

}  // namespace

auto UrgencyRank(schema::Urgency urgency) -> int {
  switch (urgency) {
    case schema::URGENT:
      return 2;
    case schema::BEST_EFFORT:
      return 0;
    default:
      return 1;
  }
}

auto MayPreempt(const CellState& cell,
                const JobGroup& preemptor,
                const JobGroup& victim,
                uint32_t host) -> bool {
  const bool same_partner = preemptor.partner == victim.partner;
  if (!same_partner && preemptor.partner != host) {
    return false;
  }
  if (!HasHigherPrecedence(preemptor, victim)) {
    return false;
  }
  const schema::PartnerRules& rules = cell.Rules(preemptor.partner);
  return std::ranges::any_of(rules.preemption(),
                             [&](const schema::PreemptionRule& rule) -> bool {
                               return Matches(rule, cell, preemptor, victim);
                             });
}

auto EvictionCost(const CellState& cell,
                  TaskKey task,
                  const PlacedRecord& placed) -> double {
  if (placed.evictions >= kMaxEvictions) {
    return std::numeric_limits<double>::infinity();
  }
  const JobGroup& job = cell.jobs().job(task.job);
  // With equal weights the scale is 1.
  const double scale = 3 * EvictionShare(cell.Rules(job.partner));
  const double lost = kBaseEvictionCost + placed.unsaved_progress_s +
                      kCostPerEarlierEviction * placed.evictions;
  return lost * std::max(scale, 0.1) +
         (job.costly_to_evict ? kCostlyJobCost : 0);
}

auto ChoosePreemption(const CellState& cell,
                      const JobGroup& preemptor,
                      const Amounts& need,
                      std::size_t limit,
                      std::size_t start) -> std::optional<Preemption> {
  std::optional<Choice> best;
  std::size_t tried = 0;
  std::size_t compared = 0;
  const std::size_t count = cell.workers().slots().size();
  for (std::size_t passed = 0; passed < count; ++passed) {
    if (tried == kMaxWorkersTried || compared == kMaxChoicesCompared) {
      break;
    }
    const auto worker = static_cast<WorkerId>((start + passed) % count);
    if (!MayRunOn(cell, preemptor, need, worker)) {
      continue;
    }
    ++tried;
    std::optional<Choice> choice = ChooseOn(cell, preemptor, need, worker);
    if (!choice.has_value() || choice->preemption.victims.size() > limit) {
      continue;
    }
    ++compared;
    if (!best.has_value() || choice->cost < best->cost) {
      best = std::move(choice);
    }
  }
  if (!best.has_value()) {
    return std::nullopt;
  }
  return std::move(best->preemption);
}

auto ChooseReservation(const CellState& cell,
                       const JobGroup& job,
                       const Amounts& need) -> std::optional<WorkerId> {
  std::optional<WorkerId> best;
  double best_missing = std::numeric_limits<double>::infinity();
  const Amounts& largest = cell.workers().largest();
  const std::size_t count = cell.workers().slots().size();
  for (std::size_t index = 0; index < count; ++index) {
    const auto worker = static_cast<WorkerId>(index);
    if (!(cell.workers().slot(worker).claimed == Amounts{}) ||
        !MayRunOn(cell, job, need, worker)) {
      continue;
    }
    const Amounts missing =
        Larger(need - FreeAfterStops(cell, worker), Amounts{});
    const double share = SumOfShares(missing, largest);
    if (share < best_missing) {
      best = worker;
      best_missing = share;
    }
  }
  return best;
}

auto ChooseOvercommitVictim(const CellState& cell, WorkerId worker)
    -> std::optional<TaskKey> {
  const WorkerSlot& slot = cell.workers().slot(worker);
  int64_t over = -slot.usable.memory_mb;
  for (const TaskKey task : slot.tasks) {
    const PlacedRecord* placed = cell.FindPlaced(task);
    if (placed->stopping || !placed->confirmed) {
      return std::nullopt;
    }
    over += UsedMemory(*placed);
  }
  if (over <= 0) {
    return std::nullopt;
  }
  std::optional<TaskKey> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const TaskKey task : slot.tasks) {
    const PlacedRecord* placed = cell.FindPlaced(task);
    // A task that frees too little memory would require another eviction.
    const double shortfall =
        std::max<double>(0, static_cast<double>(over - UsedMemory(*placed)));
    const double cost =
        std::min(EvictionCost(cell, task, *placed), 2 * kCostlyJobCost) +
        shortfall * 4 * kCostlyJobCost;
    if (cost < best_cost) {
      best = task;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace rhubarbhaven

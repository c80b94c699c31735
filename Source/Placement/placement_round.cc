#include "Placement/placement_round.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven {
namespace {

// Maximum number of tasks of one job that are tried without success in a round.
// Several are tried because their needs may differ, as the usage reported for
// earlier attempts does.
constexpr int kMaxTriesPerJob = 4;
// Maximum number of failed needs that are kept within a round.
constexpr std::size_t kMaxFailedNeeds = 32;
// Maximum time for which resources are claimed for a task that preempts others.
constexpr std::chrono::seconds kPreemptionClaimDuration{120};
// Tasks that have waited long may reserve one worker in this many, at least
// one.
constexpr std::size_t kWorkersPerReservation = 8;

}  // namespace

PlacementRound::PlacementRound(CellState* cell,
                               PlaceFinder* finder,
                               const PlacerOptions* options,
                               TimePoint now)
    : cell_(cell), finder_(finder), options_(options), now_(now) {}

auto PlacementRound::Run(std::size_t limit, uint64_t& turn) -> PlacerRound {
  cell_->RemoveStaleClaims(now_);
  EvictFromOvercommitted();
  PendingOrder order(&cell_->jobs(), now_, options_->ageing);
  while (round_.placements.size() < limit) {
    const std::optional<JobId> job = order.Next(turn);
    if (!job.has_value()) {
      break;
    }
    if (PlaceNextTask(*job)) {
      ++turn;
    } else {
      order.RemoveCurrent();
    }
  }
  return std::move(round_);
}

auto PlacementRound::EvictFromOvercommitted() -> void {
  for (const WorkerId worker : cell_->workers().overcommitted()) {
    const std::optional<TaskKey> victim =
        ChooseOvercommitVictim(*cell_, worker);
    if (victim.has_value()) {
      Evict(*victim, "tasks use more memory than the instance " +
                         cell_->workers().slot(worker).instance + " has");
    }
  }
}

auto PlacementRound::PlaceNextTask(JobId id) -> bool {
  if (IsJobKnownToFail(id)) {
    return false;
  }
  std::size_t position = 0;
  int tries = 0;
  while (tries < kMaxTriesPerJob) {
    const std::optional<uint32_t> index =
        cell_->jobs().NextWaiting(id, position);
    if (!index.has_value()) {
      return false;
    }
    const Attempt attempt = TryTask({id, *index});
    if (attempt == Attempt::kPlaced) {
      return true;
    }
    if (attempt == Attempt::kNotPlaced) {
      ++tries;
    }
    ++position;
  }
  return false;
}

auto PlacementRound::TryTask(TaskKey task) -> Attempt {
  const JobGroup& job = cell_->jobs().job(task.job);
  WaitingTask waiting = job.waiting.find(task.index)->second;
  waiting.need = cell_->jobs().ExpectedNeed(task.job, waiting.need,
                                            cell_->workers().largest());
  if (!Fits(waiting.need, cell_->quotas().Room(job.team))) {
    cell_->RemoveClaim(task);
    return Attempt::kNotPlaced;
  }
  const PlaceClaim* claim = cell_->FindClaim(task);
  if (claim != nullptr) {
    return TryClaim(*claim, waiting);
  }
  if (IsNeedKnownToFail(job, waiting.need)) {
    return Attempt::kNotPlaced;
  }
  const PlaceSearchResult search = finder_->Find(task, waiting);
  if (search.worker.has_value()) {
    Commit(task, waiting, *search.worker);
    return Attempt::kPlaced;
  }
  if (search.failure != PlacementFailure::kCapacity) {
    return Attempt::kNotPlaced;
  }
  if (MakeRoom(task, waiting)) {
    return Attempt::kClaimed;
  }
  if (failed_needs_.size() < kMaxFailedNeeds) {
    failed_needs_.push_back({job.partner, job.failure_domain, waiting.need});
  }
  return Attempt::kNotPlaced;
}

auto PlacementRound::TryClaim(PlaceClaim claim, const WaitingTask& waiting)
    -> Attempt {
  const WorkerSlot& slot = cell_->workers().slot(claim.worker);
  // Subtracts other claims on the worker; the task's own claim ends when the
  // task is placed.
  const Amounts free = cell_->workers().FreeIgnoringClaims(claim.worker) -
                       (slot.claimed - claim.need);
  if (!Fits(waiting.need, free) ||
      !RackHasRoom(cell_->jobs().job(claim.task.job), slot.rack)) {
    return Attempt::kClaimed;
  }
  Commit(claim.task, waiting, claim.worker);
  return Attempt::kPlaced;
}

auto PlacementRound::Commit(TaskKey task,
                            const WaitingTask& waiting,
                            WorkerId worker) -> void {
  cell_->RemoveClaim(task);
  PlacedRecord record;
  record.worker = worker;
  record.held = waiting.need;
  cell_->Place(task, record);
  cell_->jobs().RemoveWaiting(task);
  round_.placements.push_back(
      {cell_->jobs().Id(task), cell_->workers().slot(worker).instance});
}

auto PlacementRound::IsNeedKnownToFail(const JobGroup& job,
                                       const Amounts& need) const -> bool {
  return std::ranges::any_of(
      failed_needs_, [&](const FailedNeed& failed) -> bool {
        return failed.partner == job.partner &&
               failed.failure_domain == job.failure_domain &&
               Fits(failed.need, need);
      });
}

auto PlacementRound::IsJobKnownToFail(JobId id) const -> bool {
  const JobGroup& job = cell_->jobs().job(id);
  if (!job.common_need.has_value()) {
    return false;
  }
  const Amounts need = cell_->jobs().ExpectedNeed(id, *job.common_need,
                                                  cell_->workers().largest());
  if (!IsNeedKnownToFail(job, need)) {
    return false;
  }
  return std::ranges::none_of(
      cell_->claims(),
      [id](const PlaceClaim& claim) -> bool { return claim.task.job == id; });
}

auto PlacementRound::MakeRoom(TaskKey task, const WaitingTask& waiting)
    -> bool {
  return Preempt(task, waiting) || Reserve(task, waiting);
}

auto PlacementRound::Preempt(TaskKey task, const WaitingTask& waiting) -> bool {
  const auto max_count =
      static_cast<std::size_t>(options_->max_evictions_per_round);
  const JobGroup& job = cell_->jobs().job(task.job);
  if (cell_->Rules(job.partner).preemption().empty() ||
      preempted_count_ >= max_count) {
    return false;
  }
  const std::optional<Preemption> preemption =
      ChoosePreemption(*cell_, job, waiting.need, max_count - preempted_count_,
                       finder_->start());
  if (!preemption.has_value()) {
    return false;
  }
  const std::string why = "makes room for " + TaskName(cell_->jobs().Id(task));
  for (const TaskKey victim : preemption->victims) {
    Evict(victim, why);
  }
  preempted_count_ += preemption->victims.size();
  cell_->AddClaim({task, preemption->worker, waiting.need,
                   now_ + kPreemptionClaimDuration});
  return true;
}

auto PlacementRound::Reserve(TaskKey task, const WaitingTask& waiting) -> bool {
  const std::size_t workers = cell_->workers().slots().size();
  const std::size_t max_count =
      std::max<std::size_t>(1, workers / kWorkersPerReservation);
  if (now_ - waiting.since < options_->ageing ||
      cell_->claims().size() >= max_count) {
    return false;
  }
  const std::optional<WorkerId> worker =
      ChooseReservation(*cell_, cell_->jobs().job(task.job), waiting.need);
  if (!worker.has_value()) {
    return false;
  }
  cell_->AddClaim({task, *worker, waiting.need, now_ + options_->ageing});
  return true;
}

auto PlacementRound::Evict(TaskKey victim, const std::string& why) -> void {
  cell_->SetStopping(victim);
  round_.evictions.push_back({cell_->jobs().Id(victim), why});
}

}  // namespace rhubarbhaven

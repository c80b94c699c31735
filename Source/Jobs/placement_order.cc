#include "Jobs/placement_order.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace rhubarbhaven::jobs {
namespace {

// Interval of the checks for overload. Runs take several times as long.
constexpr std::chrono::milliseconds kOverloadCheckInterval{100};

// Levels differ by a factor of two. With finer ones, jobs would overtake each
// other with every report of progress, and each would get a part of its tasks
// started.
auto WorkLevel(CoreSeconds work) -> int {
  const auto whole =
      std::chrono::duration_cast<std::chrono::milliseconds>(work).count();
  return static_cast<int>(
      std::bit_width(static_cast<uint64_t>(std::max<int64_t>(0, whole))));
}

auto IsOpportunistic(const JobWork& work) -> bool {
  const auto& steps = work.job().steps();
  return std::any_of(
      steps.begin(), steps.end(),
      [](const JobStep& step) -> bool { return step.uses_spare_processors(); });
}

// Only a queue with a target says when its jobs are late.
auto HasTarget(const JobWork& work) -> bool {
  return work.rules.stretch() > 0 || work.rules.target_latency_ms() > 0;
}

}  // namespace

auto PlacementOrder::WaitingStep::operator<(const WaitingStep& other) const
    -> bool {
  if (place.work != other.place.work) {
    // Ranks of two jobs may be equal.
    return std::tie(rank, place.work->job().id()) <
           std::tie(other.rank, other.place.work->job().id());
  }
  return std::tie(place.occurrence, place.step) <
         std::tie(other.place.occurrence, other.place.step);
}

auto PlacementOrder::Forget(JobWork& work) -> void {
  Remove(work);
  positions_.erase(&work);
}

auto PlacementOrder::Remove(JobWork& work) -> void {
  changed_jobs_.erase(&work);
  const auto found = entries_.find(&work);
  if (found == entries_.end()) {
    return;
  }
  for (const auto& step : found->second.steps) {
    steps_.erase(step);
  }
  worse_at_.erase({found->second.worse_at, &work});
  entries_.erase(found);
}

auto PlacementOrder::Clear() -> void {
  changed_jobs_.clear();
  entries_.clear();
  positions_.clear();
  steps_.clear();
  worse_at_.clear();
}

auto PlacementOrder::Update(std::chrono::milliseconds wall,
                            const OnOutlook& on_outlook) -> void {
  MarkLateChanged(wall);
  for (JobWork* work : std::exchange(changed_jobs_, {})) {
    Rank(*work, wall, on_outlook);
  }
}

auto PlacementOrder::MarkLateChanged(std::chrono::milliseconds wall) -> void {
  // A clock that was set back makes jobs less late.
  if (wall < updated_at_) {
    for (const auto& [work, entry] : entries_) {
      changed_jobs_.insert(work);
    }
  }
  updated_at_ = wall;
  for (const auto& [at, work] : worse_at_) {
    if (at > wall) {
      break;
    }
    changed_jobs_.insert(work);
  }
}

auto PlacementOrder::Rank(JobWork& work,
                          std::chrono::milliseconds wall,
                          const OnOutlook& on_outlook) -> void {
  Remove(work);
  if (!work.open()) {
    positions_.erase(&work);
    return;
  }
  const JobTimes times = TimesOf(work);
  const JobOutlook outlook = times.OutlookAt(wall);
  if (work.outlook != outlook) {
    on_outlook(work, outlook);
  }
  Entry& entry = entries_[&work];
  entry.times = times;
  entry.worse_at = times.NextWorse(wall);
  worse_at_.emplace(entry.worse_at, &work);
  AddSteps(work, RankOf(work, times, PositionOf(work, outlook)), &entry);
}

auto PlacementOrder::PositionOf(JobWork& work, JobOutlook outlook) const
    -> OverloadPosition {
  const auto found = positions_.find(&work);
  if (found == positions_.end() || outlook == JobOutlook::kTooLate) {
    return {ClassOf(outlook), 0};
  }
  return found->second;
}

auto PlacementOrder::IsOverloadCheckDue(std::chrono::milliseconds wall) const
    -> bool {
  const bool clock_set_back = wall < checked_at_;
  return !steps_.empty() &&
         (clock_set_back || wall - checked_at_ >= kOverloadCheckInterval);
}

auto PlacementOrder::CheckOverload(std::chrono::milliseconds wall,
                                   const CellRates& rates,
                                   const OnOutlook& on_outlook)
    -> OverloadState {
  checked_at_ = wall;
  OverloadState state;
  state.rates = rates;
  for (const auto& [opportunistic, by_priority] : FindCompetitors(wall)) {
    const double cores =
        opportunistic ? rates.opportunistic_cores : rates.reserved_cores;
    CoreSeconds work_before{0};
    for (const auto& [priority, competitors] : by_priority) {
      const auto classes =
          ClassifyJobs(competitors.jobs, cores, work_before, wall);
      for (std::size_t i = 0; i < classes.size(); ++i) {
        const auto& job = competitors.jobs[i];
        const bool by_work = classes[i] == OverloadClass::kFinishFirst ||
                             classes[i] == OverloadClass::kLate;
        SetPosition(
            *competitors.works[i],
            {classes[i], by_work ? WorkLevel(job.work_left.waiting) : 0}, wall,
            on_outlook);
        state.in_time += classes[i] == OverloadClass::kInTime ? 1 : 0;
        state.displaced += job.outlook == JobOutlook::kInTime &&
                                   classes[i] != OverloadClass::kInTime
                               ? 1
                               : 0;
      }
      work_before += competitors.work_left;
      state.work_left += competitors.work_left;
    }
  }
  return state;
}

auto PlacementOrder::FindCompetitors(std::chrono::milliseconds wall) const
    -> CompetitorsByKind {
  CompetitorsByKind found;
  for (const auto& [work, entry] : entries_) {
    if (!entry.times.has_due_time() || !HasTarget(*work)) {
      continue;
    }
    const OverloadJob job{WorkLeftOf(*work), entry.times.chain_left(),
                          entry.times.due, entry.times.OutlookAt(wall)};
    auto& competitors = found[IsOpportunistic(*work)][work->rules.priority()];
    competitors.works.push_back(work);
    competitors.jobs.push_back(job);
    if (job.outlook != JobOutlook::kTooLate) {
      competitors.work_left += job.work_left.total();
    }
  }
  return found;
}

auto PlacementOrder::SetPosition(JobWork& work,
                                 const OverloadPosition& position,
                                 std::chrono::milliseconds wall,
                                 const OnOutlook& on_outlook) -> void {
  const auto known = positions_.find(&work);
  if (known != positions_.end() && known->second == position) {
    return;
  }
  const bool by_outlook = position.overload_class == OverloadClass::kInTime ||
                          position.overload_class == OverloadClass::kTooLate;
  if (!by_outlook) {
    positions_[&work] = position;
  } else if (known == positions_.end()) {
    return;
  } else {
    positions_.erase(known);
  }
  Rank(work, wall, on_outlook);
}

auto PlacementOrder::AddSteps(JobWork& work, const JobRank& rank, Entry* entry)
    -> void {
  for (auto& [number, occurrence] : work.occurrences) {
    for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      auto& state = occurrence.steps[step];
      if (state.waiting() > 0 && work.Ready(occurrence, step)) {
        const TaskPlace place{&work, number, step, 0};
        entry->steps.push_back({rank, place, &place.spec(), &state});
        steps_.insert(entry->steps.back());
      }
    }
  }
}

}  // namespace rhubarbhaven::jobs

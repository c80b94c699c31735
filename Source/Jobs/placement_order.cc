#include "Jobs/placement_order.h"

#include <tuple>

namespace rhubarbhaven::jobs {

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
  Forget(work);
  if (!work.open()) {
    return;
  }
  const JobTimes times = TimesOf(work);
  const JobRank rank = RankOf(work, times, wall);
  if (work.outlook != rank.outlook) {
    on_outlook(work, rank.outlook);
  }
  Entry& entry = entries_[&work];
  entry.worse_at = times.NextWorse(wall);
  worse_at_.emplace(entry.worse_at, &work);
  AddSteps(work, rank, &entry);
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

#include <algorithm>

#include "Jobs/job_owner.h"

// A new owner's census: until when tasks of before its claim wait, and for
// whom.
namespace rhubarbhaven::jobs {
namespace {

// Agents that live answer within some 50 ms; what is missing after this is
// away, or gone.
constexpr std::chrono::milliseconds kTellCensusAfter{1000};
constexpr std::chrono::milliseconds kTellCensusAgain{5000};
// Named in one line of the log.
constexpr std::size_t kMostNamed = 12;

// A worker that is gone cannot be listed: to wait for it until leases of the
// earlier owner must be over would keep all tasks down for 20 s. One that is
// only silent may come back, and its agent, leased to by this owner, may then
// renew the runs of before.
auto HoldsCensusUp(const WorkerView& worker) -> bool {
  return !worker.confirmed && !worker.emptied;
}

}  // namespace

auto JobOwner::CensusEnd() const -> TimePoint {
  TimePoint end;
  for (const auto& [name, worker] : unconfirmed_) {
    if (HoldsCensusUp(*worker)) {
      end = std::max(end, worker->lease_bound);
    }
  }
  return end;
}

auto JobOwner::FinishCensus(TimePoint now) -> void {
  if (census_done_ || !active()) {
    return;
  }
  if (hooks_.exclusive_until() < CensusEnd()) {
    NoteCensusWaits(now);
    return;
  }
  census_done_ = true;
  hooks_.log_census(DescribeCensus(now));
  for (auto& [id, work] : jobs_) {
    for (auto& [number, occurrence] : work->occurrences) {
      for (auto& step : occurrence.steps) {
        for (auto& task : step.tasks()) {
          task.uncertain = false;
        }
      }
    }
  }
  place_due_ = true;
}

auto JobOwner::NoteCensusWaits(TimePoint now) -> void {
  if (now >= tell_census_at_) {
    tell_census_at_ = now + kTellCensusAgain;
    hooks_.log_census(DescribeCensus(now));
  }
}

auto JobOwner::DescribeCensus(TimePoint now) const -> CensusState {
  CensusState state;
  state.done = census_done_;
  state.waited = now - begun_at_;
  state.agents = workers_.size();
  state.longest = std::max(Duration(0), CensusEnd() - now);
  for (const auto& [name, worker] : unconfirmed_) {
    if (!HoldsCensusUp(*worker)) {
      continue;
    }
    ++state.missing;
    if (state.missing_names.size() < kMostNamed) {
      state.missing_names.push_back(name);
    }
  }
  return state;
}

auto JobOwner::OnEarlierGrants(TimePoint now, const EarlierGrants& earlier)
    -> void {
  if (!active()) {
    return;
  }
  earlier_ = earlier;
  for (const auto& [name, worker] : unconfirmed_) {
    if (HoldsCensusUp(*worker)) {
      // This owner may have granted to it as well, until it lost its listing.
      const TimePoint own_grants = LeaseBound(now);
      SetLeaseBound(*worker,
                    std::min(worker->lease_bound,
                             std::max(own_grants, EarlierGrantsEnd(name))));
    }
  }
  FinishCensus(now);
}

auto JobOwner::BeginCensus(TimePoint now) -> void {
  census_done_ = false;
  tell_census_at_ = now + kTellCensusAfter;
  FinishCensus(now);
}

}  // namespace rhubarbhaven::jobs

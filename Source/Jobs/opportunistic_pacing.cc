#include "Jobs/opportunistic_pacing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

constexpr uint32_t kFullSpeed = 100;
// Not a percentage: marks an order that has to be given again.
constexpr uint32_t kUnconfirmed = 101;
// A change is ordered only if it exceeds one part in this many of the new
// value.
constexpr uint32_t kMinChangeDivisor = 8;
// Lower limit of the base in the headroom. A run with a smaller base has a
// large headroom in any case.
constexpr Latency kMinBase{1.0};
// Opportunistic tasks that use less than this share of the processors do no
// harm.
constexpr double kMinShare = 0.01;
// Number of samples without a running opportunistic task after which a run
// above its target counts as slow by itself. The first such sample still shows
// the effect of earlier opportunistic tasks.
constexpr int kOverByItselfSamples = 2;

}  // namespace

auto OpportunisticPacing::SetRuns(const std::vector<PacedRun>& runs) -> void {
  std::map<uint64_t, Run> next;
  for (const auto& paced : runs) {
    Run run;
    const auto known = runs_.find(paced.run());
    if (known != runs_.end()) {
      run = known->second;
    } else {
      // A run that is new to this process may have been slowed before.
      run.percent = kUnconfirmed;
    }
    run.paced = paced;
    next[paced.run()] = std::move(run);
  }
  for (const auto& [number, run] : runs_) {
    if (!next.contains(number)) {
      interference_.Forget(number);
    }
  }
  runs_ = std::move(next);
}

auto OpportunisticPacing::SetPressures(
    const std::vector<ImagePressure>& pressures) -> void {
  for (const auto& pressure : pressures) {
    interference_.SetPressure(pressure);
  }
}

auto OpportunisticPacing::OnListing(TimePoint now,
                                    const std::vector<RunningTask>& running,
                                    uint32_t capacity_millicores)
    -> std::vector<PaceChange> {
  std::vector<PaceChange> changes;
  if (now - decided_at_ < options_.interval || capacity_millicores == 0) {
    return changes;
  }
  decided_at_ = now;
  NoteListing(running);
  Observe(now, capacity_millicores);
  TrackOverTarget(now, capacity_millicores);
  const bool stop = MustStopOpportunistic(now);
  auto headroom_by_run = HeadroomByRun();
  for (const uint64_t number : OpportunisticRunsInOrder()) {
    Run& run = runs_.at(number);
    const uint32_t percent =
        stop ? 0 : AllocateSpeed(run, capacity_millicores, &headroom_by_run);
    const uint32_t change =
        std::max(percent, run.percent) - std::min(percent, run.percent);
    const bool at_end = percent == 0 || percent == kFullSpeed;
    // A few percent are a large change for a run that is stopped.
    if (change * kMinChangeDivisor > percent || (change > 0 && at_end)) {
      run.percent = percent;
      changes.push_back({run.paced, percent});
    }
  }
  return changes;
}

auto OpportunisticPacing::OnUnconfirmed(uint64_t run) -> void {
  const auto found = runs_.find(run);
  if (found != runs_.end()) {
    found->second.percent = kUnconfirmed;
  }
}

auto OpportunisticPacing::NoteListing(const std::vector<RunningTask>& running)
    -> void {
  for (auto& [number, run] : runs_) {
    run.listed = false;
  }
  for (const auto& row : running) {
    const auto found = runs_.find(row.run());
    if (found != runs_.end()) {
      found->second.load = row.load();
      found->second.listed = true;
    }
  }
}

auto OpportunisticPacing::Observe(TimePoint now, double capacity) -> void {
  std::vector<ServingSample> serving;
  std::vector<OpportunisticSample> opportunistic_samples;
  for (const auto& [number, run] : runs_) {
    if (!run.listed) {
      continue;
    }
    if (run.paced.target_latency_ms() > 0) {
      serving.push_back(
          {run.paced.image(), number, std::chrono::milliseconds(run.load)});
    } else if (run.paced.uses_spare_processors()) {
      opportunistic_samples.push_back({run.paced.image(), run.load / capacity});
    }
  }
  interference_.Observe(now, serving, opportunistic_samples);
}

auto OpportunisticPacing::PressureOf(const Run& serving,
                                     const Run& opportunistic) const -> double {
  return interference_.Pressure(serving.paced.image(),
                                opportunistic.paced.image());
}

auto OpportunisticPacing::HeadroomByRun() const -> std::map<uint64_t, double> {
  std::map<uint64_t, double> headroom_by_run;
  for (const auto& [number, serving] : runs_) {
    const Latency base = interference_.base(number);
    if (!serving.listed || base <= Latency(0)) {
      continue;
    }
    const Latency target(
        static_cast<double>(serving.paced.target_latency_ms()));
    if (base <= options_.max_base_share * target) {
      const double growth =
          options_.target_share * target / std::max(base, kMinBase);
      headroom_by_run[number] = std::max(0.0, growth - 1.0);
    }
  }
  return headroom_by_run;
}

// Sorts by rank and then by start order, since run numbers increase.
auto OpportunisticPacing::OpportunisticRunsInOrder() const
    -> std::vector<uint64_t> {
  std::vector<uint64_t> order;
  for (const auto& [number, run] : runs_) {
    if (run.listed && run.paced.uses_spare_processors()) {
      order.push_back(number);
    }
  }
  std::stable_sort(order.begin(), order.end(),
                   [this](uint64_t left, uint64_t right) -> bool {
                     return runs_.at(left).paced.rank() <
                            runs_.at(right).paced.rank();
                   });
  return order;
}

auto OpportunisticPacing::TrackOverTarget(TimePoint now, double capacity)
    -> void {
  double opportunistic_share = 0;
  for (const auto& [number, run] : runs_) {
    if (run.listed && run.paced.uses_spare_processors()) {
      opportunistic_share += run.load / capacity;
    }
  }
  for (auto& [number, run] : runs_) {
    const Latency target(static_cast<double>(run.paced.target_latency_ms()));
    if (!run.listed || target <= Latency(0)) {
      continue;
    }
    if (interference_.latency(number) <= target) {
      run.over_since.reset();
      run.over_by_itself = 0;
      continue;
    }
    run.over_since = run.over_since.value_or(now);
    if (opportunistic_share < kMinShare) {
      ++run.over_by_itself;
    } else if (run.over_by_itself < kOverByItselfSamples) {
      run.over_by_itself = 0;
    }
  }
}

auto OpportunisticPacing::MustStopOpportunistic(TimePoint now) const -> bool {
  return std::any_of(runs_.begin(), runs_.end(),
                     [this, now](const auto& item) -> bool {
                       const Run& run = item.second;
                       return run.listed && run.over_since &&
                              run.over_by_itself < kOverByItselfSamples &&
                              now - *run.over_since >= options_.max_over_target;
                     });
}

auto OpportunisticPacing::AllocateSpeed(
    const Run& opportunistic,
    double capacity,
    std::map<uint64_t, double>* headroom_by_run) const -> uint32_t {
  double speed = 1.0;
  const double share = opportunistic.paced.millicores() / capacity;
  for (const auto& [number, headroom] : *headroom_by_run) {
    const double pressure = PressureOf(runs_.at(number), opportunistic);
    if (pressure >= kMinPressure) {
      speed = std::min(speed, headroom / (pressure * share));
    }
  }
  for (auto& [number, headroom] : *headroom_by_run) {
    const double pressure = PressureOf(runs_.at(number), opportunistic);
    headroom = std::max(0.0, headroom - pressure * share * speed);
  }
  return static_cast<uint32_t>(std::lround(speed * kFullSpeed));
}

}  // namespace rhubarbhaven::jobs

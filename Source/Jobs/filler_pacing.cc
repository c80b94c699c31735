#include "Jobs/filler_pacing.h"

#include <algorithm>

namespace rhubarbhaven::jobs {
namespace {

constexpr uint32_t kFullSpeed = 100;
constexpr uint32_t kSpeedUpStep = 15;
// No percent: the order is given again.
constexpr uint32_t kUnsure = 101;

}  // namespace

auto FillerPacing::SetRuns(const std::vector<PacedRun>& runs) -> void {
  std::map<uint64_t, Runs> next;
  for (const auto& run : runs) {
    const auto known = runs_.find(run.run());
    // A run that this process has not seen may have been slowed before.
    const uint32_t percent =
        known == runs_.end() ? kUnsure : known->second.percent;
    next[run.run()] = {run, percent};
  }
  runs_ = std::move(next);
}

auto FillerPacing::OnListing(TimePoint now,
                             const std::vector<RunningTask>& running)
    -> std::vector<PaceChange> {
  double worst = 0;
  bool serves = false;
  for (const auto& row : running) {
    const auto found = runs_.find(row.run());
    if (found != runs_.end() && found->second.run.target_latency_ms() > 0) {
      serves = true;
      const auto target =
          static_cast<double>(found->second.run.target_latency_ms());
      worst = std::max(worst, static_cast<double>(row.load()) / target);
    }
  }
  if (!serves) {
    percent_ = kFullSpeed;
  } else if (now - changed_at_ >= options_.interval) {
    changed_at_ = now;
    Decide(worst);
  }
  std::vector<PaceChange> changes;
  for (const auto& row : running) {
    const auto found = runs_.find(row.run());
    if (found == runs_.end() || !found->second.run.uses_spare_processors() ||
        found->second.percent == percent_) {
      continue;
    }
    found->second.percent = percent_;
    changes.push_back({found->second.run, percent_});
  }
  return changes;
}

auto FillerPacing::OnUnsure(uint64_t run) -> void {
  const auto found = runs_.find(run);
  if (found != runs_.end()) {
    found->second.percent = kUnsure;
  }
}

auto FillerPacing::Decide(double worst) -> void {
  if (worst > options_.hard_above) {
    percent_ /= 3;
  } else if (worst > options_.slow_above) {
    percent_ = percent_ * 2 / 3;
  } else if (worst < options_.speed_up_below) {
    percent_ = std::min(kFullSpeed, percent_ + kSpeedUpStep);
  }
}

}  // namespace rhubarbhaven::jobs

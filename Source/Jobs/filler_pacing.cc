#include "Jobs/filler_pacing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

constexpr uint32_t kFullSpeed = 100;
// No percent: the order is given again.
constexpr uint32_t kUnsure = 101;
// Changes by less than a part of this size are not ordered.
constexpr uint32_t kLeastChange = 8;
// Decisions in a row with a run over its target before all fillers are slowed.
constexpr int kOverToSlowAll = 2;
constexpr double kSlowAll = 0.5;
constexpr double kSpeedUpAll = 0.1;

}  // namespace

auto FillerPacing::SetRuns(const std::vector<PacedRun>& runs) -> void {
  std::map<uint64_t, Run> next;
  for (const auto& paced : runs) {
    Run run;
    const auto known = runs_.find(paced.run());
    if (known != runs_.end()) {
      run = known->second;
    } else {
      // A run that this process has not seen may have been slowed before.
      run.percent = kUnsure;
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

auto FillerPacing::SetPressures(const std::vector<ImagePressure>& pressures)
    -> void {
  for (const auto& pressure : pressures) {
    interference_.SetPressure(pressure);
  }
}

auto FillerPacing::OnListing(TimePoint now,
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
  AdjustCaution();
  auto rooms = Rooms();
  for (const uint64_t number : FillersInOrder()) {
    Run& run = runs_.at(number);
    const uint32_t percent = TakeSpeed(run, capacity_millicores, &rooms);
    const uint32_t change =
        std::max(percent, run.percent) - std::min(percent, run.percent);
    const bool at_end = percent == 0 || percent == kFullSpeed;
    // A few percent are much for a run that stands still.
    if (change * kLeastChange > percent || (change > 0 && at_end)) {
      run.percent = percent;
      changes.push_back({run.paced, percent});
    }
  }
  return changes;
}

auto FillerPacing::OnUnsure(uint64_t run) -> void {
  const auto found = runs_.find(run);
  if (found != runs_.end()) {
    found->second.percent = kUnsure;
  }
}

auto FillerPacing::NoteListing(const std::vector<RunningTask>& running)
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

auto FillerPacing::Observe(TimePoint now, double capacity) -> void {
  std::vector<ServingSample> serving;
  std::vector<FillerSample> fillers;
  for (const auto& [number, run] : runs_) {
    if (!run.listed) {
      continue;
    }
    if (run.paced.target_latency_ms() > 0) {
      serving.push_back(
          {run.paced.image(), number, std::chrono::milliseconds(run.load)});
    } else if (run.paced.uses_spare_processors()) {
      fillers.push_back({run.paced.image(), run.load / capacity});
    }
  }
  interference_.Observe(now, serving, fillers);
}

auto FillerPacing::PressureOf(const Run& serving, const Run& filler) const
    -> double {
  return interference_.Pressure(serving.paced.image(), filler.paced.image());
}

auto FillerPacing::Rooms() const -> std::map<uint64_t, double> {
  std::map<uint64_t, double> rooms;
  for (const auto& [number, serving] : runs_) {
    const double base_ms = interference_.base_ms(number);
    if (!serving.listed || base_ms <= 0) {
      continue;
    }
    const auto target = static_cast<double>(serving.paced.target_latency_ms());
    if (base_ms <= options_.lost * target) {
      rooms[number] =
          std::max(0.0, options_.aim * target / std::max(1.0, base_ms) - 1.0);
    }
  }
  return rooms;
}

// The rank decides, then the order in which the runs were started: run numbers
// rise.
auto FillerPacing::FillersInOrder() const -> std::vector<uint64_t> {
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

auto FillerPacing::AdjustCaution() -> void {
  bool over = false;
  for (const auto& [number, run] : runs_) {
    over = over || (run.listed && run.paced.target_latency_ms() > 0 &&
                    run.load > run.paced.target_latency_ms());
  }
  over_in_row_ = over ? over_in_row_ + 1 : 0;
  if (over_in_row_ >= kOverToSlowAll) {
    caution_ *= kSlowAll;
  } else if (!over) {
    caution_ = std::min(1.0, caution_ + kSpeedUpAll);
  }
}

auto FillerPacing::TakeSpeed(const Run& filler,
                             double capacity,
                             std::map<uint64_t, double>* rooms) const
    -> uint32_t {
  double speed = caution_;
  const double share = filler.paced.millicores() / capacity;
  for (const auto& [number, room] : *rooms) {
    const double pressure = PressureOf(runs_.at(number), filler);
    if (pressure >= options_.least_pressure) {
      speed = std::min(speed, room / (pressure * share));
    }
  }
  for (auto& [number, room] : *rooms) {
    const double pressure = PressureOf(runs_.at(number), filler);
    room = std::max(0.0, room - pressure * share * speed);
  }
  return static_cast<uint32_t>(std::lround(speed * kFullSpeed));
}

}  // namespace rhubarbhaven::jobs

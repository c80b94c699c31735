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
// The room of a run with a smaller base is large in any case.
constexpr Latency kLeastBase{1.0};
// Fillers that take less than this share of the processors do no harm.
constexpr double kLeastShare = 0.01;
// Looks without working fillers until a run that is over its target is taken to
// be so by itself. After one, what fillers did before still shows.
constexpr int kOverAlone = 2;

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
  NoteOver(now, capacity_millicores);
  const bool stop = MustStopFillers(now);
  auto rooms = Rooms();
  for (const uint64_t number : FillersInOrder()) {
    Run& run = runs_.at(number);
    const uint32_t percent =
        stop ? 0 : TakeSpeed(run, capacity_millicores, &rooms);
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
    const Latency base = interference_.base(number);
    if (!serving.listed || base <= Latency(0)) {
      continue;
    }
    const Latency target(
        static_cast<double>(serving.paced.target_latency_ms()));
    if (base <= options_.lost * target) {
      const double growth = options_.aim * target / std::max(base, kLeastBase);
      rooms[number] = std::max(0.0, growth - 1.0);
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

auto FillerPacing::NoteOver(TimePoint now, double capacity) -> void {
  double filled = 0;
  for (const auto& [number, run] : runs_) {
    if (run.listed && run.paced.uses_spare_processors()) {
      filled += run.load / capacity;
    }
  }
  for (auto& [number, run] : runs_) {
    const Latency target(static_cast<double>(run.paced.target_latency_ms()));
    if (!run.listed || target <= Latency(0)) {
      continue;
    }
    if (interference_.latency(number) <= target) {
      run.over_since.reset();
      run.over_alone = 0;
      continue;
    }
    run.over_since = run.over_since.value_or(now);
    if (filled < kLeastShare) {
      ++run.over_alone;
    } else if (run.over_alone < kOverAlone) {
      run.over_alone = 0;
    }
  }
}

auto FillerPacing::MustStopFillers(TimePoint now) const -> bool {
  return std::any_of(
      runs_.begin(), runs_.end(), [this, now](const auto& item) -> bool {
        const Run& run = item.second;
        return run.listed && run.over_since && run.over_alone < kOverAlone &&
               now - *run.over_since >= options_.longest_over;
      });
}

auto FillerPacing::TakeSpeed(const Run& filler,
                             double capacity,
                             std::map<uint64_t, double>* rooms) const
    -> uint32_t {
  double speed = 1.0;
  const double share = filler.paced.millicores() / capacity;
  for (const auto& [number, room] : *rooms) {
    const double pressure = PressureOf(runs_.at(number), filler);
    if (pressure >= kLeastPressure) {
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

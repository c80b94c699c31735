#include "Jobs/filler_speed.h"

#include <algorithm>
#include <map>
#include <string>

#include "Jobs/filler_pacing.h"

namespace rhubarbhaven::jobs {
namespace {

// Fillers are not given more processors than are taken to be unused: beyond
// that each only slows the others.
constexpr double kLeastUnusedShare = 0.9;
// Share of what other runs hold that they are taken to use. Tasks that serve
// are sized for their peaks and use about half.
constexpr double kUsedOfHeld = 0.5;
// What the fillers ask for that are slowed no sooner than the task's own run.
struct Competition {
  std::map<std::string, double> share_by_image;
  double millicores = 0;
};

auto CompetitionOf(const WorkerView& worker) -> Competition {
  Competition competition;
  const auto capacity = static_cast<double>(worker.capacity.millicores);
  for (const auto& [number, other] : worker.runs) {
    const auto& step = other.spec();
    if (!step.uses_spare_processors()) {
      continue;
    }
    const auto millicores = static_cast<double>(step.need().millicores());
    competition.millicores += millicores;
    competition.share_by_image[step.image()] += millicores / capacity;
  }
  return competition;
}

auto UnusedShare(const WorkerView& worker,
                 const Competition& competition,
                 const JobStep& step) -> double {
  const double unused =
      static_cast<double>(worker.capacity.millicores) -
      kUsedOfHeld * static_cast<double>(worker.held.millicores);
  const double wanted = competition.millicores + step.need().millicores();
  const double share = std::clamp(unused / std::max(1.0, wanted), 0.0, 1.0);
  return share < kLeastUnusedShare ? 0.0 : share;
}

// What the competing fillers press the serving image with at full speed.
auto PressureAtFullSpeed(const Competition& competition,
                         const std::string& serving_image,
                         const ImageInterference& interference) -> double {
  double pressure = 0;
  for (const auto& [image, share] : competition.share_by_image) {
    pressure += interference.Pressure(serving_image, image) * share;
  }
  return pressure;
}

}  // namespace

auto FillerSpeed(WorkerView& worker,
                 const TaskPlace& place,
                 const ImageInterference& interference) -> double {
  const auto& step = place.spec();
  auto& cached = worker.filler_speeds[{step.image(), place.work->outlook}];
  if (cached.version == worker.load_version) {
    return cached.speed;
  }
  const Competition competition = CompetitionOf(worker);
  double speed = UnusedShare(worker, competition, step);
  const auto capacity = static_cast<double>(worker.capacity.millicores);
  for (const auto& [run, serving] : worker.serving) {
    const double pressure = interference.Pressure(serving.image, step.image());
    if (pressure < kLeastPressure) {
      continue;
    }
    const Latency base = interference.base(run);
    const double room =
        base <= Latency(0)
            ? 1.0
            : kFillerAim * Latency(serving.target_ms) / base - 1.0;
    const double at_full_speed =
        PressureAtFullSpeed(competition, serving.image, interference) +
        pressure * step.need().millicores() / capacity;
    speed = std::min(speed, std::max(0.0, room) / at_full_speed);
  }
  cached = {worker.load_version, speed};
  return speed;
}

}  // namespace rhubarbhaven::jobs

#include "Jobs/filler_speed.h"

#include <algorithm>
#include <string_view>

#include "Jobs/filler_pacing.h"

namespace rhubarbhaven::jobs {
namespace {

// Fillers are not given more processors than are taken to be unused: beyond
// that each only slows the others.
constexpr double kLeastUnusedShare = 0.9;
// Share of what other runs hold that they are taken to use. Tasks that serve
// are sized for their peaks and use about half.
constexpr double kUsedOfHeld = 0.5;
auto DemandOf(const WorkerView& worker) -> FillerDemand {
  FillerDemand demand;
  const auto capacity = static_cast<double>(worker.capacity.millicores);
  for (const auto& [number, other] : worker.runs) {
    const auto& step = other.spec();
    if (!step.uses_spare_processors()) {
      continue;
    }
    const auto millicores = static_cast<double>(step.need().millicores());
    demand.millicores += millicores;
    demand.share_by_image[step.image()] += millicores / capacity;
  }
  return demand;
}

auto UnusedShare(const WorkerView& worker,
                 const FillerDemand& demand,
                 const JobStep& step) -> double {
  const double unused =
      static_cast<double>(worker.capacity.millicores) -
      kUsedOfHeld * static_cast<double>(worker.held.millicores);
  const double wanted = demand.millicores + step.need().millicores();
  const double share = std::clamp(unused / std::max(1.0, wanted), 0.0, 1.0);
  return share < kLeastUnusedShare ? 0.0 : share;
}

// What the competing fillers press the serving image with at full speed.
auto PressureAtFullSpeed(const FillerDemand& demand,
                         std::string_view serving_image,
                         const ImageInterference& interference) -> double {
  double pressure = 0;
  for (const auto& [image, share] : demand.share_by_image) {
    pressure += interference.Pressure(serving_image, image) * share;
  }
  return pressure;
}

// Of one more run like the step's, beside the demand.
auto SpeedBeside(const FillerDemand& demand,
                 const WorkerView& worker,
                 const JobStep& step,
                 const ImageInterference& interference) -> double {
  double speed = UnusedShare(worker, demand, step);
  const auto capacity = static_cast<double>(worker.capacity.millicores);
  for (const auto& [run, serving] : worker.serving) {
    if (speed <= 0.0) {
      return speed;
    }
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
        PressureAtFullSpeed(demand, serving.image, interference) +
        pressure * step.need().millicores() / capacity;
    speed = std::min(speed, std::max(0.0, room) / at_full_speed);
  }
  return speed;
}

}  // namespace

auto FillerSpeed(WorkerView& worker,
                 const TaskPlace& place,
                 const ImageInterference& interference) -> double {
  auto& known = worker.filler_speeds;
  if (known.load_version != worker.load_version) {
    known = {worker.load_version, DemandOf(worker), {}};
  }
  const auto& step = place.spec();
  const auto [speed, is_new] = known.speeds.try_emplace(
      std::pair(step.image(), step.need().millicores()));
  if (is_new) {
    speed->second = SpeedBeside(known.demand, worker, step, interference);
  }
  return speed->second;
}

}  // namespace rhubarbhaven::jobs

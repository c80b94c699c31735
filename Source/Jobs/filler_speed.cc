#include "Jobs/filler_speed.h"

#include <algorithm>

namespace rhubarbhaven::jobs {
namespace {

// Fillers are not given more processors than are taken to be unused: beyond
// that each only slows the others.
constexpr double kLeastUnusedShare = 0.9;
// Share of what other runs hold that they are taken to use. Tasks that serve
// are sized for their peaks and use about half.
constexpr double kUsedOfHeld = 0.5;
// As the agents pace, see FillerPacingOptions.
constexpr double kAim = 0.92;
constexpr double kLost = 1.1;
constexpr double kLeastPressure = 0.5;

auto UnusedShare(const WorkerView& worker, const JobStep& step) -> double {
  const double unused =
      static_cast<double>(worker.capacity.millicores) -
      kUsedOfHeld * static_cast<double>(worker.held.millicores);
  const auto wanted = static_cast<double>(worker.spare_millicores_used +
                                          step.need().millicores());
  const double share = std::clamp(unused / std::max(1.0, wanted), 0.0, 1.0);
  return share < kLeastUnusedShare ? 0.0 : share;
}

// What fillers on the worker press the serving image with at full speed.
auto PressureAtFullSpeed(const WorkerView& worker,
                         const std::string& serving_image,
                         const ImageInterference& interference) -> double {
  double pressure = 0;
  for (const auto& [image, millicores] : worker.filler_millicores) {
    pressure += interference.Pressure(serving_image, image) *
                static_cast<double>(millicores) /
                static_cast<double>(worker.capacity.millicores);
  }
  return pressure;
}

}  // namespace

auto FillerSpeed(WorkerView& worker,
                 const JobStep& step,
                 const ImageInterference& interference) -> double {
  auto& cached = worker.filler_speeds[step.image()];
  if (cached.version == worker.load_version) {
    return cached.speed;
  }
  double speed = UnusedShare(worker, step);
  const auto capacity = static_cast<double>(worker.capacity.millicores);
  for (const auto& [run, serving] : worker.serving) {
    const double pressure = interference.Pressure(serving.image, step.image());
    if (pressure < kLeastPressure) {
      continue;
    }
    const double base = interference.base_ms(run);
    const double room = base <= 0 ? 1.0 : kAim * serving.target_ms / base - 1.0;
    const double at_full_speed =
        PressureAtFullSpeed(worker, serving.image, interference) +
        pressure * step.need().millicores() / capacity;
    speed = std::min(speed, std::max(0.0, room) / at_full_speed);
  }
  cached = {worker.load_version, speed};
  return speed;
}

}  // namespace rhubarbhaven::jobs

#include "Jobs/opportunistic_speed.h"

#include <algorithm>
#include <string_view>

#include "Jobs/opportunistic_pacing.h"

namespace rhubarbhaven::jobs {
namespace {

// Opportunistic tasks get no more processors than are estimated to be unused.
// Beyond that, each one only slows the others.
constexpr double kMinUnusedShare = 0.9;
// The estimated use of the processors that other runs hold. Serving tasks are
// sized for their peaks and use about half.
constexpr double kUsedShareOfHeld = 0.5;

auto AddDemand(const JobStep& step,
               const WorkerView& worker,
               OpportunisticDemand* demand) -> void {
  if (step.uses_spare_processors()) {
    const auto millicores = static_cast<double>(step.need().millicores());
    demand->millicores += millicores;
    demand->share_by_image[step.image()] +=
        millicores / static_cast<double>(worker.capacity.millicores);
  }
}

// Places that are held count like runs: two tasks that are moved at once would
// otherwise go to the same place and slow each other there.
auto DemandOf(const WorkerView& worker) -> OpportunisticDemand {
  OpportunisticDemand demand;
  for (const auto& [number, other] : worker.runs) {
    AddDemand(other.spec(), worker, &demand);
  }
  for (const auto& [number, step] : worker.held_places) {
    AddDemand(*step, worker, &demand);
  }
  return demand;
}

auto UnusedShare(const WorkerView& worker,
                 const OpportunisticDemand& demand,
                 const JobStep& step) -> double {
  const double unused =
      static_cast<double>(worker.capacity.millicores) -
      kUsedShareOfHeld * static_cast<double>(worker.held.millicores);
  const double wanted = demand.millicores + step.need().millicores();
  const double share = std::clamp(unused / std::max(1.0, wanted), 0.0, 1.0);
  return share < kMinUnusedShare ? 0.0 : share;
}

// The sum of the pressures of the competing opportunistic tasks on the serving
// image at full speed.
auto PressureAtFullSpeed(const OpportunisticDemand& demand,
                         std::string_view serving_image,
                         const ImageInterference& interference) -> double {
  double pressure = 0;
  for (const auto& [image, share] : demand.share_by_image) {
    pressure += interference.Pressure(serving_image, image) * share;
  }
  return pressure;
}

// Returns the speed of one more run like the step's, beside the demand.
auto SpeedBeside(const OpportunisticDemand& demand,
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
    if (pressure < kMinPressure) {
      continue;
    }
    const Latency base = interference.base(run);
    const double headroom =
        base <= Latency(0)
            ? 1.0
            : kTargetLatencyShare * Latency(serving.target_ms) / base - 1.0;
    const double at_full_speed =
        PressureAtFullSpeed(demand, serving.image, interference) +
        pressure * step.need().millicores() / capacity;
    speed = std::min(speed, std::max(0.0, headroom) / at_full_speed);
  }
  return speed;
}

}  // namespace

auto OpportunisticSpeed(WorkerView& worker,
                        const TaskPlace& place,
                        const ImageInterference& interference) -> double {
  auto& known = worker.opportunistic_speeds;
  if (known.load_version != worker.load_version) {
    known = {worker.load_version, DemandOf(worker), {}};
  }
  const auto& step = place.spec();
  const ImageDemandView key{step.image(), step.need().millicores()};
  const auto found = known.speeds.find(key);
  if (found != known.speeds.end()) {
    return found->second;
  }
  const double speed = SpeedBeside(known.demand, worker, step, interference);
  known.speeds.emplace(ImageDemand{step.image(), key.millicores}, speed);
  return speed;
}

}  // namespace rhubarbhaven::jobs

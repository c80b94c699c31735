#include "Jobs/image_interference.h"

#include <algorithm>
#include <cmath>

namespace rhubarbhaven::jobs {
namespace {

// Pressures of half of the images were seen at 0 to 3, those of the rest at 5
// to 15, by a fit over a day's samples.
constexpr double kUnknownPressure = 3.0;
constexpr double kLargestPressure = 40.0;
// Step sizes of the fit. A base follows a serving run's load, which swings
// within 20 s, at two samples a second; more slowly while fillers run, whose
// effect it would otherwise take over.
constexpr double kBaseStepAlone = 0.3;
constexpr double kBaseStepBeside = 0.1;
constexpr double kPressureStep = 0.3;
// Below this share of the processors fillers tell nothing.
constexpr double kLeastShare = 0.01;
constexpr double kShareNoise = 0.02;
constexpr double kLargestError = 2.0;

}  // namespace

auto ImageInterference::Observe(const std::vector<ServingSample>& serving,
                                const std::vector<FillerSample>& fillers)
    -> void {
  for (const auto& sample : serving) {
    if (sample.latency.count() > 0) {
      Learn(sample, fillers);
    }
  }
}

auto ImageInterference::Pressure(const std::string& serving_image,
                                 const std::string& filler_image) const
    -> double {
  const auto row = pressures_.find(serving_image);
  if (row == pressures_.end()) {
    return kUnknownPressure;
  }
  const auto found = row->second.find(filler_image);
  return found == row->second.end() ? kUnknownPressure : found->second;
}

auto ImageInterference::Learned() const -> LearnedPressures {
  LearnedPressures learned;
  for (const auto& [serving, row] : pressures_) {
    for (const auto& [filler, value] : row) {
      auto* pressure = learned.add_pressures();
      pressure->set_serving_image(serving);
      pressure->set_filler_image(filler);
      pressure->set_pressure(value);
    }
  }
  return learned;
}

auto ImageInterference::Load(const LearnedPressures& learned) -> void {
  pressures_.clear();
  bases_ms_.clear();
  for (const auto& pressure : learned.pressures()) {
    pressures_[pressure.serving_image()][pressure.filler_image()] =
        std::clamp(pressure.pressure(), 0.0, kLargestPressure);
  }
}

auto ImageInterference::base_ms(uint64_t run) const -> double {
  const auto found = bases_ms_.find(run);
  return found == bases_ms_.end() ? 0 : found->second;
}

auto ImageInterference::Forget(uint64_t run) -> void {
  bases_ms_.erase(run);
}

auto ImageInterference::Learn(const ServingSample& sample,
                              const std::vector<FillerSample>& fillers)
    -> void {
  const auto latency_ms = static_cast<double>(sample.latency.count());
  double slowdown = 1.0;
  double total_share = 0;
  double squares = 0;
  for (const auto& filler : fillers) {
    slowdown += Pressure(sample.image, filler.image) * filler.share;
    total_share += filler.share;
    squares += filler.share * filler.share;
  }
  auto [base, is_new] =
      bases_ms_.try_emplace(sample.run, latency_ms / slowdown);
  const double error =
      std::clamp(std::log(latency_ms / (base->second * slowdown)),
                 -kLargestError, kLargestError);
  const bool alone = total_share < kLeastShare;
  base->second *= std::exp((alone ? kBaseStepAlone : kBaseStepBeside) * error);
  if (alone) {
    return;
  }
  for (const auto& filler : fillers) {
    auto [pressure, first] =
        pressures_[sample.image].try_emplace(filler.image, kUnknownPressure);
    const double step = kPressureStep * error * slowdown * filler.share /
                        (squares + kShareNoise);
    pressure->second =
        std::clamp(pressure->second + step, 0.0, kLargestPressure);
  }
}

}  // namespace rhubarbhaven::jobs

#include "Jobs/image_interference.h"

#include <algorithm>
#include <cmath>

namespace rhubarbhaven::jobs {
namespace {

// Pressures of half of the images were seen at 0 to 3, those of the rest at 5
// to 15, by a fit over a day's samples.
constexpr double kUnknownPressure = 3.0;
constexpr double kUnknownVariance = 30.0;
constexpr double kLargestPressure = 60.0;
// Of a pressure that another owner has learned.
constexpr double kToldVariance = 4.0;
// Growth of the variances a second: a base follows its run's load, which
// swings by half within some 20 s; pressures change, too, but less. Both from
// the fit with the smallest error over a day's samples.
constexpr double kBaseDrift = 0.1;
constexpr double kPressureDrift = 0.2;
constexpr double kNewBaseVariance = 0.3;
// Of a look, as the square of a share of the latency: the figure is rough.
constexpr double kLookVariance = 0.01;
// What a worker tells follows the latency with this time constant: after all
// fillers of a worker had been stopped, it fell by 0.45 in 0.6 s. Looks that
// follow each other more closely tell less that is new.
constexpr std::chrono::duration<double> kSmoothing{0.5};
// Sooner than this after the one before, a look tells nothing.
constexpr std::chrono::milliseconds kShortestGap{100};
// A look that repeats the figure of the one before is the same one, told again,
// up to this age.
constexpr std::chrono::milliseconds kToldAgain{350};
// Noise is not taken for a fall of the latency below this part of the figure.
constexpr double kLeastOfTold = 0.25;
// A base is not taken to drift longer than this between two looks.
constexpr std::chrono::duration<double> kLongestDrift{3.0};
// A worker that stood still tells absurd latencies; they count no more than
// this (as a logarithm).
constexpr double kLargestError = 2.0;

auto ByImage(const std::vector<FillerSample>& fillers)
    -> std::vector<FillerSample> {
  std::map<std::string_view, double> shares;
  for (const auto& filler : fillers) {
    shares[filler.image] += filler.share;
  }
  std::vector<FillerSample> sums;
  sums.reserve(shares.size());
  for (const auto& [image, share] : shares) {
    sums.push_back({image, share});
  }
  return sums;
}

}  // namespace

auto ImageInterference::Observe(TimePoint now,
                                const std::vector<ServingSample>& serving,
                                const std::vector<FillerSample>& fillers)
    -> void {
  const auto by_image = ByImage(fillers);
  for (const auto& sample : serving) {
    if (sample.latency.count() > 0) {
      Learn(now, sample, by_image);
    }
  }
}

auto ImageInterference::Pressure(std::string_view serving_image,
                                 std::string_view filler_image) const
    -> double {
  const auto row = pressures_.find(serving_image);
  if (row == pressures_.end()) {
    return kUnknownPressure;
  }
  const auto found = row->second.find(filler_image);
  return found == row->second.end() ? kUnknownPressure : found->second.value;
}

auto ImageInterference::Learned() const -> LearnedPressures {
  LearnedPressures learned;
  for (const auto& [serving, row] : pressures_) {
    for (const auto& [filler, estimate] : row) {
      auto* pressure = learned.add_pressures();
      pressure->set_serving_image(serving);
      pressure->set_filler_image(filler);
      pressure->set_pressure(estimate.value);
    }
  }
  return learned;
}

auto ImageInterference::Load(const LearnedPressures& learned) -> void {
  pressures_.clear();
  serving_.clear();
  for (const auto& pressure : learned.pressures()) {
    SetPressure(pressure);
  }
}

auto ImageInterference::SetPressure(const ImagePressure& pressure) -> void {
  pressures_[pressure.serving_image()][pressure.filler_image()] = {
      std::clamp(pressure.pressure(), 0.0, kLargestPressure), kToldVariance};
}

auto ImageInterference::base(uint64_t run) const -> Latency {
  const auto found = serving_.find(run);
  return found == serving_.end()
             ? Latency(0)
             : Latency(std::exp(found->second.log_base.value));
}

auto ImageInterference::latency(uint64_t run) const -> Latency {
  const auto found = serving_.find(run);
  return found == serving_.end() ? Latency(0) : found->second.latency;
}

auto ImageInterference::Forget(uint64_t run) -> void {
  serving_.erase(run);
}

auto ImageInterference::Slowdown(std::string_view serving_image,
                                 const std::vector<FillerSample>& fillers) const
    -> double {
  double slowdown = 1.0;
  for (const auto& filler : fillers) {
    slowdown += Pressure(serving_image, filler.image) * filler.share;
  }
  return slowdown;
}

auto ImageInterference::Learn(TimePoint now,
                              const ServingSample& sample,
                              const std::vector<FillerSample>& fillers)
    -> void {
  const Latency told = sample.latency;
  const auto [found, is_new] = serving_.try_emplace(sample.run);
  Serving& run = found->second;
  if (is_new) {
    const double slowdown = Slowdown(sample.image, fillers);
    run = {
        {std::log(told.count() / slowdown), kNewBaseVariance}, told, told, now};
    return;
  }
  if (const auto since = TakeLook(now, told, &run)) {
    Correct(*since, sample.image, fillers, &run);
  }
}

auto ImageInterference::TakeLook(TimePoint now, Latency told, Serving* run)
    -> std::optional<Seconds> {
  const Seconds since = now - run->seen;
  const bool repeated = told == run->told && since < kToldAgain;
  if (repeated || since < kShortestGap) {
    return std::nullopt;
  }
  const double kept = std::exp(-(since / kSmoothing));
  run->latency =
      std::max((told - kept * run->told) / (1.0 - kept), kLeastOfTold * told);
  run->told = told;
  run->seen = now;
  return std::min(since, kLongestDrift);
}

auto ImageInterference::Correct(Seconds since,
                                std::string_view image,
                                const std::vector<FillerSample>& fillers,
                                Serving* run) -> void {
  const double slowdown = Slowdown(image, fillers);
  const double news = std::min(since / kSmoothing, 1.0);
  run->log_base.variance += kBaseDrift * since.count();
  double variance = run->log_base.variance + kLookVariance / news;
  auto& row = pressures_.try_emplace(std::string(image)).first->second;
  for (const auto& filler : fillers) {
    auto& pressure =
        row.try_emplace(std::string(filler.image),
                        Estimate{kUnknownPressure, kUnknownVariance})
            .first->second;
    pressure.variance = std::min(
        kUnknownVariance, pressure.variance + kPressureDrift * since.count());
    const double slope = filler.share / slowdown;
    variance += pressure.variance * slope * slope;
  }
  const double error = std::clamp(
      std::log(run->latency.count() / slowdown) - run->log_base.value,
      -kLargestError, kLargestError);
  const auto correct = [error, variance](Estimate* estimate, double slope) {
    const double gain = estimate->variance * slope / variance;
    estimate->value += gain * error;
    estimate->variance *= 1.0 - gain * slope;
  };
  correct(&run->log_base, 1.0);
  for (const auto& filler : fillers) {
    auto& pressure = row.find(filler.image)->second;
    correct(&pressure, filler.share / slowdown);
    pressure.value = std::clamp(pressure.value, 0.0, kLargestPressure);
  }
}

}  // namespace rhubarbhaven::jobs

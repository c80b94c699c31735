#include "Jobs/image_interference.h"

#include <absl/strings/string_view.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace rhubarbhaven::jobs {
namespace {

// A fit over a day's samples gave pressures of 0 to 3 for half of the images
// and of 5 to 15 for the rest.
constexpr double kUnknownPressure = 3.0;
constexpr double kUnknownVariance = 30.0;
constexpr double kMaxPressure = 60.0;
// Variance of a pressure that another owner has learned.
constexpr double kReportedVariance = 4.0;
// Growth of the variances per second. A base follows its run's load, which
// varies by half within about 20 s. Pressures change less. Both values are from
// the fit with the smallest error over a day's samples.
constexpr double kBaseDrift = 0.1;
constexpr double kPressureDrift = 0.2;
constexpr double kNewBaseVariance = 0.3;
// Variance of a sample, as the square of a share of the latency: the value is
// imprecise.
constexpr double kSampleVariance = 0.01;
// The reported latency follows the real one with this time constant: after all
// opportunistic runs of a worker had been stopped, it fell by 0.45 in 0.6 s.
// Samples in quicker succession contain less new information.
constexpr std::chrono::duration<double> kSmoothing{0.5};
// A sample that follows the previous one sooner than this contains no
// information.
constexpr std::chrono::milliseconds kMinGap{100};
// A sample with the same value as the previous one is the same report again, up
// to this age.
constexpr std::chrono::milliseconds kRepeatWindow{350};
// Lower bound of the latency, as a share of the reported one, so that noise
// does not appear as a large drop.
constexpr double kMinLatencyShare = 0.25;
// Maximum drift time of a base between two samples.
constexpr std::chrono::duration<double> kMaxDrift{3.0};
// A worker that was suspended reports extreme latencies. Their errors are
// limited to this value (as a logarithm).
constexpr double kMaxError = 2.0;

auto ByImage(const std::vector<OpportunisticSample>& opportunistic)
    -> std::vector<OpportunisticSample> {
  std::map<std::string_view, double> shares;
  for (const auto& task : opportunistic) {
    shares[task.image] += task.share;
  }
  std::vector<OpportunisticSample> sums;
  sums.reserve(shares.size());
  for (const auto& [image, share] : shares) {
    sums.push_back({image, share});
  }
  return sums;
}

auto KeyOf(std::string_view image) -> absl::string_view {
  return {image.data(), image.size()};
}

}  // namespace

auto ImageInterference::Observe(
    TimePoint now,
    const std::vector<ServingSample>& serving,
    const std::vector<OpportunisticSample>& opportunistic) -> void {
  const auto by_image = ByImage(opportunistic);
  for (const auto& sample : serving) {
    if (sample.latency.count() > 0) {
      Learn(now, sample, by_image);
    }
  }
}

auto ImageInterference::Pressure(std::string_view serving_image,
                                 std::string_view filler_image) const
    -> double {
  const auto row = pressures_.find(KeyOf(serving_image));
  if (row == pressures_.end()) {
    return kUnknownPressure;
  }
  const auto found = row->second.find(KeyOf(filler_image));
  return found == row->second.end() ? kUnknownPressure : found->second.value;
}

auto ImageInterference::Learned(std::size_t max_bytes) const
    -> LearnedPressures {
  LearnedPressures learned;
  for (const auto& [serving, row] : pressures_) {
    for (const auto& [task, estimate] : row) {
      auto* pressure = learned.add_pressures();
      pressure->set_serving_image(serving);
      pressure->set_filler_image(task);
      pressure->set_pressure(estimate.value);
    }
  }
  // The record does not depend on the order of a hash table.
  std::sort(learned.mutable_pressures()->begin(),
            learned.mutable_pressures()->end(),
            [](const ImagePressure& left, const ImagePressure& right) -> bool {
              return std::tie(left.serving_image(), left.filler_image()) <
                     std::tie(right.serving_image(), right.filler_image());
            });
  while (learned.ByteSizeLong() > max_bytes) {
    // Removes half of them, so that the size is computed a few times only.
    const int kept = learned.pressures_size() / 2;
    learned.mutable_pressures()->DeleteSubrange(
        kept, learned.pressures_size() - kept);
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
      std::clamp(pressure.pressure(), 0.0, kMaxPressure), kReportedVariance};
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

auto ImageInterference::Slowdown(
    std::string_view serving_image,
    const std::vector<OpportunisticSample>& opportunistic) const -> double {
  double slowdown = 1.0;
  for (const auto& task : opportunistic) {
    slowdown += Pressure(serving_image, task.image) * task.share;
  }
  return slowdown;
}

auto ImageInterference::Learn(
    TimePoint now,
    const ServingSample& sample,
    const std::vector<OpportunisticSample>& opportunistic) -> void {
  const Latency reported = sample.latency;
  const auto [found, is_new] = serving_.try_emplace(sample.run);
  Serving& run = found->second;
  if (is_new) {
    const double slowdown = Slowdown(sample.image, opportunistic);
    run = {{std::log(reported.count() / slowdown), kNewBaseVariance},
           reported,
           reported,
           now};
    return;
  }
  if (const auto since = AcceptSample(now, reported, &run)) {
    Correct(*since, sample.image, opportunistic, &run);
  }
}

auto ImageInterference::AcceptSample(TimePoint now,
                                     Latency reported,
                                     Serving* run) -> std::optional<Seconds> {
  const Seconds since = now - run->seen;
  const bool repeated = reported == run->reported && since < kRepeatWindow;
  if (repeated || since < kMinGap) {
    return std::nullopt;
  }
  const double kept = std::exp(-(since / kSmoothing));
  run->latency = std::max((reported - kept * run->reported) / (1.0 - kept),
                          kMinLatencyShare * reported);
  run->reported = reported;
  run->seen = now;
  return std::min(since, kMaxDrift);
}

auto ImageInterference::Correct(
    Seconds since,
    std::string_view image,
    const std::vector<OpportunisticSample>& opportunistic,
    Serving* run) -> void {
  const double slowdown = Slowdown(image, opportunistic);
  const double new_share = std::min(since / kSmoothing, 1.0);
  run->log_base.variance += kBaseDrift * since.count();
  double variance = run->log_base.variance + kSampleVariance / new_share;
  auto& row = pressures_.try_emplace(std::string(image)).first->second;
  for (const auto& task : opportunistic) {
    auto& pressure =
        row.try_emplace(std::string(task.image),
                        Estimate{kUnknownPressure, kUnknownVariance})
            .first->second;
    pressure.variance = std::min(
        kUnknownVariance, pressure.variance + kPressureDrift * since.count());
    const double slope = task.share / slowdown;
    variance += pressure.variance * slope * slope;
  }
  const double error = std::clamp(
      std::log(run->latency.count() / slowdown) - run->log_base.value,
      -kMaxError, kMaxError);
  const auto correct = [error, variance](Estimate* estimate, double slope) {
    const double gain = estimate->variance * slope / variance;
    estimate->value += gain * error;
    estimate->variance *= 1.0 - gain * slope;
  };
  correct(&run->log_base, 1.0);
  for (const auto& task : opportunistic) {
    auto& pressure = row.find(KeyOf(task.image))->second;
    correct(&pressure, task.share / slowdown);
    pressure.value = std::clamp(pressure.value, 0.0, kMaxPressure);
  }
}

}  // namespace rhubarbhaven::jobs

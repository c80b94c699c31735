#include "Jobs/run_lengths.h"

#include <algorithm>
#include <cmath>

namespace rhubarbhaven::jobs {
namespace {

namespace acc = boost::accumulators;

constexpr double kMedian = 0.5;
constexpr double kUpper = 0.9;
// With fewer samples, a few stragglers would decide.
constexpr std::size_t kMinSamples = 8;
// A sketch replaces the one before once it has seen this many samples.
constexpr std::size_t kSketchSamples = 128;
constexpr std::size_t kMaxKeys = 256;
constexpr std::size_t kMaxStoredKeys = 64;
// How many samples a ratio counts for that an earlier owner has learned.
constexpr std::size_t kMaxLoadedSamples = 8;
// Change of a median that is worth a record.
constexpr double kStoredChange = 0.1;
// Bounds of an expected run time relative to the caller's estimate.
constexpr double kMaxFactor = 8.0;
// Weight of the estimate against each run of the same step. Tasks of one step
// differ less than estimates are off.
constexpr double kEstimateWeight = 1.0;

auto Factor(std::chrono::milliseconds time, std::chrono::milliseconds estimate)
    -> double {
  return static_cast<double>(time.count()) /
         static_cast<double>(estimate.count());
}

}  // namespace

RecentQuantiles::Sketch::Sketch()
    : median(acc::quantile_probability = kMedian),
      upper(acc::quantile_probability = kUpper) {}

RecentQuantiles::RecentQuantiles() = default;

auto RecentQuantiles::Add(double value) -> void {
  for (Sketch* sketch : {&current_, &next_}) {
    sketch->median(value);
    sketch->upper(value);
    ++sketch->count;
  }
  count_ = std::min(count_ + 1, 2 * kSketchSamples);
  if (current_.count >= 2 * kSketchSamples) {
    current_ = next_;
    next_ = Sketch();
  } else if (current_.count == kSketchSamples) {
    next_ = Sketch();
  }
}

auto RecentQuantiles::Median() const -> double {
  return acc::p_square_quantile(current_.median);
}

auto RecentQuantiles::Upper() const -> double {
  return acc::p_square_quantile(current_.upper);
}

auto RunLengths::Record(const RunLengthKey& key, double ratio) -> void {
  if (std::isfinite(ratio) && ratio > 0) {
    FindOrCreate(key).ratios.Add(ratio);
  }
}

auto RunLengths::FindOrCreate(const RunLengthKey& key) -> Entry& {
  auto found = entries_.find(key);
  if (found != entries_.end()) {
    keys_.splice(keys_.end(), keys_, found->second.used);
    return found->second;
  }
  if (entries_.size() >= kMaxKeys) {
    entries_.erase(keys_.front());
    keys_.pop_front();
  }
  Entry& entry = entries_[key];
  entry.used = keys_.insert(keys_.end(), key);
  return entry;
}

auto RunLengths::RatioOf(const Entry& entry) -> std::optional<double> {
  const auto own = static_cast<double>(entry.ratios.count());
  const auto loaded = static_cast<double>(entry.loaded_samples);
  if (entry.ratios.count() + entry.loaded_samples < kMinSamples) {
    return std::nullopt;
  }
  if (entry.ratios.count() < kMinSamples) {
    // Too few for a median of their own.
    return entry.loaded_samples == 0 ? std::nullopt
                                     : std::optional(entry.loaded_median);
  }
  return std::exp((own * std::log(entry.ratios.Median()) +
                   loaded * std::log(entry.loaded_median)) /
                  (own + loaded));
}

auto RunLengths::ExpectedRatio(const RunLengthKey& key) const
    -> std::optional<double> {
  const auto found = entries_.find(key);
  return found == entries_.end() ? std::nullopt : RatioOf(found->second);
}

auto RunLengths::Learned() const -> LearnedRunLengths {
  LearnedRunLengths learned;
  for (auto key = keys_.rbegin(); key != keys_.rend(); ++key) {
    const Entry& entry = entries_.at(*key);
    const auto ratio = RatioOf(entry);
    if (!ratio || learned.lengths_size() >= static_cast<int>(kMaxStoredKeys)) {
      continue;
    }
    auto* length = learned.add_lengths();
    length->set_queue(key->queue);
    length->set_step(key->step);
    length->set_image(key->image);
    length->set_samples(entry.ratios.count() + entry.loaded_samples);
    length->set_median(*ratio);
    length->set_upper(std::max(*ratio, entry.ratios.count() < kMinSamples
                                           ? entry.loaded_upper
                                           : entry.ratios.Upper()));
  }
  return learned;
}

auto RunLengths::Load(const LearnedRunLengths& learned) -> void {
  entries_.clear();
  keys_.clear();
  for (int i = learned.lengths_size(); i > 0; --i) {
    const auto& length = learned.lengths(i - 1);
    Entry& entry =
        FindOrCreate({length.queue(), length.step(), length.image()});
    entry.loaded_median = length.median();
    entry.loaded_upper = length.upper();
    entry.loaded_samples =
        std::min<std::size_t>(length.samples(), kMaxLoadedSamples);
  }
  MarkStored();
}

auto RunLengths::HasChanged() const -> bool {
  return std::any_of(
      entries_.begin(), entries_.end(), [](const auto& item) -> bool {
        const auto ratio = RatioOf(item.second);
        const auto& stored = item.second.stored_ratio;
        return ratio && (!stored ||
                         std::abs(*ratio - *stored) > kStoredChange * *stored);
      });
}

auto RunLengths::MarkStored() -> void {
  for (auto& [key, entry] : entries_) {
    entry.stored_ratio = RatioOf(entry);
  }
}

auto ExpectedRunTime(std::chrono::milliseconds estimate,
                     std::optional<double> ratio,
                     StepRunTimes step) -> std::chrono::milliseconds {
  if (estimate.count() <= 0) {
    return estimate;
  }
  double factor = ratio.value_or(1.0);
  auto& known = step.known;
  std::sort(known.begin(), known.end());
  const std::size_t middle = (known.size() + step.unknown) / 2;
  if (middle < known.size()) {
    const auto own = static_cast<double>(known.size());
    factor = std::exp((kEstimateWeight * std::log(factor) +
                       own * std::log(Factor(known[middle], estimate))) /
                      (kEstimateWeight + own));
  } else if (!known.empty()) {
    // Most tasks take longer than this.
    factor = std::max(factor, Factor(known.back(), estimate));
  }
  factor = std::clamp(factor, 1.0 / kMaxFactor, kMaxFactor);
  return std::max(
      std::chrono::milliseconds(1),
      std::chrono::duration_cast<std::chrono::milliseconds>(estimate * factor));
}

}  // namespace rhubarbhaven::jobs

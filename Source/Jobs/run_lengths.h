#ifndef RHUBARBHAVEN_JOBS_RUN_LENGTHS_H_
#define RHUBARBHAVEN_JOBS_RUN_LENGTHS_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// Runs whose times depend on their callers' estimates in the same way.
struct RunLengthKey {
  std::string queue;
  uint32_t step = 0;
  std::string image;

  auto operator<(const RunLengthKey& other) const -> bool {
    return std::tie(queue, step, image) <
           std::tie(other.queue, other.step, other.image);
  }
};

// Quantiles of a value over the latest samples. The sketch of Boost cannot
// forget, so a new one is begun again and again, and replaces the one before
// once it has seen enough: the work of a queue changes.
class RecentQuantiles {
 public:
  RecentQuantiles();

  auto Add(double value) -> void;
  auto count() const -> std::size_t { return count_; }
  // The medians are meaningful from some samples on only.
  auto Median() const -> double;
  auto Upper() const -> double;

 private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
  struct Sketch {
    Sketch();

    Quantile median;
    Quantile upper;
    std::size_t count = 0;
  };

  // Samples in all, at most as many as the two sketches have seen.
  std::size_t count_ = 0;
  Sketch current_;
  Sketch next_;
};

// Learns how long runs take relative to their callers' estimates, which are off
// by up to a factor. Jobs of one queue differ in size, but their estimates are
// off alike, so ratios are learned and not times.
class RunLengths {
 public:
  // A run of this kind would have taken `ratio` times its estimate at full
  // speed.
  auto Record(const RunLengthKey& key, double ratio) -> void;
  // The expected ratio; none while too little is known.
  auto ExpectedRatio(const RunLengthKey& key) const -> std::optional<double>;

  // What has been learned, for the next owner: the keys that were used last.
  auto Learned() const -> LearnedRunLengths;
  // Replaces everything by what an earlier owner has learned. It counts like a
  // few samples.
  auto Load(const LearnedRunLengths& learned) -> void;
  // Whether a median differs enough from the one at the last `MarkStored`.
  auto HasChanged() const -> bool;
  auto MarkStored() -> void;
  auto size() const -> std::size_t { return entries_.size(); }

 private:
  using Keys = std::list<RunLengthKey>;
  struct Entry {
    RecentQuantiles ratios;
    // From an earlier owner; counts like `loaded_samples` samples.
    double loaded_median = 1;
    double loaded_upper = 1;
    std::size_t loaded_samples = 0;
    std::optional<double> stored_ratio;
    Keys::iterator used;
  };

  auto FindOrCreate(const RunLengthKey& key) -> Entry&;
  static auto RatioOf(const Entry& entry) -> std::optional<double>;

  std::map<RunLengthKey, Entry> entries_;
  // Least recently used first.
  Keys keys_;
};

// How long tasks of one step take at full speed, as far as that is known.
struct StepRunTimes {
  // Of tasks that are done or far enough.
  std::vector<std::chrono::milliseconds> known;
  // Number of other tasks at work. The shortest tasks are known first; those
  // that are still at work take longer.
  std::size_t unknown = 0;
};

// The expected time of one run at full speed. `ratio` is the one that was
// learned for runs of its kind.
auto ExpectedRunTime(std::chrono::milliseconds estimate,
                     std::optional<double> ratio,
                     StepRunTimes step) -> std::chrono::milliseconds;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_RUN_LENGTHS_H_

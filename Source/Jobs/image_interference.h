#ifndef RHUBARBHAVEN_JOBS_IMAGE_INTERFERENCE_H_
#define RHUBARBHAVEN_JOBS_IMAGE_INTERFERENCE_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/base.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven::jobs {

// In fractions of a millisecond, for estimates.
using Latency = std::chrono::duration<double, std::milli>;

// One sample of a serving run.
struct ServingSample {
  std::string_view image;
  uint64_t run = 0;
  std::chrono::milliseconds latency{0};
};

// The share of a worker's processors that one run uses, 0 to 1.
struct OpportunisticSample {
  std::string_view image;
  double share = 0;
};

// Learns how much opportunistic runs of one image slow the runs of another
// image that serve beside them, from all workers together. The model: latency =
// base of the run * (1 + sum over opportunistic runs of pressure * share). The
// base of a run follows its own load, so it is tracked for each run.
//
// A Kalman filter with independent errors: each sample corrects the base and
// the pressures in proportion to their uncertainty. With fixed steps instead, a
// peak caused by opportunistic runs remained in the base for seconds, and vice
// versa. The error of the prediction of the next latency (mean of the
// logarithm, over a day's samples from 11 workers) was 0.37 with fixed steps,
// 0.21 with the filter, and 0.12 to 0.14 with the smoothing of the reported
// latencies removed as well.
class ImageInterference {
 public:
  auto Observe(TimePoint now,
               const std::vector<ServingSample>& serving,
               const std::vector<OpportunisticSample>& opportunistic) -> void;
  // The pressure of one image on another. For an unknown pair it is a medium
  // value, so that such runs are neither unrestricted nor stopped.
  auto Pressure(std::string_view serving_image,
                std::string_view filler_image) const -> double;
  // Exports the learned pressures, as many as `max_bytes` hold, and starts from
  // those that another instance has learned.
  auto Learned(std::size_t max_bytes = std::numeric_limits<std::size_t>::max())
      const -> LearnedPressures;
  auto Load(const LearnedPressures& learned) -> void;
  // Adopts a pressure between two images from another instance.
  auto SetPressure(const ImagePressure& pressure) -> void;
  // A serving run's latency without opportunistic runs; zero if unknown.
  auto base(uint64_t run) const -> Latency;
  // The run's current latency, with the smoothing of the worker's reports
  // removed; zero if unknown.
  auto latency(uint64_t run) const -> Latency;
  // Discards the state of a run that has ended.
  auto Forget(uint64_t run) -> void;

 private:
  // A value with the variance of its error.
  struct Estimate {
    double value = 0;
    double variance = 0;
  };
  // The state of a serving run.
  struct Serving {
    // Logarithm of its latency in milliseconds without opportunistic runs.
    Estimate log_base;
    // As reported at `seen`, and with the smoothing removed.
    Latency reported{0};
    Latency latency{0};
    TimePoint seen;
  };
  using Seconds = std::chrono::duration<double>;

  auto Learn(TimePoint now,
             const ServingSample& sample,
             const std::vector<OpportunisticSample>& opportunistic) -> void;
  // Accepts a reported latency. Returns the time since the previous sample, or
  // none if there is nothing new.
  static auto AcceptSample(TimePoint now, Latency reported, Serving* run)
      -> std::optional<Seconds>;
  // Corrects the base of a run and the pressures on its image.
  auto Correct(Seconds since,
               std::string_view image,
               const std::vector<OpportunisticSample>& opportunistic,
               Serving* run) -> void;
  // The ratio of the latency to that without opportunistic runs; at least 1.
  auto Slowdown(std::string_view serving_image,
                const std::vector<OpportunisticSample>& opportunistic) const
      -> double;

  using Row = absl::flat_hash_map<std::string, Estimate>;

  absl::flat_hash_map<std::string, Row> pressures_;
  absl::flat_hash_map<uint64_t, Serving> serving_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_IMAGE_INTERFERENCE_H_

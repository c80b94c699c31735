#ifndef RHUBARBHAVEN_JOBS_IMAGE_INTERFERENCE_H_
#define RHUBARBHAVEN_JOBS_IMAGE_INTERFERENCE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/base.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven::jobs {

// With parts of a millisecond, for estimates.
using Latency = std::chrono::duration<double, std::milli>;

// One look at a run that serves.
struct ServingSample {
  std::string_view image;
  uint64_t run = 0;
  std::chrono::milliseconds latency{0};
};

// What one run takes of a worker's processors, 0 to 1.
struct FillerSample {
  std::string_view image;
  double share = 0;
};

// Learns how much runs on spare processors of one image slow the runs of
// another image that serve beside them, from all workers together. The model:
// latency = base of the run * (1 + sum over fillers of pressure * share). A
// run's base follows its own load, so it is tracked for each run.
//
// A Kalman filter with independent errors: each look corrects the base and the
// pressures by how uncertain each of them is. With fixed steps instead, a peak
// that fillers caused stayed in the base for seconds, and the other way round:
// the error of the next latency foretold was 0.37 (mean of the logarithm, over
// a day's looks at 11 workers), with the filter 0.21, and with the smoothing of
// the told latencies taken out 0.12 to 0.14.
class ImageInterference {
 public:
  auto Observe(TimePoint now,
               const std::vector<ServingSample>& serving,
               const std::vector<FillerSample>& fillers) -> void;
  // Of a pair that was never seen: a middling value, so that such runs are
  // neither let loose nor stopped.
  auto Pressure(std::string_view serving_image,
                std::string_view filler_image) const -> double;
  // All that was learned, and its start from what another has learned.
  auto Learned() const -> LearnedPressures;
  auto Load(const LearnedPressures& learned) -> void;
  // Takes over what another knows better of one pair.
  auto SetPressure(const ImagePressure& pressure) -> void;
  // A serving run's latency without fillers; zero if unknown.
  auto base(uint64_t run) const -> Latency;
  // Its latency now, with the smoothing of what the worker tells taken out;
  // zero if unknown.
  auto latency(uint64_t run) const -> Latency;
  // The run has ended.
  auto Forget(uint64_t run) -> void;

 private:
  // A value with the variance of its error.
  struct Estimate {
    double value = 0;
    double variance = 0;
  };
  // What is known of a serving run.
  struct Serving {
    // Logarithm of its latency without fillers, in milliseconds.
    Estimate log_base;
    // As told at `seen`, and without its smoothing.
    Latency told{0};
    Latency latency{0};
    TimePoint seen;
  };
  using Seconds = std::chrono::duration<double>;

  auto Learn(TimePoint now,
             const ServingSample& sample,
             const std::vector<FillerSample>& fillers) -> void;
  // Takes in what a worker tells; the time since the look before, or none if
  // there is nothing new.
  static auto TakeLook(TimePoint now, Latency told, Serving* run)
      -> std::optional<Seconds>;
  // Corrects the base of a run and the pressures on its image.
  auto Correct(Seconds since,
               std::string_view image,
               const std::vector<FillerSample>& fillers,
               Serving* run) -> void;
  // 1 and more: the latency against that without the fillers.
  auto Slowdown(std::string_view serving_image,
                const std::vector<FillerSample>& fillers) const -> double;

  using Row = std::map<std::string, Estimate, std::less<>>;

  std::map<std::string, Row, std::less<>> pressures_;
  absl::flat_hash_map<uint64_t, Serving> serving_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_IMAGE_INTERFERENCE_H_

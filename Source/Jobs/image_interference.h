#ifndef RHUBARBHAVEN_JOBS_IMAGE_INTERFERENCE_H_
#define RHUBARBHAVEN_JOBS_IMAGE_INTERFERENCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/base.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven::jobs {

// One look at a run that serves.
struct ServingSample {
  std::string image;
  uint64_t run = 0;
  std::chrono::milliseconds latency{0};
};

// What runs of one image take of a worker's processors, 0 to 1.
struct FillerSample {
  std::string image;
  double share = 0;
};

// Learns how much runs on spare processors of one image slow the runs of
// another image that serve beside them, from all workers together. The model:
// latency = base of the run * (1 + sum over fillers of pressure * share). A
// run's base follows its own load, so it is tracked for each run.
class ImageInterference {
 public:
  auto Observe(const std::vector<ServingSample>& serving,
               const std::vector<FillerSample>& fillers) -> void;
  // Of a pair that was never seen: a middling value, so that such runs are
  // neither let loose nor stopped.
  auto Pressure(const std::string& serving_image,
                const std::string& filler_image) const -> double;
  // All that was learned, and its start from what another has learned.
  auto Learned() const -> LearnedPressures;
  auto Load(const LearnedPressures& learned) -> void;
  // A serving run's latency without fillers, in milliseconds; zero if unknown.
  auto base_ms(uint64_t run) const -> double;
  // The run has ended.
  auto Forget(uint64_t run) -> void;

 private:
  auto Learn(const ServingSample& sample,
             const std::vector<FillerSample>& fillers) -> void;

  std::map<std::string, std::map<std::string, double>> pressures_;
  absl::flat_hash_map<uint64_t, double> bases_ms_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_IMAGE_INTERFERENCE_H_

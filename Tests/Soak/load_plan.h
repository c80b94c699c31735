#ifndef RHUBARBHAVEN_TESTS_SOAK_LOAD_PLAN_H_
#define RHUBARBHAVEN_TESTS_SOAK_LOAD_PLAN_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "Tests/Soak/soak_options.h"

namespace rhubarbhaven::soak {

// Sizes in bytes of the payloads of jobs, both included.
struct PayloadSizes {
  std::size_t least = 0;
  std::size_t most = 0;
};

// What the clients submit.
struct LoadPlan {
  // Jobs submitted per second for each agent.
  double jobs_per_agent_second = 0;
  // Factor by which this rises for a short time, again and again.
  int burst_factor = 1;
  // Number of long-running jobs that are never cancelled.
  int uncancelled_long_running = 0;
  // Nullopt for jobs with a payload of a few bytes.
  std::optional<PayloadSizes> payloads;
};

// Whether a burst is on at this time after the clients have begun.
auto IsBurst(std::chrono::milliseconds since_begin) -> bool;

auto MakeLoadPlan(const SoakOptions& options) -> LoadPlan;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_LOAD_PLAN_H_

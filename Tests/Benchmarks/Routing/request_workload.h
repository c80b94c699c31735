#ifndef RHUBARBHAVEN_TESTS_BENCHMARKS_ROUTING_REQUEST_WORKLOAD_H_
#define RHUBARBHAVEN_TESTS_BENCHMARKS_ROUTING_REQUEST_WORKLOAD_H_

#include <string>
#include <vector>

#include "Routing/routing.h"

namespace rhubarbhaven {

// The sizes of the brief: 11 endpoints of 8 slots in three failure domains.
inline constexpr int kEntries = 3;
inline constexpr int kEndpoints = 11;
inline constexpr int kSlots = 8;
inline constexpr int kDomains = 3;
inline constexpr std::chrono::milliseconds kMeanService{20};
inline constexpr std::chrono::milliseconds kDeadline{1000};
inline constexpr std::chrono::milliseconds kWarmUp{2000};
inline constexpr std::chrono::milliseconds kMeasured{6000};
// Requests a second that the endpoints can take.
inline constexpr double kCapacity = kEndpoints * kSlots * 1000.0 / 20;

enum class Fault { kNone, kSlow, kFailing, kDomainGone };

// One row of the table: a load as a share of the capacity, under a fault that
// holds from the end of the warm-up.
struct Scenario {
  std::string name;
  double load = 1;
  Fault fault = Fault::kNone;
};

struct Arrival {
  Duration at{0};
  int entry = 0;
  Duration service{0};
};

struct Figures {
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  // Good answers in time, as a share of the capacity.
  double goodput = 0;
  // As shares of all measured requests.
  double answered = 0;
  double failed = 0;
  double refused = 0;
  double may_have_run = 0;
  // Offers for each request that was sent at all.
  double amplification = 1;
};

// What became of the measured requests.
struct Outcomes {
  std::vector<Duration> latencies;
  int asked = 0;
  int failed = 0;
  int refused = 0;
  int may_have_run = 0;
  int sent = 0;
  int offers = 0;
};

// The same for every policy: random arrivals with service times, by seed.
auto MakeArrivals(const Scenario& scenario, uint64_t seed)
    -> std::vector<Arrival>;
auto Summarize(Outcomes outcomes) -> Figures;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TESTS_BENCHMARKS_ROUTING_REQUEST_WORKLOAD_H_

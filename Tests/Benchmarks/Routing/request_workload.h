#ifndef RHUBARBHAVEN_TESTS_BENCHMARKS_ROUTING_REQUEST_WORKLOAD_H_
#define RHUBARBHAVEN_TESTS_BENCHMARKS_ROUTING_REQUEST_WORKLOAD_H_

#include <string>
#include <vector>

#include "Routing/routing.h"

namespace rhubarbhaven {

// The size of the required deployment: 11 endpoints of 8 slots in three failure
// domains.
inline constexpr int kEntries = 3;
inline constexpr int kEndpoints = 11;
inline constexpr int kSlots = 8;
inline constexpr int kDomains = 3;
inline constexpr std::chrono::milliseconds kMeanService{20};
inline constexpr std::chrono::milliseconds kDeadline{1000};
inline constexpr std::chrono::milliseconds kWarmUp{2000};
inline constexpr std::chrono::milliseconds kMeasured{6000};
// Requests per second that the endpoints can serve.
inline constexpr double kCapacity = kEndpoints * kSlots * 1000.0 / 20;

enum class Fault { kNone, kSlow, kFailing, kDomainDown };

// One benchmark scenario: a load as a share of the capacity, and a fault that
// begins at the end of the warm-up.
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

struct WorkloadSummary {
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  // Successful answers before the deadline, as a share of the capacity.
  double goodput = 0;
  // As shares of all measured requests.
  double answered = 0;
  double failed = 0;
  double rejected = 0;
  double may_have_run = 0;
  // Offers per request that was sent at least once.
  double amplification = 1;
};

// Outcomes of the measured requests.
struct Outcomes {
  std::vector<Duration> latencies;
  int submitted = 0;
  int failed = 0;
  int rejected = 0;
  int may_have_run = 0;
  int sent = 0;
  int offers = 0;
};

// Generates random arrivals with service times from the seed; they are the same
// for every policy.
auto MakeArrivals(const Scenario& scenario, uint64_t seed)
    -> std::vector<Arrival>;
auto Summarize(Outcomes outcomes) -> WorkloadSummary;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TESTS_BENCHMARKS_ROUTING_REQUEST_WORKLOAD_H_

#include "Tests/Benchmarks/Routing/request_workload.h"

#include <algorithm>
#include <random>

namespace rhubarbhaven {
namespace {

auto Quantile(const std::vector<Duration>& sorted, double share) -> double {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  const auto index = static_cast<std::size_t>(share * last);
  return std::chrono::duration<double, std::milli>(sorted[index]).count();
}

}  // namespace

auto MakeArrivals(const Scenario& scenario, uint64_t seed)
    -> std::vector<Arrival> {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap_s(scenario.load * kCapacity);
  std::exponential_distribution<double> service_ms(1.0 / kMeanService.count());
  std::vector<Arrival> arrivals;
  double at_s = 0;
  const double end_s =
      std::chrono::duration<double>(kWarmUp + kMeasured).count();
  while ((at_s += gap_s(random)) < end_s) {
    const std::chrono::duration<double> at(at_s);
    const std::chrono::duration<double, std::milli> service(service_ms(random));
    arrivals.push_back(
        {.at = std::chrono::duration_cast<Duration>(at),
         .entry = static_cast<int>(random() % kEntries),
         .service = std::chrono::duration_cast<Duration>(service)});
  }
  return arrivals;
}

auto Summarize(Outcomes outcomes) -> WorkloadSummary {
  std::sort(outcomes.latencies.begin(), outcomes.latencies.end());
  const auto share = [&](int count) {
    return static_cast<double>(count) / std::max(1, outcomes.submitted);
  };
  WorkloadSummary figures;
  figures.p50_ms = Quantile(outcomes.latencies, 0.5);
  figures.p99_ms = Quantile(outcomes.latencies, 0.99);
  figures.p999_ms = Quantile(outcomes.latencies, 0.999);
  figures.goodput = static_cast<double>(outcomes.latencies.size()) /
                    std::chrono::duration<double>(kMeasured).count() /
                    kCapacity;
  figures.answered = share(static_cast<int>(outcomes.latencies.size()));
  figures.failed = share(outcomes.failed);
  figures.rejected = share(outcomes.rejected);
  figures.may_have_run = share(outcomes.may_have_run);
  figures.amplification =
      static_cast<double>(outcomes.offers) / std::max(1, outcomes.sent);
  return figures;
}

}  // namespace rhubarbhaven

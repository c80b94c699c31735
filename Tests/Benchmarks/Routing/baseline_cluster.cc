#include "Tests/Benchmarks/Routing/baseline_cluster.h"

#include <algorithm>
#include <array>
#include <map>
#include <queue>
#include <random>

namespace rhubarbhaven {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kSlowFactor = 10;
constexpr microseconds kFailureTime{100};

// Models each endpoint as the times at which its slots become free. Requests
// arrive in order, so each takes the slot that is free first.
class BaselineCluster {
 public:
  BaselineCluster(Baseline policy, const Scenario& scenario, uint64_t seed)
      : policy_(policy), fault_(scenario.fault), random_(seed) {
    for (auto& slots : free_at_) {
      slots.fill(Duration(0));
    }
  }

  auto Run(const std::vector<Arrival>& arrivals) -> WorkloadSummary {
    for (const Arrival& arrival : arrivals) {
      Serve(arrival);
    }
    return Summarize(outcomes_);
  }

 private:
  auto Serve(const Arrival& arrival) -> void {
    DropAnswered(arrival.at);
    const int endpoint = Choose(arrival.entry);
    const bool faulty = arrival.at >= kWarmUp && IsFaulty(endpoint);
    const Duration network_delay =
        arrival.entry % kDomains == endpoint % kDomains
            ? Duration(microseconds(200))
            : Duration(milliseconds(1));
    auto slot =
        std::min_element(free_at_[endpoint].begin(), free_at_[endpoint].end());
    Duration service_time = arrival.service;
    if (faulty && fault_ == Fault::kSlow) {
      service_time *= kSlowFactor;
    } else if (faulty && fault_ == Fault::kFailing) {
      service_time = kFailureTime;
    }
    *slot = std::max(*slot, arrival.at + network_delay) + service_time;
    const bool unavailable = faulty && fault_ == Fault::kDomainDown;
    const Duration latency = unavailable ? kDeadline + kDeadline
                                         : *slot + network_delay - arrival.at;
    ++unanswered_[arrival.entry][endpoint];
    answers_.push({arrival.at + std::min<Duration>(latency, kDeadline),
                   {arrival.entry, endpoint}});
    if (arrival.at >= kWarmUp) {
      RecordOutcome(latency, faulty && fault_ == Fault::kFailing);
    }
  }

  auto RecordOutcome(Duration latency, bool failed) -> void {
    ++outcomes_.submitted;
    ++outcomes_.sent;
    ++outcomes_.offers;
    if (latency > kDeadline) {
      ++outcomes_.may_have_run;
    } else if (failed) {
      ++outcomes_.failed;
    } else {
      outcomes_.latencies.push_back(latency);
    }
  }

  auto Choose(int entry) -> int {
    const auto pick = [this] {
      return static_cast<int>(random_() % kEndpoints);
    };
    if (policy_ == Baseline::kRoundRobin) {
      return turn_[entry]++ % kEndpoints;
    }
    const int one = pick();
    if (policy_ == Baseline::kRandom) {
      return one;
    }
    const int other = pick();
    const auto& load = unanswered_[entry];
    return load[other] < load[one] ? other : one;
  }

  auto DropAnswered(Duration now) -> void {
    while (!answers_.empty() && answers_.top().first <= now) {
      const auto [entry, endpoint] = answers_.top().second;
      --unanswered_[entry][endpoint];
      answers_.pop();
    }
  }

  auto IsFaulty(int endpoint) const -> bool {
    return fault_ == Fault::kDomainDown ? endpoint % kDomains == 0
                                        : endpoint == 0;
  }

  using Answer = std::pair<Duration, std::pair<int, int>>;

  Baseline policy_;
  Fault fault_;
  std::mt19937_64 random_;
  std::array<std::array<Duration, kSlots>, kEndpoints> free_at_;
  std::array<int, kEntries> turn_{};
  std::array<std::array<int, kEndpoints>, kEntries> unanswered_{};
  std::priority_queue<Answer, std::vector<Answer>, std::greater<>> answers_;
  Outcomes outcomes_;
};

}  // namespace

auto RunBaseline(Baseline policy, const Scenario& scenario, uint64_t seed)
    -> WorkloadSummary {
  return BaselineCluster(policy, scenario, seed)
      .Run(MakeArrivals(scenario, seed));
}

}  // namespace rhubarbhaven

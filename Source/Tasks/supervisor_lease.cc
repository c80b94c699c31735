#include "Tasks/supervisor_lease.h"

#include <algorithm>

namespace rhubarbhaven::tasks {
namespace {

// Bits for the request number within one incarnation: enough for 194 days at
// one request per second.
constexpr int kNumberBits = 24;
constexpr uint64_t kIncarnationMask = (uint64_t{1} << 39) - 1;

}  // namespace

SupervisorLease::SupervisorLease(uint64_t agent_incarnation,
                                 std::chrono::milliseconds max_ttl)
    : max_ttl_(max_ttl),
      next_number_(((agent_incarnation & kIncarnationMask) << kNumberBits) +
                   1) {}

auto SupervisorLease::AddRequest(TimePoint now) -> uint64_t {
  std::erase_if(requests_, [&](const auto& request) {
    return now >= request.second + max_ttl_;
  });
  const uint64_t number = next_number_++;
  requests_[number] = now;
  return number;
}

auto SupervisorLease::OnGrant(TimePoint now,
                              const std::string& entry,
                              const schema::LeaseGrant& grant) -> Verdict {
  const auto request = requests_.find(grant.number());
  if (request == requests_.end()) {
    return Verdict::kUnknownNumber;
  }
  if (grant.fence() < fence_) {
    return Verdict::kStaleFence;
  }
  // The lease is counted from the request on this agent's clock. Otherwise a
  // grant that was delayed in the network, or delivered while the agent was
  // paused, would authorise actions after the owner considers the lease
  // expired.
  const auto ttl =
      std::min(max_ttl_, std::chrono::milliseconds(grant.ttl_ms()));
  const TimePoint end = request->second + ttl;
  if (now >= end) {
    return Verdict::kLate;
  }
  end_ = grant.fence() > fence_ ? end : std::max(end_, end);
  fence_ = grant.fence();
  owner_ = entry;
  return Verdict::kGranted;
}

auto SupervisorLease::IsRecent(TimePoint now, uint64_t number) const -> bool {
  const auto request = requests_.find(number);
  return request != requests_.end() && now < request->second + max_ttl_;
}

}  // namespace rhubarbhaven::tasks

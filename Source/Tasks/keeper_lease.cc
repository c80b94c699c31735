#include "Tasks/keeper_lease.h"

#include <algorithm>

namespace rhubarbhaven::tasks {
namespace {

// Requests that one incarnation may number: 194 days at one a second.
constexpr int kNumberBits = 24;
constexpr uint64_t kIncarnationMask = (uint64_t{1} << 39) - 1;

}  // namespace

KeeperLease::KeeperLease(uint64_t agent_incarnation,
                         std::chrono::milliseconds longest)
    : longest_(longest),
      next_number_(((agent_incarnation & kIncarnationMask) << kNumberBits) +
                   1) {}

auto KeeperLease::Ask(TimePoint now) -> uint64_t {
  std::erase_if(asked_, [&](const auto& asked) {
    return now >= asked.second + longest_;
  });
  const uint64_t number = next_number_++;
  asked_[number] = now;
  return number;
}

auto KeeperLease::OnGrant(TimePoint now,
                          const std::string& entry,
                          const schema::LeaseGrant& grant) -> Verdict {
  const auto asked = asked_.find(grant.number());
  if (asked == asked_.end()) {
    return Verdict::kUnknownNumber;
  }
  if (grant.fence() < fence_) {
    return Verdict::kStaleFence;
  }
  // What goes wrong: a grant that was long under way, or found the agent
  // paused, would authorise acts after its owner counts the lease as over.
  // Counting from the request, on this clock, such a grant is over already.
  const auto ttl =
      std::min(longest_, std::chrono::milliseconds(grant.ttl_ms()));
  const TimePoint end = asked->second + ttl;
  if (now >= end) {
    return Verdict::kLate;
  }
  end_ = grant.fence() > fence_ ? end : std::max(end_, end);
  fence_ = grant.fence();
  owner_ = entry;
  return Verdict::kTaken;
}

auto KeeperLease::IsRecent(TimePoint now, uint64_t number) const -> bool {
  const auto asked = asked_.find(number);
  return asked != asked_.end() && now < asked->second + longest_;
}

}  // namespace rhubarbhaven::tasks

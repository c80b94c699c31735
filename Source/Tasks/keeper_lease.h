#ifndef RHUBARBHAVEN_TASKS_KEEPER_LEASE_H_
#define RHUBARBHAVEN_TASKS_KEEPER_LEASE_H_

#include <cstdint>
#include <map>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven::tasks {

// The lease that an agent holds from its cell's owner, counted on the agent's
// clock from when it asked. The owner counts the same lease from its answer,
// which is later, so the agent's always ends first.
class KeeperLease {
 public:
  KeeperLease(uint64_t agent_incarnation, std::chrono::milliseconds longest);

  // Number of a new request that is sent now. Numbers of two incarnations of
  // the agent differ, so that a grant to the earlier one is void.
  auto Ask(TimePoint now) -> uint64_t;

  enum class Verdict { kTaken, kUnknownNumber, kLate, kStaleFence };
  auto OnGrant(TimePoint now,
               const std::string& entry,
               const schema::LeaseGrant& grant) -> Verdict;

  // True while a request is recent enough that an order may quote it.
  auto IsRecent(TimePoint now, uint64_t number) const -> bool;
  auto leased(TimePoint now) const -> bool { return now < end_; }
  auto end() const -> TimePoint { return end_; }
  // Highest fence that was granted to this incarnation.
  auto fence() const -> uint64_t { return fence_; }
  // The entry that granted last; empty for none.
  auto owner() const -> const std::string& { return owner_; }

 private:
  std::chrono::milliseconds longest_;
  uint64_t next_number_;
  std::map<uint64_t, TimePoint> asked_;
  TimePoint end_ = TimePoint::min();
  uint64_t fence_ = 0;
  std::string owner_;
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_KEEPER_LEASE_H_

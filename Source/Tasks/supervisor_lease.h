#ifndef RHUBARBHAVEN_TASKS_SUPERVISOR_LEASE_H_
#define RHUBARBHAVEN_TASKS_SUPERVISOR_LEASE_H_

#include <cstdint>
#include <map>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven::tasks {

// The lease that a cell's owner has granted to an agent. The agent counts it on
// its own clock from the time of its request; the owner counts it from the time
// of its grant, which is later. The agent's lease therefore always ends first.
class SupervisorLease {
 public:
  SupervisorLease(uint64_t agent_incarnation,
                  std::chrono::milliseconds max_ttl);

  // Records a lease request sent now and returns its number. Two incarnations
  // of the agent never use the same number, so a grant to the earlier
  // incarnation is rejected by the later one.
  auto AddRequest(TimePoint now) -> uint64_t;

  enum class Verdict { kGranted, kUnknownNumber, kLate, kStaleFence };
  auto OnGrant(TimePoint now,
               const std::string& entry,
               const schema::LeaseGrant& grant) -> Verdict;

  // True while the request is recent enough for an order to refer to it.
  auto IsRecent(TimePoint now, uint64_t number) const -> bool;
  auto leased(TimePoint now) const -> bool { return now < end_; }
  auto end() const -> TimePoint { return end_; }
  // Highest fence granted to this incarnation of the agent.
  auto fence() const -> uint64_t { return fence_; }
  // The entry that sent the latest accepted grant; empty if there is none.
  auto owner() const -> const std::string& { return owner_; }

 private:
  std::chrono::milliseconds max_ttl_;
  uint64_t next_number_;
  std::map<uint64_t, TimePoint> requests_;
  TimePoint end_ = TimePoint::min();
  uint64_t fence_ = 0;
  std::string owner_;
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_SUPERVISOR_LEASE_H_

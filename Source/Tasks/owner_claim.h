#ifndef RHUBARBHAVEN_TASKS_OWNER_CLAIM_H_
#define RHUBARBHAVEN_TASKS_OWNER_CLAIM_H_

#include <cstdint>
#include <optional>

#include "Tasks/cell_fold.h"
#include "Tasks/owner.h"

namespace rhubarbhaven::tasks {

// One process's claim to a cell: when to claim and renew it, the latest
// point at which it is known to be valid, and how long an earlier owner may
// still renew leases.
class CellClaim {
 public:
  CellClaim(const OwnerOptions& options, const CellFold* fold);

  // Must be called after each change of the fold. Returns true if ownership
  // began or ended.
  auto Observe(TimePoint now) -> bool;
  auto OnCaughtUp(TimePoint now, TimePoint read_sent_at) -> void;
  auto OnAppendFailed() -> void;
  // Returns the claim or renewal that is due, if any.
  auto Step(TimePoint now) -> std::optional<schema::LogEntry>;
  // Stops granting leases immediately and returns the record that releases the
  // cell, if this process owns it.
  auto Release() -> std::optional<schema::LogEntry>;

  auto owns() const -> bool { return fence_ != 0 && !releasing_; }
  auto fence() const -> uint64_t { return fence_; }
  // Latest point at which the claim is known to have been in force, from a read
  // sent at that time.
  auto verified() const -> TimePoint { return verified_; }
  auto may_grant(TimePoint now) const -> bool;
  // True if the log was reached recently enough for records to be appended.
  auto may_append(TimePoint now) const -> bool;
  // Maximum lease for an agent that has not confirmed this fence yet; if zero
  // or less, none may be granted.
  auto MaxFirstLease(TimePoint now) const -> std::chrono::milliseconds;
  // Point from which no lease of an earlier owner can be in force.
  auto inherited_until() const -> TimePoint { return inherited_until_; }
  // True if the log confirms that `inherited_until` has passed.
  auto settled() const -> bool { return verified_ >= inherited_until_; }
  auto next_wake() const -> TimePoint;

 private:
  // Earliest time of the next record.
  auto next_issue() const -> TimePoint;
  auto HoldsClaim() const -> bool;
  auto OnOwnershipStart(TimePoint now) -> void;
  auto NewClaim() const -> schema::LogEntry;
  auto Issue(TimePoint now, bool renewal) -> schema::LogEntry;
  auto renewal() const -> std::chrono::milliseconds;

  OwnerOptions options_;
  const CellFold* fold_;
  uint64_t fence_ = 0;
  bool releasing_ = false;
  uint64_t seen_offset_ = 0;
  // Since when no new claim or renewal has been read, on the local clock.
  TimePoint unchanged_since_ = TimePoint::min();
  TimePoint last_read_sent_at_ = TimePoint::min();
  TimePoint verified_ = TimePoint::min();
  // Time of this process's latest claim or renewal that took effect.
  TimePoint renewed_ = TimePoint::min();
  TimePoint inherited_until_ = TimePoint::min();
  // Times of the first and the last record that name `seen_offset_`.
  std::optional<TimePoint> first_issue_;
  TimePoint last_issue_ = TimePoint::min();
  bool in_flight_ = false;
  TimePoint next_renewal_ = TimePoint::min();
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_OWNER_CLAIM_H_

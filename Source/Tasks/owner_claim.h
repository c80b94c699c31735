#ifndef RHUBARBHAVEN_TASKS_OWNER_CLAIM_H_
#define RHUBARBHAVEN_TASKS_OWNER_CLAIM_H_

#include <cstdint>
#include <optional>

#include "Tasks/cell_fold.h"
#include "Tasks/owner.h"

namespace rhubarbhaven::tasks {

// One process's claim of a cell: when to claim, when to renew, since when it
// is known to hold, and how long an earlier owner may still renew leases.
class CellClaim {
 public:
  CellClaim(const OwnerOptions& options, const CellFold* fold);

  // After each change of the fold. True if ownership began or ended.
  auto Observe(TimePoint now) -> bool;
  auto OnCaughtUp(TimePoint now, TimePoint asked) -> void;
  auto OnAppendFailed() -> void;
  // The record that is due, if any: a claim or a renewal.
  auto Step(TimePoint now) -> std::optional<schema::LogEntry>;
  // Stops granting at once; the record frees the cell.
  auto Release() -> std::optional<schema::LogEntry>;

  auto owns() const -> bool { return fence_ != 0 && !releasing_; }
  auto fence() const -> uint64_t { return fence_; }
  // The claim held at this point: a read asked then found it in force.
  auto verified() const -> TimePoint { return verified_; }
  auto may_grant(TimePoint now) const -> bool;
  // The log was reached lately, so that records may be appended.
  auto may_append(TimePoint now) const -> bool;
  // How long a lease may be for an agent that has not confirmed this fence
  // yet; zero or less for none.
  auto FirstLease(TimePoint now) const -> std::chrono::milliseconds;
  // From here on no earlier owner's leases can be in force.
  auto inherited_until() const -> TimePoint { return inherited_until_; }
  // Known, by the log, to have passed `inherited_until`.
  auto settled() const -> bool { return verified_ >= inherited_until_; }
  auto next_wake() const -> TimePoint;

 private:
  // The next record may be made from here on.
  auto next_issue() const -> TimePoint;
  auto IsMine() const -> bool;
  auto TakeOver(TimePoint now) -> void;
  auto NewClaim() const -> schema::LogEntry;
  auto Issue(TimePoint now, bool renewal) -> schema::LogEntry;
  auto renewal() const -> std::chrono::milliseconds;

  OwnerOptions options_;
  const CellFold* fold_;
  uint64_t fence_ = 0;
  bool releasing_ = false;
  uint64_t seen_offset_ = 0;
  // Since when no claim or renewal was read, on this clock.
  TimePoint quiet_since_ = TimePoint::min();
  TimePoint last_asked_ = TimePoint::min();
  TimePoint verified_ = TimePoint::min();
  // When the latest record of ours that took effect was made.
  TimePoint renewed_ = TimePoint::min();
  TimePoint inherited_until_ = TimePoint::min();
  // When the first record that names `seen_offset_` was made, and the last.
  std::optional<TimePoint> first_issue_;
  TimePoint last_issue_ = TimePoint::min();
  bool in_flight_ = false;
  TimePoint next_renewal_ = TimePoint::min();
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_OWNER_CLAIM_H_

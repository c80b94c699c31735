#ifndef RHUBARBHAVEN_JOBS_OWNER_ELECTION_H_
#define RHUBARBHAVEN_JOBS_OWNER_ELECTION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

struct OwnerElectionOptions {
  std::string name;
  uint64_t incarnation = 0;
  // Between two renewals of the owner's claim. Two calls a second to the log.
  std::chrono::milliseconds renew_interval{500};
  // An owner that wrote no renewal for this long is replaced: three renewals,
  // so that one lost answer does not change the owner.
  std::chrono::milliseconds silence{1600};
  // Candidates differ by up to this, so that mostly one claims.
  std::chrono::milliseconds spread{400};
  // An owner that cannot renew decides on for this long, since nobody can
  // replace it while the whole log is away; longer than the outages of 4 to
  // 13 s that the platform announces. A successor that cannot reach an agent
  // waits this long for its tasks, see `JobOwner`.
  std::chrono::milliseconds unverified_limit{16000};
  // How long a grant to an agent may hold, by any clock.
  Duration lease{0};
};

// When grants of owners before this one are over, also to agents that do not
// answer.
struct EarlierGrants {
  // Of the owner just before, and of all others.
  TimePoint last_owner;
  TimePoint before_last_owner;
};

// Decides when this entry claims the cell, and whether it may decide for it.
// The log makes sure that one claim wins: claims are appended by one producer
// with the fence as epoch.
class OwnerElection {
 public:
  explicit OwnerElection(OwnerElectionOptions options);

  // The newest claim in the log, each time one was read.
  auto OnClaimRead(TimePoint now, const OwnerClaim& claim) -> void;
  // The log was read to its end by a read that was answered at `now`.
  auto OnCaughtUp(TimePoint now) -> void;
  // An entry has said that it grants nothing any more under fences up to this
  // one. True if that shortens what this owner has to wait for.
  auto OnResignationRead(TimePoint now,
                         const std::string& entry,
                         uint64_t fence) -> bool;
  // A claim that was sent at `sent` is in the log.
  auto OnClaimStored(TimePoint sent) -> void;
  // The claim under way was fenced or lost.
  auto OnClaimLost() -> void;

  // A claim to append now: a first one, or a renewal by the owner.
  auto ClaimDue(TimePoint now) -> std::optional<OwnerClaim>;
  // A release to append, if this entry owns the cell or claims it.
  auto Release(TimePoint now) -> std::optional<OwnerClaim>;

  // True if this entry's claim is the newest in the log, and was verified
  // within the limit.
  auto owner(TimePoint now) const -> bool;
  // The fence of this entry's claim; zero if it has none.
  auto fence() const -> uint64_t { return fence_; }
  auto earlier_grants() const -> const EarlierGrants& { return earlier_; }
  // The owner that this entry's claim replaced.
  auto replaced_owner() const -> const std::string& { return replaced_owner_; }

 private:
  auto MayClaim(TimePoint now) const -> bool;
  // Whether the newest claim is of an earlier process of this entry.
  auto predecessor_is_dead() const -> bool;
  // In milliseconds, of all owners before this one.
  auto EarlierGrantsLeft(TimePoint now) const -> uint64_t;
  auto GrantsBefore(TimePoint now) const -> EarlierGrants;
  auto mine(const OwnerClaim& claim) const -> bool;

  OwnerElectionOptions options_;
  OwnerClaim newest_;
  bool any_claim_ = false;
  TimePoint newest_read_;
  // Reading has been without a gap since then.
  TimePoint reading_since_;
  TimePoint caught_up_;
  uint64_t fence_ = 0;
  uint64_t renewal_ = 0;
  bool confirmed_ = false;
  TimePoint claim_due_;
  TimePoint verified_;
  EarlierGrants earlier_;
  std::string replaced_owner_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_OWNER_ELECTION_H_

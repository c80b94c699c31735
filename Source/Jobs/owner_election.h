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
  // An owner that wrote no renewal for this long, as reads of the log show, is
  // replaced: three renewals, so that one lost answer does not change the
  // owner.
  std::chrono::milliseconds silence{1600};
  // An owner that has not read the log to its end for this long says so in its
  // renewals: it knows neither of new jobs nor of cancelled ones, and somebody
  // who reads is to replace it. Longer than a read that waits for a renewal of
  // its own.
  std::chrono::milliseconds read_within{1000};
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
  // The log was read to its end, as it was at `shown`, by a read that was
  // answered at `now`.
  auto OnCaughtUp(TimePoint now, TimePoint shown) -> void;
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
  // Whether a claim that is not in the log yet has lost its grounds: reads show
  // the owner's silence no more, or nothing.
  auto ClaimIsGroundless(TimePoint now) const -> bool;
  // Whether this entry reads the log too late, so that it should not decide if
  // another one does.
  auto reads_late(TimePoint now) const -> bool {
    return now - shown_until_ >= options_.read_within;
  }
  // Whether the owner has missed a renewal, so that a claim may be due soon.
  auto owner_is_late() const -> bool {
    return silent_for_ > 2 * options_.renew_interval;
  }
  // How long a read may wait for a record, so that the owner's silence shows as
  // soon as it has lasted.
  auto ReadWait(std::chrono::milliseconds longest) const
      -> std::chrono::milliseconds;
  // A release to append, if this entry owns the cell or claims it.
  auto Release(TimePoint now) -> std::optional<OwnerClaim>;

  // True if this entry's claim is the newest in the log, and was verified
  // within the limit.
  auto owner(TimePoint now) const -> bool;
  // The fence of this entry's claim; zero if it has none.
  auto fence() const -> uint64_t { return fence_; }
  // No other entry has owned the cell since this one's claim, up to this time:
  // the log has taken an append under this entry's fence that was sent then.
  auto alone_until() const -> TimePoint { return verified_; }
  auto earlier_grants() const -> const EarlierGrants& { return earlier_; }
  // The owner that this entry's claim replaced.
  auto replaced_owner() const -> const std::string& { return replaced_owner_; }

 private:
  // Whether the log is being read, and shows that nobody owns the cell.
  auto HasGrounds(TimePoint now) const -> bool;
  // Whether the log was read to its end within the gap.
  auto Reads(TimePoint now, std::chrono::milliseconds gap) const -> bool;
  // After which silence this entry claims.
  auto SilenceToClaim() const -> std::chrono::milliseconds;
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
  // The newest of an owner that reads.
  TimePoint alive_read_;
  TimePoint caught_up_;
  TimePoint shown_until_;
  // For how long reads that were answered have shown no renewal.
  Duration silent_for_{0};
  uint64_t fence_ = 0;
  uint64_t renewal_ = 0;
  bool confirmed_ = false;
  // This entry's claim is in the log.
  bool stored_ = false;
  TimePoint claim_due_;
  TimePoint verified_;
  EarlierGrants earlier_;
  std::string replaced_owner_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_OWNER_ELECTION_H_

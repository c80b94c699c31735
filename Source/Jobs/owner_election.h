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
  // Interval between two renewals of the owner's claim. It causes two calls a
  // second to the log.
  std::chrono::milliseconds renew_interval{500};
  // An owner is replaced if reads of the log show no renewal by it for this
  // long. The time covers three renewals, so that one lost response does not
  // change the owner.
  std::chrono::milliseconds claim_timeout{1600};
  // An owner that has not read the log to its end for this long states so in
  // its renewals: it receives neither new jobs nor cancellations, and an entry
  // that can read should replace it. The limit is longer than a read that waits
  // for a renewal of the owner itself.
  std::chrono::milliseconds max_read_age{1000};
  // The claim timeouts of candidates differ by up to this, so that usually only
  // one claims.
  std::chrono::milliseconds spread{400};
  // An owner that cannot renew its claim continues to decide for this long,
  // since no other entry can replace it while the whole log is unavailable. The
  // limit is longer than the outages of 4 to 13 s that the platform announces.
  // A successor that cannot reach an agent waits this long for its tasks, see
  // `JobOwner`.
  std::chrono::milliseconds unverified_limit{16000};
  // How long a grant to an agent may last, by any clock.
  Duration lease{0};
};

// When grants of earlier owners have expired, also those to agents that are
// unreachable.
struct EarlierGrants {
  // Expiry of the grants of the direct predecessor, and of those of all other
  // earlier owners.
  TimePoint last_owner;
  TimePoint before_last_owner;
  // If set, the last owner granted nothing that rests on renewals after
  // this time, and nothing else without a majority of agents.
  std::optional<TimePoint> last_owner_renewed = std::nullopt;
};

// Decides when this entry claims the cell and whether it may decide for it. The
// log ensures that exactly one claim succeeds: claims are appended by one
// producer with the fence as epoch.
class OwnerElection {
 public:
  explicit OwnerElection(OwnerElectionOptions options);

  // Handles the newest claim in the log, each time one is read.
  auto OnClaimRead(TimePoint now, const OwnerClaim& claim) -> void;
  // The log was read to its end by a read that was answered at `now` and
  // reflects the log at `as_of`.
  auto OnCaughtUp(TimePoint now, TimePoint as_of) -> void;
  // An entry has announced that it grants nothing more under fences up to
  // `fence`. Returns true if that shortens the time that this owner has to
  // wait.
  auto OnResignationRead(TimePoint now,
                         const std::string& entry,
                         uint64_t fence) -> bool;
  // An append under this entry's claim that was sent at `sent` is stored in the
  // log.
  auto OnAppendStored(TimePoint sent) -> void;
  // A claim or renewal that was sent at `sent` is stored in the log.
  auto OnRenewalStored(TimePoint sent) -> void;
  // The previous owner's grants are known to expire at `end`. States that
  // with a renewal that is due at once.
  auto OnLastOwnerBound(TimePoint now, TimePoint end) -> void;
  // A renewal is due now.
  auto RenewAtOnce(TimePoint now) -> void;
  // The log was read anew from its newest records, which may hide renewals of
  // the previous owner that were stored before this entry's claim.
  auto OnReread(TimePoint now) -> void;
  // The current claim was fenced or lost.
  auto OnClaimLost() -> void;

  // A claim to append now: an initial claim, or a renewal by the owner.
  auto ClaimDue(TimePoint now) -> std::optional<OwnerClaim>;
  // Whether a claim that is not stored yet is no longer justified: reads no
  // longer show a missing renewal, or no read succeeds.
  auto ClaimIsUnjustified(TimePoint now) const -> bool;
  // Whether this entry reads the log too late, so that it should not decide if
  // another entry can.
  auto reads_late(TimePoint now) const -> bool {
    return now - read_as_of_ >= options_.max_read_age;
  }
  // How long reads of the log have shown no renewal of the owner's claim.
  auto unrenewed_for() const -> Duration { return unrenewed_for_; }
  // Whether the owner has missed a renewal, so that a claim may soon be due.
  auto owner_is_late() const -> bool {
    return unrenewed_for_ > 2 * options_.renew_interval;
  }
  // How long a read may wait for a record, so that an expired claim timeout is
  // detected without delay.
  auto ReadWait(std::chrono::milliseconds longest) const
      -> std::chrono::milliseconds;
  // A release of the claim to append, if this entry owns the cell or claims it.
  auto Release(TimePoint now) -> std::optional<OwnerClaim>;

  // Whether this entry's claim is the newest in the log and was verified within
  // the limit.
  auto owner(TimePoint now) const -> bool;
  // The fence of this entry's claim; zero if it has none.
  auto fence() const -> uint64_t { return fence_; }
  // Until this time, no other entry can have owned the cell since this entry's
  // claim: the log accepted an append under this entry's fence that was sent
  // then.
  auto exclusive_until() const -> TimePoint { return verified_; }
  // When the newest renewal that is stored in the log was sent. The next owner
  // reads it before its own claim.
  auto renewed_at() const -> TimePoint { return renewed_; }
  // All records that the log had at this time have been read.
  auto read_as_of() const -> TimePoint { return read_as_of_; }
  auto earlier_grants() const -> const EarlierGrants& { return earlier_; }
  // The owner that this entry's claim replaced.
  auto replaced_owner() const -> const std::string& { return replaced_owner_; }

 private:
  // Whether the log is being read and shows that no entry owns the cell.
  auto MayClaim(TimePoint now) const -> bool;
  // Whether the log was read to its end less than `gap` ago.
  auto ReadWithin(TimePoint now, std::chrono::milliseconds gap) const -> bool;
  // The time without a renewal after which this entry claims.
  auto ClaimTimeout() const -> std::chrono::milliseconds;
  // Whether the newest claim is of an earlier process of this entry.
  auto predecessor_has_ended() const -> bool;
  // The remaining duration of the grants of all earlier owners, in
  // milliseconds.
  auto EarlierGrantsLeft(TimePoint now) const -> uint64_t;
  auto GrantsBefore(TimePoint now) const -> EarlierGrants;
  auto IsOwnClaim(const OwnerClaim& claim) const -> bool;

  OwnerElectionOptions options_;
  OwnerClaim newest_;
  bool any_claim_ = false;
  TimePoint newest_read_;
  // When the newest claim of an owner that reads the log was read.
  TimePoint live_claim_read_;
  TimePoint caught_up_;
  TimePoint read_as_of_;
  // How long successful reads have shown no renewal.
  Duration unrenewed_for_{0};
  uint64_t fence_ = 0;
  uint64_t renewal_ = 0;
  bool confirmed_ = false;
  // This entry's claim is stored in the log.
  bool stored_ = false;
  TimePoint claim_due_;
  TimePoint verified_;
  TimePoint renewed_;
  EarlierGrants earlier_;
  std::string replaced_owner_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_OWNER_ELECTION_H_

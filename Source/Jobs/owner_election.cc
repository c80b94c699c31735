#include "Jobs/owner_election.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// A longer gap between two successful reads does not count as a missing renewal
// of the owner: while no entry could read, the owner could not renew either.
constexpr std::chrono::milliseconds kMaxReadGap{1500};
constexpr std::chrono::milliseconds kMinReadWait{20};
// Upper bound of the duration that a claim may state. Larger values exceed any
// lease and would overflow a time point.
constexpr std::chrono::milliseconds kMaxReportedGrants{600000};
// The rates of the clocks of two entries may differ by this fraction.
constexpr double kClockDrift = 0.02;

}  // namespace

OwnerElection::OwnerElection(OwnerElectionOptions options)
    : options_(std::move(options)) {}

auto OwnerElection::OnClaimRead(TimePoint now, const OwnerClaim& claim)
    -> void {
  newest_ = claim;
  any_claim_ = true;
  newest_read_ = now;
  if (!claim.reads_nothing()) {
    live_claim_read_ = now;
    unrenewed_for_ = Duration(0);
  }
  if (IsOwnClaim(claim) && claim.fence() == fence_) {
    confirmed_ = !claim.released();
    stored_ = true;
    return;
  }
  if (claim.fence() >= fence_) {
    // Another entry's claim follows this entry's claim.
    OnClaimLost();
  } else {
    // The predecessor has renewed its claim since this entry's claim was made.
    earlier_ = GrantsBefore(now);
  }
}

auto OwnerElection::OnCaughtUp(TimePoint now, TimePoint as_of) -> void {
  const TimePoint from = std::max(read_as_of_, live_claim_read_);
  if (from != TimePoint() && from < as_of && as_of - from <= kMaxReadGap) {
    unrenewed_for_ += as_of - from;
  }
  read_as_of_ = std::max(read_as_of_, as_of);
  caught_up_ = now;
}

auto OwnerElection::OnResignationRead(TimePoint now,
                                      const std::string& entry,
                                      uint64_t fence) -> bool {
  // Orders of the replaced owner may still be in transit. A lease counts from
  // the report that they answer.
  const TimePoint over = now + options_.lease;
  const bool ends_wait = fence_ != 0 && entry == replaced_owner_ &&
                         fence + 1 >= fence_ && over < earlier_.last_owner;
  if (ends_wait) {
    earlier_.last_owner = over;
  }
  return ends_wait;
}

auto OwnerElection::OnAppendStored(TimePoint sent) -> void {
  verified_ = std::max(verified_, sent);
  stored_ = true;
}

auto OwnerElection::OnRenewalStored(TimePoint sent) -> void {
  renewed_ = std::max(renewed_, sent);
}

auto OwnerElection::RenewAtOnce(TimePoint now) -> void {
  if (fence_ != 0) {
    claim_due_ = now;
  }
}

auto OwnerElection::OnReread(TimePoint now) -> void {
  if (fence_ != 0 && !confirmed_ && any_claim_) {
    newest_read_ = now;
    earlier_ = GrantsBefore(now);
  }
}

auto OwnerElection::OnLastOwnerBound(TimePoint now, TimePoint end) -> void {
  if (fence_ != 0 && end < earlier_.last_owner) {
    earlier_.last_owner = end;
    claim_due_ = now;
  }
}

auto OwnerElection::OnClaimLost() -> void {
  fence_ = 0;
  confirmed_ = false;
  stored_ = false;
}

auto OwnerElection::ClaimDue(TimePoint now) -> std::optional<OwnerClaim> {
  if (fence_ == 0) {
    if (!MayClaim(now)) {
      return std::nullopt;
    }
    fence_ = newest_.fence() + 1;
    renewal_ = 0;
    earlier_ = GrantsBefore(now);
    replaced_owner_ = newest_.owner();
  } else if (now < claim_due_) {
    return std::nullopt;
  }
  claim_due_ = now + options_.renew_interval;
  OwnerClaim claim;
  claim.set_owner(options_.name);
  claim.set_incarnation(options_.incarnation);
  claim.set_fence(fence_);
  claim.set_renewal(++renewal_);
  claim.set_earlier_grants_ms(EarlierGrantsLeft(now));
  claim.set_notes_grants(true);
  claim.set_grants_need_majority(true);
  claim.set_reads_nothing(confirmed_ && reads_late(now));
  return claim;
}

auto OwnerElection::EarlierGrantsLeft(TimePoint now) const -> uint64_t {
  const Duration left =
      std::max(earlier_.last_owner, earlier_.before_last_owner) - now;
  return static_cast<uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(std::max(Duration(0), left))
          .count());
}

// An owner that has ended or released its claim grants nothing from now on. One
// that may only be disconnected from the log continues for a while, and owners
// before it may still be disconnected as well.
auto OwnerElection::GrantsBefore(TimePoint now) const -> EarlierGrants {
  const Duration longest = options_.unverified_limit + options_.lease;
  EarlierGrants grants{now + options_.lease, TimePoint()};
  if (!any_claim_) {
    return grants;
  }
  if (!newest_.notes_grants()) {
    // The owner runs a version that does not state the grants of its
    // predecessors.
    grants.last_owner =
        newest_.released() ? now + options_.lease : newest_read_ + longest;
    grants.before_last_owner = grants.last_owner;
    return grants;
  }
  if (!newest_.released() && !predecessor_has_ended()) {
    grants.last_owner = newest_read_ + longest;
    if (newest_.grants_need_majority()) {
      grants.last_owner_renewed = newest_read_;
    }
  }
  // A claim of a foreign writer may contain any value. No grant lasts longer
  // than this.
  const Duration earlier = std::min<Duration>(
      std::chrono::milliseconds(std::min<uint64_t>(newest_.earlier_grants_ms(),
                                                   kMaxReportedGrants.count())),
      longest);
  grants.before_last_owner =
      newest_read_ +
      std::chrono::duration_cast<Duration>(earlier * (1.0 + kClockDrift));
  return grants;
}

auto OwnerElection::Release(TimePoint now) -> std::optional<OwnerClaim> {
  if (fence_ == 0) {
    return std::nullopt;
  }
  OwnerClaim claim;
  claim.set_owner(options_.name);
  claim.set_incarnation(options_.incarnation);
  claim.set_fence(fence_);
  claim.set_renewal(++renewal_);
  claim.set_released(true);
  claim.set_earlier_grants_ms(EarlierGrantsLeft(now));
  claim.set_notes_grants(true);
  OnClaimLost();
  return claim;
}

auto OwnerElection::owner(TimePoint now) const -> bool {
  return fence_ != 0 && confirmed_ &&
         now < verified_ + options_.unverified_limit;
}

auto OwnerElection::MayClaim(TimePoint now) const -> bool {
  if (!ReadWithin(now, kMaxReadGap)) {
    return false;
  }
  if (!any_claim_ || newest_.released() || predecessor_has_ended()) {
    return true;
  }
  return unrenewed_for_ > ClaimTimeout();
}

auto OwnerElection::ReadWithin(TimePoint now,
                               std::chrono::milliseconds gap) const -> bool {
  return caught_up_ != TimePoint() && now - caught_up_ < gap;
}

auto OwnerElection::ClaimTimeout() const -> std::chrono::milliseconds {
  const auto own_part =
      StableHash(options_.name, newest_.fence()) %
      static_cast<uint64_t>(std::max<int64_t>(1, options_.spread.count()));
  return options_.claim_timeout + std::chrono::milliseconds(own_part);
}

auto OwnerElection::ClaimIsUnjustified(TimePoint now) const -> bool {
  return fence_ != 0 && !stored_ && !MayClaim(now);
}

auto OwnerElection::ReadWait(std::chrono::milliseconds longest) const
    -> std::chrono::milliseconds {
  if (fence_ != 0) {
    // Responses arrive often enough to confirm that the owner reads the log.
    return std::min(longest, options_.renew_interval / 2);
  }
  if (!any_claim_ || unrenewed_for_ > ClaimTimeout()) {
    return longest;
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      ClaimTimeout() - unrenewed_for_);
  return std::clamp(left, kMinReadWait, longest);
}

// Each entry runs as one process. An earlier process of the same name that
// holds the claim has ended, or is this process after it gave up the claim.
auto OwnerElection::predecessor_has_ended() const -> bool {
  return newest_.owner() == options_.name;
}

auto OwnerElection::IsOwnClaim(const OwnerClaim& claim) const -> bool {
  return claim.owner() == options_.name &&
         claim.incarnation() == options_.incarnation;
}

}  // namespace rhubarbhaven::jobs

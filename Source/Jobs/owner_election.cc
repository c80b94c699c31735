#include "Jobs/owner_election.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// A time without an answer that is longer than this counts as no silence of the
// owner: nobody could renew while nobody could read.
constexpr std::chrono::milliseconds kReadingGap{1500};
constexpr std::chrono::milliseconds kShortestReadWait{20};
// Numbers beyond any lease, which would not fit a time.
constexpr std::chrono::milliseconds kLongestTold{600000};
// The clocks of two entries may differ in speed by this share.
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
    alive_read_ = now;
    silent_for_ = Duration(0);
  }
  if (mine(claim) && claim.fence() == fence_) {
    confirmed_ = !claim.released();
    stored_ = true;
    return;
  }
  if (claim.fence() >= fence_) {
    // Somebody else's claim came later than ours.
    OnClaimLost();
  }
}

auto OwnerElection::OnCaughtUp(TimePoint now, TimePoint shown) -> void {
  const TimePoint from = std::max(shown_until_, alive_read_);
  if (from != TimePoint() && from < shown && shown - from <= kReadingGap) {
    silent_for_ += shown - from;
  }
  shown_until_ = std::max(shown_until_, shown);
  caught_up_ = now;
}

auto OwnerElection::OnResignationRead(TimePoint now,
                                      const std::string& entry,
                                      uint64_t fence) -> bool {
  // Its orders may still be on their way; a lease counts from the report that
  // they answer.
  const TimePoint over = now + options_.lease;
  const bool ends_wait = fence_ != 0 && entry == replaced_owner_ &&
                         fence + 1 >= fence_ && over < earlier_.last_owner;
  if (ends_wait) {
    earlier_.last_owner = over;
  }
  return ends_wait;
}

auto OwnerElection::OnClaimStored(TimePoint sent) -> void {
  verified_ = std::max(verified_, sent);
  stored_ = true;
}

auto OwnerElection::OnClaimLost() -> void {
  fence_ = 0;
  confirmed_ = false;
  stored_ = false;
}

auto OwnerElection::ClaimDue(TimePoint now) -> std::optional<OwnerClaim> {
  if (fence_ == 0) {
    if (!HasGrounds(now)) {
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

// A dead or released owner grants nothing from now on; one that may only be cut
// off from the log goes on for a while. Owners before it may be cut off still.
auto OwnerElection::GrantsBefore(TimePoint now) const -> EarlierGrants {
  const Duration longest = options_.unverified_limit + options_.lease;
  EarlierGrants grants{now + options_.lease, TimePoint()};
  if (!any_claim_) {
    return grants;
  }
  if (!newest_.notes_grants()) {
    // An owner of a version that says nothing of those before it.
    grants.last_owner =
        newest_.released() ? now + options_.lease : newest_read_ + longest;
    grants.before_last_owner = grants.last_owner;
    return grants;
  }
  if (!newest_.released() && !predecessor_is_dead()) {
    grants.last_owner = newest_read_ + longest;
  }
  // A claim of another writer may say anything; no grants hold for longer.
  const Duration earlier = std::min<Duration>(
      std::chrono::milliseconds(std::min<uint64_t>(newest_.earlier_grants_ms(),
                                                   kLongestTold.count())),
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

auto OwnerElection::HasGrounds(TimePoint now) const -> bool {
  if (!Reads(now, kReadingGap)) {
    return false;
  }
  if (!any_claim_ || newest_.released() || predecessor_is_dead()) {
    return true;
  }
  return silent_for_ > SilenceToClaim();
}

auto OwnerElection::Reads(TimePoint now, std::chrono::milliseconds gap) const
    -> bool {
  return caught_up_ != TimePoint() && now - caught_up_ < gap;
}

auto OwnerElection::SilenceToClaim() const -> std::chrono::milliseconds {
  const auto own_part =
      StableHash(options_.name, newest_.fence()) %
      static_cast<uint64_t>(std::max<int64_t>(1, options_.spread.count()));
  return options_.silence + std::chrono::milliseconds(own_part);
}

auto OwnerElection::ClaimIsGroundless(TimePoint now) const -> bool {
  return fence_ != 0 && !stored_ && !HasGrounds(now);
}

auto OwnerElection::ReadWait(std::chrono::milliseconds longest) const
    -> std::chrono::milliseconds {
  if (fence_ != 0) {
    // Answers come often enough to show that the owner reads.
    return std::min(longest, options_.renew_interval / 2);
  }
  if (!any_claim_ || silent_for_ > SilenceToClaim()) {
    return longest;
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      SilenceToClaim() - silent_for_);
  return std::clamp(left, kShortestReadWait, longest);
}

// A process of the same name that holds the claim is gone, or is this one and
// has given up: an entry runs once.
auto OwnerElection::predecessor_is_dead() const -> bool {
  return newest_.owner() == options_.name;
}

auto OwnerElection::mine(const OwnerClaim& claim) const -> bool {
  return claim.owner() == options_.name &&
         claim.incarnation() == options_.incarnation;
}

}  // namespace rhubarbhaven::jobs

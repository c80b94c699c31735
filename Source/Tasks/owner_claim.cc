#include "Tasks/owner_claim.h"

#include <algorithm>

namespace rhubarbhaven::tasks {
namespace {

// The rates of two clocks differ by less than one part in this many.
constexpr int kDriftDivisor = 1000;
// The claim timeout divided by this is the margin between the end of a first
// lease and the end of the claim timeout.
constexpr int kFirstLeaseMarginDivisor = 4;
// Minimum number of renewals within the claim timeout.
constexpr int kRenewalsPerTimeout = 3;

}  // namespace

CellClaim::CellClaim(const OwnerOptions& options, const CellFold* fold)
    : options_(options), fold_(fold) {}

auto CellClaim::HoldsClaim() const -> bool {
  return fold_->fence() != 0 && fold_->owner() == options_.entry_id &&
         fold_->owner_incarnation() == options_.entry_incarnation;
}

auto CellClaim::Observe(TimePoint now) -> bool {
  const uint64_t before = fence_;
  if (fold_->claim_offset() != seen_offset_) {
    seen_offset_ = fold_->claim_offset();
    unchanged_since_ = now;
    if (HoldsClaim() && first_issue_.has_value()) {
      // Any of the records that named the earlier offset may have taken effect;
      // none was made before the first of them.
      renewed_ = *first_issue_;
    }
    first_issue_.reset();
    in_flight_ = false;
  }
  const uint64_t own_fence = HoldsClaim() ? fold_->fence() : 0;
  if (own_fence != fence_) {
    fence_ = own_fence;
    if (own_fence != 0) {
      OnOwnershipStart(now);
    }
  }
  return fence_ != before;
}

auto CellClaim::OnOwnershipStart(TimePoint now) -> void {
  verified_ = renewed_;
  next_renewal_ = now + renewal();
  auto leases = options_.lease_ttl + options_.worker_lease;
  if (fold_->unsettled()) {
    leases += options_.unverified_limit;
  }
  leases += leases / kDriftDivisor;
  inherited_until_ = now + leases + options_.drift_margin;
}

auto CellClaim::OnCaughtUp(TimePoint now, TimePoint read_sent_at) -> void {
  // After a log outage, every candidate would find the claim expired and
  // replace an owner that had no chance to renew it. A gap in the reads
  // therefore restarts the observation.
  const bool gap =
      last_read_sent_at_ == TimePoint::min() ||
      read_sent_at - last_read_sent_at_ > options_.claim_timeout / 2;
  if (gap) {
    unchanged_since_ = now;
  }
  last_read_sent_at_ = std::max(last_read_sent_at_, read_sent_at);
  if (fence_ != 0) {
    verified_ = std::max(verified_, read_sent_at);
  }
}

auto CellClaim::OnAppendFailed() -> void {
  in_flight_ = false;
}

auto CellClaim::Step(TimePoint now) -> std::optional<schema::LogEntry> {
  // A process that has released the cell is about to stop and must not claim it
  // again.
  if (releasing_ || now < next_issue()) {
    return std::nullopt;
  }
  if (fence_ != 0) {
    if (now < next_renewal_) {
      return std::nullopt;
    }
    next_renewal_ = now + renewal();
    return Issue(now, true);
  }
  const bool caught_up = last_read_sent_at_ != TimePoint::min() &&
                         last_read_sent_at_ >= unchanged_since_;
  const bool free = fold_->fence() == 0 && caught_up;
  const bool claim_expired =
      caught_up &&
      last_read_sent_at_ - unchanged_since_ >= options_.claim_timeout;
  if (!free && !claim_expired) {
    return std::nullopt;
  }
  return Issue(now, false);
}

auto CellClaim::next_issue() const -> TimePoint {
  if (last_issue_ == TimePoint::min()) {
    return TimePoint::min();
  }
  return last_issue_ + (in_flight_ ? options_.claim_timeout
                                   : renewal() / kRenewalsPerTimeout);
}

auto CellClaim::Issue(TimePoint now, bool renewal) -> schema::LogEntry {
  first_issue_ = first_issue_.value_or(now);
  last_issue_ = now;
  in_flight_ = true;
  schema::LogEntry entry = NewClaim();
  entry.mutable_claim()->set_replaces(seen_offset_);
  entry.mutable_claim()->set_renewal(renewal);
  return entry;
}

auto CellClaim::Release() -> std::optional<schema::LogEntry> {
  const bool held = owns();
  releasing_ = true;
  if (!held) {
    return std::nullopt;
  }
  schema::LogEntry entry = NewClaim();
  entry.mutable_claim()->set_replaces(fence_);
  entry.mutable_claim()->set_release(true);
  entry.mutable_claim()->set_settled(settled());
  return entry;
}

auto CellClaim::NewClaim() const -> schema::LogEntry {
  schema::LogEntry entry;
  schema::OwnerClaim* claim = entry.mutable_claim();
  claim->set_cell(options_.cell);
  claim->set_owner(options_.entry_id);
  claim->set_owner_incarnation(options_.entry_incarnation);
  return entry;
}

auto CellClaim::renewal() const -> std::chrono::milliseconds {
  return std::min(options_.claim_renewal,
                  options_.claim_timeout / kRenewalsPerTimeout);
}

auto CellClaim::may_grant(TimePoint now) const -> bool {
  return owns() && now - verified_ <= options_.unverified_limit;
}

auto CellClaim::may_append(TimePoint now) const -> bool {
  return owns() && now - verified_ <= options_.claim_timeout;
}

auto CellClaim::MaxFirstLease(TimePoint now) const
    -> std::chrono::milliseconds {
  // A restarted agent has no record of the fence. A replaced owner that is cut
  // off from the log could grant it another lease, while the new owner accounts
  // only for the leases that it granted itself. A claim is replaced only if it
  // was not renewed for `claim_timeout`, so a first lease that ends before that
  // time, counted from the latest renewal, cannot overlap.
  const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - renewed_);
  const auto left = options_.claim_timeout -
                    options_.claim_timeout / kFirstLeaseMarginDivisor - age;
  return std::min(options_.lease_ttl, left);
}

auto CellClaim::next_wake() const -> TimePoint {
  if (fence_ == 0 || releasing_) {
    return TimePoint::max();
  }
  return std::max(next_renewal_, next_issue());
}

}  // namespace rhubarbhaven::tasks

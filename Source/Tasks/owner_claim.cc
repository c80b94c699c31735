#include "Tasks/owner_claim.h"

#include <algorithm>

namespace rhubarbhaven::tasks {
namespace {

// Clocks of two processes differ by less than one part in this many.
constexpr int kDriftDivisor = 1000;
// Part of the claim timeout that a first lease stays clear of.
constexpr int kFirstLeaseMargin = 4;
// A claim is renewed at least this often within its timeout.
constexpr int kRenewalsPerTimeout = 3;

}  // namespace

CellClaim::CellClaim(const OwnerOptions& options, const CellFold* fold)
    : options_(options), fold_(fold) {}

auto CellClaim::IsMine() const -> bool {
  return fold_->fence() != 0 && fold_->owner() == options_.entry_id &&
         fold_->owner_incarnation() == options_.entry_incarnation;
}

auto CellClaim::Observe(TimePoint now) -> bool {
  const uint64_t before = fence_;
  if (fold_->claim_offset() != seen_offset_) {
    seen_offset_ = fold_->claim_offset();
    quiet_since_ = now;
    if (IsMine() && first_issue_.has_value()) {
      // Whichever of the records that named the earlier offset took effect,
      // it was not made before the first of them.
      renewed_ = *first_issue_;
    }
    first_issue_.reset();
    in_flight_ = false;
  }
  const uint64_t mine = IsMine() ? fold_->fence() : 0;
  if (mine != fence_) {
    fence_ = mine;
    if (mine != 0) {
      TakeOver(now);
    }
  }
  return fence_ != before;
}

auto CellClaim::TakeOver(TimePoint now) -> void {
  verified_ = renewed_;
  next_renewal_ = now + renewal();
  auto inherited = options_.lease_ttl + options_.worker_lease;
  if (fold_->unsettled()) {
    inherited += options_.unverified_limit;
  }
  inherited += inherited / kDriftDivisor;
  inherited_until_ = now + inherited + options_.drift_margin;
}

auto CellClaim::OnCaughtUp(TimePoint now, TimePoint asked) -> void {
  // What goes wrong: after an outage every candidate finds the claim old and
  // takes the cell from an owner that could not renew. A gap in the reading
  // starts the observation anew.
  const bool gap = last_asked_ == TimePoint::min() ||
                   asked - last_asked_ > options_.claim_timeout / 2;
  if (gap) {
    quiet_since_ = now;
  }
  last_asked_ = std::max(last_asked_, asked);
  if (fence_ != 0) {
    verified_ = std::max(verified_, asked);
  }
}

auto CellClaim::OnAppendFailed() -> void {
  in_flight_ = false;
}

auto CellClaim::Step(TimePoint now) -> std::optional<schema::LogEntry> {
  // A process that gave the cell free is about to stop: it claims no more.
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
  const bool caught_up =
      last_asked_ != TimePoint::min() && last_asked_ >= quiet_since_;
  const bool free = fold_->fence() == 0 && caught_up;
  const bool silent =
      caught_up && last_asked_ - quiet_since_ >= options_.claim_timeout;
  if (!free && !silent) {
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

auto CellClaim::FirstLease(TimePoint now) const -> std::chrono::milliseconds {
  // What goes wrong: an agent that restarted has forgotten the fence; an owner
  // that was replaced, cut off from the log, would lease to it again, while
  // the new owner counts on the leases that it gave itself. A claim is only
  // replaced when it was not renewed for `claim_timeout`, so a first lease
  // that ends before that, counted from the latest renewal, cannot overlap.
  const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - renewed_);
  const auto left =
      options_.claim_timeout - options_.claim_timeout / kFirstLeaseMargin - age;
  return std::min(options_.lease_ttl, left);
}

auto CellClaim::next_wake() const -> TimePoint {
  if (fence_ == 0 || releasing_) {
    return TimePoint::max();
  }
  return std::max(next_renewal_, next_issue());
}

}  // namespace rhubarbhaven::tasks

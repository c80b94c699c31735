#include <algorithm>
#include <chrono>

#include "Jobs/agent_majority.h"
#include "Jobs/job_owner.h"

// For how long this owner may grant leases, and until when those of the
// previous owner may last.
namespace rhubarbhaven::jobs {
namespace {

// How old the computed majority may be. Looking at all agents for each poll
// would cost time that grows with their square.
constexpr std::chrono::milliseconds kMajorityInterval{100};
// The same for each report during the reconciliation.
constexpr std::chrono::milliseconds kBoundInterval{20};
// A shorter lease would have expired before the agent can use it.
constexpr std::chrono::milliseconds kMinLease{500};
// A larger value in a report exceeds any lease and would overflow a time point.
constexpr std::chrono::milliseconds kMaxSinceEarlierOwner{600000};

auto FromMicroseconds(uint64_t microseconds, TimePoint latest) -> TimePoint {
  const auto limit = std::chrono::duration_cast<std::chrono::microseconds>(
      latest.time_since_epoch());
  return TimePoint(std::chrono::microseconds(
      std::min<uint64_t>(microseconds, limit.count())));
}

}  // namespace

auto JobOwner::NoteFollowed(TimePoint now,
                            WorkerView& worker,
                            const AgentReport& report) -> void {
  NoteEarlierOwner(now, worker, report);
  // Only a process that the log names counts: the next one does not remember
  // that its predecessor has followed a later owner. The record stays when the
  // agent's worker has left.
  const bool recorded = worker.grants_recorded &&
                        report.incarnation() == worker.agent_incarnation;
  const bool named =
      report.incarnation() != 0 &&
      report.incarnation() == fold_->granted_process(worker.agent);
  if (!recorded && !named) {
    return;
  }
  worker.followed_at = std::max(
      worker.followed_at, FromMicroseconds(report.orders_built_at_us(), now));
}

auto JobOwner::NoteEarlierOwner(TimePoint now,
                                const WorkerView& worker,
                                const AgentReport& report) -> void {
  if (earlier_members_.erase(worker.agent) == 0) {
    return;
  }
  const auto reported = std::chrono::milliseconds(std::min<uint64_t>(
      report.since_earlier_owner_ms(), kMaxSinceEarlierOwner.count()));
  const auto since = std::chrono::duration_cast<Duration>(
      reported / (1.0 + options_.clock_drift));
  earlier_reports_.push_back(now - since);
}

auto JobOwner::MajorityFollowsSince(TimePoint now) -> TimePoint {
  if (now < majority_computed_at_ + kMajorityInterval) {
    return majority_follows_since_;
  }
  majority_computed_at_ = now;
  std::vector<TimePoint> followed;
  for (const auto& [name, worker] : workers_) {
    if (worker->followed_at != TimePoint()) {
      followed.push_back(worker->followed_at);
    }
  }
  majority_follows_since_ =
      MajorityReportedSince(std::move(followed), CountMembers())
          .value_or(TimePoint());
  return majority_follows_since_;
}

auto JobOwner::CountMembers() const -> std::size_t {
  std::size_t members = fold_->granted_count();
  for (const auto& name : unread_grants_) {
    members += fold_->granted_by(name) ? 0 : 1;
  }
  return members;
}

auto JobOwner::GrantFrom(TimePoint now, const WorkerView& worker) -> TimePoint {
  const TimePoint renewed = hooks_.renewed_at();
  if (worker.reported_at <= renewed) {
    return worker.reported_at;
  }
  return std::min(worker.reported_at,
                  std::max(renewed, MajorityFollowsSince(now)));
}

auto JobOwner::LeaseFor(TimePoint now, const WorkerView& worker)
    -> std::chrono::milliseconds {
  if (worker.reported_us == 0 || !worker.grants_recorded) {
    return std::chrono::milliseconds(0);
  }
  const TimePoint from = GrantFrom(now, worker);
  const bool limited = from < worker.reported_at;
  if (limited && now > from + options_.lease_ttl - kMinLease) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::floor<std::chrono::milliseconds>(
      options_.lease_ttl - (worker.reported_at - from));
}

auto JobOwner::NoteEarlierMembers() -> void {
  earlier_members_.clear();
  earlier_reports_.clear();
  earlier_member_count_ = fold_->granted_count();
  for (const auto& name : fold_->granted_agents()) {
    if (fold_->granted_process_has_stopped(name)) {
      // It has answered nobody since.
      earlier_reports_.push_back(begun_at_);
    } else {
      earlier_members_.insert(name);
    }
  }
}

auto JobOwner::BoundLastOwner(TimePoint now) -> void {
  if (!earlier_.last_owner_renewed || earlier_reports_.size() == bound_from_ ||
      now < bound_computed_at_ + kBoundInterval) {
    return;
  }
  bound_from_ = earlier_reports_.size();
  bound_computed_at_ = now;
  const auto majority =
      LastPossibleMajority(earlier_reports_, earlier_member_count_);
  if (!majority) {
    return;
  }
  const TimePoint end =
      LeaseBound(std::max(*earlier_.last_owner_renewed, *majority));
  if (end >= earlier_.last_owner) {
    return;
  }
  earlier_.last_owner = end;
  hooks_.on_last_owner_bound(now, end);
  ShortenWaits(now);
}

}  // namespace rhubarbhaven::jobs

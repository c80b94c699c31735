#include <absl/strings/str_cat.h>

#include <algorithm>

#include "Jobs/job_owner.h"

// Reconciliation by a new owner: until when tasks of jobs accepted before its
// claim wait, and for which agents.
namespace rhubarbhaven::jobs {
namespace {

// Running agents answer within some 50 ms; those missing after this time are
// unreachable or gone.
constexpr std::chrono::milliseconds kReconciliationLogDelay{1000};
constexpr std::chrono::milliseconds kReconciliationLogInterval{5000};
// Number of agents named in one log line.
constexpr std::size_t kMaxNamedAgents = 12;

// Whether reconciliation waits for the worker. A worker that is gone cannot be
// listed: waiting until leases of the previous owner must have expired would
// keep all tasks down for 20 s. One that is only unresponsive may return, and
// its agent, leased to by this owner, may then renew the earlier runs.
auto BlocksReconciliation(const WorkerView& worker) -> bool {
  return !worker.confirmed && !worker.earlier_runs_ended;
}

}  // namespace

auto JobOwner::ReconciliationDeadline() const -> TimePoint {
  TimePoint end;
  for (const auto& [name, worker] : unconfirmed_) {
    if (BlocksReconciliation(*worker)) {
      end = std::max(end, worker->lease_bound);
    }
  }
  return end;
}

auto JobOwner::FinishReconciliation(TimePoint now) -> void {
  if (!active()) {
    return;
  }
  // Also once the reconciliation is done: the next owner is told the bound.
  BoundLastOwner(now);
  if (reconciliation_done_) {
    return;
  }
  if (hooks_.exclusive_until() < ReconciliationDeadline()) {
    LogReconciliationWait(now);
    return;
  }
  reconciliation_done_ = true;
  hooks_.log_reconciliation(DescribeReconciliation(now));
  for (auto& [id, work] : jobs_) {
    for (auto& [number, occurrence] : work->occurrences) {
      for (auto& step : occurrence.steps) {
        for (auto& task : step.tasks()) {
          task.uncertain = false;
        }
      }
    }
  }
  placement_due_ = true;
}

auto JobOwner::LogReconciliationWait(TimePoint now) -> void {
  if (now >= log_reconciliation_at_) {
    log_reconciliation_at_ = now + kReconciliationLogInterval;
    hooks_.log_reconciliation(DescribeReconciliation(now));
  }
}

auto JobOwner::DescribeReconciliation(TimePoint now) const
    -> ReconciliationState {
  ReconciliationState state;
  state.done = reconciliation_done_;
  state.waited = now - begun_at_;
  state.agents = workers_.size();
  state.longest = std::max(Duration(0), ReconciliationDeadline() - now);
  for (const auto& [name, worker] : unconfirmed_) {
    if (!BlocksReconciliation(*worker)) {
      continue;
    }
    ++state.missing;
    if (state.missing_names.size() < kMaxNamedAgents) {
      state.missing_names.push_back(name);
      state.missing_bounds.push_back(DescribeBound(now, *worker));
    }
  }
  return state;
}

auto JobOwner::DescribeBound(TimePoint now, const WorkerView& worker) const
    -> std::string {
  const auto milliseconds = [](Duration span) -> int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  };
  const auto granted_by = fold_->granted_by(worker.agent);
  const auto stopped = hooks_.stopped_lease_end(worker.agent);
  std::string why = "owner_unknown";
  if (stopped && worker.lease_bound <= *stopped &&
      fold_->granted_process_has_stopped(worker.agent)) {
    why = "told_to_stop";
  } else if (worker.last_contact_at >= begun_at_) {
    why = "worker_unlisted";
  } else if (granted_by) {
    why = *granted_by + 1 < fence_ ? "earlier_owner" : "last_owner";
  }
  std::string text = absl::StrCat(
      worker.agent, "=", why, ":",
      milliseconds(std::max(Duration(0), worker.lease_bound - now)));
  if (worker.last_contact_at >= begun_at_) {
    absl::StrAppend(&text,
                    ":answered:", milliseconds(now - worker.last_contact_at));
  }
  return text;
}

auto JobOwner::OnEarlierGrants(TimePoint now, const EarlierGrants& earlier)
    -> void {
  if (!active()) {
    return;
  }
  earlier_ = earlier;
  ShortenWaits(now);
  FinishReconciliation(now);
}

auto JobOwner::ShortenWaits(TimePoint now) -> void {
  for (const auto& [name, worker] : unconfirmed_) {
    if (BlocksReconciliation(*worker)) {
      // This owner may also have granted to it, before it lost the agent's
      // listing.
      const bool may_have_granted = worker->reported_at != TimePoint();
      const TimePoint own_grants =
          may_have_granted ? LeaseBound(now) : TimePoint();
      SetLeaseBound(*worker,
                    std::min(worker->lease_bound,
                             std::max(own_grants, EarlierGrantsEnd(name))));
    }
  }
}

auto JobOwner::BeginReconciliation(TimePoint now) -> void {
  reconciliation_done_ = false;
  log_reconciliation_at_ = now + kReconciliationLogDelay;
  FinishReconciliation(now);
}

}  // namespace rhubarbhaven::jobs

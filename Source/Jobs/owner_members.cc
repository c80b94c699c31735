#include <algorithm>

#include "Jobs/job_owner.h"

// The agents that the owner knows: those registered in the log, without the
// unresponsive ones.
namespace rhubarbhaven::jobs {

auto JobOwner::OnAgentRecord(TimePoint now, const std::string& name) -> void {
  const auto found = fold_->agents().find(name);
  if (found == fold_->agents().end()) {
    OnRegistrationGone(name);
    return;
  }
  // The next owner's reconciliation polls the agents that are registered in the
  // log. An agent that has registered before the deletion of its earlier
  // registration is about to be removed, even if the log has confirmed that the
  // deletion is stored, until it has been read: tasks given to the agent now
  // might be started elsewhere after a takeover. Since nobody polls it, it
  // registers again after the deletion.
  if (!agents_being_deleted_.contains(name)) {
    std::erase(keys_to_delete_, MakeKey(RecordKind::kAgent, name));
    std::erase(keys_to_delete_, MakeKey(RecordKind::kAgentGrants, name));
    if (!workers_.contains(name)) {
      hooks_.log_agent("agent_known", name);
    }
    AddAgent(now, found->second);
  }
}

auto JobOwner::ApplyWorkerLeave(TimePoint now, WorkerView& worker) -> void {
  const auto& left_id = worker.registration.left_worker_id();
  if (!left_id.empty() && worker.worker_id == left_id) {
    EndWorkerLifetime(now, worker, WorkerExit::kPlanned);
    worker.grants_recorded = false;
    worker.left = true;
  } else if (worker.worker_id.empty() && fold_->worker_has_left(worker.agent)) {
    worker.left = true;
  }
  worker.earlier_runs_ended = worker.earlier_runs_ended || worker.left;
}

auto JobOwner::ApplyAgentStop(WorkerView& worker) -> void {
  const auto lease_end = hooks_.stopped_lease_end(worker.agent);
  const bool next_process_reports =
      worker.agent_incarnation != 0 &&
      worker.agent_incarnation != worker.registration.incarnation();
  if (!lease_end || !fold_->granted_process_has_stopped(worker.agent) ||
      worker.confirmed || next_process_reports) {
    return;
  }
  // Grants to the process that has ended would extend the bound.
  worker.reported_us = 0;
  SetLeaseBound(worker, std::min(worker.lease_bound, *lease_end));
}

auto JobOwner::OnRegistrationGone(const std::string& name) -> void {
  agents_being_deleted_.erase(name);
  const auto found = workers_.find(name);
  if (found == workers_.end()) {
    return;
  }
  if (found->second->confirmed) {
    agents_to_restore_.insert(name);
  } else {
    EraseWorker(*found->second);
  }
}

auto JobOwner::AddAgent(TimePoint now, const AgentEntry& entry) -> void {
  auto& worker = workers_[entry.name()];
  if (worker == nullptr) {
    worker = std::make_unique<WorkerView>();
    worker->agent = entry.name();
    worker->number = next_worker_++;
    numbered_[worker->number] = worker.get();
    unconfirmed_[worker->agent] = worker.get();
    changes_.Record(*worker);
    SetLeaseBound(*worker, EarlierGrantsEnd(entry.name()));
  }
  worker->registration = entry;
  worker->registered_at = now;
  PollSoon(*worker);
  ApplyWorkerLeave(now, *worker);
  ApplyAgentStop(*worker);
}

auto JobOwner::EraseWorker(WorkerView& worker) -> void {
  held_places_.ReleaseWorker(worker);
  numbered_.erase(worker.number);
  unconfirmed_.erase(worker.agent);
  changes_.Forget(worker);
  window_.Forget(worker.number);
  waiting_for_room_.erase(worker.waits_for_room);
  unsent_start_bytes_ -= worker.unsent_start_bytes;
  polls_.Cancel(worker.number);
  leases_.Cancel(worker.number);
  quarantines_.Cancel(worker.number);
  // A copy, since the worker's name is destroyed with it.
  workers_.erase(std::string(worker.agent));
}

auto JobOwner::SetConfirmed(WorkerView& worker, bool confirmed) -> void {
  worker.confirmed = confirmed;
  if (confirmed) {
    unconfirmed_.erase(worker.agent);
  } else {
    unconfirmed_[worker.agent] = &worker;
  }
  if (!worker.poll_due) {
    SchedulePoll(worker);
  }
}

auto JobOwner::SetLeaseBound(WorkerView& worker, TimePoint bound) -> void {
  worker.lease_bound = bound;
  leases_.Set(worker.number, bound);
}

auto JobOwner::QuarantineWorker(WorkerView& worker, TimePoint until) -> void {
  worker.quarantined_until = until;
  quarantines_.Set(worker.number, until);
  retry_at_ = std::min(retry_at_, until);
}

auto JobOwner::OnEvacuations() -> void {
  for (const auto& [name, worker] : workers_) {
    const bool evacuated = hooks_.is_evacuated(worker->failure_domain);
    if (evacuated == worker->evacuated) {
      continue;
    }
    worker->evacuated = evacuated;
    changes_.Record(*worker);
    // Notifies its agent at once.
    PollSoon(*worker);
  }
  placement_due_ = true;
}

auto JobOwner::ReinstateWorkers(TimePoint now) -> void {
  while (const auto number = quarantines_.PopDue(now)) {
    changes_.Record(*numbered_.at(*number));
  }
}

// Owners record to which agents they grant, and an agent that follows one owner
// rejects those before it.
auto JobOwner::EarlierGrantsEnd(const std::string& agent) const -> TimePoint {
  const auto granted_by = fold_->granted_by(agent);
  if (!granted_by) {
    // It may have been granted to by an owner of a version that did not record
    // it.
    return std::max(earlier_.last_owner, earlier_.before_last_owner);
  }
  return *granted_by + 1 < fence_ ? earlier_.before_last_owner
                                  : earlier_.last_owner;
}

auto JobOwner::ForgetUnresponsiveAgents(TimePoint now) -> void {
  std::vector<WorkerView*> unresponsive;
  for (const auto& [name, known] : unconfirmed_) {
    const auto& worker = *known;
    // An agent that has just registered has not reported yet. If its silence
    // were counted from the claim, it would be forgotten before its first poll,
    // and its worker would stay empty.
    const auto last = std::max(worker.registered_at, worker.last_contact_at);
    // An agent without a worker has nothing that a lease could keep.
    const bool leased =
        hooks_.exclusive_until() <= worker.lease_bound && !worker.left;
    const auto forget_after =
        worker.left ? options_.forget_left_after : options_.forget_agent_after;
    if (!leased && now - last >= forget_after) {
      unresponsive.push_back(known);
    }
  }
  for (WorkerView* worker : unresponsive) {
    hooks_.log_agent("agent_forgotten", worker->agent);
    keys_to_delete_.push_back(MakeKey(RecordKind::kAgent, worker->agent));
    keys_to_delete_.push_back(MakeKey(RecordKind::kAgentGrants, worker->agent));
    EraseWorker(*worker);
  }
}

}  // namespace rhubarbhaven::jobs

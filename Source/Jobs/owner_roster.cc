#include <algorithm>

#include "Jobs/job_owner.h"

// Which agents the owner knows: those of the log's roster, less the silent
// ones.
namespace rhubarbhaven::jobs {

auto JobOwner::OnAgentRecord(TimePoint now, const std::string& name) -> void {
  const auto found = fold_->agents().find(name);
  if (found == fold_->agents().end()) {
    OnRegistrationGone(name);
    return;
  }
  // The next owner's census asks the agents of the log's roster. An agent that
  // has registered ahead of the drop of its earlier registration is about to
  // leave the roster, also if the log has answered that the drop is stored,
  // until that has been read: tasks given to it now might be started elsewhere
  // after a takeover. Polled by nobody, it registers again behind the drop.
  if (!agents_in_drop_.contains(name)) {
    std::erase(keys_to_drop_, MakeKey(RecordKind::kAgent, name));
    std::erase(keys_to_drop_, MakeKey(RecordKind::kAgentGrants, name));
    if (!workers_.contains(name)) {
      hooks_.log_agent("agent_known", name);
    }
    AddAgent(now, found->second);
  }
}

auto JobOwner::NoteLeft(TimePoint now, WorkerView& worker) -> void {
  const auto& life = worker.registration.left_worker_id();
  if (!life.empty() && worker.worker_id == life) {
    EndLife(now, worker, LifeEnd::kPlanned);
    worker.grants_noted = false;
    worker.left = true;
  } else if (worker.worker_id.empty() && fold_->worker_has_left(worker.agent)) {
    worker.left = true;
  }
  worker.emptied = worker.emptied || worker.left;
}

auto JobOwner::OnRegistrationGone(const std::string& name) -> void {
  agents_in_drop_.erase(name);
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
    changes_.Note(*worker);
    SetLeaseBound(*worker, EarlierGrantsEnd(entry.name()));
  }
  worker->registration = entry;
  worker->registered_at = now;
  PollSoon(*worker);
  NoteLeft(now, *worker);
}

auto JobOwner::EraseWorker(WorkerView& worker) -> void {
  numbered_.erase(worker.number);
  unconfirmed_.erase(worker.agent);
  changes_.Forget(worker);
  polls_.Cancel(worker.number);
  leases_.Cancel(worker.number);
  asides_.Cancel(worker.number);
  // A copy, since the name goes with the worker.
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
    polls_.Set(worker.number, NextPoll(worker));
  }
}

auto JobOwner::SetLeaseBound(WorkerView& worker, TimePoint bound) -> void {
  worker.lease_bound = bound;
  leases_.Set(worker.number, bound);
}

auto JobOwner::SetAside(WorkerView& worker, TimePoint until) -> void {
  worker.set_aside_until = until;
  asides_.Set(worker.number, until);
  retry_at_ = std::min(retry_at_, until);
}

auto JobOwner::OnEvacuations() -> void {
  for (const auto& [name, worker] : workers_) {
    const bool evacuated = hooks_.is_evacuated(worker->failure_domain);
    if (evacuated == worker->evacuated) {
      continue;
    }
    worker->evacuated = evacuated;
    changes_.Note(*worker);
    // Its agent is told at once.
    PollSoon(*worker);
  }
  place_due_ = true;
}

auto JobOwner::TakeBack(TimePoint now) -> void {
  while (const auto number = asides_.PopDue(now)) {
    changes_.Note(*numbered_.at(*number));
  }
}

// Owners write down to whom they grant, and an agent that follows one refuses
// those before it.
auto JobOwner::EarlierGrantsEnd(const std::string& agent) const -> TimePoint {
  const auto granted_by = fold_->granted_by(agent);
  if (!granted_by) {
    // Perhaps by an owner of a version that did not write it down.
    return std::max(earlier_.last_owner, earlier_.before_last_owner);
  }
  return *granted_by + 1 < fence_ ? earlier_.before_last_owner
                                  : earlier_.last_owner;
}

auto JobOwner::ForgetSilentAgents(TimePoint now) -> void {
  std::vector<WorkerView*> silent;
  for (const auto& [name, known] : unconfirmed_) {
    const auto& worker = *known;
    // An agent that has just registered has not reported yet. Taken for silent
    // since the claim, it would be forgotten before its first poll, and its
    // worker would stay empty.
    const auto last = std::max(worker.registered_at, worker.heard_at);
    // An agent without a worker has nothing that a lease could keep.
    const bool leased =
        hooks_.exclusive_until() <= worker.lease_bound && !worker.left;
    const auto silence =
        worker.left ? options_.forget_left_after : options_.forget_agent_after;
    if (!leased && now - last >= silence) {
      silent.push_back(known);
    }
  }
  for (WorkerView* worker : silent) {
    hooks_.log_agent("agent_forgotten", worker->agent);
    keys_to_drop_.push_back(MakeKey(RecordKind::kAgent, worker->agent));
    keys_to_drop_.push_back(MakeKey(RecordKind::kAgentGrants, worker->agent));
    EraseWorker(*worker);
  }
}

}  // namespace rhubarbhaven::jobs

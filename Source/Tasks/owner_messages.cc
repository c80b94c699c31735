#include <algorithm>

#include "Tasks/owner_impl.h"

namespace rhubarbhaven {
namespace {

using Verdict = tasks::AgentTable::Verdict;

// How long no task is placed on an instance whose agent has rejected one. The
// rejection carries its reason.
constexpr std::chrono::seconds kRejectionBackoff{10};

}  // namespace

auto Owner::Impl::OnMessage(TimePoint now,
                            const std::string& agent,
                            const schema::Envelope& message) -> void {
  if (scheduler_ == nullptr || !claim_.may_grant(now)) {
    return;
  }
  if (message.has_lease_request()) {
    OnRequest(now, agent, message);
  } else if (message.has_task_report()) {
    OnReport(now, message);
  }
}

auto Owner::Impl::OnRequest(TimePoint now,
                            const std::string& agent,
                            const schema::Envelope& message) -> void {
  const schema::LeaseRequest& request = message.lease_request();
  if (request.cell() != options_.cell) {
    return;
  }
  if (!MayLease(request)) {
    Count("request_instance_refused");
    return;
  }
  switch (agents_.OnRequest(now, claim_.fence(), agent, message)) {
    case Verdict::kStale:
      Count("request_stale");
      return;
    case Verdict::kReplaced:
      Count("request_knows_other_owner");
      return;
    case Verdict::kUnconfirmed:
      Grant(now, agent, request, claim_.MaxFirstLease(now));
      return;
    case Verdict::kConfirmed:
      OnConfirmedRequest(now, request);
      Grant(now, agent, request, options_.lease_ttl);
      SendOrders(request.instance());
      return;
  }
}

auto Owner::Impl::MayLease(const schema::LeaseRequest& request) const -> bool {
  const tasks::RegisterInstance* entry =
      register_.FindInstance(request.instance());
  if (entry == nullptr) {
    return !placed_.On(request.instance()).empty();
  }
  return entry->instance.lost_incarnation() == 0 ||
         entry->instance.lost_incarnation() != request.instance_incarnation();
}

auto Owner::Impl::OnConfirmedRequest(TimePoint now,
                                     const schema::LeaseRequest& request)
    -> void {
  const std::string& instance = request.instance();
  for (const schema::EndedTask& ended : request.ended()) {
    OnEndReported(instance, ended);
  }
  for (const schema::RefusedOrder& refused : request.refused()) {
    OnRejected(now, instance, refused);
  }
  if (request.running_as_of() == 0) {
    for (const std::string& name : placed_.On(instance)) {
      placed_.Find(name)->running = false;
    }
  }
  for (const schema::RunningTask& running : request.running()) {
    OnRunning(now, instance, running);
  }
  OnUsage(now, request);
}

auto Owner::Impl::OnReport(TimePoint now, const schema::Envelope& message)
    -> void {
  if (!agents_.IsCurrent(message)) {
    Count("report_stale");
    return;
  }
  const schema::TaskReport& report = message.task_report();
  for (const schema::EndedTask& ended : report.ended()) {
    OnEndReported(report.instance(), ended);
  }
  for (const schema::RefusedOrder& refused : report.refused()) {
    OnRejected(now, report.instance(), refused);
  }
  for (const schema::RunningTask& running : report.started()) {
    OnRunning(now, report.instance(), running);
  }
}

auto Owner::Impl::Grant(TimePoint now,
                        const std::string& agent,
                        const schema::LeaseRequest& request,
                        std::chrono::milliseconds ttl) -> void {
  if (ttl <= std::chrono::milliseconds::zero()) {
    Count("grant_withheld");
    return;
  }
  const auto ago = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - claim_.verified());
  SendToSupervisor grant =
      orders_.Grant(claim_.fence(), agent, request.number(), ttl, ago);
  AddRecorded(request, grant.message.mutable_lease_grant());
  agents_.Find(request.instance())->last_grant = now;
  actions_.push_back(std::move(grant));
}

auto Owner::Impl::AddRecorded(const schema::LeaseRequest& request,
                              schema::LeaseGrant* grant) const -> void {
  for (const schema::EndedTask& ended : request.ended()) {
    if (IsRecorded(ended.task(), ended.attempt())) {
      schema::EndedTask* recorded = grant->add_recorded();
      *recorded->mutable_task() = ended.task();
      recorded->set_attempt(ended.attempt());
    }
  }
  for (const schema::RefusedOrder& refused : request.refused()) {
    if (IsRecorded(refused.task(), refused.attempt())) {
      schema::EndedTask* recorded = grant->add_recorded();
      *recorded->mutable_task() = refused.task();
      recorded->set_attempt(refused.attempt());
    }
  }
}

auto Owner::Impl::IsRecorded(const schema::TaskId& task, uint32_t attempt) const
    -> bool {
  const auto known = fold_.tasks().find(TaskName(task));
  if (known == fold_.tasks().end()) {
    return false;
  }
  const schema::TaskState& state = known->second;
  return attempt < state.attempt() ||
         (attempt == state.attempt() && !state.placed());
}

auto Owner::Impl::OnRunning(TimePoint now,
                            const std::string& instance,
                            const schema::RunningTask& running) -> void {
  tasks::PlacedAttempt* attempt =
      placed_.FindOn(instance, running.task(), running.attempt());
  if (attempt == nullptr) {
    // According to the log, this attempt has ended or is placed elsewhere.
    Count("task_unexpected");
    tasks::PlacedAttempt unexpected;
    unexpected.task = running.task();
    unexpected.attempt = running.attempt();
    const tasks::AgentState* agent = agents_.Find(instance);
    actions_.push_back(
        orders_.Order(claim_.fence(), *agent, schema::STOP, unexpected));
    return;
  }
  attempt->running = true;
  attempt->checkpoint = running.checkpoint();
  attempt->progress_permille = running.progress_permille();
  attempt->throttled = running.throttled();
  scheduler_->OnRunning(now, instance, running.task());
}

auto Owner::Impl::OnEndReported(const std::string& instance,
                                const schema::EndedTask& ended) -> void {
  tasks::PlacedAttempt* attempt =
      placed_.FindOn(instance, ended.task(), ended.attempt());
  if (attempt == nullptr || attempt->end_issued) {
    return;
  }
  if (!ended.checkpoint().empty()) {
    attempt->checkpoint = ended.checkpoint();
  }
  schema::TaskOutcome outcome = ended.outcome();
  const bool stopped = outcome == schema::EVICTED || outcome == schema::LOST ||
                       outcome == schema::CRASHED ||
                       outcome == schema::CANCELLED;
  // A restarted agent no longer knows why it stopped a task.
  if (stopped && attempt->stop == Stop::kCancel) {
    outcome = schema::CANCELLED;
  } else if (outcome == schema::CANCELLED) {
    outcome = schema::EVICTED;
  }
  IssueEnd(attempt, outcome, ended.detail());
}

auto Owner::Impl::OnRejected(TimePoint now,
                             const std::string& instance,
                             const schema::RefusedOrder& refused) -> void {
  tasks::PlacedAttempt* attempt =
      placed_.FindOn(instance, refused.task(), refused.attempt());
  if (attempt == nullptr || attempt->end_issued) {
    return;
  }
  if (attempt->stop == Stop::kNone) {
    agents_.Find(instance)->no_placements_until = now + kRejectionBackoff;
  }
  Count("task_refused");
  IssueEnd(attempt, schema::NOT_STARTED, refused.why());
}

auto Owner::Impl::OnUsage(TimePoint now, const schema::LeaseRequest& request)
    -> void {
  for (const schema::UsageReport& usage : request.usage()) {
    for (const InterferenceAction& action :
         scheduler_->OnUsage(now, request.instance(), usage)) {
      tasks::PlacedAttempt* attempt = placed_.Find(TaskName(action.task));
      if (attempt == nullptr || attempt->instance != request.instance()) {
        continue;
      }
      if (action.step == InterferenceStep::kMove) {
        SetStop(attempt, Stop::kEvict, action.why);
      } else if (action.step != InterferenceStep::kNone) {
        attempt->want_throttled = action.step == InterferenceStep::kThrottle;
      }
    }
  }
}

auto Owner::Impl::IssueEnd(tasks::PlacedAttempt* attempt,
                           schema::TaskOutcome outcome,
                           const std::string& detail) -> void {
  attempt->end_issued = true;
  schema::LogEntry entry;
  schema::TaskEnd* end = entry.mutable_task_end();
  end->set_cell(options_.cell);
  end->set_fence(claim_.fence());
  *end->mutable_task() = attempt->task;
  end->set_attempt(attempt->attempt);
  end->set_outcome(outcome);
  end->set_checkpoint(attempt->checkpoint);
  end->set_detail(detail);
  Append(std::move(entry));
}

auto Owner::Impl::SendOrders(const std::string& instance) -> void {
  for (const std::string& name : placed_.On(instance)) {
    SendOrder(*placed_.Find(name));
  }
}

auto Owner::Impl::SendOrder(const tasks::PlacedAttempt& attempt) -> void {
  const tasks::AgentState* agent = agents_.Find(attempt.instance);
  if (agent == nullptr || !agent->confirmed() || attempt.end_issued ||
      agent->instance_incarnation != attempt.instance_incarnation) {
    return;
  }
  const uint64_t fence = claim_.fence();
  if (attempt.stop != Stop::kNone) {
    const schema::OrderKind kind = attempt.stop == Stop::kCancel
                                       ? schema::STOP
                                       : schema::CHECKPOINT_AND_STOP;
    actions_.push_back(orders_.Order(fence, *agent, kind, attempt));
    return;
  }
  if (!attempt.running) {
    const tasks::RegisterJob* job = register_.FindJob(attempt.task);
    if (job != nullptr) {
      actions_.push_back(orders_.Start(fence, *agent, attempt, *job));
    }
    return;
  }
  if (attempt.want_throttled != attempt.throttled) {
    const schema::OrderKind kind =
        attempt.want_throttled ? schema::THROTTLE : schema::UNTHROTTLE;
    actions_.push_back(orders_.Order(fence, *agent, kind, attempt));
  }
}

}  // namespace rhubarbhaven

#include "Jobs/job_owner.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// A run's number includes the owner's fence, so that a later owner's numbers
// are higher than all earlier ones although it does not know them.
constexpr int kRunBits = 30;
// Number of tasks named in a log line about several runs.
constexpr std::size_t kMaxNamedTasks = 20;

}  // namespace

JobOwner::JobOwner(JobOwnerOptions options, JobOwnerHooks hooks)
    : options_(options),
      hooks_(std::move(hooks)),
      tickets_([this](const AdviceCall& call, const auto& done) -> void {
        hooks_.ask_advice(call, done);
      }),
      held_places_([this](WorkerView& worker) -> void {
        changes_.Record(worker);
        placement_due_ = true;
      }),
      window_(OrderWindowFor(options.link_mbps)) {}

JobOwner::~JobOwner() = default;

auto JobOwner::Begin(TimePoint now,
                     uint64_t fence,
                     const JobFold* fold,
                     const EarlierGrants& earlier) -> void {
  End();
  fence_ = fence;
  fold_ = fold;
  claim_at_ = fold->claim_at();
  earlier_ = earlier;
  begun_at_ = now;
  last_report_at_ = TimePoint();
  lag_reported_at_ = now;
  longest_lag_ = Duration(0);
  behind_ = false;
  behind_until_ = TimePoint();
  longest_start_delay_ = Duration(0);
  interference_.Load(fold->pressures());
  pressures_stored_at_ = now;
  run_lengths_.Load(fold->run_lengths());
  run_lengths_stored_at_ = now;
  hooks_.log_run_lengths("loaded", run_lengths_.size());
  NoteEarlierMembers();
  for (const auto& [name, entry] : fold->agents()) {
    AddAgent(now, entry);
  }
  for (const auto& [id, entry] : fold->jobs()) {
    if (!entry->job.id().empty()) {
      AddJob(now, *entry);
    }
  }
  for (const auto& id : fold->cancelled_ahead()) {
    ended_jobs_.Set(id, now + options_.ended_job_retention);
  }
  BeginReconciliation(now);
  placement_due_ = true;
}

auto JobOwner::End() -> void {
  fence_ = 0;
  reconciliation_done_ = false;
  ReportStarved(0);
  EndOverload();
  check_starved_at_ = TimePoint();
  check_silent_at_ = TimePoint();
  held_places_.Clear();
  order_.Clear();
  jobs_.clear();
  dirty_jobs_.clear();
  held_back_jobs_.clear();
  jobs_to_close_.clear();
  unstored_progress_ = {};
  changes_.Clear();
  window_.Clear();
  waiting_for_room_.clear();
  unsent_start_bytes_ = 0;
  window_changed_ = false;
  placement_held_ = false;
  unconfirmed_.clear();
  numbered_.clear();
  polls_ = {};
  leases_ = {};
  quarantines_ = {};
  workers_.clear();
  ended_jobs_ = {};
  tickets_.Clear();
  keys_to_delete_.clear();
  agents_being_deleted_.clear();
  batch_deletions_.clear();
  agents_to_restore_.clear();
  grants_to_record_.clear();
  batch_grants_.clear();
  unread_grants_.clear();
  majority_follows_since_ = TimePoint();
  majority_computed_at_ = TimePoint();
  bound_from_ = 0;
  bound_computed_at_ = TimePoint();
  batch_pending_ = false;
  run_lengths_due_ = false;
  crashes_due_.clear();
  batch_crashes_.clear();
  ends_due_.clear();
  batch_ends_.clear();
  next_order_ = 1;
  next_run_ = 1;
  occurrence_due_at_ = TimePoint::max();
  retry_at_ = TimePoint::max();
}

auto JobOwner::OnChange(TimePoint now, const FoldChange& change) -> void {
  if (!active()) {
    return;
  }
  switch (change.kind) {
    case RecordKind::kJob: {
      const auto* entry = fold_->Find(change.name);
      if (entry == nullptr) {
        RemoveJob(now, change.name);
      } else if (!jobs_.contains(change.name)) {
        AddJob(now, *entry);
        placement_due_ = true;
      }
      break;
    }
    case RecordKind::kCancellation: {
      const auto found = jobs_.find(change.name);
      if (found != jobs_.end() && found->second->entry->over()) {
        order_.MarkChanged(*found->second);
        EndJob(*found->second, "its job was cancelled");
        ForgetJobIfIdle(now, change.name);
      } else if (fold_->CancelledAhead(change.name)) {
        ended_jobs_.Set(change.name, now + options_.ended_job_retention);
      }
      break;
    }
    case RecordKind::kProgress: {
      const auto found = jobs_.find(change.name);
      if (found != jobs_.end() && found->second->entry->over()) {
        order_.MarkChanged(*found->second);
        ForgetJobIfIdle(now, change.name);
      }
      break;
    }
    case RecordKind::kAgent:
      OnAgentRecord(now, change.name);
      break;
    case RecordKind::kAgentGrants:
      if (fold_->granted_by(change.name) == fence_) {
        unread_grants_.erase(change.name);
      }
      break;
    default:
      break;
  }
}

auto JobOwner::OnRules() -> void {
  for (auto& [id, work] : jobs_) {
    const auto* rules = hooks_.rules(work->job().queue());
    if (rules != nullptr) {
      work->rules = *rules;
    }
    order_.MarkChanged(*work);
    for (auto& [number, occurrence] : work->occurrences) {
      for (auto& step : occurrence.steps) {
        // Other workers may be eligible now.
        step.rejected_mark = 0;
        step.rejected_mark_any_speed = 0;
      }
    }
  }
  placement_due_ = true;
}

// Grants would be recorded for a process that has ended, and its record that it
// stops would count for the one that has followed. Reports of two processes may
// arrive in any order; the log says which of them registered last.
auto JobOwner::IsOfEndedAgentProcess(const WorkerView& worker,
                                     const AgentReport& report) -> bool {
  return report.incarnation() != 0 &&
         report.incarnation() != worker.registration.incarnation() &&
         worker.followed_agent_incarnations.contains(report.incarnation());
}

auto JobOwner::OnReport(TimePoint now,
                        const std::string& agent,
                        const AgentReport& report) -> bool {
  if (!active() || report.fence() < fence_) {
    return true;
  }
  if (report.fence() > fence_) {
    return false;
  }
  const auto found = workers_.find(agent);
  if (found == workers_.end()) {
    return true;
  }
  WorkerView& worker = *found->second;
  if (IsOfEndedAgentProcess(worker, report)) {
    return true;
  }
  last_report_at_ = now;
  OnCrashedRuns(worker, report);
  const bool keeps_name = UpdateWorker(now, worker, report);
  NoteFollowed(now, worker, report);
  NoteReceived(now, worker, report);
  // The first report of a process with the name of the one before lists what it
  // was given in place of that one, and whose runs were just declared lost.
  const bool reconciling =
      (!worker.confirmed && !reconciliation_done_) || keeps_name;
  if (report.complete() && !worker.confirmed) {
    AdoptListing(now, worker, report);
  } else if (report.complete()) {
    for (const auto& row : report.running()) {
      UpdateProgress(now, worker, row);
    }
    ClearSuspects(now, worker);
    StopStalled(now, worker);
    LearnInterference(now, worker, report);
  }
  if (worker.confirmed) {
    for (const auto& row : report.ended()) {
      if (row.number() > worker.ends_processed) {
        worker.ends_processed = row.number();
        ends_due_.insert(agent);
        OnEnd(now, worker, row, reconciling);
      }
    }
  }
  for (const auto& result : report.results()) {
    // Without the end, the run would count as never started, and its task would
    // start again although it is done. The agent repeats both. The end of a run
    // whose lease has expired does not count.
    const bool awaits_end = result.after_end() > worker.ends_processed;
    if (!awaits_end || report.worker_lapsed()) {
      OnOrderResult(now, worker, result);
    }
  }
  if (report.worker_lapsed()) {
    MarkRunsSuspected(worker);
    DeclareRunsLost(now, worker, LostRuns::kStartAnswered,
                    "the worker does not answer and its lease has expired");
    SetConfirmed(worker, false);
  }
  FinishReconciliation(now);
  return true;
}

auto JobOwner::OnExclusiveUntil(TimePoint now) -> void {
  if (!active()) {
    return;
  }
  DeclareWorkersLost(now);
  ForgetUnresponsiveAgents(now);
  FinishReconciliation(now);
}

auto JobOwner::Tick(TimePoint now) -> void {
  if (!active()) {
    return;
  }
  OnExclusiveUntil(now);
  CloseOccurrences();
  if (occurrence_due_at_ <= now) {
    occurrence_due_at_ = TimePoint::max();
    for (auto& [id, work] : jobs_) {
      OpenDue(now, *work);
    }
  }
  if (retry_at_ <= now) {
    ReinstateWorkers(now);
    retry_at_ = quarantines_.next();
    placement_due_ = true;
  }
  if (tickets_.ConsumeUpdate(now)) {
    placement_due_ = true;
  }
  if (placement_due_) {
    placement_due_ = false;
    PlaceAll(now);
    OpenHeldBack(now);
  }
  CheckStarvedJobs(now);
  CheckSilentAgents(now);
  held_places_.Expire(now);
  MoveSlowedRuns(now);
  ExpireOldJobs(now);
  RetryUnstoredProgress(now);
  if (now - pressures_stored_at_ >= options_.pressure_store_interval) {
    pressures_stored_at_ = now;
    pressures_due_ = !interference_.Learned().pressures().empty();
  }
  StoreRunLengthsIfDue(now);
  UseWindow(now);
  PollAll(now);
  ResumePlacement();
}

auto JobOwner::next_wake() const -> TimePoint {
  if (!active()) {
    return TimePoint::max();
  }
  const bool may_send = window_changed_ && !waiting_for_room_.empty();
  if (placement_due_ || may_send) {
    return TimePoint();
  }
  const TimePoint wake =
      std::min({occurrence_due_at_, retry_at_, tickets_.next_request_at(),
                polls_.next(), unstored_progress_.next()});
  return order_.steps().empty() ? wake : std::min(wake, check_starved_at_);
}

auto JobOwner::NewRun() -> uint64_t {
  return (fence_ << kRunBits) + next_run_++;
}

auto JobOwner::NewestRun() const -> uint64_t {
  return (fence_ << kRunBits) + next_run_ - 1;
}

auto JobOwner::Log(const std::string& what,
                   const TaskPlace& place,
                   uint64_t run,
                   const WorkerView* worker,
                   const std::string& why) -> void {
  hooks_.log(
      {what, place.Name(), run, worker != nullptr ? worker->agent : "", why});
}

auto JobOwner::LogRuns(const std::string& what,
                       const std::vector<NamedRun>& runs,
                       const std::string& agent,
                       const std::string& why) -> void {
  if (runs.empty()) {
    return;
  }
  OwnerDecision decision{what, runs.front().task, runs.front().run, agent, why};
  decision.runs = runs.size();
  if (runs.size() > 1) {
    const std::size_t named = std::min(runs.size(), kMaxNamedTasks);
    for (std::size_t i = 0; i < named; ++i) {
      decision.some_tasks.push_back(runs[i].task);
    }
  }
  hooks_.log(decision);
}

}  // namespace rhubarbhaven::jobs

#include "Tasks/owner_scheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "Tasks/resource_math.h"

namespace rhubarbhaven::tasks {
namespace {

// An agent that has sent no request for its lease divided by this receives no
// new tasks.
constexpr int kUnresponsiveDivisor = 2;
// Equivalent to slowing a service down by a factor of e, so that other
// instances are tried first.
constexpr double kFailedHereCost = 1;

// Minimum number of crashes after which a task is marked as failed. A task that
// merely runs beside the cause is unlikely to be present at so many.
constexpr uint32_t kMinCrashesToFail = 3;

auto JobName(const std::string& partner, const std::string& job)
    -> std::string {
  return absl::StrCat(partner, "/", job);
}

}  // namespace

auto IsOver(const RegisterJob& job, const schema::TaskState& state) -> bool {
  const uint32_t attempts = job.job.max_attempts();
  return job.job.cancelled() || state.last_outcome() == schema::FINISHED ||
         (attempts > 0 && state.failures() >= attempts) ||
         state.crashes() >= std::max(kMinCrashesToFail, attempts);
}

OwnerScheduler::OwnerScheduler(const OwnerOptions& options,
                               const CellFold* fold,
                               const Register* config,
                               const AgentTable* agents)
    : options_(options),
      fold_(fold),
      config_(config),
      agents_(agents),
      interference_(InterferenceOptions{}),
      health_(WorkerHealthOptions{}),
      placer_(PlacerOptions{
          .extra_cost = [this](const PendingTask& task,
                               const std::string& instance) -> double {
            return ExtraCost(task, instance);
          }}) {}

auto OwnerScheduler::ExtraCost(const PendingTask& task,
                               const std::string& instance) const -> double {
  const auto& partner = task.task.partner();
  const auto& job = task.task.job();
  const double interference_cost =
      interference_.PlacementCost(now_, instance, partner, job);
  const bool failed = health_.HasFailedOn(instance, partner, job);
  return interference_cost + (failed ? kFailedHereCost : 0);
}

auto OwnerScheduler::Begin(TimePoint now) -> void {
  LoadRules();
  SyncWorkers(now);
  for (const auto& [name, state] : fold_->tasks()) {
    if (state.placed()) {
      OnPlaced(now, state);
    }
  }
  for (const auto& [key, job] : config_->jobs()) {
    AddPendingJob(now, job);
  }
}

auto OwnerScheduler::LoadRules() -> void {
  for (const auto& [partner, rules] : config_->rules()) {
    placer_.SetRules(partner, rules);
    interference_.SetRules(partner, rules);
  }
  for (const auto& [partner, teams] : config_->teams()) {
    for (const schema::Team& team : teams) {
      placer_.SetTeam(partner, team);
    }
  }
  for (const auto& [name, instance] : config_->instances()) {
    const auto services = config_->services().find(instance.partner);
    if (services != config_->services().end()) {
      interference_.SetService(name, instance.partner,
                               services->second.front());
    }
  }
}

auto OwnerScheduler::OnConfig(TimePoint now,
                              const std::set<std::string>& changed_jobs)
    -> void {
  LoadRules();
  SyncWorkers(now);
  for (const std::string& key : changed_jobs) {
    const std::string name = key.substr(0, key.rfind('#'));
    const std::size_t slash = name.find('/');
    placer_.RemoveJob(name.substr(0, slash), name.substr(slash + 1));
  }
  for (const std::string& key : changed_jobs) {
    const auto job = config_->jobs().find(key);
    if (job != config_->jobs().end()) {
      AddPendingJob(now, job->second);
    }
  }
}

auto OwnerScheduler::AddPendingJob(TimePoint now, const RegisterJob& job)
    -> void {
  if (job.job.cancelled()) {
    return;
  }
  for (uint32_t index = 0; index < job.job.tasks(); ++index) {
    AddPending(now, job, index);
  }
}

auto OwnerScheduler::AddPending(TimePoint now,
                                const RegisterJob& job,
                                uint32_t index) -> void {
  const std::string name = TaskName(job.Task(index));
  const auto known = fold_->tasks().find(name);
  const bool placed = known != fold_->tasks().end() && known->second.placed();
  const bool over = known != fold_->tasks().end() && IsOver(job, known->second);
  if (placed || over || in_flight_.contains(name) || job.job.cancelled()) {
    return;
  }
  PendingTask pending = MakePendingTask(now, job, index);
  if (Fits(pending.need, job.job.need())) {
    raised_need_.erase(name);
  } else {
    raised_need_[name] = pending.need;
  }
  placer_.AddPending(std::move(pending));
}

auto OwnerScheduler::MakePendingTask(TimePoint now,
                                     const RegisterJob& job,
                                     uint32_t index) const -> PendingTask {
  PendingTask pending;
  pending.task = job.Task(index);
  const auto known = fold_->tasks().find(TaskName(pending.task));
  if (known != fold_->tasks().end()) {
    pending.attempt = known->second.attempt() + 1;
  }
  pending.team = job.job.team();
  pending.need = job.job.need();
  const auto peak = peak_usage_.find(JobName(job.partner, job.job.name()));
  if (peak != peak_usage_.end()) {
    pending.need = Larger(pending.need, peak->second);
  }
  pending.urgency = job.job.urgency();
  pending.priority = job.job.priority();
  pending.max_per_rack = job.job.max_per_rack();
  pending.failure_domain = job.job.failure_domain();
  pending.costly_to_evict = job.job.costly_to_evict();
  pending.waiting_since = now;
  return pending;
}

auto OwnerScheduler::OnPlaced(TimePoint now, const schema::TaskState& state)
    -> void {
  in_flight_.erase(TaskName(state.task()));
  PlacedTask placed;
  const RegisterJob* job = config_->FindJob(state.task());
  if (job != nullptr) {
    placed.spec = MakePendingTask(now, *job, state.task().index());
  }
  placed.spec.task = state.task();
  placed.spec.attempt = state.attempt();
  placed.instance = state.instance();
  placed.held = state.admitted();
  placed.evictions = state.evictions();
  placer_.RemovePending(state.task());
  placer_.AddPlaced(std::move(placed));
}

auto OwnerScheduler::OnPlacementVoid(TimePoint now, const schema::TaskId& task)
    -> void {
  const std::string name = TaskName(task);
  if (in_flight_.erase(name) == 0) {
    return;
  }
  const auto known = fold_->tasks().find(name);
  if (known != fold_->tasks().end() && known->second.placed()) {
    return;
  }
  placer_.RemovePlaced(task);
  const RegisterJob* job = config_->FindJob(task);
  if (job != nullptr) {
    AddPending(now, *job, task.index());
  }
}

auto OwnerScheduler::OnRunning(TimePoint now,
                               const std::string& instance,
                               const schema::TaskId& task) -> void {
  if (!started_.insert(TaskName(task)).second) {
    return;
  }
  const RegisterJob* job = config_->FindJob(task);
  const bool costly = job != nullptr && job->job.costly_to_evict();
  interference_.OnStarted(now, instance, task, costly);
}

auto OwnerScheduler::OnEnded(TimePoint now,
                             const std::string& instance,
                             const schema::TaskId& task,
                             schema::TaskOutcome outcome) -> void {
  if (started_.erase(TaskName(task)) > 0) {
    interference_.OnStopped(now, instance, task);
  }
  health_.OnTaskEnded(now, instance, task, outcome);
  placer_.RemovePlaced(task);
  const RegisterJob* job = config_->FindJob(task);
  if (job != nullptr) {
    AddPending(now, *job, task.index());
  }
}

auto OwnerScheduler::OnStopping(const schema::TaskId& task) -> void {
  placer_.SetStopping(task);
}

auto OwnerScheduler::OnUsage(TimePoint now,
                             const std::string& instance,
                             const schema::UsageReport& usage)
    -> std::vector<InterferenceAction> {
  const schema::TaskId& task = usage.task();
  if (!task.job().empty()) {
    placer_.RaiseHeld(task, usage.used());
    schema::Resources& peak = peak_usage_[JobName(task.partner(), task.job())];
    peak = Larger(peak, usage.used());
  }
  const TimePoint measured = now - std::chrono::milliseconds(usage.age_ms());
  return interference_.OnReport(now, measured, instance, usage);
}

auto OwnerScheduler::SyncWorkers(TimePoint now) -> void {
  for (const auto& [name, instance] : config_->instances()) {
    SetWorker(now, name);
    known_workers_.insert(name);
  }
  std::erase_if(known_workers_, [&](const std::string& name) {
    if (config_->instances().contains(name)) {
      return false;
    }
    placer_.RemoveWorker(name);
    interference_.RemoveInstance(name);
    last_synced_.erase(name);
    return true;
  });
}

auto OwnerScheduler::SetWorker(TimePoint now, const std::string& instance)
    -> void {
  const RegisterInstance& entry = config_->instances().at(instance);
  const AgentState* agent = agents_->Find(instance);
  WorkerState worker;
  worker.instance = instance;
  worker.partner = entry.partner;
  worker.open_to.assign(entry.instance.open_to().begin(),
                        entry.instance.open_to().end());
  worker.rack = entry.instance.rack();
  worker.failure_domain = entry.instance.failure_domain();
  worker.capacity = entry.instance.capacity();
  if (agent != nullptr && !IsZero(agent->capacity)) {
    worker.capacity = IsZero(worker.capacity)
                          ? agent->capacity
                          : Smaller(worker.capacity, agent->capacity);
  }
  worker.reserved = config_->Reserved(entry.partner);
  worker.accepting = IneligibleReason(now, instance).empty();
  const std::string synced = absl::StrCat(
      entry.instance.SerializeAsString(), worker.capacity.SerializeAsString(),
      worker.reserved.SerializeAsString(), worker.accepting ? "+" : "-");
  if (std::exchange(last_synced_[instance], synced) != synced) {
    placer_.SetWorker(worker);
  }
}

auto OwnerScheduler::IneligibleReason(TimePoint now,
                                      const std::string& instance) const
    -> std::string {
  const RegisterInstance* entry = config_->FindInstance(instance);
  if (entry == nullptr) {
    return "not in the register";
  }
  const AgentState* agent = agents_->Find(instance);
  if (agent == nullptr || !agent->confirmed()) {
    return "unknown";
  }
  if (entry->instance.lost_incarnation() == agent->instance_incarnation) {
    return "lost";
  }
  if (now - agent->last_request_at >
      options_.lease_ttl / kUnresponsiveDivisor) {
    return "silent";
  }
  if (entry->instance.draining() || agent->leaving) {
    return "draining";
  }
  if (health_.Check(now, instance) == WorkerHealth::Verdict::kQuarantined) {
    return "set_aside";
  }
  if (now < agent->no_placements_until) {
    return "full";
  }
  return "";
}

auto OwnerScheduler::Round(TimePoint now) -> PlacerRound {
  now_ = now;
  SyncWorkers(now);
  PlacerRound round = placer_.Decide(now, options_.placements_per_round);
  std::vector<PlaceDecision> kept;
  for (const PlaceDecision& decision : round.placements) {
    const WorkerHealth::Verdict verdict = health_.Check(now, decision.instance);
    in_flight_.insert(TaskName(decision.task));
    if (verdict == WorkerHealth::Verdict::kQuarantined) {
      // A probe was started in this round; the remaining placements wait for
      // its outcome.
      OnPlacementVoid(now, decision.task);
      continue;
    }
    if (verdict == WorkerHealth::Verdict::kProbe) {
      health_.OnProbeStarted(now, decision.instance);
    }
    kept.push_back(decision);
  }
  round.placements = std::move(kept);
  return round;
}

auto OwnerScheduler::Explain(TimePoint now, const schema::TaskId& task) const
    -> Explanation {
  return placer_.Explain(now, task);
}

auto OwnerScheduler::Admitted(const schema::TaskId& task) const
    -> schema::Resources {
  const auto raised = raised_need_.find(TaskName(task));
  if (raised != raised_need_.end()) {
    return raised->second;
  }
  const RegisterJob* job = config_->FindJob(task);
  return job == nullptr ? schema::Resources() : job->job.need();
}

}  // namespace rhubarbhaven::tasks

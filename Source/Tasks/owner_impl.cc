#include "Tasks/owner_impl.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kCheckInterval{500};
constexpr std::chrono::milliseconds kRoundInterval{50};
// Maximum number of tasks that are evicted from a draining instance at the same
// time.
constexpr int kDrainingAtOnce = 2;

auto WithCell(OwnerOptions options) -> OwnerOptions {
  if (options.cell.empty()) {
    options.cell = tasks::kDefaultCell;
  }
  return options;
}

}  // namespace

Owner::Impl::Impl(OwnerOptions options)
    : options_(WithCell(std::move(options))),
      fold_(options_.cell),
      register_(options_.cell),
      claim_(options_, &fold_),
      orders_(options_) {}

auto Owner::Impl::TakeActions() -> OwnerActions {
  return std::exchange(actions_, {});
}

auto Owner::Impl::Count(const std::string& counter) -> void {
  actions_.push_back(CountOwnerEvent{counter});
}

auto Owner::Impl::Append(schema::LogEntry entry) -> void {
  actions_.push_back(AppendToCell{std::move(entry)});
}

auto Owner::Impl::OnConfig(TimePoint now,
                           const std::vector<schema::VersionedObject>& objects)
    -> void {
  configured_ = true;
  for (const schema::VersionedObject& object : objects) {
    config_version_ = std::max(config_version_, object.version());
  }
  const std::set<std::string> changed = register_.Load(objects);
  if (scheduler_ != nullptr) {
    scheduler_->OnConfig(now, changed);
  } else if (claim_.owns()) {
    Begin(now);
  }
  StopUnwanted();
}

auto Owner::Impl::OnRecord(TimePoint now,
                           uint64_t offset,
                           const schema::LogRecord& record) -> void {
  const std::vector<CellEffect> effects = fold_.Apply(offset, record);
  ObserveClaim(now);
  for (const CellEffect& effect : effects) {
    OnEffect(now, effect);
  }
}

auto Owner::Impl::OnSnapshot(TimePoint now, const schema::CellState& state)
    -> void {
  if (!fold_.Adopt(state)) {
    return;
  }
  // The snapshot skipped records, so derived state must be rebuilt.
  scheduler_.reset();
  placed_.Clear();
  ObserveClaim(now);
  if (claim_.owns() && scheduler_ == nullptr) {
    Begin(now);
  }
}

auto Owner::Impl::ObserveClaim(TimePoint now) -> void {
  if (!claim_.Observe(now)) {
    return;
  }
  scheduler_.reset();
  placed_.Clear();
  agents_.Clear();
  if (claim_.fence() == 0) {
    Count("owner_lost_cell");
    return;
  }
  Count("owner_took_cell");
  Begin(now);
}

auto Owner::Impl::Begin(TimePoint now) -> void {
  // Without the register every task would appear to be cancelled.
  if (!configured_) {
    return;
  }
  scheduler_ = std::make_unique<tasks::OwnerScheduler>(options_, &fold_,
                                                       &register_, &agents_);
  scheduler_->Begin(now);
  for (const auto& [name, state] : fold_.tasks()) {
    if (state.placed()) {
      placed_.Add(state);
    }
  }
  StopUnwanted();
}

auto Owner::Impl::OnCaughtUp(TimePoint now, TimePoint read_sent_at) -> void {
  claim_.OnCaughtUp(now, read_sent_at);
}

auto Owner::Impl::OnEffect(TimePoint now, const CellEffect& effect) -> void {
  if (scheduler_ == nullptr) {
    return;
  }
  const schema::LogEntry& entry = effect.entry;
  if (entry.has_placement()) {
    const schema::TaskId& task = entry.placement().task();
    if (!effect.accepted) {
      Count("placement_void");
      scheduler_->OnPlacementVoid(now, task);
      return;
    }
    OnPlaced(now, fold_.tasks().at(TaskName(task)));
    return;
  }
  if (entry.has_task_end() && effect.accepted) {
    OnEnded(now, entry.task_end());
  }
}

auto Owner::Impl::OnPlaced(TimePoint now, const schema::TaskState& state)
    -> void {
  scheduler_->OnPlaced(now, state);
  tasks::PlacedAttempt& attempt = placed_.Add(state);
  if (IsUnwanted(state.task())) {
    SetStop(&attempt, Stop::kCancel, "the job was cancelled");
    return;
  }
  SendOrder(attempt);
}

auto Owner::Impl::OnEnded(TimePoint now, const schema::TaskEnd& end) -> void {
  const std::string name = TaskName(end.task());
  const tasks::PlacedAttempt* attempt = placed_.Find(name);
  const std::string instance = attempt == nullptr ? "" : attempt->instance;
  placed_.Remove(name);
  scheduler_->OnEnded(now, instance, end.task(), end.outcome());
}

auto Owner::Impl::OnAppendFailed(TimePoint now, const schema::LogEntry& entry)
    -> void {
  Count("append_failed");
  if (entry.has_claim()) {
    claim_.OnAppendFailed();
    return;
  }
  if (scheduler_ == nullptr) {
    return;
  }
  if (entry.has_placement() && entry.placement().fence() == claim_.fence()) {
    scheduler_->OnPlacementVoid(now, entry.placement().task());
  }
  if (entry.has_task_end()) {
    tasks::PlacedAttempt* attempt =
        placed_.Find(TaskName(entry.task_end().task()));
    if (attempt != nullptr && attempt->attempt == entry.task_end().attempt()) {
      attempt->end_issued = false;
    }
  }
}

auto Owner::Impl::Evict(const schema::TaskId& task) -> void {
  tasks::PlacedAttempt* attempt = placed_.Find(TaskName(task));
  if (attempt == nullptr) {
    Count("evict_not_placed");
    return;
  }
  SetStop(attempt, Stop::kEvict, "an operator asked");
}

auto Owner::Impl::Release() -> void {
  auto entry = claim_.Release();
  if (entry.has_value()) {
    Append(*std::move(entry));
  }
}

auto Owner::Impl::SetStop(tasks::PlacedAttempt* attempt,
                          Stop stop,
                          const std::string& why) -> void {
  if (attempt->stop == stop || attempt->stop == Stop::kCancel) {
    return;
  }
  attempt->stop = stop;
  attempt->why = why;
  scheduler_->OnStopping(attempt->task);
  Count(stop == Stop::kCancel ? "task_cancel" : "task_evict");
  SendOrder(*attempt);
}

auto Owner::Impl::IsUnwanted(const schema::TaskId& task) const -> bool {
  const tasks::RegisterJob* job = register_.FindJob(task);
  if (job != nullptr) {
    return job->job.cancelled() || task.index() >= job->job.tasks();
  }
  // This process may not have read the configuration that created the job yet;
  // the job must not be treated as removed then. A job is known to be removed
  // only if a configuration newer than its creation has been read.
  return task.job_version() <= config_version_;
}

auto Owner::Impl::StopUnwanted() -> void {
  if (scheduler_ == nullptr) {
    return;
  }
  for (auto& [name, attempt] : placed_.all()) {
    if (IsUnwanted(attempt.task)) {
      SetStop(&attempt, Stop::kCancel, "the job was cancelled");
    }
  }
}

auto Owner::Impl::Advance(TimePoint now) -> void {
  auto claim = claim_.Step(now);
  if (claim.has_value()) {
    Append(*std::move(claim));
  }
  if (scheduler_ == nullptr || !claim_.owns()) {
    return;
  }
  if (now >= next_check_) {
    next_check_ = now + kCheckInterval;
    Check(now);
  }
  if (now >= next_round_) {
    next_round_ = now + kRoundInterval;
    PlaceTasks(now);
  }
}

auto Owner::Impl::Check(TimePoint now) -> void {
  scheduler_->SyncWorkers(now);
  CheckLost(now);
  EvictFromDraining();
}

auto Owner::Impl::CheckLost(TimePoint now) -> void {
  if (!claim_.may_append(now)) {
    return;
  }
  for (auto& [name, attempt] : placed_.all()) {
    if (attempt.end_issued) {
      continue;
    }
    const std::string why = LossReason(now, attempt);
    if (!why.empty()) {
      Count("task_lost");
      IssueEnd(&attempt, schema::LOST, why);
    }
  }
}

auto Owner::Impl::LossReason(TimePoint now,
                             const tasks::PlacedAttempt& attempt) const
    -> std::string {
  const tasks::RegisterInstance* entry =
      register_.FindInstance(attempt.instance);
  if (entry != nullptr && entry->instance.lost_incarnation() != 0 &&
      entry->instance.lost_incarnation() == attempt.instance_incarnation) {
    return "an operator said that the instance is lost";
  }
  const tasks::AgentState* agent = agents_.Find(attempt.instance);
  if (agent != nullptr && agent->confirmed() &&
      agent->instance_incarnation != attempt.instance_incarnation) {
    return "the instance started anew";
  }
  // An instance that is only unreachable must not be declared lost, or its task
  // would run twice. It counts as lost only after every lease that this owner
  // or an earlier one may have granted has expired. The record takes effect
  // only under the fence of this owner, which proves that no other process has
  // owned the cell in between.
  TimePoint leases_end = TimePoint::min();
  if (agent != nullptr && agent->last_grant.has_value()) {
    leases_end = *agent->last_grant + options_.lease_ttl +
                 options_.worker_lease + options_.drift_margin;
  }
  if (agent == nullptr || !agent->confirmed()) {
    leases_end = std::max(leases_end, claim_.inherited_until());
  }
  if (now >= leases_end) {
    return "the instance is silent and its leases are over";
  }
  return "";
}

auto Owner::Impl::EvictFromDraining() -> void {
  for (const auto& [name, entry] : register_.instances()) {
    if (!entry.instance.draining()) {
      continue;
    }
    int moving = 0;
    for (const std::string& task : placed_.On(name)) {
      tasks::PlacedAttempt* attempt = placed_.Find(task);
      if (attempt->stop == Stop::kNone && moving < kDrainingAtOnce) {
        SetStop(attempt, Stop::kEvict, "the instance is draining");
      }
      moving += attempt->stop != Stop::kNone ? 1 : 0;
    }
  }
}

auto Owner::Impl::PlaceTasks(TimePoint now) -> void {
  if (!claim_.may_append(now) ||
      scheduler_->in_flight() >= options_.placements_per_round) {
    return;
  }
  const PlacerRound round = scheduler_->Round(now);
  for (const EvictDecision& eviction : round.evictions) {
    tasks::PlacedAttempt* attempt = placed_.Find(TaskName(eviction.task));
    if (attempt != nullptr) {
      SetStop(attempt, Stop::kEvict, eviction.why);
    }
  }
  for (const PlaceDecision& decision : round.placements) {
    const tasks::AgentState* agent = agents_.Find(decision.instance);
    const auto known = fold_.tasks().find(TaskName(decision.task));
    schema::LogEntry entry;
    schema::Placement* placement = entry.mutable_placement();
    placement->set_cell(options_.cell);
    placement->set_fence(claim_.fence());
    *placement->mutable_task() = decision.task;
    placement->set_attempt(
        known == fold_.tasks().end() ? 1 : known->second.attempt() + 1);
    placement->set_instance(decision.instance);
    placement->set_instance_incarnation(agent->instance_incarnation);
    *placement->mutable_admitted() = scheduler_->Admitted(decision.task);
    Append(std::move(entry));
  }
}

auto Owner::Impl::next_wake() const -> TimePoint {
  if (scheduler_ == nullptr) {
    return claim_.next_wake();
  }
  const TimePoint next = scheduler_->pending() > 0
                             ? std::min(next_check_, next_round_)
                             : next_check_;
  return std::min(next, claim_.next_wake());
}

}  // namespace rhubarbhaven

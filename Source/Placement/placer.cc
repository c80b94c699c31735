#include "Placement/placer.h"

#include <algorithm>
#include <utility>

#include "Placement/cell_state.h"
#include "Placement/explanation.h"
#include "Placement/place_finder.h"
#include "Placement/placement_round.h"

namespace rhubarbhaven {
namespace {

auto UnsavedSeconds(std::chrono::seconds unsaved) -> uint32_t {
  constexpr int64_t kMaxSeconds = 0xFFFFFFFF;
  return static_cast<uint32_t>(
      std::clamp<int64_t>(unsaved.count(), 0, kMaxSeconds));
}

}  // namespace

class Placer::Impl {
 public:
  explicit Impl(PlacerOptions options)
      : options_(std::move(options)), finder_(&cell_, &options_) {}

  auto cell() -> CellState& { return cell_; }

  auto AddPending(PendingTask task) -> void {
    WaitingTask waiting;
    waiting.attempt = task.attempt;
    waiting.need = FromMessage(task.need);
    waiting.since = task.waiting_since;
    const TaskKey key = cell_.jobs().Update(std::move(task), cell_.names());
    if (cell_.FindPlaced(key) == nullptr) {
      cell_.jobs().AddWaiting(key, waiting);
    }
  }

  auto RemoveWaiting(TaskKey key) -> void {
    cell_.RemoveClaim(key);
    cell_.jobs().RemoveWaiting(key);
  }

  auto RemovePending(const schema::TaskId& task) -> void {
    const std::optional<TaskKey> key = cell_.jobs().Find(task);
    if (!key.has_value()) {
      return;
    }
    RemoveWaiting(*key);
    cell_.jobs().ReleaseIfEmpty(key->job);
  }

  auto RemoveJob(const std::string& partner, const std::string& job) -> void {
    for (const JobId id : cell_.jobs().Versions(partner, job)) {
      cell_.RemoveClaimsOfJob(id);
      cell_.jobs().ClearWaiting(id);
      cell_.jobs().ReleaseIfEmpty(id);
    }
  }

  auto AddPlaced(PlacedTask task) -> void {
    PlacedRecord record;
    record.worker = cell_.workers().FindOrAdd(task.instance);
    record.held = FromMessage(task.held);
    record.unsaved_progress_s = UnsavedSeconds(task.unsaved_progress);
    record.evictions = task.evictions;
    record.stopping = task.stopping;
    record.confirmed = true;
    const TaskKey key =
        cell_.jobs().Update(std::move(task.spec), cell_.names());
    RemoveWaiting(key);
    const PlacedRecord* known = cell_.FindPlaced(key);
    if (known != nullptr) {
      MergeWithKnown(*known, record);
      cell_.Unplace(key);
    }
    cell_.Place(key, record);
  }

  auto RemovePlaced(const schema::TaskId& task) -> void {
    const std::optional<TaskKey> key = cell_.jobs().Find(task);
    if (!key.has_value()) {
      return;
    }
    cell_.Unplace(*key);
    cell_.jobs().ReleaseIfEmpty(key->job);
  }

  auto Decide(TimePoint now, std::size_t limit) -> PlacerRound {
    PlacementRound round(&cell_, &finder_, &options_, now);
    return round.Run(limit, turn_);
  }

  auto Explain(TimePoint now, const schema::TaskId& task) const -> Explanation {
    return ExplainTask(cell_, options_, now, task);
  }

 private:
  // Keeps the larger held amounts and the stopping state when a placement is
  // confirmed: a confirmation never lowers the held amounts and never turns a
  // stopping task back into a running one.
  static auto MergeWithKnown(const PlacedRecord& known, PlacedRecord& record)
      -> void {
    if (known.worker == record.worker) {
      record.held = Larger(record.held, known.held);
      record.stopping = record.stopping || known.stopping;
    }
  }

  PlacerOptions options_;
  CellState cell_;
  PlaceFinder finder_;
  uint64_t turn_ = 0;
};

Placer::Placer(PlacerOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

Placer::~Placer() = default;

auto Placer::SetWorker(const WorkerState& worker) -> void {
  impl_->cell().workers().Set(worker);
}

auto Placer::RemoveWorker(const std::string& instance) -> void {
  impl_->cell().workers().Remove(instance);
}

auto Placer::SetRules(const std::string& partner,
                      const schema::PartnerRules& rules) -> void {
  CellState& cell = impl_->cell();
  cell.SetRules(cell.names().Intern(partner), rules);
}

auto Placer::SetTeam(const std::string& partner, const schema::Team& team)
    -> void {
  CellState& cell = impl_->cell();
  const uint32_t id = cell.names().Intern(partner + "/" + team.name());
  cell.quotas().Set(id, FromMessage(team.quota()));
}

auto Placer::AddPending(PendingTask task) -> void {
  impl_->AddPending(std::move(task));
}

auto Placer::RemovePending(const schema::TaskId& task) -> void {
  impl_->RemovePending(task);
}

auto Placer::RemoveJob(const std::string& partner, const std::string& job)
    -> void {
  impl_->RemoveJob(partner, job);
}

auto Placer::AddPlaced(PlacedTask task) -> void {
  impl_->AddPlaced(std::move(task));
}

auto Placer::SetStopping(const schema::TaskId& task) -> void {
  const std::optional<TaskKey> key = impl_->cell().jobs().Find(task);
  if (key.has_value()) {
    impl_->cell().SetStopping(*key);
  }
}

auto Placer::RaiseHeld(const schema::TaskId& task,
                       const schema::Resources& usage) -> void {
  const std::optional<TaskKey> key = impl_->cell().jobs().Find(task);
  if (key.has_value()) {
    impl_->cell().RaiseUsage(*key, FromMessage(usage));
  }
}

auto Placer::RemovePlaced(const schema::TaskId& task) -> void {
  impl_->RemovePlaced(task);
}

auto Placer::Decide(TimePoint now, std::size_t limit) -> PlacerRound {
  return impl_->Decide(now, limit);
}

auto Placer::Explain(TimePoint now, const schema::TaskId& task) const
    -> Explanation {
  return impl_->Explain(now, task);
}

auto Placer::pending() const -> std::size_t {
  return impl_->cell().jobs().waiting();
}

auto Placer::placed() const -> std::size_t {
  return impl_->cell().placed();
}

auto Placer::free(const std::string& instance) const
    -> std::optional<schema::Resources> {
  const WorkerTable& workers = impl_->cell().workers();
  const std::optional<WorkerId> id = workers.Find(instance);
  if (!id.has_value() || !workers.slot(*id).known) {
    return std::nullopt;
  }
  return ToMessage(workers.FreeIgnoringClaims(*id));
}

}  // namespace rhubarbhaven

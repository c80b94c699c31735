#include "Tests/Benchmarks/Placement/colocation_policies.h"

#include <algorithm>
#include <list>
#include <map>

namespace rhubarbhaven::bench {
namespace {

constexpr std::size_t kPlacementsPerRound = 64;

class OwnPolicy : public Policy {
 public:
  OwnPolicy(const schema::PartnerRules& rules,
            std::string partner,
            bool interference_control)
      : partner_(std::move(partner)),
        interference_control_(interference_control),
        model_(InterferenceOptions{}),
        health_(WorkerHealthOptions{}),
        placer_(Options()) {
    model_.SetRules(partner_, rules);
    placer_.SetRules(partner_, rules);
  }

  auto SetWorker(const WorkerState& worker) -> void override {
    workers_[worker.instance] = worker;
    schema::Service service;
    service.set_name("service");
    service.set_target_p99_ms(10);
    model_.SetService(worker.instance, partner_, service);
  }

  auto Submit(const SimTask& task) -> void override {
    PendingTask pending = Spec(task);
    pending.waiting_since = task.waiting_since;
    placer_.AddPending(pending);
  }

  auto Decide(TimePoint now) -> PlacerRound override {
    now_ = now;
    for (const auto& [name, worker] : workers_) {
      WorkerState state = worker;
      const WorkerHealth::Verdict verdict = health_.Check(now, name);
      state.accepting = state.accepting &&
                        verdict != WorkerHealth::Verdict::kQuarantined &&
                        (verdict != WorkerHealth::Verdict::kProbe ||
                         now.time_since_epoch() % std::chrono::seconds(7) ==
                             Duration::zero());
      placer_.SetWorker(state);
    }
    return placer_.Decide(now, kPlacementsPerRound);
  }

  auto OnStarted(TimePoint now, const SimTask& task) -> void override {
    PlacedTask placed;
    placed.spec = Spec(task);
    placed.instance = task.instance;
    placed.held = placed.spec.need;
    placed.evictions = task.evictions;
    placer_.AddPlaced(placed);
    model_.OnStarted(now, task.instance, task.id, task.kind->costly_to_evict);
    if (health_.Check(now, task.instance) == WorkerHealth::Verdict::kProbe) {
      health_.OnProbeStarted(now, task.instance);
    }
  }

  auto OnEnded(TimePoint now,
               const SimTask& task,
               const std::string& instance,
               schema::TaskOutcome outcome) -> void override {
    placer_.RemovePlaced(task.id);
    model_.OnStopped(now, instance, task.id);
    health_.OnTaskEnded(now, instance, task.id, outcome);
  }

  auto OnReport(TimePoint now, const SimReport& report)
      -> std::vector<InterferenceAction> override {
    const schema::UsageReport& usage = report.usage;
    placer_.RaiseHeld(usage.task(), usage.used());
    schema::Resources& peak = peak_usage_[TaskName(usage.task())];
    peak.set_millicores(std::max(peak.millicores(), usage.used().millicores()));
    peak.set_memory_mb(std::max(peak.memory_mb(), usage.used().memory_mb()));
    if (!interference_control_) {
      return {};
    }
    return model_.OnReport(now, report.measured, report.instance, usage);
  }

 private:
  auto Options() -> PlacerOptions {
    PlacerOptions options;
    options.extra_cost = [this](const PendingTask& task,
                                const std::string& instance) -> double {
      const std::string& partner = task.task.partner();
      const std::string& job = task.task.job();
      double cost = health_.HasFailedOn(instance, partner, job) ? 1 : 0;
      if (interference_control_) {
        cost += model_.PlacementCost(now_, instance, partner, job);
      }
      return cost;
    };
    return options;
  }

  auto Spec(const SimTask& task) const -> PendingTask {
    PendingTask pending;
    pending.task = task.id;
    pending.attempt = task.attempt;
    pending.need = task.kind->declared;
    pending.costly_to_evict = task.kind->costly_to_evict;
    const auto peak = peak_usage_.find(TaskName(task.id));
    if (peak != peak_usage_.end()) {
      pending.need.set_millicores(
          std::max(pending.need.millicores(), peak->second.millicores()));
      pending.need.set_memory_mb(
          std::max(pending.need.memory_mb(), peak->second.memory_mb()));
    }
    return pending;
  }

  std::string partner_;
  bool interference_control_;
  TimePoint now_;
  std::map<std::string, WorkerState> workers_;
  std::map<std::string, schema::Resources> peak_usage_;
  InterferenceModel model_;
  WorkerHealth health_;
  Placer placer_;
};

class BaselinePolicy : public Policy {
 public:
  explicit BaselinePolicy(Baseline baseline) : baseline_(baseline) {}

  auto SetWorker(const WorkerState& worker) -> void override {
    Room& room = rooms_[worker.instance];
    room.accepting = worker.accepting;
  }

  auto Submit(const SimTask& task) -> void override {
    waiting_.push_back({task.id, task.kind->declared});
  }

  auto Decide(TimePoint /*now*/) -> PlacerRound override {
    PlacerRound round;
    for (auto task = waiting_.begin(); task != waiting_.end();) {
      const auto room = Choose(task->need);
      if (room == rooms_.end()) {
        ++task;
        continue;
      }
      Add(room->second, task->need, -1);
      round.placements.push_back({task->id, room->first});
      task = waiting_.erase(task);
    }
    return round;
  }

  auto OnStarted(TimePoint /*now*/, const SimTask& /*task*/) -> void override {}

  auto OnEnded(TimePoint /*now*/,
               const SimTask& task,
               const std::string& instance,
               schema::TaskOutcome /*outcome*/) -> void override {
    Add(rooms_[instance], task.kind->declared, 1);
  }

  auto OnReport(TimePoint /*now*/, const SimReport& /*report*/)
      -> std::vector<InterferenceAction> override {
    return {};
  }

 private:
  struct Waiting {
    schema::TaskId id;
    schema::Resources need;
  };
  struct Room {
    int64_t millicores = 12000;
    int64_t memory_mb = 52000;
    bool accepting = true;
  };
  using Rooms = std::map<std::string, Room>;

  static auto Add(Room& room, const schema::Resources& need, int sign) -> void {
    room.millicores += sign * int64_t{need.millicores()};
    room.memory_mb += sign * static_cast<int64_t>(need.memory_mb());
  }

  auto Choose(const schema::Resources& need) -> Rooms::iterator {
    auto best = rooms_.end();
    for (auto room = rooms_.begin(); room != rooms_.end(); ++room) {
      if (!room->second.accepting ||
          room->second.millicores < int64_t{need.millicores()} ||
          room->second.memory_mb < static_cast<int64_t>(need.memory_mb())) {
        continue;
      }
      if (baseline_ == Baseline::kFirstFit) {
        return room;
      }
      if (best == rooms_.end() ||
          room->second.millicores > best->second.millicores) {
        best = room;
      }
    }
    return best;
  }

  Baseline baseline_;
  Rooms rooms_;
  std::list<Waiting> waiting_;
};

}  // namespace

auto MakeOwnPolicy(const schema::PartnerRules& rules,
                   const std::string& partner,
                   bool interference_control) -> std::unique_ptr<Policy> {
  return std::make_unique<OwnPolicy>(rules, partner, interference_control);
}

auto MakeBaseline(Baseline baseline) -> std::unique_ptr<Policy> {
  return std::make_unique<BaselinePolicy>(baseline);
}

}  // namespace rhubarbhaven::bench

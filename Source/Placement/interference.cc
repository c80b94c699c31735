#include "Placement/interference.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include "Placement/effect_estimates.h"
#include "Placement/run_history.h"
#include "Placement/step_control.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven {
namespace {

// Reports of one instance that were measured less than this apart belong to the
// same window: a worker repeats the service's p99 in the report of each task.
constexpr std::chrono::milliseconds kSameWindow{500};
// The service's own level follows its load, so its estimate becomes uncertain
// again quickly.
constexpr std::chrono::seconds kBaseHalfLife{300};
// Daily load peaks recur, so a peak decays slowly.
constexpr std::chrono::seconds kPeakHalfLife{7200};
constexpr double kBaseVariance = 0.25;
constexpr double kEffectVariance = 0.1;
constexpr double kNegligible = 0.02;
// Estimates are pruned after this many reports.
constexpr uint64_t kPruneEvery = 1024;

struct InstanceState {
  std::string partner;
  // "partner/service"; empty if the instance has no service.
  std::string service;
  uint32_t target_p99_us = 0;
  RunHistory history;
  StepControl control;
  // Decaying maximum of the service's own level, and when it was updated.
  double peak = 0;
  TimePoint peak_at;
  bool reported = false;
  // Times of the windows already used, as far back as the history.
  std::vector<TimePoint> windows;
};

auto PairName(const std::string& service,
              const std::string& partner,
              const std::string& job) -> std::string {
  return service + "\n" + partner + "/" + job;
}

auto PairName(const std::string& service, const schema::TaskId& task)
    -> std::string {
  return PairName(service, task.partner(), task.job());
}

auto AddTerm(const std::string& name,
             double share,
             std::vector<EffectTerm>& terms) -> void {
  const auto known = std::ranges::find(terms, name, &EffectTerm::name);
  if (known == terms.end()) {
    terms.push_back({name, share});
  } else {
    known->share += share;
  }
}

}  // namespace

class InterferenceModel::Impl {
 public:
  explicit Impl(InterferenceOptions options)
      : options_(options),
        bases_({kBaseHalfLife, kBaseVariance, false}),
        effects_({options.half_life, kEffectVariance, true}) {}

  auto SetRules(const std::string& partner, const schema::PartnerRules& rules)
      -> void {
    weights_[partner] = NormalizedWeights(rules);
  }

  auto SetService(const std::string& instance,
                  const std::string& partner,
                  const schema::Service& service) -> void {
    InstanceState& state = instances_[instance];
    state.partner = partner;
    state.service = partner + "/" + service.name();
    constexpr uint32_t kMaxMs = std::numeric_limits<uint32_t>::max() / 1000;
    state.target_p99_us = std::min(service.target_p99_ms(), kMaxMs) * 1000;
  }

  auto History(const std::string& instance) -> RunHistory& {
    return instances_[instance].history;
  }

  auto RemoveInstance(const std::string& instance) -> void {
    instances_.erase(instance);
  }

  auto OnReport(TimePoint now,
                TimePoint measured,
                const std::string& instance,
                const schema::UsageReport& report)
      -> std::vector<InterferenceAction> {
    InstanceState& state = instances_[instance];
    state.history.Prune(now - options_.history);
    if (state.service.empty() || report.service_p99_us() == 0 ||
        !AcceptWindow(now, measured, state)) {
      return {};
    }
    if (++reports_ % kPruneEvery == 0) {
      effects_.Prune(now);
      bases_.Prune(now);
    }
    const double observed = LogSlowdown(state, report.service_p99_us());
    LearnEffects(now, observed, instance, TermsAt(measured, state, report),
                 bases_, effects_);
    UpdatePeak(now, instance, state);
    return ChooseActions(now, measured, observed, instance, state);
  }

  auto ExpectedSlowdown(TimePoint now,
                        const std::string& instance,
                        const std::string& partner,
                        const std::string& job) const -> double {
    const auto entry = instances_.find(instance);
    if (entry == instances_.end() || entry->second.service.empty()) {
      return 1;
    }
    const InstanceState& state = entry->second;
    const double added =
        effects_.At(now, PairName(state.service, partner, job)).mean;
    return std::exp(added + EffectOfRunning(now, state));
  }

  auto PlacementCost(TimePoint now,
                     const std::string& instance,
                     const std::string& partner,
                     const std::string& job) const -> double {
    const auto entry = instances_.find(instance);
    if (entry == instances_.end() || entry->second.service.empty()) {
      return 0;
    }
    const InstanceState& state = entry->second;
    const double added =
        effects_.At(now, PairName(state.service, partner, job)).mean;
    if (added < kNegligible) {
      return 0;
    }
    // An instance may send no reports because it runs nothing. Without this, it
    // would stay excluded on the basis of its last report.
    if (!state.reported || now - state.peak_at > options_.history) {
      return added;
    }
    const double limit = ActThreshold(options_, Weights(state.partner));
    const double level =
        Base(now, instance, state) + EffectOfRunning(now, state) + added;
    const double throttled_at_peak =
        state.peak +
        options_.throttled_share * (FullEffectOfRunning(now, state) + added);
    if (level > limit || throttled_at_peak > limit) {
      return std::numeric_limits<double>::infinity();
    }
    return added;
  }

 private:
  auto Weights(const std::string& partner) const -> StepWeights {
    const auto entry = weights_.find(partner);
    return entry == weights_.end() ? StepWeights{} : entry->second;
  }

  // Returns false for a window that was already used or is too old.
  auto AcceptWindow(TimePoint now,
                    TimePoint measured,
                    InstanceState& state) const -> bool {
    std::erase_if(state.windows, [&](TimePoint window) -> bool {
      return now - window > options_.history;
    });
    if (now - measured > options_.history) {
      return false;
    }
    const bool repeated =
        std::ranges::any_of(state.windows, [&](TimePoint window) -> bool {
          return std::chrono::abs(window - measured) < kSameWindow;
        });
    if (!repeated) {
      state.windows.push_back(measured);
    }
    return !repeated;
  }

  // Without a target, the service's own estimated level serves as the target,
  // and the p99 is taken relative to a fixed 1000 us.
  static auto LogSlowdown(const InstanceState& state, uint32_t p99_us)
      -> double {
    const double target = state.target_p99_us == 0
                              ? 1000.0
                              : static_cast<double>(state.target_p99_us);
    return std::log(static_cast<double>(p99_us) / target);
  }

  auto Base(TimePoint now,
            const std::string& instance,
            const InstanceState& state) const -> double {
    return state.target_p99_us == 0 ? 0 : bases_.At(now, instance).mean;
  }

  auto UpdatePeak(TimePoint now,
                  const std::string& instance,
                  InstanceState& state) const -> void {
    const double base = Base(now, instance, state);
    const double age =
        std::chrono::duration<double>(now - state.peak_at).count();
    const double kept = std::exp2(-age / kPeakHalfLife.count());
    state.peak = base + std::max(0.0, state.peak - base) * kept;
    state.peak_at = now;
    state.reported = true;
  }

  auto TermsAt(TimePoint measured,
               const InstanceState& state,
               const schema::UsageReport& report) const
      -> std::vector<EffectTerm> {
    std::vector<EffectTerm> terms;
    for (const Run& run : state.history.runs()) {
      if (run.WasRunningAt(measured)) {
        const double share =
            run.WasThrottledAt(measured) ? options_.throttled_share : 1;
        AddTerm(PairName(state.service, run.task), share, terms);
      }
    }
    for (const schema::TaskId& task : report.beside()) {
      if (!IsInHistory(measured, state, task)) {
        AddTerm(PairName(state.service, task), 1, terms);
      }
    }
    return terms;
  }

  // Tasks that the worker reports but the history lacks were started before
  // this process took over.
  static auto IsInHistory(TimePoint measured,
                          const InstanceState& state,
                          const schema::TaskId& task) -> bool {
    return std::ranges::any_of(
        state.history.runs(), [&](const Run& run) -> bool {
          return run.WasRunningAt(measured) && SameTask(run.task, task);
        });
  }

  auto EffectOfRunning(TimePoint now, const InstanceState& state) const
      -> double {
    double sum = 0;
    for (const RunningEffect& task : Running(now, state)) {
      sum += CurrentEffect(options_, task);
    }
    return sum;
  }

  auto FullEffectOfRunning(TimePoint now, const InstanceState& state) const
      -> double {
    double sum = 0;
    for (const RunningEffect& task : Running(now, state)) {
      sum += task.effect;
    }
    return sum;
  }

  auto Running(TimePoint now, const InstanceState& state) const
      -> std::vector<RunningEffect> {
    std::vector<RunningEffect> running;
    for (const Run& run : state.history.runs()) {
      if (run.stopped.has_value()) {
        continue;
      }
      RunningEffect task;
      task.task = run.task;
      task.effect = effects_.At(now, PairName(state.service, run.task)).mean;
      task.throttled = run.WasThrottledAt(now);
      task.costly_to_evict = run.costly_to_evict;
      task.leaving = run.leaving;
      task.weights = Weights(run.task.partner());
      running.push_back(std::move(task));
    }
    return running;
  }

  // Repeats while tasks are throttled: at the start of a load wave several
  // tasks may have to be throttled, and one per report would take minutes.
  auto ChooseActions(TimePoint now,
                     TimePoint measured,
                     double observed,
                     const std::string& instance,
                     InstanceState& state) -> std::vector<InterferenceAction> {
    std::vector<InterferenceAction> actions;
    InstanceLevel level;
    level.base = Base(now, instance, state);
    level.measured_at = measured;
    level.measured = state.target_p99_us == 0
                         ? observed - bases_.At(now, instance).mean
                         : observed;
    level.service_weights = Weights(state.partner);
    InterferenceStep step = InterferenceStep::kThrottle;
    while (step == InterferenceStep::kThrottle) {
      level.running = Running(now, state);
      InterferenceAction action = state.control.Choose(now, options_, level);
      step = action.step;
      if (step != InterferenceStep::kNone) {
        RecordAction(now, action, state.history);
        actions.push_back(std::move(action));
      }
    }
    return actions;
  }

  static auto RecordAction(TimePoint now,
                           const InterferenceAction& action,
                           RunHistory& history) -> void {
    if (action.step == InterferenceStep::kMove) {
      history.SetLeaving(action.task);
      return;
    }
    history.SetThrottled(now, action.task,
                         action.step == InterferenceStep::kThrottle);
  }

  InterferenceOptions options_;
  absl::flat_hash_map<std::string, InstanceState> instances_;
  absl::flat_hash_map<std::string, StepWeights> weights_;
  EffectTable bases_;
  EffectTable effects_;
  uint64_t reports_ = 0;
};

InterferenceModel::InterferenceModel(InterferenceOptions options)
    : impl_(std::make_unique<Impl>(options)) {}

InterferenceModel::~InterferenceModel() = default;

auto InterferenceModel::SetRules(const std::string& partner,
                                 const schema::PartnerRules& rules) -> void {
  impl_->SetRules(partner, rules);
}

auto InterferenceModel::SetService(const std::string& instance,
                                   const std::string& partner,
                                   const schema::Service& service) -> void {
  impl_->SetService(instance, partner, service);
}

auto InterferenceModel::OnStarted(TimePoint now,
                                  const std::string& instance,
                                  const schema::TaskId& task,
                                  bool costly_to_evict) -> void {
  impl_->History(instance).Start(now, task, costly_to_evict);
}

auto InterferenceModel::OnStopped(TimePoint now,
                                  const std::string& instance,
                                  const schema::TaskId& task) -> void {
  impl_->History(instance).Stop(now, task);
}

auto InterferenceModel::OnReport(TimePoint now,
                                 TimePoint measured,
                                 const std::string& instance,
                                 const schema::UsageReport& report)
    -> std::vector<InterferenceAction> {
  return impl_->OnReport(now, measured, instance, report);
}

auto InterferenceModel::ExpectedSlowdown(TimePoint now,
                                         const std::string& instance,
                                         const std::string& partner,
                                         const std::string& job) const
    -> double {
  return impl_->ExpectedSlowdown(now, instance, partner, job);
}

auto InterferenceModel::PlacementCost(TimePoint now,
                                      const std::string& instance,
                                      const std::string& partner,
                                      const std::string& job) const -> double {
  return impl_->PlacementCost(now, instance, partner, job);
}

auto InterferenceModel::RemoveInstance(const std::string& instance) -> void {
  impl_->RemoveInstance(instance);
}

}  // namespace rhubarbhaven

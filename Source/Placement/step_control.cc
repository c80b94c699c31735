#include "Placement/step_control.h"

#include <algorithm>
#include <cmath>

#include "Placement/placer.h"

namespace rhubarbhaven {
namespace {

constexpr double kThird = 1.0 / 3;
// How much earlier steps begin for a partner that weighs tail latency alone.
constexpr double kEarlierByWeight = 0.06;
// An effect below this is not worth a step; 2 % of the p99.
constexpr double kNegligible = 0.02;
// How far beyond the level at which steps begin the service must be, with
// everything throttled, before a task is moved: a move costs an eviction and
// only pays where throttling leaves much undone.
constexpr double kMoveMargin = 0.15;
// A task marked as costly to evict is left in place this much longer.
constexpr double kCostlyPatience = 4;

auto Percent(double log_slowdown) -> std::string {
  return std::to_string(std::lround((std::exp(log_slowdown) - 1) * 100)) + "%";
}

auto Describe(const char* what, const RunningEffect& task, double level)
    -> std::string {
  return std::string(what) + ": the job is expected to add " +
         Percent(task.effect) + " to the service's p99, which is expected at " +
         Percent(level) + " over its target";
}

// How many times `hold` pass before a task is moved. Partners that weigh
// evictions wait longer; services that weigh tail latency wait less.
auto Patience(const RunningEffect& task, const StepWeights& service) -> double {
  const double ratio =
      task.weights.evictions / std::max(service.tail_latency, 0.01);
  const double patience = std::clamp(4 * ratio, 2.0, 12.0);
  return task.costly_to_evict ? patience * kCostlyPatience : patience;
}

}  // namespace

auto WeightsOf(const schema::PartnerRules& rules) -> StepWeights {
  const double all = static_cast<double>(rules.tail_latency_weight()) +
                     rules.batch_throughput_weight() + rules.eviction_weight();
  if (all == 0) {
    return {};
  }
  return {rules.tail_latency_weight() / all,
          rules.batch_throughput_weight() / all, rules.eviction_weight() / all};
}

auto ActLevel(const InterferenceOptions& options, const StepWeights& weights)
    -> double {
  const double beyond_third = std::max(0.0, weights.tail_latency - kThird);
  return std::log(options.act_above) - kEarlierByWeight * beyond_third;
}

auto EffectNow(const InterferenceOptions& options, const RunningEffect& task)
    -> double {
  return task.throttled ? task.effect * options.throttled_share : task.effect;
}

auto StepControl::Choose(TimePoint now,
                         const InterferenceOptions& options,
                         const InstanceLevel& level) -> InterferenceAction {
  double expected = level.base;
  for (const RunningEffect& task : level.running) {
    expected += EffectNow(options, task);
  }
  std::optional<InterferenceAction> action;
  if (expected > ActLevel(options, level.service_weights)) {
    action = ChooseThrottle(level);
    if (!action.has_value()) {
      action = ChooseMove(now, options, level);
    }
  } else if (expected < std::log(options.relax_below) &&
             (!stepped_ || now - last_step_ >= options.hold)) {
    action = ChooseUnthrottle(options, level, expected);
  }
  if (!action.has_value()) {
    return {};
  }
  last_step_ = now;
  stepped_ = true;
  return *action;
}

auto StepControl::ChooseThrottle(const InstanceLevel& level) const
    -> std::optional<InterferenceAction> {
  const RunningEffect* worst = nullptr;
  for (const RunningEffect& task : level.running) {
    if (task.throttled || task.leaving || task.effect < kNegligible) {
      continue;
    }
    if (worst == nullptr || task.effect > worst->effect) {
      worst = &task;
    }
  }
  if (worst == nullptr) {
    return std::nullopt;
  }
  return InterferenceAction{InterferenceStep::kThrottle, worst->task,
                            Describe("throttled", *worst, level.measured)};
}

auto StepControl::ChooseMove(TimePoint now,
                             const InterferenceOptions& options,
                             const InstanceLevel& level) const
    -> std::optional<InterferenceAction> {
  // What was measured before the latest step says nothing about its effect:
  // without this, one late report after the other would drive a task through
  // all the steps within a second of the first.
  const bool step_was_seen = stepped_ && level.measured_at > last_step_;
  if (!step_was_seen ||
      level.measured <=
          ActLevel(options, level.service_weights) + kMoveMargin) {
    return std::nullopt;
  }
  const RunningEffect* best = nullptr;
  for (const RunningEffect& task : level.running) {
    if (task.leaving) {
      // One at a time.
      return std::nullopt;
    }
    const double patience = Patience(task, level.service_weights);
    const auto wait = std::chrono::duration_cast<Duration>(
        options.hold * std::max(patience, 0.5));
    if (EffectNow(options, task) < kNegligible || now - last_step_ < wait) {
      continue;
    }
    const bool better =
        best == nullptr || std::pair(!task.costly_to_evict, task.effect) >
                               std::pair(!best->costly_to_evict, best->effect);
    if (better) {
      best = &task;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return InterferenceAction{InterferenceStep::kMove, best->task,
                            Describe("moved, since throttling did not suffice",
                                     *best, level.measured)};
}

auto StepControl::ChooseUnthrottle(const InterferenceOptions& options,
                                   const InstanceLevel& level,
                                   double expected) const
    -> std::optional<InterferenceAction> {
  const RunningEffect* mildest = nullptr;
  for (const RunningEffect& task : level.running) {
    if (!task.throttled || task.leaving) {
      continue;
    }
    if (mildest == nullptr || task.effect < mildest->effect) {
      mildest = &task;
    }
  }
  if (mildest == nullptr) {
    return std::nullopt;
  }
  const double after =
      expected + mildest->effect * (1 - options.throttled_share);
  if (after > ActLevel(options, level.service_weights)) {
    return std::nullopt;
  }
  return InterferenceAction{InterferenceStep::kUnthrottle, mildest->task,
                            Describe("unthrottled", *mildest, after)};
}

}  // namespace rhubarbhaven

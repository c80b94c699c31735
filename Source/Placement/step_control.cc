#include "Placement/step_control.h"

#include <algorithm>
#include <cmath>

#include "Placement/placer.h"

namespace rhubarbhaven {
namespace {

constexpr double kThird = 1.0 / 3;
// Reduction of the threshold for steps, on the scale of log(slowdown), per unit
// of the tail latency weight above one third.
constexpr double kThresholdReductionByWeight = 0.06;
// Effects below this, 2 % of the p99, do not justify a step.
constexpr double kNegligible = 0.02;
// How far the service must exceed the threshold for steps, with all tasks
// throttled, before a task is moved. A move costs an eviction and is worthwhile
// only where throttling leaves a large excess.
constexpr double kMoveMargin = 0.15;
// Factor by which the wait before a move is longer for a task marked as costly
// to evict.
constexpr double kCostlyDelayFactor = 4;

auto Percent(double log_slowdown) -> std::string {
  return std::to_string(std::lround((std::exp(log_slowdown) - 1) * 100)) + "%";
}

auto Describe(const char* what, const RunningEffect& task, double level)
    -> std::string {
  return std::string(what) + ": the job is expected to add " +
         Percent(task.effect) + " to the service's p99, which is expected at " +
         Percent(level) + " over its target";
}

// Returns the wait before a task is moved, in units of `hold`. A higher weight
// of evictions for the task's partner makes it longer, a higher weight of tail
// latency for the service's partner makes it shorter.
auto MoveDelay(const RunningEffect& task, const StepWeights& service)
    -> double {
  const double ratio =
      task.weights.evictions / std::max(service.tail_latency, 0.01);
  const double delay = std::clamp(4 * ratio, 2.0, 12.0);
  return task.costly_to_evict ? delay * kCostlyDelayFactor : delay;
}

}  // namespace

auto NormalizedWeights(const schema::PartnerRules& rules) -> StepWeights {
  const double all = static_cast<double>(rules.tail_latency_weight()) +
                     rules.batch_throughput_weight() + rules.eviction_weight();
  if (all == 0) {
    return {};
  }
  return {rules.tail_latency_weight() / all,
          rules.batch_throughput_weight() / all, rules.eviction_weight() / all};
}

auto ActThreshold(const InterferenceOptions& options,
                  const StepWeights& weights) -> double {
  const double beyond_third = std::max(0.0, weights.tail_latency - kThird);
  return std::log(options.act_threshold) -
         kThresholdReductionByWeight * beyond_third;
}

auto CurrentEffect(const InterferenceOptions& options,
                   const RunningEffect& task) -> double {
  return task.throttled ? task.effect * options.throttled_share : task.effect;
}

auto StepControl::Choose(TimePoint now,
                         const InterferenceOptions& options,
                         const InstanceLevel& level) -> InterferenceAction {
  double expected = level.base;
  for (const RunningEffect& task : level.running) {
    expected += CurrentEffect(options, task);
  }
  std::optional<InterferenceAction> action;
  if (expected > ActThreshold(options, level.service_weights)) {
    action = ChooseThrottle(level);
    if (!action.has_value()) {
      action = ChooseMove(now, options, level);
    }
  } else if (expected < std::log(options.relax_threshold) &&
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
  const RunningEffect* largest = nullptr;
  for (const RunningEffect& task : level.running) {
    if (task.throttled || task.leaving || task.effect < kNegligible) {
      continue;
    }
    if (largest == nullptr || task.effect > largest->effect) {
      largest = &task;
    }
  }
  if (largest == nullptr) {
    return std::nullopt;
  }
  return InterferenceAction{InterferenceStep::kThrottle, largest->task,
                            Describe("throttled", *largest, level.measured)};
}

auto StepControl::ChooseMove(TimePoint now,
                             const InterferenceOptions& options,
                             const InstanceLevel& level) const
    -> std::optional<InterferenceAction> {
  // A measurement from before the latest step does not show the effect of that
  // step. Without this check, consecutive late reports would take a task
  // through all steps within a second of the first.
  const bool latest_step_measured = stepped_ && level.measured_at > last_step_;
  if (!latest_step_measured ||
      level.measured <=
          ActThreshold(options, level.service_weights) + kMoveMargin) {
    return std::nullopt;
  }
  const RunningEffect* best = nullptr;
  for (const RunningEffect& task : level.running) {
    if (task.leaving) {
      // Only one task is moved at a time.
      return std::nullopt;
    }
    const double delay = MoveDelay(task, level.service_weights);
    const auto wait = std::chrono::duration_cast<Duration>(
        options.hold * std::max(delay, 0.5));
    if (CurrentEffect(options, task) < kNegligible || now - last_step_ < wait) {
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
  const RunningEffect* smallest = nullptr;
  for (const RunningEffect& task : level.running) {
    if (!task.throttled || task.leaving) {
      continue;
    }
    if (smallest == nullptr || task.effect < smallest->effect) {
      smallest = &task;
    }
  }
  if (smallest == nullptr) {
    return std::nullopt;
  }
  const double after =
      expected + smallest->effect * (1 - options.throttled_share);
  if (after > ActThreshold(options, level.service_weights)) {
    return std::nullopt;
  }
  return InterferenceAction{InterferenceStep::kUnthrottle, smallest->task,
                            Describe("unthrottled", *smallest, after)};
}

}  // namespace rhubarbhaven

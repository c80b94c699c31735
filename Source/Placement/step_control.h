#ifndef RHUBARBHAVEN_PLACEMENT_STEP_CONTROL_H_
#define RHUBARBHAVEN_PLACEMENT_STEP_CONTROL_H_

#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Placement/interference.h"

namespace rhubarbhaven {

// What a partner's weights make of the steps.
struct StepWeights {
  // Shares of the whole; equal weights give a third each.
  double tail_latency = 1.0 / 3;
  double batch_throughput = 1.0 / 3;
  double evictions = 1.0 / 3;
};

auto WeightsOf(const schema::PartnerRules& rules) -> StepWeights;

// A running task as the choice of a step sees it.
struct RunningEffect {
  schema::TaskId task;
  // Expected log(slowdown) when not throttled.
  double effect = 0;
  bool throttled = false;
  bool costly_to_evict = false;
  bool leaving = false;
  // Of the task's partner.
  StepWeights weights;
};

// The state of one instance as it is expected to be now.
struct InstanceLevel {
  // Log of the service's p99 over its target, without any task.
  double base = 0;
  // Log of the latest measured p99 over target, and when it was measured.
  double measured = 0;
  TimePoint measured_at;
  std::vector<RunningEffect> running;
  StepWeights service_weights;
};

// Chooses steps on one instance: throttle what hurts most; if throttling all
// that hurts does not suffice, move one task away; take throttling back when
// the service is at ease and is expected to stay so.
class StepControl {
 public:
  auto Choose(TimePoint now,
              const InterferenceOptions& options,
              const InstanceLevel& level) -> InterferenceAction;

 private:
  auto ChooseThrottle(const InstanceLevel& level) const
      -> std::optional<InterferenceAction>;
  auto ChooseMove(TimePoint now,
                  const InterferenceOptions& options,
                  const InstanceLevel& level) const
      -> std::optional<InterferenceAction>;
  auto ChooseUnthrottle(const InterferenceOptions& options,
                        const InstanceLevel& level,
                        double expected) const
      -> std::optional<InterferenceAction>;

  TimePoint last_step_;
  bool stepped_ = false;
};

// Log of the slowdown at which steps begin, by the partner's weights.
auto ActLevel(const InterferenceOptions& options, const StepWeights& weights)
    -> double;
// What is left of a task's effect.
auto EffectNow(const InterferenceOptions& options, const RunningEffect& task)
    -> double;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_STEP_CONTROL_H_

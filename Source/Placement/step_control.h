#ifndef RHUBARBHAVEN_PLACEMENT_STEP_CONTROL_H_
#define RHUBARBHAVEN_PLACEMENT_STEP_CONTROL_H_

#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Placement/interference.h"

namespace rhubarbhaven {

// The weights of a partner's rules, normalized.
struct StepWeights {
  // Shares of the sum of all weights; equal weights give a third each.
  double tail_latency = 1.0 / 3;
  double batch_throughput = 1.0 / 3;
  double evictions = 1.0 / 3;
};

auto NormalizedWeights(const schema::PartnerRules& rules) -> StepWeights;

// A running task as input to the choice of a step.
struct RunningEffect {
  schema::TaskId task;
  // Expected log(slowdown) when not throttled.
  double effect = 0;
  bool throttled = false;
  bool costly_to_evict = false;
  bool leaving = false;
  // Weights of the task's partner.
  StepWeights weights;
};

// The expected current state of one instance.
struct InstanceLevel {
  // Expected log of the service's p99 over its target without any task.
  double base = 0;
  // Log of the latest measured p99 over target, and when it was measured.
  double measured = 0;
  TimePoint measured_at;
  std::vector<RunningEffect> running;
  StepWeights service_weights;
};

// Chooses steps on one instance. Throttles the task with the largest effect; if
// throttling all tasks with an effect is not enough, moves one task to another
// instance; unthrottles a task when the service is well below its target and is
// expected to stay below the threshold for steps.
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

// Returns the log(slowdown) above which steps are taken, by the weights of the
// service's partner.
auto ActThreshold(const InterferenceOptions& options,
                  const StepWeights& weights) -> double;
// Returns the task's current effect, reduced if it is throttled.
auto CurrentEffect(const InterferenceOptions& options,
                   const RunningEffect& task) -> double;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_STEP_CONTROL_H_

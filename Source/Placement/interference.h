#ifndef RHUBARBHAVEN_PLACEMENT_INTERFERENCE_H_
#define RHUBARBHAVEN_PLACEMENT_INTERFERENCE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// What is done about a task that hurts the service beside it.
enum class InterferenceStep { kNone, kThrottle, kUnthrottle, kMove };

struct InterferenceAction {
  InterferenceStep step = InterferenceStep::kNone;
  schema::TaskId task;
  std::string why;
};

struct InterferenceOptions {
  // How long it is remembered what ran together; older reports are dropped.
  std::chrono::seconds history{180};
  // Without news, what was learned of a pair halves in this time.
  std::chrono::seconds half_life{7200};
  // Slowdown of a service's p99 over its target, at which steps begin and
  // below which they are taken back. Steps begin earlier for a partner that
  // weighs tail latency more than the rest.
  double act_above = 1.0;
  double relax_below = 0.95;
  // Shortest time between a step and the one that takes it back; also the
  // unit of the wait before a task is moved.
  std::chrono::seconds hold{30};
  // What is left of a task's effect while it is throttled.
  double throttled_share = 0.3;
};

// Learns from late reports how badly a job hurts a service, per pair, and
// acts in steps.
class InterferenceModel {
 public:
  explicit InterferenceModel(InterferenceOptions options);
  InterferenceModel(const InterferenceModel&) = delete;
  auto operator=(const InterferenceModel&) -> InterferenceModel& = delete;
  ~InterferenceModel();

  auto SetRules(const std::string& partner, const schema::PartnerRules& rules)
      -> void;
  auto SetService(const std::string& instance,
                  const std::string& partner,
                  const schema::Service& service) -> void;
  auto OnStarted(TimePoint now,
                 const std::string& instance,
                 const schema::TaskId& task,
                 bool costly_to_evict) -> void;
  auto OnStopped(TimePoint now,
                 const std::string& instance,
                 const schema::TaskId& task) -> void;
  // A report that was measured at `measured` and came in at `now`.
  auto OnReport(TimePoint now,
                TimePoint measured,
                const std::string& instance,
                const schema::UsageReport& report)
      -> std::vector<InterferenceAction>;
  // Expected slowdown of the service on the instance if the job ran there;
  // 1 means none.
  auto ExpectedSlowdown(TimePoint now,
                        const std::string& instance,
                        const std::string& partner,
                        const std::string& job) const -> double;
  // What placing the job there costs, for `PlacerOptions::extra_cost`: the
  // log(slowdown) that the job is known to cause; infinite where the service
  // would go beyond the level at which steps begin, now or, with the job
  // throttled, at the peaks of its load.
  auto PlacementCost(TimePoint now,
                     const std::string& instance,
                     const std::string& partner,
                     const std::string& job) const -> double;
  // The instance has left the register.
  auto RemoveInstance(const std::string& instance) -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_INTERFERENCE_H_

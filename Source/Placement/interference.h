#ifndef RHUBARBHAVEN_PLACEMENT_INTERFERENCE_H_
#define RHUBARBHAVEN_PLACEMENT_INTERFERENCE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// Measures against a task that slows down the service on its instance.
enum class InterferenceStep { kNone, kThrottle, kUnthrottle, kMove };

struct InterferenceAction {
  InterferenceStep step = InterferenceStep::kNone;
  schema::TaskId task;
  std::string why;
};

struct InterferenceOptions {
  // How long the runs of each instance are kept; older reports are ignored.
  std::chrono::seconds history{180};
  // Half-life of the estimate for a pair while no reports update it.
  std::chrono::seconds half_life{7200};
  // Ratio of a service's expected p99 to its target above which steps are
  // taken, and below which they are reverted. The first threshold is lower for
  // a partner that gives tail latency more than a third of its weights.
  double act_threshold = 1.0;
  double relax_threshold = 0.95;
  // Minimum time between a step and its reversal; also the unit of the wait
  // before a task is moved.
  std::chrono::seconds hold{30};
  // Share of a task's effect that remains while it is throttled.
  double throttled_share = 0.3;
};

// Estimates for each pair of service and job how much the job slows the service
// down, from reports that arrive late, and chooses steps against it.
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
  // Handles a report that was measured at `measured` and arrived at `now`.
  // Returns the steps to take.
  auto OnReport(TimePoint now,
                TimePoint measured,
                const std::string& instance,
                const schema::UsageReport& report)
      -> std::vector<InterferenceAction>;
  // Returns the expected slowdown factor of the service on the instance if the
  // job ran there; 1 means none.
  auto ExpectedSlowdown(TimePoint now,
                        const std::string& instance,
                        const std::string& partner,
                        const std::string& job) const -> double;
  // Returns the cost of placing the job there, for `PlacerOptions::extra_cost`:
  // the log(slowdown) that the job is expected to cause. Infinite where the
  // service would exceed the threshold for steps, either now or, with the job
  // throttled, at the peaks of its load.
  auto PlacementCost(TimePoint now,
                     const std::string& instance,
                     const std::string& partner,
                     const std::string& job) const -> double;
  // Removes the state of an instance that is no longer registered.
  auto RemoveInstance(const std::string& instance) -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_INTERFERENCE_H_

#ifndef RHUBARBHAVEN_TESTS_PLACEMENT_PLACEMENT_BUILDERS_H_
#define RHUBARBHAVEN_TESTS_PLACEMENT_PLACEMENT_BUILDERS_H_

#include <string>
#include <utility>
#include <vector>

#include "Placement/placement.h"

namespace rhubarbhaven::testing {

// Returns the virtual time at the given second.
inline auto At(int64_t seconds) -> TimePoint {
  return TimePoint(std::chrono::hours(24)) + std::chrono::seconds(seconds);
}

inline auto Need(uint32_t cores, uint64_t gb, uint32_t accelerators = 0)
    -> schema::Resources {
  schema::Resources need;
  need.set_millicores(cores * 1000);
  need.set_memory_mb(gb * 1000);
  need.set_accelerators(accelerators);
  return need;
}

inline auto Task(const std::string& job,
                 uint32_t index = 0,
                 const std::string& partner = "coop") -> schema::TaskId {
  schema::TaskId task;
  task.set_partner(partner);
  task.set_job(job);
  task.set_index(index);
  task.set_job_version(7);
  return task;
}

inline auto Worker(const std::string& instance,
                   const std::string& rack = "r1",
                   schema::Resources capacity = Need(16, 60)) -> WorkerState {
  WorkerState worker;
  worker.instance = instance;
  worker.partner = "coop";
  worker.rack = rack;
  worker.failure_domain = "bargny";
  worker.capacity = std::move(capacity);
  worker.accepting = true;
  return worker;
}

// Returns a copy of `worker` or `task` with one member changed.
template <typename Member, typename Value>
auto With(WorkerState worker, Member member, Value value) -> WorkerState {
  worker.*member = std::move(value);
  return worker;
}

template <typename Member, typename Value>
auto With(PendingTask task, Member member, Value value) -> PendingTask {
  task.*member = std::move(value);
  return task;
}

inline auto Waiting(const std::string& job,
                    uint32_t index = 0,
                    schema::Resources need = Need(4, 8),
                    schema::Urgency urgency = schema::NORMAL,
                    const std::string& partner = "coop") -> PendingTask {
  PendingTask task;
  task.task = Task(job, index, partner);
  task.need = std::move(need);
  task.urgency = urgency;
  task.waiting_since = At(0);
  return task;
}

inline auto Placed(PendingTask spec,
                   const std::string& instance,
                   int64_t unsaved_s = 0,
                   uint32_t evictions = 0) -> PlacedTask {
  PlacedTask task;
  task.held = spec.need;
  task.spec = std::move(spec);
  task.instance = instance;
  task.unsaved_progress = std::chrono::seconds(unsaved_s);
  task.evictions = evictions;
  return task;
}

inline auto Preempts(schema::Urgency preemptor,
                     schema::Urgency victim,
                     const std::string& team = "") -> schema::PreemptionRule {
  schema::PreemptionRule rule;
  rule.set_preemptor(preemptor);
  rule.set_victim(victim);
  rule.set_victim_team(team);
  return rule;
}

inline auto Weights(uint32_t tail, uint32_t throughput, uint32_t evictions)
    -> schema::PartnerRules {
  schema::PartnerRules rules;
  rules.set_tail_latency_weight(tail);
  rules.set_batch_throughput_weight(throughput);
  rules.set_eviction_weight(evictions);
  return rules;
}

}  // namespace rhubarbhaven::testing

#endif  // RHUBARBHAVEN_TESTS_PLACEMENT_PLACEMENT_BUILDERS_H_

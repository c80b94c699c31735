#ifndef RHUBARBHAVEN_TESTS_BENCHMARKS_PLACEMENT_COLOCATION_SIMULATION_H_
#define RHUBARBHAVEN_TESTS_BENCHMARKS_PLACEMENT_COLOCATION_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Placement/placement.h"

namespace rhubarbhaven::bench {

// A recurring job, with its actual behaviour and its declared needs.
struct JobKind {
  std::string name;
  // Log of the slowdown that one task causes, before scaling by the load.
  double interference = 0;
  // The slowdown varies in waves that are shared by the whole cell.
  bool in_waves = false;
  schema::Resources declared;
  double millicores = 0;
  double memory_mb = 0;
  int work_s = 0;
  int checkpoint_every_s = 0;
  bool costly_to_evict = false;
};

struct SimTask {
  schema::TaskId id;
  const JobKind* kind = nullptr;
  double done_s = 0;
  double saved_s = 0;
  uint32_t attempt = 0;
  uint32_t evictions = 0;
  // Empty while the task waits.
  std::string instance;
  bool throttled = false;
  int running_s = 0;
  // Seconds until a requested eviction has checkpointed and stopped the task.
  int stopping_s = 0;
  TimePoint waiting_since;
};

struct SimReport {
  TimePoint due;
  TimePoint measured;
  std::string instance;
  schema::UsageReport usage;
};

// A placement policy under test. All times are virtual.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual auto SetWorker(const WorkerState& worker) -> void = 0;
  virtual auto Submit(const SimTask& task) -> void = 0;
  virtual auto Decide(TimePoint now) -> PlacerRound = 0;
  virtual auto OnStarted(TimePoint now, const SimTask& task) -> void = 0;
  virtual auto OnEnded(TimePoint now,
                       const SimTask& task,
                       const std::string& instance,
                       schema::TaskOutcome outcome) -> void = 0;
  virtual auto OnReport(TimePoint now, const SimReport& report)
      -> std::vector<InterferenceAction> = 0;
};

struct Outcome {
  double p99 = 0;
  // Core-seconds of work that were completed and not lost.
  double throughput = 0;
  int evictions = 0;
  int oom_kills = 0;
  double lost_core_s = 0;
  int throttles = 0;
};

struct Shape {
  std::string partner;
  // Mean load of the service and scale of the slowdowns. They differ by
  // partner, since a balance check is a shorter request than a rating.
  double mean_load = 0.6;
  double interference = 1.0;
  uint32_t seed = 1;
};

// Simulates eleven workers of 16 cores and 60 GB, three to a rack, with a
// service on each. If `policy` is null, the services run without batch tasks.
auto RunSimulation(const Shape& shape, Policy* policy) -> Outcome;

}  // namespace rhubarbhaven::bench

#endif  // RHUBARBHAVEN_TESTS_BENCHMARKS_PLACEMENT_COLOCATION_SIMULATION_H_

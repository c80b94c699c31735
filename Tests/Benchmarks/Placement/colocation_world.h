#ifndef RHUBARBHAVEN_TESTS_BENCHMARKS_PLACEMENT_COLOCATION_WORLD_H_
#define RHUBARBHAVEN_TESTS_BENCHMARKS_PLACEMENT_COLOCATION_WORLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Placement/placement.h"

namespace rhubarbhaven::bench {

// A recurring job: how it behaves, and what is declared of it.
struct JobKind {
  std::string name;
  // Log of the slowdown that one task causes at mean load.
  double harm = 0;
  // Whether it comes in waves, shared by the whole cell.
  bool noisy = false;
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
  // Empty while it waits.
  std::string instance;
  bool throttled = false;
  int running_s = 0;
  // Seconds until an ordered eviction has checkpointed and stopped it.
  int stopping_s = 0;
  TimePoint waiting_since;
};

struct WorldReport {
  TimePoint due;
  TimePoint measured;
  std::string instance;
  schema::UsageReport usage;
};

// What a policy does in the world. Times are virtual.
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
  virtual auto OnReport(TimePoint now, const WorldReport& report)
      -> std::vector<InterferenceAction> = 0;
};

struct Outcome {
  double p99 = 0;
  // Core-seconds of work that were done and kept.
  double throughput = 0;
  int evictions = 0;
  int oom_kills = 0;
  double lost_core_s = 0;
  int throttles = 0;
};

struct Shape {
  std::string partner;
  // Scales the load and the harm: a balance check is shorter than a rating.
  double mean_load = 0.6;
  double harm = 1.0;
  uint32_t seed = 1;
};

// Eleven workers of 16 cores and 60 GB, three to a rack, a service on each.
// Null `policy` runs the services alone.
auto RunWorld(const Shape& shape, Policy* policy) -> Outcome;

}  // namespace rhubarbhaven::bench

#endif  // RHUBARBHAVEN_TESTS_BENCHMARKS_PLACEMENT_COLOCATION_WORLD_H_

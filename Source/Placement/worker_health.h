#ifndef RHUBARBHAVEN_PLACEMENT_WORKER_HEALTH_H_
#define RHUBARBHAVEN_PLACEMENT_WORKER_HEALTH_H_

#include <cstdint>
#include <memory>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven {

struct WorkerHealthOptions {
  // Distinct jobs that must have failed in a row on a worker.
  int distinct_jobs = 3;
  std::chrono::seconds first_pause{60};
  std::chrono::seconds longest_pause{1800};
};

// Tells workers that fail everything from tasks that fail everywhere.
class WorkerHealth {
 public:
  explicit WorkerHealth(WorkerHealthOptions options);
  WorkerHealth(const WorkerHealth&) = delete;
  auto operator=(const WorkerHealth&) -> WorkerHealth& = delete;
  ~WorkerHealth();

  auto OnEnd(TimePoint now,
             const std::string& instance,
             const schema::TaskId& task,
             schema::TaskOutcome outcome) -> void;
  // Whether new work may go there: yes, no, or one task as a probe.
  enum class Verdict { kHealthy, kSetAside, kProbe };
  auto Check(TimePoint now, const std::string& instance) const -> Verdict;
  auto OnProbeStarted(TimePoint now, const std::string& instance) -> void;
  // Why the worker was set aside; empty if it was not.
  auto Why(const std::string& instance) const -> std::string;
  // Whether the job failed on the worker and has not finished there since; a
  // reason to try elsewhere first, or a worker that fails fast, and so has
  // room, would attract all the attempts of a task.
  auto FailedHere(const std::string& instance,
                  const std::string& partner,
                  const std::string& job) const -> bool;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_WORKER_HEALTH_H_

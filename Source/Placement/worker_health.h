#ifndef RHUBARBHAVEN_PLACEMENT_WORKER_HEALTH_H_
#define RHUBARBHAVEN_PLACEMENT_WORKER_HEALTH_H_

#include <cstdint>
#include <memory>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven {

struct WorkerHealthOptions {
  // Number of distinct jobs that must fail in a row on a worker before it is
  // quarantined.
  int distinct_jobs = 3;
  std::chrono::seconds initial_quarantine{60};
  std::chrono::seconds max_quarantine{1800};
};

// Distinguishes workers on which every task fails from jobs that fail on every
// worker, and quarantines the former.
class WorkerHealth {
 public:
  explicit WorkerHealth(WorkerHealthOptions options);
  WorkerHealth(const WorkerHealth&) = delete;
  auto operator=(const WorkerHealth&) -> WorkerHealth& = delete;
  ~WorkerHealth();

  auto OnTaskEnded(TimePoint now,
                   const std::string& instance,
                   const schema::TaskId& task,
                   schema::TaskOutcome outcome) -> void;
  // Whether new work may be placed on a worker: yes, no, or one task as a
  // probe.
  enum class Verdict { kHealthy, kQuarantined, kProbe };
  auto Check(TimePoint now, const std::string& instance) const -> Verdict;
  auto OnProbeStarted(TimePoint now, const std::string& instance) -> void;
  // Returns why the worker was quarantined; empty if it was not.
  auto QuarantineReason(const std::string& instance) const -> std::string;
  // Returns whether the job failed on the worker and has not finished there
  // since. Callers prefer other workers in that case: a worker on which tasks
  // fail fast always has room and would attract every attempt of a task.
  auto HasFailedOn(const std::string& instance,
                   const std::string& partner,
                   const std::string& job) const -> bool;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_WORKER_HEALTH_H_

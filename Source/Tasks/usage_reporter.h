#ifndef RHUBARBHAVEN_TASKS_USAGE_REPORTER_H_
#define RHUBARBHAVEN_TASKS_USAGE_REPORTER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::tasks {

// Selects the parts of a worker's usage that an owner needs: the latest tail
// latency of the endpoint, once per window, and for each task only usage above
// what was already reported, since an owner only ever raises its count.
// Co-located tasks are omitted, as the owner keeps that history itself.
class UsageReporter {
 public:
  // Processes a status that was received at `now`.
  auto OnWorkerStatus(TimePoint now, const schema::WorkerStatus& status)
      -> void;
  // Returns and clears the pending reports, with their ages as of `now`.
  auto Take(TimePoint now) -> std::vector<schema::UsageReport>;
  // Must be called when another owner begins to grant leases, since it has
  // received no reports yet.
  auto Reset() -> void;

 private:
  struct Reported {
    schema::Resources used;
    TimePoint at;
  };
  struct PendingReport {
    TimePoint measured;
    schema::UsageReport report;
  };

  auto UpdateTask(TimePoint now,
                  TimePoint measured,
                  const schema::WorkerUsage& usage) -> void;

  std::optional<PendingReport> pending_service_;
  TimePoint service_measured_ = TimePoint::min();
  std::map<std::string, Reported> reported_;
  std::map<std::string, PendingReport> pending_;
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_USAGE_REPORTER_H_

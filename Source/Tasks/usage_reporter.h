#ifndef RHUBARBHAVEN_TASKS_USAGE_REPORTER_H_
#define RHUBARBHAVEN_TASKS_USAGE_REPORTER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::tasks {

// Chooses what of a worker's usage an owner needs to be told: the latest tail
// latency of the endpoint, once for each window, and of a task's usage only
// what rises above what was told, since an owner only ever raises what it
// counts. What ran beside is left out, as the owner keeps that history.
class UsageReporter {
 public:
  // A status came at `now`.
  auto Note(TimePoint now, const schema::WorkerStatus& status) -> void;
  // What is due, aged to `now`.
  auto Take(TimePoint now) -> std::vector<schema::UsageReport>;
  // Another owner leases now, which was told nothing.
  auto Reset() -> void;

 private:
  struct Told {
    schema::Resources used;
    TimePoint at;
  };
  struct Due {
    TimePoint measured;
    schema::UsageReport report;
  };

  auto NoteTask(TimePoint now,
                TimePoint measured,
                const schema::WorkerUsage& usage) -> void;

  std::optional<Due> service_;
  TimePoint service_measured_ = TimePoint::min();
  std::map<std::string, Told> told_;
  std::map<std::string, Due> due_;
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_USAGE_REPORTER_H_

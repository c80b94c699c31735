#ifndef RHUBARBHAVEN_TASKS_WORKER_TASK_NAME_H_
#define RHUBARBHAVEN_TASKS_WORKER_TASK_NAME_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven::tasks {

// One attempt as it is named in calls to the worker. The name contains
// everything that an agent must recover after a restart, since only the worker
// keeps it.
struct WorkerTaskName {
  schema::TaskId task;
  uint32_t attempt = 0;
  schema::Resources admitted;
};

// "version.index.attempt.millicores.memory_mb.accelerators.length.partner/job"
// where `length` is the length of the partner's name.
auto FormatWorkerTaskName(const WorkerTaskName& name) -> std::string;
// Returns nothing if the text was not produced by `FormatWorkerTaskName`.
auto ParseWorkerTaskName(const std::string& text)
    -> std::optional<WorkerTaskName>;

// Identifies one attempt of one task, independent of the admitted resources.
auto AttemptKey(const schema::TaskId& task, uint32_t attempt) -> std::string;

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_WORKER_TASK_NAME_H_

#ifndef RHUBARBHAVEN_TASKS_WORKER_TASK_NAME_H_
#define RHUBARBHAVEN_TASKS_WORKER_TASK_NAME_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven::tasks {

// One attempt as it is named to the worker. The name holds everything that an
// agent must know again after its own restart, since only the worker kept it.
struct WorkerTaskName {
  schema::TaskId task;
  uint32_t attempt = 0;
  schema::Resources admitted;
};

// "version.index.attempt.millicores.memory_mb.accelerators.length.partner/job"
// where `length` is the length of the partner's name.
auto FormatWorkerTaskName(const WorkerTaskName& name) -> std::string;
// Nothing if the text was not made by `FormatWorkerTaskName`.
auto ParseWorkerTaskName(const std::string& text)
    -> std::optional<WorkerTaskName>;

// Names one attempt of one task, whatever was admitted for it.
auto AttemptKey(const schema::TaskId& task, uint32_t attempt) -> std::string;

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_WORKER_TASK_NAME_H_

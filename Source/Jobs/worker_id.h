#ifndef RHUBARBHAVEN_JOBS_WORKER_ID_H_
#define RHUBARBHAVEN_JOBS_WORKER_ID_H_

#include <chrono>
#include <optional>
#include <string>

namespace rhubarbhaven::jobs {

// When a process of a worker started, by the clock of its instance.
using WorkerStart = std::chrono::sys_time<std::chrono::milliseconds>;

// The id of one process of a worker. A worker may restart under its name, so a
// process whose start is known is identified by both, as "NAME/START". Without
// a known start, the id is the name.
auto MakeWorkerId(const std::string& name, std::optional<WorkerStart> start)
    -> std::string;

// The name by which the worker is called. Its processes may share it.
auto WorkerNameOf(const std::string& worker_id) -> std::string;

auto WorkerStartOf(const std::string& worker_id) -> std::optional<WorkerStart>;

// Whether `worker_id` adds the start to an id that consists of the name only,
// as agents and owners of earlier versions write it.
auto AddsStart(const std::string& worker_id, const std::string& name_only)
    -> bool;

// Whether both may identify the same process: their names are equal, and their
// starts if both are known.
auto MayBeSameWorker(const std::string& left, const std::string& right) -> bool;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_WORKER_ID_H_

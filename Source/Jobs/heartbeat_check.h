#ifndef RHUBARBHAVEN_JOBS_HEARTBEAT_CHECK_H_
#define RHUBARBHAVEN_JOBS_HEARTBEAT_CHECK_H_

#include <absl/status/status.h>

#include <string>

#include "Jobs/worker_port.h"

namespace rhubarbhaven::jobs {

// Limits against input that does not describe a worker, far above the values of
// real workers.
inline constexpr std::size_t kMaxWorkerNameLength = 200;
inline constexpr uint32_t kMaxMillicores = 100'000'000;
inline constexpr uint64_t kMaxMemoryMb = 1ULL << 40;
inline constexpr uint32_t kMaxAccelerators = 100'000;
inline constexpr std::size_t kMaxLabels = 100;

// Returns an error for a name that no worker can have.
auto CheckWorkerName(const std::string& name) -> absl::Status;
// Returns an error if the heartbeat does not describe a usable worker.
auto CheckHeartbeat(const WorkerHeartbeat& heartbeat) -> absl::Status;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_HEARTBEAT_CHECK_H_

#ifndef RHUBARBHAVEN_JOBS_HEARTBEAT_CHECK_H_
#define RHUBARBHAVEN_JOBS_HEARTBEAT_CHECK_H_

#include <absl/status/status.h>

#include <string>

#include "Jobs/worker_port.h"

namespace rhubarbhaven::jobs {

// Bounds against input that names no worker; far above what workers have.
inline constexpr std::size_t kLongestWorkerId = 200;
inline constexpr uint32_t kMostMillicores = 100'000'000;
inline constexpr uint64_t kMostMemoryMb = 1ULL << 40;
inline constexpr uint32_t kMostAccelerators = 100'000;
inline constexpr std::size_t kMostLabels = 100;

// An error says what is wrong with an id that no worker can have.
auto CheckWorkerId(const std::string& id) -> absl::Status;
// An error says why the heartbeat names no worker that can be used.
auto CheckHeartbeat(const WorkerHeartbeat& heartbeat) -> absl::Status;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_HEARTBEAT_CHECK_H_

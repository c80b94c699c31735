#include "Jobs/heartbeat_check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "Jobs/worker_id.h"

namespace rhubarbhaven::jobs {
namespace {

auto Problem(const std::string& text) -> absl::Status {
  return absl::InvalidArgumentError(text);
}

auto CheckAmount(const char* name,
                 uint64_t amount,
                 uint64_t least,
                 uint64_t most) -> absl::Status {
  if (amount >= least && amount <= most) {
    return absl::OkStatus();
  }
  return Problem(absl::StrCat("the capacity has ", amount, " ", name,
                              ", allowed is ", least, " to ", most));
}

auto CheckCapacity(const schema::Resources& capacity) -> absl::Status {
  // A worker without processors would receive opportunistic tasks, which
  // reserve none of their own.
  auto status =
      CheckAmount("millicores", capacity.millicores(), 1, kMaxMillicores);
  if (status.ok()) {
    status = CheckAmount("MB of memory", capacity.memory_mb(), 1, kMaxMemoryMb);
  }
  if (status.ok()) {
    status = CheckAmount("accelerators", capacity.accelerators(), 0,
                         kMaxAccelerators);
  }
  return status;
}

}  // namespace

auto CheckWorkerName(const std::string& name) -> absl::Status {
  // An empty one means that no worker is known, and invalid text would make the
  // agent's report unreadable to the owner.
  const bool well_formed =
      !name.empty() && name.size() <= kMaxWorkerNameLength &&
      std::all_of(name.begin(), name.end(), [](unsigned char c) -> bool {
        return absl::ascii_isgraph(c) && c != '/';
      });
  return well_formed
             ? absl::OkStatus()
             : Problem(absl::StrCat("the worker's id must have 1 to ",
                                    kMaxWorkerNameLength,
                                    " printable characters and no \"/\""));
}

auto CheckHeartbeat(const WorkerHeartbeat& heartbeat) -> absl::Status {
  auto status = CheckWorkerName(WorkerNameOf(heartbeat.worker_id));
  if (!status.ok()) {
    return status;
  }
  if (heartbeat.service.empty()) {
    return Problem("the service is empty");
  }
  if (heartbeat.failure_domain.empty()) {
    return Problem("the failure domain is empty");
  }
  if (heartbeat.labels.size() > kMaxLabels) {
    return Problem(absl::StrCat("there are ", heartbeat.labels.size(),
                                " labels, allowed are ", kMaxLabels));
  }
  return CheckCapacity(heartbeat.capacity);
}

}  // namespace rhubarbhaven::jobs

#include "Jobs/agent_recovery.h"

namespace rhubarbhaven::jobs {
namespace {

// Pause after a call without an answer.
constexpr std::chrono::milliseconds kRetryPause{150};

}  // namespace

auto ProcessOf(const WorkerListing& listing) -> WorkerProcess {
  if (!listing.answered) {
    return WorkerProcess::kUnknown;
  }
  if (listing.other_worker_id) {
    return WorkerProcess::kEnded;
  }
  return listing.fenced ? WorkerProcess::kUnknown : WorkerProcess::kPresent;
}

auto AgentRecovery::Next(TimePoint now, const std::string& recorded_worker_id)
    -> std::optional<std::string> {
  if (recorded_worker_id.empty() || outstanding_ || now < not_before_ ||
      ended_.contains(recorded_worker_id)) {
    return std::nullopt;
  }
  outstanding_ = true;
  return recorded_worker_id;
}

auto AgentRecovery::OnAnswer(TimePoint now,
                             const std::string& worker_id,
                             WorkerProcess process) -> void {
  outstanding_ = false;
  not_before_ = now + kRetryPause;
  if (process == WorkerProcess::kEnded) {
    ended_.insert(worker_id);
  }
}

}  // namespace rhubarbhaven::jobs

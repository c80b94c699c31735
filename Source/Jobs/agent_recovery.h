#ifndef RHUBARBHAVEN_JOBS_AGENT_RECOVERY_H_
#define RHUBARBHAVEN_JOBS_AGENT_RECOVERY_H_

#include <chrono>
#include <optional>
#include <set>
#include <string>

#include "Base/base.h"
#include "Jobs/worker_port.h"

namespace rhubarbhaven::jobs {

// What a listing shows about the worker process that it was requested from.
enum class WorkerProcess {
  // It is the worker at present, so every other process of it has ended or has
  // not begun.
  kPresent,
  // It has ended.
  kEnded,
  // Unknown: there was no answer, or the fence of the call was too low.
  kUnknown,
};

auto ProcessOf(const WorkerListing& listing) -> WorkerProcess;

// Decides when an agent that knows no worker asks whether its worker is still
// the process that the log names. Without this, the agent would learn of its
// worker only from the next heartbeat, and after a loss of all power a new
// owner would wait for the last of these.
class AgentRecovery {
 public:
  // The process to ask for now, if any. A call that is made counts as
  // outstanding until `OnAnswer`.
  auto Next(TimePoint now, const std::string& recorded_worker_id)
      -> std::optional<std::string>;
  auto OnAnswer(TimePoint now,
                const std::string& worker_id,
                WorkerProcess process) -> void;

 private:
  bool outstanding_ = false;
  TimePoint not_before_;
  // Processes that have ended. Their ids are not used again.
  std::set<std::string> ended_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_AGENT_RECOVERY_H_

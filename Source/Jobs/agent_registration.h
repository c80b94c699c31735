#ifndef RHUBARBHAVEN_JOBS_AGENT_REGISTRATION_H_
#define RHUBARBHAVEN_JOBS_AGENT_REGISTRATION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Base/base.h"
#include "Jobs/Log/append_batcher.h"

namespace rhubarbhaven::jobs {

struct AgentRegistrationOptions {
  std::string name;
  uint64_t incarnation = 0;
  // Where the agent listens for the owner's connection.
  std::string link_endpoint;
  // An agent that receives no orders registers again after this, since the
  // owner may have forgotten it.
  std::chrono::milliseconds reregister_after{3000};
  // Minimum time between registrations, so that the owner has time to connect.
  std::chrono::milliseconds min_interval{3000};
};

// State of the agent on which its registration depends.
struct RegistrationState {
  // When orders were last received.
  TimePoint ordered_at;
  // Id of the worker that has left; empty if there is a worker, or none was
  // known.
  std::string left_worker_id;
};

// Decides when an agent writes its entry to the log and what it contains.
// Performs no I/O.
//
// The entry that its worker has left is written at once. If only the owner were
// notified, the news would be lost with an owner that is cut off or replaced at
// that moment. A new owner would then wait for the agent until leases of the
// previous owner have expired, and long-running tasks would stay down for some
// 20 s although there is capacity for them. The same holds for an agent that is
// told to stop: it may not come back, and only its own word tells a new owner
// until when its worker's lease may be valid.
class AgentRegistration {
 public:
  explicit AgentRegistration(AgentRegistrationOptions options);

  // Prepares an entry if one is due; returns false otherwise.
  auto RegisterIfDue(TimePoint now, const RegistrationState& situation) -> bool;
  // Prepares the last entry of a process that was told to stop. The worker's
  // lease may still be valid for `lease_left`.
  auto RecordStop(const RegistrationState& state, Duration lease_left) -> void;
  // Whether the log contains the last entry.
  auto stop_recorded() const -> bool { return stopped_ && appends_.idle(); }
  // The append to make now, if any. Its outcome is passed to `OnResult`.
  auto Next(TimePoint now) -> std::optional<AppendCall>;
  auto OnResult(TimePoint now, const AppendResult& result) -> void;
  auto next_wake() const -> TimePoint { return appends_.next_wake(); }
  auto link_endpoint() const -> const std::string& {
    return options_.link_endpoint;
  }

 private:
  auto IsDue(TimePoint now, const RegistrationState& situation) const -> bool;
  auto MakeEntry(const RegistrationState& state) const -> AgentEntry;
  auto Write(const AgentEntry& entry) -> void;

  AgentRegistrationOptions options_;
  AppendBatcher appends_;
  TimePoint registered_at_;
  std::string left_worker_written_;
  bool stopped_ = false;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_AGENT_REGISTRATION_H_

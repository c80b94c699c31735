#ifndef RHUBARBHAVEN_JOBS_AGENT_REGISTRATION_H_
#define RHUBARBHAVEN_JOBS_AGENT_REGISTRATION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Base/base.h"
#include "Jobs/append_batcher.h"

namespace rhubarbhaven::jobs {

struct AgentRegistrationOptions {
  std::string name;
  uint64_t incarnation = 0;
  // Where the agent listens to the owner.
  std::string link_endpoint;
  // An agent that gets no orders registers again after this: the owner may
  // have forgotten it.
  std::chrono::milliseconds register_again{3000};
  // Not again before this, so that the owner has time to call it.
  std::chrono::milliseconds pause{3000};
};

// What the agent's registration goes by.
struct AgentSituation {
  // When orders last came.
  TimePoint ordered_at;
  // Life of the worker that has left; empty if there is one, or none was known.
  std::string left_worker_id;
};

// Decides when an agent writes its entry into the log, and what it says. Pure:
// no I/O.
//
// The word that its worker has left is written at once. Told to the owner only,
// it is lost with an owner that is cut off or replaced just then, and a new
// owner waits for an agent that is gone until leases of the owner before are
// over: tasks that last were down for some 20 s, with room for them.
class AgentRegistration {
 public:
  explicit AgentRegistration(AgentRegistrationOptions options);

  // Prepares an entry if one is due; false if none is.
  auto RegisterIfDue(TimePoint now, const AgentSituation& situation) -> bool;
  // The append to make now, if any. Its fate is reported by `OnResult`.
  auto Next(TimePoint now) -> std::optional<AppendCall>;
  auto OnResult(TimePoint now, const AppendResult& result) -> void;
  auto next_wake() const -> TimePoint { return appends_.next_wake(); }
  auto link_endpoint() const -> const std::string& {
    return options_.link_endpoint;
  }

 private:
  auto IsDue(TimePoint now, const AgentSituation& situation) const -> bool;

  AgentRegistrationOptions options_;
  AppendBatcher appends_;
  TimePoint registered_at_;
  std::string left_worker_told_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_AGENT_REGISTRATION_H_

#ifndef RHUBARBHAVEN_TASKS_OWNER_AGENTS_H_
#define RHUBARBHAVEN_TASKS_OWNER_AGENTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven::tasks {

// State of one instance's agent under the owner's present claim.
struct AgentState {
  std::string agent;
  // Incarnation of the agent that has confirmed this owner's fence; zero if
  // none has.
  uint64_t incarnation = 0;
  // Incarnation of the worker in the latest request.
  uint64_t instance_incarnation = 0;
  uint64_t last_number = 0;
  TimePoint last_request_at = TimePoint::min();
  // When a lease was last granted to any incarnation of the agent.
  std::optional<TimePoint> last_grant;
  bool leaving = false;
  schema::Resources capacity;
  // No task is placed here before this time, because the agent rejected one.
  TimePoint no_placements_until = TimePoint::min();
  // Earlier incarnations of the agent; their messages are ignored.
  std::deque<uint64_t> superseded;

  auto confirmed() const -> bool { return incarnation != 0; }
};

// The agents of a cell's instances, keyed by instance.
class AgentTable {
 public:
  enum class Verdict {
    // The message is late or a duplicate and must be ignored.
    kStale,
    // The sender does not know this owner's fence yet; it only receives a
    // lease.
    kUnconfirmed,
    // The sender has received a grant of this owner; its report is current.
    kConfirmed,
    // The sender knows a higher fence, so this owner has been replaced.
    kReplaced,
  };
  // A request lists the running tasks. It is used only if its sender certainly
  // runs under the present claim. Otherwise a delayed request of a terminated
  // incarnation would be taken for a new one, and tasks of the running
  // incarnation would be declared lost.
  auto OnRequest(TimePoint now,
                 uint64_t fence,
                 const std::string& agent,
                 const schema::Envelope& message) -> Verdict;
  // True if the report comes from the confirmed incarnation of the agent.
  auto IsCurrent(const schema::Envelope& message) const -> bool;

  auto Find(const std::string& instance) -> AgentState*;
  auto Find(const std::string& instance) const -> const AgentState*;
  auto all() const -> const std::map<std::string, AgentState>& {
    return agents_;
  }
  auto Clear() -> void { agents_.clear(); }

 private:
  std::map<std::string, AgentState> agents_;
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_OWNER_AGENTS_H_

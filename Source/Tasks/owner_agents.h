#ifndef RHUBARBHAVEN_TASKS_OWNER_AGENTS_H_
#define RHUBARBHAVEN_TASKS_OWNER_AGENTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven::tasks {

// What an owner knows of one instance's agent, under its present claim.
struct AgentState {
  std::string agent;
  // Of the agent that has confirmed this owner's fence; zero for none.
  uint64_t incarnation = 0;
  // Of the worker, as that agent said last.
  uint64_t instance_incarnation = 0;
  uint64_t last_number = 0;
  TimePoint last_heard = TimePoint::min();
  // When a lease was granted last, to any incarnation of the agent.
  std::optional<TimePoint> last_grant;
  bool leaving = false;
  schema::Resources capacity;
  // No new work before this point: the agent refused some.
  TimePoint hold_until = TimePoint::min();
  // Earlier incarnations; what they sent is void.
  std::deque<uint64_t> superseded;

  auto confirmed() const -> bool { return incarnation != 0; }
};

// The agents of a cell's instances.
class AgentTable {
 public:
  enum class Verdict {
    // Late or repeated; must not be looked at.
    kStale,
    // The sender does not know this owner's fence yet: only a lease is due.
    kUnconfirmed,
    // The sender has seen a grant of this owner: what it says is present.
    kConfirmed,
    // The sender knows a higher fence: this owner was replaced.
    kReplaced,
  };
  // A request says what runs; it counts only if its sender certainly lives
  // under the present claim. What goes wrong otherwise: a request of a dead
  // incarnation that was long under way looks like a new one, and tasks of the
  // live one are taken for lost.
  auto OnRequest(TimePoint now,
                 uint64_t fence,
                 const std::string& agent,
                 const schema::Envelope& message) -> Verdict;
  // True if a report comes from the incarnation that is confirmed.
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

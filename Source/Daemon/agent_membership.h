#ifndef RHUBARBHAVEN_DAEMON_AGENT_MEMBERSHIP_H_
#define RHUBARBHAVEN_DAEMON_AGENT_MEMBERSHIP_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// The state of an agent as its latest announcement gave it.
struct AgentView {
  std::string agent;
  std::string instance;
  std::string partner;
  std::string service;
  uint64_t incarnation = 0;
  uint64_t config_applied = 0;
  bool leaving = false;
  TimePoint announced_at;
};

// The agents that have announced themselves within the last 60 s.
class AgentMembership {
 public:
  auto OnAnnounce(TimePoint now, const schema::Envelope& message)
      -> const AgentView&;
  // Removes agents that have not announced themselves for more than 60 s. Their
  // next announcement adds them again.
  auto RemoveExpired(TimePoint now) -> void;
  auto Find(const std::string& agent) const -> const AgentView*;
  auto ForEach(const std::function<auto(const AgentView&)->void>& visit) const
      -> void;
  auto Statuses(TimePoint now) const -> std::vector<schema::AgentStatus>;

 private:
  std::map<std::string, AgentView> agents_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_AGENT_MEMBERSHIP_H_

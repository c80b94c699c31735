#ifndef RHUBARBHAVEN_DAEMON_AGENT_ROSTER_H_
#define RHUBARBHAVEN_DAEMON_AGENT_ROSTER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// What is known of an agent from its announcements.
struct AgentView {
  std::string agent;
  std::string instance;
  std::string partner;
  std::string service;
  uint64_t incarnation = 0;
  uint64_t config_applied = 0;
  bool leaving = false;
  TimePoint heard;
};

// The agents that announced themselves lately.
class AgentRoster {
 public:
  auto OnAnnounce(TimePoint now, const schema::Envelope& message)
      -> const AgentView&;
  // Drops agents that were not heard for long; they come back by announcing.
  auto ForgetSilent(TimePoint now) -> void;
  auto Find(const std::string& agent) const -> const AgentView*;
  auto ForEach(const std::function<auto(const AgentView&)->void>& visit) const
      -> void;
  auto Statuses(TimePoint now) const -> std::vector<schema::AgentStatus>;

 private:
  std::map<std::string, AgentView> agents_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_AGENT_ROSTER_H_

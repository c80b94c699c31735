#include "Daemon/agent_membership.h"

namespace rhubarbhaven {
namespace {

constexpr std::chrono::seconds kSilentAfter{2};
constexpr std::chrono::seconds kRemoveAfter{60};

}  // namespace

auto AgentMembership::OnAnnounce(TimePoint now, const schema::Envelope& message)
    -> const AgentView& {
  const auto& announce = message.announce();
  AgentView& view = agents_[message.sender()];
  view.agent = message.sender();
  view.incarnation = message.sender_incarnation();
  view.instance = announce.instance();
  view.partner = announce.partner();
  view.service = announce.service();
  view.config_applied = announce.config_applied();
  view.leaving = announce.leaving();
  view.announced_at = now;
  return view;
}

auto AgentMembership::RemoveExpired(TimePoint now) -> void {
  std::erase_if(agents_, [now](const auto& item) -> bool {
    return now - item.second.announced_at > kRemoveAfter;
  });
}

auto AgentMembership::Find(const std::string& agent) const -> const AgentView* {
  const auto found = agents_.find(agent);
  return found == agents_.end() ? nullptr : &found->second;
}

auto AgentMembership::ForEach(
    const std::function<auto(const AgentView&)->void>& visit) const -> void {
  for (const auto& [name, view] : agents_) {
    visit(view);
  }
}

auto AgentMembership::Statuses(TimePoint now) const
    -> std::vector<schema::AgentStatus> {
  std::vector<schema::AgentStatus> statuses;
  for (const auto& [name, view] : agents_) {
    schema::AgentStatus status;
    status.set_agent(view.agent);
    status.set_instance(view.instance);
    status.set_config_applied(view.config_applied);
    const bool silent = now - view.announced_at > kSilentAfter;
    status.set_state(silent ? "silent" : view.leaving ? "leaving" : "ready");
    statuses.push_back(status);
  }
  return statuses;
}

}  // namespace rhubarbhaven

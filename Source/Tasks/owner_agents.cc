#include "Tasks/owner_agents.h"

#include <algorithm>

namespace rhubarbhaven::tasks {
namespace {

constexpr std::size_t kMaxSuperseded = 64;

auto Supersede(AgentState* state, uint64_t incarnation) -> void {
  if (state->incarnation != 0) {
    state->superseded.push_back(state->incarnation);
  }
  if (state->superseded.size() > kMaxSuperseded) {
    state->superseded.pop_front();
  }
  state->incarnation = incarnation;
  state->last_number = 0;
}

}  // namespace

auto AgentTable::OnRequest(TimePoint now,
                           uint64_t fence,
                           const std::string& agent,
                           const schema::Envelope& message) -> Verdict {
  const schema::LeaseRequest& request = message.lease_request();
  if (request.fence_seen() > fence) {
    return Verdict::kReplaced;
  }
  AgentState& state = agents_[request.instance()];
  const uint64_t incarnation = message.sender_incarnation();
  if (std::find(state.superseded.begin(), state.superseded.end(),
                incarnation) != state.superseded.end()) {
    return Verdict::kStale;
  }
  if (request.fence_seen() != fence) {
    return Verdict::kUnconfirmed;
  }
  if (incarnation != state.incarnation) {
    Supersede(&state, incarnation);
  }
  if (request.number() <= state.last_number) {
    return Verdict::kStale;
  }
  state.agent = agent;
  state.last_number = request.number();
  state.last_request_at = now;
  state.instance_incarnation = request.instance_incarnation();
  state.leaving = request.leaving();
  state.capacity = request.capacity();
  return Verdict::kConfirmed;
}

auto AgentTable::IsCurrent(const schema::Envelope& message) const -> bool {
  const AgentState* state = Find(message.task_report().instance());
  return state != nullptr && state->confirmed() &&
         state->incarnation == message.sender_incarnation();
}

auto AgentTable::Find(const std::string& instance) -> AgentState* {
  const auto found = agents_.find(instance);
  return found == agents_.end() ? nullptr : &found->second;
}

auto AgentTable::Find(const std::string& instance) const -> const AgentState* {
  const auto found = agents_.find(instance);
  return found == agents_.end() ? nullptr : &found->second;
}

}  // namespace rhubarbhaven::tasks

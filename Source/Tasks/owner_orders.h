#ifndef RHUBARBHAVEN_TASKS_OWNER_ORDERS_H_
#define RHUBARBHAVEN_TASKS_OWNER_ORDERS_H_

#include <string>

#include "Tasks/owner.h"
#include "Tasks/owner_agents.h"
#include "Tasks/owner_register.h"
#include "Tasks/owner_tasks.h"

namespace rhubarbhaven::tasks {

// Builds the messages from an owner to agents. Each order refers to the agent's
// latest request, which dates it on the agent's clock, and names the
// incarnations of agent and worker for which it is valid.
class OwnerOrders {
 public:
  explicit OwnerOrders(const OwnerOptions& options) : options_(options) {}

  auto Grant(uint64_t fence,
             const std::string& agent,
             uint64_t number,
             std::chrono::milliseconds ttl,
             std::chrono::milliseconds verified_ago) const -> SendToSupervisor;
  auto Order(uint64_t fence,
             const AgentState& agent,
             schema::OrderKind kind,
             const PlacedAttempt& attempt) const -> SendToSupervisor;
  auto Start(uint64_t fence,
             const AgentState& agent,
             const PlacedAttempt& attempt,
             const RegisterJob& job) const -> SendToSupervisor;

 private:
  auto Message(const std::string& agent) const -> SendToSupervisor;

  OwnerOptions options_;
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_OWNER_ORDERS_H_

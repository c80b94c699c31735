#include "Tasks/owner_orders.h"

#include <algorithm>

namespace rhubarbhaven::tasks {

auto OwnerOrders::Message(const std::string& agent) const -> SendToSupervisor {
  SendToSupervisor order;
  order.agent = agent;
  order.message.set_sender(options_.entry_id);
  order.message.set_sender_incarnation(options_.entry_incarnation);
  return order;
}

auto OwnerOrders::Grant(uint64_t fence,
                        const std::string& agent,
                        uint64_t number,
                        std::chrono::milliseconds ttl,
                        std::chrono::milliseconds verified_ago) const
    -> SendToSupervisor {
  SendToSupervisor order = Message(agent);
  schema::LeaseGrant* grant = order.message.mutable_lease_grant();
  grant->set_cell(options_.cell);
  grant->set_fence(fence);
  grant->set_number(number);
  grant->set_ttl_ms(static_cast<uint32_t>(ttl.count()));
  grant->set_verified_ago_ms(
      static_cast<uint32_t>(std::max<int64_t>(verified_ago.count(), 0)));
  return order;
}

auto OwnerOrders::Order(uint64_t fence,
                        const AgentState& agent,
                        schema::OrderKind kind,
                        const PlacedAttempt& attempt) const
    -> SendToSupervisor {
  SendToSupervisor message = Message(agent.agent);
  schema::TaskOrder* order = message.message.mutable_task_order();
  order->set_cell(options_.cell);
  order->set_fence(fence);
  order->set_lease_number(agent.last_number);
  order->set_agent_incarnation(agent.incarnation);
  order->set_instance_incarnation(agent.instance_incarnation);
  order->set_kind(kind);
  *order->mutable_task() = attempt.task;
  order->set_attempt(attempt.attempt);
  *order->mutable_need() = attempt.admitted;
  return message;
}

auto OwnerOrders::Start(uint64_t fence,
                        const AgentState& agent,
                        const PlacedAttempt& attempt,
                        const RegisterJob& job) const -> SendToSupervisor {
  SendToSupervisor message = Order(fence, agent, schema::START, attempt);
  schema::TaskOrder* order = message.message.mutable_task_order();
  order->set_command(job.job.command());
  order->set_checkpoint(attempt.checkpoint);
  return message;
}

}  // namespace rhubarbhaven::tasks

#include <gtest/gtest.h>

#include "Tasks/tasks.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kAgent = 5;
constexpr uint64_t kWorker = 9;
constexpr uint64_t kFence = 20;
constexpr uint32_t kCapacity = 16000;

// What is changed of an order that would otherwise start a task.
struct OrderCase {
  const char* name;
  std::function<auto(schema::TaskOrder*)->void> change;
  // Between the lease request and the order.
  milliseconds later{100};
  // Between the lease request and its grant; no grant if negative.
  milliseconds grant_after{50};
  // Empty if the task must be started.
  std::string counter;
};

class OrderTable : public testing::TestWithParam<OrderCase> {
 protected:
  OrderTable() : keeper_(Options()) {}

  static auto Options() -> KeeperOptions {
    KeeperOptions options;
    options.agent_id = "agent-0";
    options.agent_incarnation = kAgent;
    options.instance = "instance-0";
    options.cell = "cell-0";
    return options;
  }

  // Answers the keeper's status call; returns the number of its request.
  auto Introduce() -> uint64_t {
    uint64_t call_id = 0;
    for (const KeeperAction& action : keeper_.OnTick(begin_)) {
      if (const auto* call = std::get_if<CallWorker>(&action)) {
        call_id = call->call_id;
      }
    }
    WorkerOutcome outcome;
    outcome.call_id = call_id;
    outcome.known = true;
    outcome.status.set_incarnation(kWorker);
    outcome.status.set_clock_ms(1000);
    outcome.status.mutable_capacity()->set_millicores(kCapacity);
    uint64_t number = 0;
    for (const KeeperAction& action : keeper_.OnWorkerReply(begin_, outcome)) {
      if (const auto* send = std::get_if<SendToOwner>(&action)) {
        number = send->message.lease_request().number();
      }
    }
    return number;
  }

  auto Grant(TimePoint now, uint64_t number) -> KeeperActions {
    schema::Envelope message;
    schema::LeaseGrant* grant = message.mutable_lease_grant();
    grant->set_cell("cell-0");
    grant->set_fence(kFence);
    grant->set_number(number);
    grant->set_ttl_ms(6000);
    return keeper_.OnMessage(now, "entry-0", message);
  }

  static auto Order(uint64_t number) -> schema::Envelope {
    schema::Envelope message;
    schema::TaskOrder* order = message.mutable_task_order();
    order->set_cell("cell-0");
    order->set_fence(kFence);
    order->set_lease_number(number);
    order->set_agent_incarnation(kAgent);
    order->set_instance_incarnation(kWorker);
    order->set_kind(schema::START);
    order->mutable_task()->set_job("job");
    order->set_attempt(1);
    order->mutable_need()->set_millicores(6000);
    return message;
  }

  const TimePoint begin_{std::chrono::hours(1)};
  TaskKeeper keeper_;
};

// Symptom: a task starts although its owner has placed it elsewhere.
// Sequence: an order comes late, from a replaced owner, for another
// incarnation, or without a lease.
// Cause: the agent looks at the order alone, and not at what it holds itself.
TEST_P(OrderTable, StartsOnlyUnderItsOwnLease) {
  const OrderCase& param = GetParam();
  const uint64_t number = Introduce();
  ASSERT_NE(number, 0U);
  std::string counters;
  bool started = false;
  const auto look = [&](const KeeperActions& actions) -> void {
    for (const KeeperAction& action : actions) {
      if (const auto* count = std::get_if<CountKeeper>(&action)) {
        counters += count->counter + " ";
      } else if (const auto* call = std::get_if<CallWorker>(&action)) {
        started = started || call->kind == CallWorker::Kind::kStart;
        EXPECT_LE(
            call->kind == CallWorker::Kind::kStart ? call->not_after : begin_,
            begin_ + milliseconds(6000));
      }
    }
  };
  if (param.grant_after >= milliseconds(0)) {
    look(Grant(begin_ + param.grant_after, number));
  }
  schema::Envelope order = Order(number);
  param.change(order.mutable_task_order());
  look(keeper_.OnMessage(begin_ + param.later, "entry-0", order));
  EXPECT_EQ(started, param.counter.empty()) << counters;
  EXPECT_NE((counters + " ").find(param.counter), std::string::npos)
      << counters;
}

const auto kAsIs = [](schema::TaskOrder*) -> void {};

INSTANTIATE_TEST_SUITE_P(
    Cases,
    OrderTable,
    testing::Values(
        OrderCase{"Good", kAsIs, milliseconds(100), milliseconds(50), ""},
        OrderCase{"GrantLate", kAsIs, milliseconds(6200), milliseconds(6100),
                  "grant_late"},
        OrderCase{"NoGrant", kAsIs, milliseconds(100), milliseconds(-1),
                  "order_unleased"},
        OrderCase{"LeaseOver", kAsIs, milliseconds(6001), milliseconds(50),
                  "order_unleased"},
        OrderCase{"UnknownNumber",
                  [](schema::TaskOrder* order) { order->set_lease_number(1); },
                  milliseconds(100), milliseconds(50), "order_late"},
        OrderCase{"StaleFence",
                  [](schema::TaskOrder* order) {
                    order->set_fence(kFence - 1);
                    order->set_kind(schema::CHECKPOINT_AND_STOP);
                  },
                  milliseconds(100), milliseconds(50), "order_stale_fence"},
        OrderCase{
            "NewerFenceWithoutLease",
            [](schema::TaskOrder* order) { order->set_fence(kFence + 1); },
            milliseconds(100), milliseconds(50), "order_unleased"},
        OrderCase{"OtherAgent",
                  [](schema::TaskOrder* order) {
                    order->set_agent_incarnation(kAgent + 1);
                  },
                  milliseconds(100), milliseconds(50),
                  "order_wrong_agent_incarnation"},
        OrderCase{"OtherWorker",
                  [](schema::TaskOrder* order) {
                    order->set_instance_incarnation(kWorker + 1);
                  },
                  milliseconds(100), milliseconds(50),
                  "order_wrong_instance_incarnation"},
        OrderCase{"OverCapacity",
                  [](schema::TaskOrder* order) {
                    order->mutable_need()->set_millicores(kCapacity + 1);
                  },
                  milliseconds(100), milliseconds(50), "order_refused"}),
    [](const auto& param) { return param.param.name; });

}  // namespace
}  // namespace rhubarbhaven

#include <gtest/gtest.h>

#include "Tasks/tasks.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kAgent = 5;
constexpr uint64_t kWorker = 9;
constexpr uint64_t kFence = 20;
constexpr uint32_t kCapacity = 16000;

// A modification of an order that would otherwise start a task.
struct OrderCase {
  const char* name;
  std::function<auto(schema::TaskOrder*)->void> change;
  // Time from the lease request to the order.
  milliseconds later{100};
  // Time from the lease request to its grant; if negative, no grant is sent.
  milliseconds grant_after{50};
  // Counter of the expected rejection; empty if the task must be started.
  std::string counter;
};

// A supervisor with a simulated worker and owner.
class SupervisorDriver {
 protected:
  SupervisorDriver() : supervisor_(Options()) {}

  static auto Options() -> SupervisorOptions {
    SupervisorOptions options;
    options.agent_id = "agent-0";
    options.agent_incarnation = kAgent;
    options.instance = "instance-0";
    options.cell = "cell-0";
    return options;
  }

  // Answers the supervisor's status call; returns the number of its lease
  // request.
  auto AnswerFirstStatus() -> uint64_t {
    uint64_t call_id = 0;
    for (const SupervisorAction& action : supervisor_.OnTick(begin_)) {
      if (const auto* call = std::get_if<CallWorker>(&action)) {
        call_id = call->call_id;
      }
    }
    TaskCallResult outcome;
    outcome.call_id = call_id;
    outcome.known = true;
    outcome.status.set_incarnation(kWorker);
    outcome.status.set_clock_ms(1000);
    outcome.status.mutable_capacity()->set_millicores(kCapacity);
    uint64_t number = 0;
    for (const SupervisorAction& action :
         supervisor_.OnWorkerReply(begin_, outcome)) {
      if (const auto* send = std::get_if<SendToOwner>(&action)) {
        number = send->message.lease_request().number();
      }
    }
    return number;
  }

  auto Grant(TimePoint now, uint64_t number) -> SupervisorActions {
    schema::Envelope message;
    schema::LeaseGrant* grant = message.mutable_lease_grant();
    grant->set_cell("cell-0");
    grant->set_fence(kFence);
    grant->set_number(number);
    grant->set_ttl_ms(6000);
    return supervisor_.OnMessage(now, "entry-0", message);
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

  // Ticks until `end` and answers every status call with `seen`. Returns all
  // other actions of the supervisor.
  auto RunUntil(TimePoint end, const schema::WorkerTask* seen)
      -> SupervisorActions {
    SupervisorActions others;
    for (; now_ < end; now_ += milliseconds(100)) {
      SupervisorActions actions = supervisor_.OnTick(now_);
      for (std::size_t i = 0; i < actions.size(); ++i) {
        const SupervisorAction action = actions[i];
        const auto* call = std::get_if<CallWorker>(&action);
        if (call == nullptr || call->kind != CallWorker::Kind::kStatus) {
          others.push_back(action);
          continue;
        }
        for (SupervisorAction& next :
             supervisor_.OnWorkerReply(now_, Status(call->call_id, seen))) {
          actions.push_back(std::move(next));
        }
      }
    }
    return others;
  }

  static auto Status(uint64_t call_id, const schema::WorkerTask* seen)
      -> TaskCallResult {
    TaskCallResult outcome;
    outcome.call_id = call_id;
    outcome.known = true;
    outcome.status.set_incarnation(kWorker);
    outcome.status.set_clock_ms(1000);
    outcome.status.mutable_capacity()->set_millicores(kCapacity);
    if (seen != nullptr) {
      *outcome.status.add_tasks() = *seen;
    }
    return outcome;
  }

  static auto StartIn(const SupervisorActions& actions) -> const CallWorker* {
    for (const SupervisorAction& action : actions) {
      const auto* call = std::get_if<CallWorker>(&action);
      if (call != nullptr && call->kind == CallWorker::Kind::kStart) {
        return call;
      }
    }
    return nullptr;
  }

  const TimePoint begin_{std::chrono::hours(1)};
  TimePoint now_ = begin_;
  TaskSupervisor supervisor_;
};

class OrderTest : public SupervisorDriver,
                  public testing::TestWithParam<OrderCase> {};

class LateStart : public SupervisorDriver, public testing::Test {
 protected:
  // Orders a task whose start is sent and whose answer is lost.
  auto LoseStartReply() -> CallWorker {
    const uint64_t number = AnswerFirstStatus();
    Grant(begin_, number);
    const SupervisorActions actions =
        supervisor_.OnMessage(begin_, "entry-0", Order(number));
    CallWorker start = *StartIn(actions);
    TaskCallResult lost;
    lost.call_id = start.call_id;
    now_ = begin_ + milliseconds(500);
    supervisor_.OnWorkerReply(now_, lost);
    return start;
  }
};

// Guards against starting a task that its owner has placed elsewhere. The order
// is late, comes from a replaced owner, is meant for another incarnation or
// arrives without a lease. The agent must check the order against its own
// lease.
TEST_P(OrderTest, StartsOnlyUnderItsOwnLease) {
  const OrderCase& param = GetParam();
  const uint64_t number = AnswerFirstStatus();
  ASSERT_NE(number, 0U);
  std::string counters;
  bool started = false;
  const auto inspect = [&](const SupervisorActions& actions) -> void {
    for (const SupervisorAction& action : actions) {
      if (const auto* count = std::get_if<CountSupervisorEvent>(&action)) {
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
    inspect(Grant(begin_ + param.grant_after, number));
  }
  schema::Envelope order = Order(number);
  param.change(order.mutable_task_order());
  inspect(supervisor_.OnMessage(begin_ + param.later, "entry-0", order));
  EXPECT_EQ(started, param.counter.empty()) << counters;
  EXPECT_NE((counters + " ").find(param.counter), std::string::npos)
      << counters;
}

const auto kAsIs = [](schema::TaskOrder*) -> void {};

INSTANTIATE_TEST_SUITE_P(
    Cases,
    OrderTest,
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

// Guards against a task that runs although it was rejected, and elsewhere too.
// A start is sent and its answer lost, the owner stops the attempt, a status
// does not list it, and then the start arrives. Absence from a status proves
// nothing while a start may be in transit.
TEST_F(LateStart, RefusedOnlyWhenNoStartCanArrive) {
  const CallWorker start = LoseStartReply();
  schema::Envelope stop = Order(0);
  stop.mutable_task_order()->set_kind(schema::STOP);
  supervisor_.OnMessage(now_, "entry-0", stop);
  TimePoint refused = TimePoint::max();
  while (now_ < begin_ + milliseconds(9000)) {
    for (const SupervisorAction& action :
         RunUntil(now_ + milliseconds(100), nullptr)) {
      const auto* send = std::get_if<SendToOwner>(&action);
      if (send != nullptr &&
          (!send->message.task_report().refused().empty() ||
           !send->message.lease_request().refused().empty())) {
        refused = std::min(refused, now_);
      }
    }
  }
  EXPECT_GT(refused, start.not_after);
  EXPECT_LT(refused, now_);
}

// Guards against a finished task running again. The answer to its start is
// lost, the task finishes and its end is recorded, the worker is told to forget
// it, and then a copy of the start arrives. No process would have a record of
// the attempt by then.
TEST_F(LateStart, ForgottenOnlyWhenNoStartCanArrive) {
  const CallWorker start = LoseStartReply();
  schema::WorkerTask seen;
  seen.set_name(start.start.name());
  seen.set_attempt(1);
  seen.set_state(schema::WORKER_TASK_FINISHED);
  RunUntil(begin_ + milliseconds(1200), &seen);
  schema::Envelope message;
  schema::LeaseGrant* grant = message.mutable_lease_grant();
  grant->set_cell("cell-0");
  grant->set_fence(kFence);
  grant->set_number((kAgent << 24) + 2);
  grant->set_ttl_ms(6000);
  schema::EndedTask* recorded = grant->add_recorded();
  recorded->mutable_task()->set_job("job");
  recorded->set_attempt(1);
  supervisor_.OnMessage(now_, "entry-0", message);
  TimePoint forgotten = TimePoint::max();
  while (now_ < begin_ + milliseconds(9000)) {
    for (const SupervisorAction& action :
         RunUntil(now_ + milliseconds(100), &seen)) {
      const auto* call = std::get_if<CallWorker>(&action);
      if (call != nullptr && call->kind == CallWorker::Kind::kForget) {
        forgotten = std::min(forgotten, now_);
      }
    }
  }
  EXPECT_GT(forgotten, start.not_after);
  EXPECT_LT(forgotten, now_);
}

}  // namespace
}  // namespace rhubarbhaven

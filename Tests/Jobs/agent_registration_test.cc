// Tests of when an agent writes its entry into the log, and of its contents.

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr char kWorkerId[] = "life-1";

class AgentRegistrationTest : public testing::Test {
 protected:
  AgentRegistrationTest() : registration_(Options()) {}

  static auto Options() -> AgentRegistrationOptions {
    AgentRegistrationOptions options;
    options.name = "agent-0";
    options.incarnation = 7;
    options.link_endpoint = "tcp://there";
    return options;
  }

  // Returns the entry that is written now, if any; the log accepts it.
  auto Write(TimePoint now, const RegistrationState& state)
      -> std::optional<AgentEntry> {
    if (!registration_.RegisterIfDue(now, state)) {
      return std::nullopt;
    }
    const auto call = registration_.Next(now);
    AgentEntry entry;
    EXPECT_TRUE(call.has_value());
    EXPECT_TRUE(entry.ParseFromString(call->records.front().value));
    registration_.OnResult(now, {AppendOutcome::kAppended, 0});
    return entry;
  }

  AgentRegistration registration_;
};

struct DueCase {
  std::string name;
  // Time since the first entry, and since the owner's latest orders.
  milliseconds since_registration{0};
  std::optional<milliseconds> since_orders;
  std::string left_worker;
  bool due = false;
};

class DueTest : public AgentRegistrationTest,
                public testing::WithParamInterface<DueCase> {};

TEST_P(DueTest, WritesWhenTheOwnerMayNotKnowTheAgent) {
  const auto first = Write(kStart, {});
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->link_endpoint(), "tcp://there");
  EXPECT_EQ(first->incarnation(), 7U);
  EXPECT_EQ(first->left_worker_id(), "");
  const TimePoint now = kStart + GetParam().since_registration;
  RegistrationState state;
  state.left_worker_id = GetParam().left_worker;
  if (GetParam().since_orders) {
    state.ordered_at = now - *GetParam().since_orders;
  }
  const auto entry = Write(now, state);
  ASSERT_EQ(entry.has_value(), GetParam().due);
  if (entry) {
    EXPECT_EQ(entry->left_worker_id(), GetParam().left_worker);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    DueTest,
    testing::Values(
        DueCase{"gets_orders", seconds(60), milliseconds(300), "", false},
        DueCase{"never_got_orders", seconds(3), std::nullopt, "", true},
        DueCase{"has_just_registered", seconds(2), std::nullopt, "", false},
        DueCase{"gets_no_more_orders", seconds(60), seconds(4), "", true},
        DueCase{"its_worker_has_left", milliseconds(1), milliseconds(1),
                kWorkerId, true}),
    [](const auto& info) { return info.param.name; });

TEST_F(AgentRegistrationTest, RecordsOnceThatAWorkerProcessHasLeft) {
  Write(kStart, {});
  const RegistrationState left_worker{kStart, kWorkerId};
  EXPECT_TRUE(Write(kStart, left_worker).has_value());
  EXPECT_FALSE(Write(kStart, left_worker).has_value());
  EXPECT_TRUE(Write(kStart, {kStart, "life-2"}).has_value());
}

// Guards against a worker that leaves while the log is unavailable and so is
// not recorded as having left. The record is kept, and written after the entry
// that is in flight.
TEST_F(AgentRegistrationTest, RecordThatAWorkerHasLeftSurvivesAnOutage) {
  ASSERT_TRUE(registration_.RegisterIfDue(kStart, {}));
  TimePoint now = kStart;
  ASSERT_TRUE(registration_.Next(now).has_value());
  const RegistrationState left_worker{kStart, kWorkerId};
  EXPECT_FALSE(registration_.RegisterIfDue(now, left_worker));
  registration_.OnResult(now, {AppendOutcome::kRejected, 0});
  now += seconds(5);
  EXPECT_FALSE(registration_.RegisterIfDue(now, left_worker));
  ASSERT_TRUE(registration_.Next(now).has_value());
  registration_.OnResult(now, {AppendOutcome::kAppended, 0});
  const auto entry = Write(now, left_worker);
  ASSERT_TRUE(entry.has_value());
  EXPECT_EQ(entry->left_worker_id(), kWorkerId);
}

// Guards against an owner that waits for an agent that was told to stop as for
// one that is cut off: the agent's last act is to record the stop, even just
// after it has registered, and it records nothing afterwards.
TEST_F(AgentRegistrationTest, StopIsTheLastEntry) {
  ASSERT_TRUE(Write(kStart, {}).has_value());
  registration_.RecordStop({kStart, kWorkerId},
                           std::chrono::microseconds(1500));
  EXPECT_FALSE(registration_.stop_recorded());
  const auto call = registration_.Next(kStart);
  ASSERT_TRUE(call.has_value());
  AgentEntry entry;
  ASSERT_TRUE(entry.ParseFromString(call->records.front().value));
  EXPECT_EQ(entry.name(), "agent-0");
  EXPECT_EQ(entry.incarnation(), 7U);
  EXPECT_EQ(entry.left_worker_id(), kWorkerId);
  ASSERT_TRUE(entry.has_stop());
  // Rounded up: the lease must not be taken for over before it is.
  EXPECT_EQ(entry.stop().lease_left_ms(), 2U);
  registration_.OnResult(kStart, {AppendOutcome::kAppended, 0});
  EXPECT_TRUE(registration_.stop_recorded());
  EXPECT_FALSE(Write(kStart + seconds(60), {}).has_value());
}

// The log loses the answer: the same append is repeated until it is confirmed.
TEST_F(AgentRegistrationTest, StopIsRepeatedUntilItIsRecorded) {
  registration_.RecordStop({}, Duration(0));
  auto call = registration_.Next(kStart);
  ASSERT_TRUE(call.has_value());
  registration_.OnResult(kStart, {AppendOutcome::kUnknown, 0});
  EXPECT_FALSE(registration_.stop_recorded());
  const auto repeat = registration_.Next(kStart + seconds(1));
  ASSERT_TRUE(repeat.has_value());
  EXPECT_EQ(repeat->sequence, call->sequence);
  registration_.OnResult(kStart + seconds(1), {AppendOutcome::kAppended, 0});
  EXPECT_TRUE(registration_.stop_recorded());
}

}  // namespace
}  // namespace rhubarbhaven::jobs

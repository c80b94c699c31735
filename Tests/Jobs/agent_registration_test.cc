// When an agent writes its entry into the log, and what it says.

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr char kLife[] = "life-1";

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

  // The entry that is written now, if any; the log takes it.
  auto Write(TimePoint now, const RegistrationState& situation)
      -> std::optional<AgentEntry> {
    if (!registration_.RegisterIfDue(now, situation)) {
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
  // Since the first entry, and since the owner's latest orders.
  milliseconds registered{0};
  std::optional<milliseconds> ordered;
  std::string left;
  bool due = false;
};

class DueTest : public AgentRegistrationTest,
                public testing::WithParamInterface<DueCase> {};

TEST_P(DueTest, WritesWhenTheOwnerMayNotKnow) {
  const auto first = Write(kStart, {});
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->link_endpoint(), "tcp://there");
  EXPECT_EQ(first->incarnation(), 7U);
  EXPECT_EQ(first->left_worker_id(), "");
  const TimePoint now = kStart + GetParam().registered;
  RegistrationState situation;
  situation.left_worker_id = GetParam().left;
  if (GetParam().ordered) {
    situation.ordered_at = now - *GetParam().ordered;
  }
  const auto entry = Write(now, situation);
  ASSERT_EQ(entry.has_value(), GetParam().due);
  if (entry) {
    EXPECT_EQ(entry->left_worker_id(), GetParam().left);
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
        DueCase{"its_worker_has_left", milliseconds(1), milliseconds(1), kLife,
                true}),
    [](const auto& info) { return info.param.name; });

TEST_F(AgentRegistrationTest, SaysOnceThatALifeHasLeft) {
  Write(kStart, {});
  const RegistrationState left{kStart, kLife};
  EXPECT_TRUE(Write(kStart, left).has_value());
  EXPECT_FALSE(Write(kStart, left).has_value());
  EXPECT_TRUE(Write(kStart, {kStart, "life-2"}).has_value());
}

// Symptom: as of a worker that left without a word. Sequence: the worker leaves
// while the log is away. Why not here: the word is kept, and written behind the
// entry that is under way.
TEST_F(AgentRegistrationTest, WordOfALifeThatLeftOutlivesAnOutage) {
  ASSERT_TRUE(registration_.RegisterIfDue(kStart, {}));
  TimePoint now = kStart;
  ASSERT_TRUE(registration_.Next(now).has_value());
  const RegistrationState left{kStart, kLife};
  EXPECT_FALSE(registration_.RegisterIfDue(now, left));
  registration_.OnResult(now, {AppendOutcome::kRefused, 0});
  now += seconds(5);
  EXPECT_FALSE(registration_.RegisterIfDue(now, left));
  ASSERT_TRUE(registration_.Next(now).has_value());
  registration_.OnResult(now, {AppendOutcome::kAppended, 0});
  const auto entry = Write(now, left);
  ASSERT_TRUE(entry.has_value());
  EXPECT_EQ(entry->left_worker_id(), kLife);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

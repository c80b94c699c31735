// Tests of the limit for bytes that are under way from an owner to agents, and
// of the payloads that an agent keeps.

#include "Jobs/order_window.h"

#include <gtest/gtest.h>

#include <string>

#include "Jobs/payload_cache.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kAgent = 1;
constexpr uint64_t kOtherAgent = 2;

class OrderWindowTest : public testing::Test {
 protected:
  static constexpr std::size_t kTotal = 4000;
  static constexpr std::size_t kPerAgent = 1000;

  OrderWindow window_{{kTotal, kPerAgent, milliseconds(1000)}};
  TimePoint now_{std::chrono::seconds(10)};
};

struct LinkCase {
  std::string name;
  double link_mbps = 0;
  std::size_t total_bytes = 0;
  std::size_t agent_bytes = 0;
};

class OrderWindowSizeTest : public testing::TestWithParam<LinkCase> {};

// Guards against starts that keep the owner's link busy for so long that its
// renewals are late: the window is what the link carries in 200 ms.
TEST_P(OrderWindowSizeTest, FollowsTheLink) {
  EXPECT_EQ(OrderWindowFor(GetParam().link_mbps).total_bytes,
            GetParam().total_bytes);
  EXPECT_EQ(OrderWindowFor(GetParam().link_mbps).agent_bytes,
            GetParam().agent_bytes);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         OrderWindowSizeTest,
                         testing::Values(LinkCase{"unknown", 0, 262144, 65536},
                                         LinkCase{"tiny", 0.1, 16384, 4096},
                                         LinkCase{"thin", 2, 50000, 12500},
                                         LinkCase{"wide", 200, 5000000, 65536}),
                         [](const auto& info) { return info.param.name; });

struct ReadWindowCase {
  std::string name;
  double link_mbps = 0;
  std::size_t bytes = 0;
};

class ReadWindowTest : public testing::TestWithParam<ReadWindowCase> {};

// Guards against an owner that is replaced while it receives a large response
// of the log, behind which its renewals wait.
TEST_P(ReadWindowTest, FollowsAThinLink) {
  EXPECT_EQ(ReadWindowFor(GetParam().link_mbps), GetParam().bytes);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ReadWindowTest,
                         testing::Values(ReadWindowCase{"unknown", 0, 0},
                                         ReadWindowCase{"thin", 2, 16384},
                                         ReadWindowCase{"some", 10, 62500},
                                         ReadWindowCase{"wide", 200, 0}),
                         [](const auto& info) { return info.param.name; });

TEST_F(OrderWindowTest, BytesCountUntilTheAgentHasReceivedThem) {
  window_.OnSent(now_, kAgent, 1, 300);
  window_.OnSent(now_, kAgent, 2, 400);
  EXPECT_EQ(window_.in_flight(), 700U);
  EXPECT_FALSE(window_.FitsAgent(now_, kAgent, 0, 400));
  EXPECT_TRUE(window_.FitsAgent(now_, kOtherAgent, 0, 400));
  window_.OnReceived(now_, kAgent, 1);
  EXPECT_EQ(window_.in_flight(), 400U);
  window_.OnReceived(now_, kAgent, 1);
  EXPECT_EQ(window_.in_flight(), 400U);
  window_.OnReceived(now_, kAgent, 2);
  EXPECT_EQ(window_.in_flight(), 0U);
  EXPECT_TRUE(window_.FitsAgent(now_, kAgent, 0, 400));
}

TEST_F(OrderWindowTest, BytesToAllAgentsAreLimited) {
  window_.OnSent(now_, kAgent, 1, kTotal - 1000);
  EXPECT_TRUE(window_.FitsAll(now_, 0, 1000));
  EXPECT_FALSE(window_.FitsAll(now_, 1, 1000));
  window_.OnReceived(now_, kAgent, 1);
  EXPECT_TRUE(window_.FitsAll(now_, 1, 1000));
}

// Guards against an order that is larger than the window and is never sent.
TEST_F(OrderWindowTest, LargeOrderFitsWhileHalfOfTheWindowIsFree) {
  EXPECT_TRUE(window_.FitsAgent(now_, kAgent, kPerAgent / 2, 10 * kTotal));
  EXPECT_FALSE(window_.FitsAgent(now_, kAgent, kPerAgent / 2 + 1, 10 * kTotal));
  EXPECT_TRUE(window_.FitsAll(now_, kTotal / 2, 10 * kTotal));
  EXPECT_FALSE(window_.FitsAll(now_, kTotal / 2 + 1, 10 * kTotal));
}

// Guards against agents that are frozen or cut off and keep all others from
// getting orders.
TEST_F(OrderWindowTest, UnresponsiveAgentsDoNotBlockOthers) {
  for (uint64_t agent = 10; agent < 14; ++agent) {
    window_.OnSent(now_, agent, 1, kPerAgent);
  }
  EXPECT_FALSE(window_.FitsAll(now_, 0, 100));
  now_ += milliseconds(1000);
  EXPECT_TRUE(window_.FitsAll(now_, 0, 100));
  EXPECT_EQ(window_.in_flight(), 0U);
  EXPECT_TRUE(window_.unresponsive(now_, 10));
  EXPECT_FALSE(window_.FitsAgent(now_, 10, 0, 100));
  window_.OnSent(now_, 10, 2, 50);
  window_.OnReceived(now_, 10, 2);
  EXPECT_FALSE(window_.unresponsive(now_, 10));
  EXPECT_EQ(window_.in_flight(), 0U);
  EXPECT_TRUE(window_.FitsAgent(now_, 10, 0, 100));
}

// Guards against an agent that answers each message after more than a second
// and never gets a start.
TEST_F(OrderWindowTest, SlowAgentGetsStarts) {
  constexpr uint64_t kRoundTrip = 12;
  for (uint64_t message = 1; message <= 100; ++message) {
    window_.OnSent(now_, kAgent, message, 10);
    if (message > kRoundTrip) {
      window_.OnReceived(now_, kAgent, message - kRoundTrip);
      EXPECT_TRUE(window_.FitsAgent(now_, kAgent, 0, 100)) << message;
    }
    EXPECT_TRUE(window_.FitsAll(now_, 0, 100)) << message;
    now_ += milliseconds(100);
  }
}

// Guards against an owner whose memory grows with each poll, and that stands
// still at the next start, since nothing waits for room meanwhile.
TEST_F(OrderWindowTest, PollsWithoutStartsAreForgotten) {
  for (uint64_t poll = 1; poll <= 1000; ++poll) {
    window_.OnSent(now_, kAgent, poll, 0);
    window_.OnReceived(now_, kAgent, poll);
    now_ += milliseconds(300);
  }
  EXPECT_LE(window_.tracked_messages(), 4U);
}

// Guards against bytes of a process that has ended and that count forever.
TEST_F(OrderWindowTest, ForgottenAgentFreesItsBytes) {
  window_.OnSent(now_, kAgent, 1, 300);
  window_.OnSent(now_, kOtherAgent, 1, 200);
  window_.Forget(kAgent);
  EXPECT_EQ(window_.in_flight(), 200U);
  now_ += milliseconds(2000);
  EXPECT_TRUE(window_.FitsAgent(now_, kAgent, 0, 100));
  EXPECT_FALSE(window_.unresponsive(now_, kAgent));
  EXPECT_TRUE(window_.FitsAll(now_, 0, 100));
  EXPECT_EQ(window_.in_flight(), 0U);
}

// Guards against a job that is submitted under the id of a forgotten one and
// runs with the payload of that one.
TEST(PayloadCacheTest, KeepsPayloadsByJobAndHash) {
  PayloadCache cache(1000);
  cache.Put("job", 1, "one");
  ASSERT_NE(cache.Find("job", 1), nullptr);
  EXPECT_EQ(*cache.Find("job", 1), "one");
  EXPECT_EQ(cache.Find("job", 2), nullptr);
  EXPECT_EQ(cache.Find("other", 1), nullptr);
}

// Guards against an agent whose memory grows with each job that it ever ran.
TEST(PayloadCacheTest, DiscardsTheLeastRecentlyUsed) {
  PayloadCache cache(10);
  cache.Put("a", 1, "12345");
  cache.Put("b", 1, "12345");
  EXPECT_NE(cache.Find("a", 1), nullptr);
  cache.Put("c", 1, "12345");
  EXPECT_NE(cache.Find("a", 1), nullptr);
  EXPECT_EQ(cache.Find("b", 1), nullptr);
  EXPECT_NE(cache.Find("c", 1), nullptr);
  cache.Put("d", 1, "longer than all");
  EXPECT_EQ(cache.Find("d", 1), nullptr);
  EXPECT_NE(cache.Find("c", 1), nullptr);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

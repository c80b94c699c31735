// Tests of what an owner's messages say about the age of its orders.

#include <gtest/gtest.h>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

class OwnerOrdersTest : public JobOwnerTest {
 protected:
  // Starts one task on agent-0 and discards the order, as if it were lost.
  auto LoseStart() -> StartOrder {
    Begin();
    PutJob({Step(1)});
    Report("agent-0", ReportOf("agent-0"));
    StartOrder start = starts_["agent-0"].begin()->second;
    starts_.clear();
    return start;
  }

  // Lets the owner send its next messages this much later.
  auto PollAfter(milliseconds wait) -> void {
    now_ += wait;
    owner_.Tick(now_);
  }
};

// Guards against an agent that takes a repeat of a start for a confirmation,
// although the owner has ordered a stop of the run, which was lost.
TEST_F(OwnerOrdersTest, RepeatOfAStartSaysThatItWasWithdrawn) {
  const uint64_t number = LoseStart().order();
  PollAfter(JobOwnerOptions().repeat_after);
  ASSERT_TRUE(starts_["agent-0"].contains(number));
  EXPECT_FALSE(starts_["agent-0"][number].withdrawn());
  Put(MakeCancellation(kJobId));
  PollAfter(JobOwnerOptions().repeat_after);
  EXPECT_TRUE(starts_["agent-0"][number].withdrawn());
}

TEST_F(OwnerOrdersTest, MessageSaysHowOldItsOrdersAndTheLogAre) {
  const uint64_t number = LoseStart().order();
  log_age_ = milliseconds(70);
  PollAfter(JobOwnerOptions().repeat_after);
  const auto& orders = latest_orders_["agent-0"];
  ASSERT_EQ(orders.starts_size(), 1);
  EXPECT_EQ(orders.built_after_us(), 400000U);
  EXPECT_EQ(orders.log_age_ms(), 70U);
  EXPECT_EQ(orders.log_read_to(), offset_ + 1);
  EXPECT_EQ(starts_["agent-0"][number].decided_before_ms(), 400U);
}

// Guards against a slow owner whose own orders arrive too late: that is no
// failure of the task or of the worker.
TEST_F(OwnerOrdersTest, OutdatedStartIsPlacedAgainAndCountsAsNoFailure) {
  for (int attempt = 0; attempt < 5; ++attempt) {
    const auto start =
        attempt == 0 ? LoseStart() : starts_["agent-0"].rbegin()->second;
    auto report = ReportOf("agent-0");
    auto* result = report.add_results();
    result->set_order(start.order());
    result->set_outcome(ORDER_OUTDATED);
    Report("agent-0", report);
    const auto placed_again = [&]() -> bool {
      const auto& starts = starts_["agent-0"];
      return starts.upper_bound(start.order()) != starts.end();
    };
    // An owner that is late anyway does not place it again at once.
    PollAfter(milliseconds(400));
    ASSERT_FALSE(placed_again());
    PollAfter(milliseconds(200));
    ASSERT_TRUE(placed_again());
  }
  EXPECT_EQ(fold_.Find(kJobId)->state(), JOB_QUEUED);
}

// Guards against logs from which nobody can tell that orders lie between the
// owner and its agents.
TEST_F(OwnerOrdersTest, ReportsTheLongestDelayOfAStart) {
  const auto start = LoseStart();
  PollAfter(milliseconds(1200));
  Report("agent-0", Started("agent-0", 0));
  PollAfter(milliseconds(1000));
  ASSERT_FALSE(start_delays_.empty());
  EXPECT_EQ(*std::max_element(start_delays_.begin(), start_delays_.end()),
            milliseconds(1200));
}

// Guards against logs from which nobody can tell that an owner fills its own
// link with starts that it sends again.
TEST_F(OwnerOrdersTest, ReportsTheBytesOfRepeatedStarts) {
  LoseStart();
  PollAfter(milliseconds(1200));
  PollAfter(milliseconds(1000));
  OrderTraffic sum;
  for (const auto& traffic : order_traffic_) {
    sum.bytes += traffic.bytes;
    sum.start_bytes += traffic.start_bytes;
    sum.repeated_bytes += traffic.repeated_bytes;
  }
  EXPECT_GT(sum.repeated_bytes, 0U);
  EXPECT_GT(sum.start_bytes, sum.repeated_bytes);
  EXPECT_GT(sum.bytes, sum.start_bytes);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

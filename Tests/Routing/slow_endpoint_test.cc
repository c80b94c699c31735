#include <gtest/gtest.h>

#include "Tests/Routing/trial.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kAgents = 3;
constexpr int kSlowAgent = 0;
constexpr int kRequests = 20;
constexpr milliseconds kUsual{2};
constexpr milliseconds kSlow{60};
constexpr milliseconds kDeadline{1000};
constexpr seconds kCalm{20};

struct SlowCase {
  std::string name;
  // Only the first request there is slow.
  bool once = true;
  // Requests go on.
  bool traffic = false;
  // The entry that is asked for the state was started after the requests.
  bool new_entry = false;
  std::string state;
};

auto PrintTo(const SlowCase& one, std::ostream* out) -> void {
  *out << one.name;
}

class SlowEndpointTest : public testing::TestWithParam<SlowCase> {
 protected:
  auto StateAt(int entry) -> std::string {
    for (const auto& view : trial_.cluster->router(entry).endpoints()) {
      if (view.agent == FakeCluster::AgentName(kSlowAgent)) {
        return view.state;
      }
    }
    return "unknown";
  }

  Trial trial_;
};

// Guards against an endpoint that is counted as slow for good when no request
// comes any more, and against one that is slow and is forgotten under traffic.
TEST_P(SlowEndpointTest, CountsAsSlowWhileRequestsShowIt) {
  trial_.options.entries = 2;
  trial_.options.agents = kAgents;
  trial_.endpoint = [this](int agent) -> Served {
    const bool first = trial_.runs_at[agent] <= 1;
    const bool slow = agent == kSlowAgent && (first || !GetParam().once);
    return {.takes = slow ? kSlow : kUsual};
  };
  trial_.Start();
  trial_.Load(kRequests, milliseconds(20), kDeadline);
  trial_.cluster->RunFor(seconds(1));
  ASSERT_EQ(StateAt(0), "slow");
  if (GetParam().new_entry) {
    trial_.cluster->KillEntry(0);
    trial_.cluster->StartEntry(0);
  }
  if (GetParam().traffic) {
    constexpr milliseconds kGap{20};
    trial_.Load(static_cast<int>(kCalm / kGap), kGap, kDeadline);
  }
  trial_.cluster->RunFor(kCalm);
  EXPECT_EQ(StateAt(0), GetParam().state);
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    SlowEndpointTest,
    testing::Values(SlowCase{.name = "calm", .state = "ready"},
                    SlowCase{.name = "calm, new entry",
                             .new_entry = true,
                             .state = "ready"},
                    SlowCase{.name = "slow once, traffic",
                             .traffic = true,
                             .state = "ready"},
                    SlowCase{.name = "slow, traffic",
                             .once = false,
                             .traffic = true,
                             .state = "slow"}),
    [](const auto& one) { return "case" + std::to_string(one.index); });

}  // namespace
}  // namespace rhubarbhaven

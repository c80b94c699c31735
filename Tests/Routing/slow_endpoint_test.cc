#include <gtest/gtest.h>

#include "Tests/Routing/trial.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kAgents = 3;
constexpr int kSlowAgent = 0;
constexpr int kRequests = 20;
constexpr milliseconds kUsualTime{2};
constexpr milliseconds kSlowTime{60};
constexpr milliseconds kDeadline{1000};
constexpr seconds kObservationTime{20};

struct SlowCase {
  std::string name;
  // True if only the first request at the endpoint is slow.
  bool first_only = true;
  // True if requests continue to arrive.
  bool traffic = false;
  // True if the entry whose state is checked started after the requests.
  bool new_entry = false;
  std::string state;
};

auto PrintTo(const SlowCase& one, std::ostream* out) -> void {
  *out << one.name;
}

class SlowEndpointTest : public testing::TestWithParam<SlowCase> {
 protected:
  auto StateAt(int entry) -> std::string {
    for (const auto& view : harness_.cluster->router(entry).endpoints()) {
      if (view.agent == FakeCluster::AgentName(kSlowAgent)) {
        return view.state;
      }
    }
    return "unknown";
  }

  ClusterHarness harness_;
};

// Guards against an endpoint that counts as slow permanently once requests
// stop, and against a slow endpoint that no longer counts as slow while
// requests arrive.
TEST_P(SlowEndpointTest, IsSlowOnlyWhileRequestsConfirmIt) {
  harness_.options.entries = 2;
  harness_.options.agents = kAgents;
  harness_.endpoint = [this](int agent) -> EndpointResponse {
    const bool first = harness_.runs_at[agent] <= 1;
    const bool slow = agent == kSlowAgent && (first || !GetParam().first_only);
    return {.response_time = slow ? kSlowTime : kUsualTime};
  };
  harness_.Start();
  harness_.Load(kRequests, milliseconds(20), kDeadline);
  harness_.cluster->RunFor(seconds(1));
  ASSERT_EQ(StateAt(0), "slow");
  if (GetParam().new_entry) {
    harness_.cluster->KillEntry(0);
    harness_.cluster->StartEntry(0);
  }
  if (GetParam().traffic) {
    constexpr milliseconds kGap{20};
    harness_.Load(static_cast<int>(kObservationTime / kGap), kGap, kDeadline);
  }
  harness_.cluster->RunFor(kObservationTime);
  EXPECT_EQ(StateAt(0), GetParam().state);
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    SlowEndpointTest,
    testing::Values(SlowCase{.name = "no traffic", .state = "ready"},
                    SlowCase{.name = "no traffic, new entry",
                             .new_entry = true,
                             .state = "ready"},
                    SlowCase{.name = "slow once, traffic",
                             .traffic = true,
                             .state = "ready"},
                    SlowCase{.name = "slow, traffic",
                             .first_only = false,
                             .traffic = true,
                             .state = "slow"}),
    [](const auto& one) { return "case" + std::to_string(one.index); });

}  // namespace
}  // namespace rhubarbhaven

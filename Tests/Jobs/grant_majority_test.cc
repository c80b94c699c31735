// Long-running tasks beside an owner that is gone or cut off together with some
// of its agents: they run again soon, and never in two places.

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "Tests/Jobs/simulated_cluster.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// A task that lasts has to run again within 3 s, counted once nothing has been
// disturbed for 4 s.
constexpr seconds kMaxDownTime{7};
constexpr milliseconds kStep{10};
constexpr seconds kCut{20};

auto Options(int agents, uint64_t seed) -> SimulatedClusterOptions {
  SimulatedClusterOptions options;
  options.seed = seed;
  options.entries = 5;
  options.agents = agents;
  options.paced_registration = true;
  options.keep_order = true;
  return options;
}

auto Running(SimulatedCluster& cluster) -> std::size_t {
  std::size_t runs = 0;
  for (const int agent : cluster.Agents()) {
    runs += cluster.worker(agent).running();
  }
  return runs;
}

struct LostTogetherCase {
  std::string name;
  int agents = 10;
  // When agents are gone, from the loss of the first owner. Their workers go on
  // until their leases expire.
  std::vector<milliseconds> agents_gone_at;
  // When later owners are lost.
  std::vector<milliseconds> next_owners_lost_at;
};

class LostTogetherTest : public testing::TestWithParam<LostTogetherCase> {};

// Guards against tasks that stay down for some 20 s after their leases have
// lapsed, although there is room. Agents are gone without a word beside an
// owner that is gone for good; the next owner waited for all that the lost one
// could grant if both were only cut off.
TEST_P(LostTogetherTest, TasksRunAgainSoon) {
  constexpr uint32_t kTasks = 12;
  constexpr int kPhases = 6;
  constexpr milliseconds kPhaseStep{90};
  const auto& param = GetParam();
  for (int phase = 0; phase < kPhases; ++phase) {
    SimulatedCluster cluster(
        Options(param.agents, static_cast<uint64_t>(phase) + 1));
    cluster.RunFor(seconds(4));
    cluster.SubmitLongRunning(kTasks);
    cluster.RunFor(seconds(4) + phase * kPhaseStep);
    ASSERT_EQ(Running(cluster), kTasks);
    const TimePoint lost_at = cluster.time().now() + seconds(3);
    TimePoint last_loss = lost_at;
    const auto remove_owner = [&cluster]() -> void {
      if (cluster.Owner() >= 0) {
        cluster.RemoveEntry(cluster.Owner());
      }
    };
    cluster.time().At(lost_at, remove_owner);
    for (const auto next : param.next_owners_lost_at) {
      cluster.time().At(lost_at + next, remove_owner);
      last_loss = std::max(last_loss, lost_at + next);
    }
    int agent = 0;
    for (const auto gone_at : param.agents_gone_at) {
      cluster.time().At(lost_at + gone_at, [&cluster, agent]() -> void {
        cluster.KillAgent(agent, minutes(10));
      });
      last_loss = std::max(last_loss, lost_at + gone_at);
      ++agent;
    }
    cluster.RunFor(last_loss + kMaxDownTime - cluster.time().now());
    // Runs that end by themselves are restarted within a moment.
    for (int step = 0; step < 50 && Running(cluster) < kTasks; ++step) {
      cluster.RunFor(kStep);
    }
    EXPECT_EQ(Running(cluster), kTasks) << "phase " << phase;
    cluster.RunFor(seconds(30));
    for (const auto& problem : cluster.problems()) {
      ADD_FAILURE() << "phase " << phase << ": " << problem;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LostTogetherTest,
    testing::Values(
        LostTogetherCase{"one_of_four", 4, {milliseconds(-400)}, {}},
        LostTogetherCase{"four_of_ten",
                         10,
                         {milliseconds(-1750), milliseconds(-1150),
                          milliseconds(-1010), milliseconds(-680)},
                         {}},
        LostTogetherCase{"with_the_owner",
                         10,
                         {milliseconds(0), milliseconds(0), milliseconds(0)},
                         {}},
        LostTogetherCase{"between_two_owners",
                         10,
                         {milliseconds(600), milliseconds(1200)},
                         {}},
        LostTogetherCase{"before_two_owners",
                         10,
                         {milliseconds(-400), milliseconds(-400)},
                         {milliseconds(3000)}},
        LostTogetherCase{"before_three_owners",
                         10,
                         {milliseconds(-400), milliseconds(2500)},
                         {milliseconds(3000), milliseconds(6000)}}),
    [](const auto& info) { return info.param.name; });

struct CrossingCase {
  std::string name;
  // Agents that are cut off with the owner, out of seven.
  int inside = 3;
  // When an agent from outside is restarted inside, after the cut.
  milliseconds crosses_at{0};
  milliseconds down{0};
};

class CrossingTest : public testing::TestWithParam<CrossingCase> {};

// Guards against tasks that run in two places. An agent follows a new owner,
// restarts, and can then only reach the owner that is cut off: its next process
// does not remember the new one. Counted, it would complete a majority. With
// two more agents inside, the owner there keeps a majority without it.
TEST_P(CrossingTest, RestartedAgentDoesNotCompleteAMajority) {
  constexpr int kAgents = 7;
  constexpr int kPhases = 6;
  constexpr milliseconds kPhaseStep{140};
  const auto& param = GetParam();
  for (int phase = 0; phase < kPhases; ++phase) {
    SimulatedCluster cluster(
        Options(kAgents, static_cast<uint64_t>(phase) + 1));
    cluster.RunFor(seconds(4));
    cluster.SubmitLongRunning(2 * kAgents);
    cluster.RunFor(seconds(4) + phase * kPhaseStep);
    const int owner = cluster.Owner();
    ASSERT_GE(owner, 0);
    std::set<int> inside;
    for (int agent = 0; agent < param.inside; ++agent) {
      inside.insert(agent);
    }
    cluster.Isolate({owner}, inside, kCut);
    const int crossing = param.inside;
    cluster.time().After(
        param.crosses_at, [&cluster, &param, owner, crossing]() -> void {
          cluster.KillAgent(crossing, param.down);
          for (int entry = 0; entry < cluster.entries(); ++entry) {
            cluster.CutLink(entry, crossing,
                            entry == owner ? Duration(0) : Duration(kCut));
          }
        });
    cluster.RunFor(kCut + seconds(40));
    EXPECT_GE(cluster.Owner(), 0);
    for (const auto& problem : cluster.problems()) {
      ADD_FAILURE() << "phase " << phase << ": " << problem;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CrossingTest,
    testing::Values(
        CrossingCase{"as_the_next_owner_begins", 3, milliseconds(2200),
                     milliseconds(100)},
        CrossingCase{"soon_after", 3, milliseconds(3000), milliseconds(100)},
        CrossingCase{"after_a_while", 3, milliseconds(4500), milliseconds(500)},
        CrossingCase{"two_more_inside", 5, milliseconds(2500),
                     milliseconds(100)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

// Explores random orders of events and faults in virtual time, with
// long-running tasks and workers that are added and removed.
//
// Checks that no long-running task stays down although a worker has room for
// it, and that none runs in two places. Agents are added long after the claim
// of the owner, are removed permanently, or are frozen for so long that the
// owner forgets them and they register again, also while the log is unreachable
// and owners change. Room is tight, so that the added workers are needed.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <tuple>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Agents are frozen for about this long: owners forget an agent after some 6 s.
// The value is a constant of the test because taking it from the options of the
// owner changed the sequences of all seeds with each change of these options.
constexpr seconds kForgetAfter{6};
// The same value when the regression seeds showed their faults.
constexpr seconds kForgetAfterOfRegressions{12};
// A lease that was granted to an agent this long ago has expired.
constexpr seconds kLeaseExpiry{7};
constexpr int kRounds = 14;
constexpr int kLongRunningRounds = 3;
constexpr std::ptrdiff_t kMinAgents = 2;
constexpr std::size_t kMaxAgents = 5;
constexpr std::size_t kTasksPerWorker =
    VirtualWorker::kMillicores / SimulatedCluster::kTaskMillicores;

enum : int64_t {
  kRemoveUnplanned = kLastCommonFault + 1,
  kRemovePlanned,
  kDrain,
  kAdd,
  kLongFreeze,
  kLongFreezeWithoutLog,
  kFreezeIntoOutage,
  kStopOwner,
  kFaults,
};

auto FreezeForLong(SimulatedCluster& cluster,
                   int agent,
                   milliseconds forget_after) -> milliseconds {
  const milliseconds span =
      forget_after + cluster.time().Milliseconds(-500, 6000);
  cluster.FreezeAgent(agent, span);
  return span;
}

// The agent is forgotten and registers again while the log is unreachable, so
// that the records that its owner and the agent itself then append are stored
// in any order.
auto FreezeIntoOutage(SimulatedCluster& cluster,
                      int agent,
                      milliseconds forget_after) -> void {
  auto& time = cluster.time();
  cluster.FreezeAgent(agent, forget_after + time.Milliseconds(300, 1000));
  time.After(forget_after - milliseconds(1000), [&cluster]() -> void {
    cluster.log().SetMode(VirtualLog::Mode::kRejects);
  });
  time.After(forget_after + time.Milliseconds(5000, 9000),
             [&cluster]() -> void {
               cluster.log().SetMode(VirtualLog::Mode::kServes);
             });
}

auto InjectFault(SimulatedCluster& cluster, milliseconds forget_after) -> void {
  auto& time = cluster.time();
  const auto agents = cluster.Agents();
  const auto pick = time.Pick(0, static_cast<int64_t>(agents.size()) - 1);
  const int agent = agents[static_cast<std::size_t>(pick)];
  const auto entry = static_cast<int>(time.Pick(0, cluster.entries() - 1));
  const FaultTarget target{entry, agent, time.Milliseconds(300, 9000)};
  const auto fault = time.Pick(0, kFaults - 1);
  cluster.RecordFault();
  if (fault <= kLastCommonFault) {
    ApplyFault(cluster, fault, target);
    return;
  }
  const auto staying = std::count_if(
      agents.begin(), agents.end(), [&cluster](int number) -> bool {
        return !cluster.worker(number).draining();
      });
  const bool removable = staying > kMinAgents;
  cluster.Trace("SCALE " + std::to_string(fault) + " agent " +
                std::to_string(agent));
  switch (fault) {
    case kRemoveUnplanned:
    case kRemovePlanned:
      if (removable) {
        cluster.RemoveAgent(agent, fault == kRemovePlanned);
      }
      break;
    case kDrain:
      if (removable) {
        cluster.worker(agent).SetDraining(true);
        time.After(time.Milliseconds(500, 4000), [&cluster, agent]() -> void {
          cluster.RecordFault();
          if (cluster.Agents().size() > 1) {
            cluster.RemoveAgent(agent, true);
          } else {
            // The other agents have been removed in the meantime.
            cluster.worker(agent).SetDraining(false);
          }
        });
      }
      break;
    case kAdd:
      if (agents.size() < kMaxAgents) {
        cluster.AddAgent();
      }
      break;
    case kLongFreeze:
      FreezeForLong(cluster, agent, forget_after);
      break;
    case kFreezeIntoOutage:
      FreezeIntoOutage(cluster, agent, forget_after);
      break;
    case kStopOwner:
      cluster.StopEntry(std::max(cluster.Owner(), 0));
      break;
    default: {
      const auto span = FreezeForLong(cluster, agent, forget_after);
      cluster.log().SetMode(VirtualLog::Mode::kRejects);
      time.After(span + time.Milliseconds(-1000, 1000), [&cluster]() -> void {
        cluster.log().SetMode(VirtualLog::Mode::kServes);
      });
    }
  }
}

auto RunRound(SimulatedCluster& cluster, int round, milliseconds forget_after)
    -> void {
  auto& time = cluster.time();
  if (round < kLongRunningRounds) {
    cluster.SubmitLongRunning(static_cast<uint32_t>(time.Pick(2, 4)));
  } else if (time.Chance(0.5)) {
    cluster.Submit({static_cast<uint32_t>(time.Pick(1, 3)),
                    static_cast<uint32_t>(time.Pick(1, 2))});
  }
  const auto long_running_jobs = cluster.long_running_jobs();
  if (long_running_jobs.size() > 1 && time.Chance(0.1)) {
    cluster.Cancel(long_running_jobs.front());
  }
  InjectFault(cluster, forget_after);
  if (time.Chance(0.5)) {
    InjectFault(cluster, forget_after);
  }
  cluster.RunFor(time.Milliseconds(200, 4000));
  if (time.Chance(0.4)) {
    cluster.HealAll();
  }
  if (time.Chance(0.2)) {
    cluster.HealAll();
    cluster.RunFor(time.Milliseconds(15000, 30000));
  }
}

// Seeds that once showed a fault are listed below, with their causes.
class LastingExplorerTest
    : public testing::TestWithParam<std::tuple<seconds, uint64_t>> {};

TEST_P(LastingExplorerTest, LongRunningTasksRestartAndNeverRunTwice) {
  const auto [forget_after, seed] = GetParam();
  SimulatedClusterOptions options;
  options.seed = seed;
  options.failing_runs = 0.1;
  options.paced_registration = true;
  options.keep_order = true;
  options.check_long_running = true;
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  for (int round = 0; round < kRounds; ++round) {
    RunRound(cluster, round, forget_after);
  }
  cluster.HealAll();
  cluster.RunFor(seconds(45));
  // The owner has been active for long. Without these agents there would be no
  // room for all long-running tasks with one worker to spare.
  while ((cluster.Agents().size() - 1) * kTasksPerWorker <
         cluster.long_running_tasks()) {
    cluster.AddAgent();
  }
  cluster.RunFor(seconds(45));
  cluster.CheckCompleted();
  cluster.CheckJobs();
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(cluster.Owner(), 0);
  EXPECT_FALSE(cluster.accepted().empty());
}

// Guards against a task that runs in two places. An agent is frozen until its
// owner has forgotten it and registers again while the log is unreachable; the
// log returns, the agent is given tasks, and the owner changes. The record with
// which the owner removes the agent was stored after the registration of the
// agent, so the next owner did not find the agent in the log and its
// reconciliation did not wait for it.
class ForgottenAgentTest : public testing::TestWithParam<uint64_t> {};

TEST_P(ForgottenAgentTest, RunsAreNotStartedElsewhereByTheNextOwner) {
  SimulatedClusterOptions options;
  options.seed = GetParam();
  options.paced_registration = true;
  options.keep_order = true;
  options.check_long_running = true;
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  cluster.SubmitLongRunning(10);
  cluster.RunFor(seconds(2));
  cluster.RecordFault();
  FreezeIntoOutage(cluster, 0, kForgetAfter);
  cluster.RunFor(seconds(42));
  // Its tasks need the room of the agent that was forgotten.
  cluster.RecordFault();
  cluster.worker(1).Crash();
  cluster.RunFor(seconds(10));
  cluster.StopEntry(std::max(cluster.Owner(), 0));
  cluster.RunFor(seconds(30));
  cluster.CheckJobs();
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

// The same with two more owners, the first of which never received a report of
// the agent.
TEST(RemovedAgentTest, DoesNotDelayOwnersAfterTheNext) {
  SimulatedClusterOptions options;
  options.check_long_running = true;
  options.allow_reconciliation = false;
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  cluster.SubmitLongRunning(6);
  cluster.RunFor(seconds(2));
  cluster.RemoveAgent(0, /*planned=*/false);
  // An owner that is cut off from the log is replaced, and may go on.
  for (const auto span : {seconds(8), seconds(4)}) {
    const auto owner = "entry-" + std::to_string(std::max(cluster.Owner(), 0));
    cluster.log().SetModeFor(owner, VirtualLog::Mode::kRejects);
    cluster.RunFor(span);
    cluster.log().SetModeFor(owner, VirtualLog::Mode::kServes);
  }
  cluster.RunFor(seconds(20));
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ForgottenAgentTest, ExplorerSeeds(8));

INSTANTIATE_TEST_SUITE_P(Seeds,
                         LastingExplorerTest,
                         testing::Combine(testing::Values(kForgetAfter),
                                          ExplorerSeeds(60)));

// Regression seeds, which once showed a fault. A seed draws its events during
// the run, so each change of the product changes its sequence. The directed
// tests of this folder reproduce the sequences themselves.
INSTANTIATE_TEST_SUITE_P(
    Regressions,
    LastingExplorerTest,
    testing::Combine(
        testing::Values(kForgetAfter, kForgetAfterOfRegressions),
        testing::Values<uint64_t>(
            // A worker quarantined after three failures got no run until
            // something else happened, because its scheduled retry was replaced
            // by an earlier one.
            133,
            501,
            // The runs of a removed agent were declared lost only when leases
            // of the previous owner had expired, although the agent had
            // answered the new owner.
            905,
            959,
            // An agent that registered again was removed from the log
            // afterwards, so the reconciliation of the next owner did not wait
            // for it.
            77,
            220,
            // A new owner granted leases to an agent that had not listed its
            // runs, and its reconciliation ended while these leases were valid.
            874,
            // Starts in progress on a worker that did not answer for a moment
            // were declared lost when its lease had expired, and were carried
            // out later.
            1383,
            // Agents whose leases had expired long before were still members,
            // and the reconciliation of the next owner waited for them.
            1707,
            // An agent was used again before its owner had read that it had
            // removed the registration of the agent, in a record stored after
            // the new registration.
            60126)));

// Guards against long-running tasks that stay down for about 20 s although
// workers have room. An agent and its worker are removed permanently; the lease
// that the owner granted to them expires; then the owner changes. The agent was
// still a member, and the next owner waited until the agent could hold no lease
// of the previous owner.
TEST(RemovedAgentTest, DoesNotDelayLaterOwner) {
  SimulatedClusterOptions options;
  options.check_long_running = true;
  options.allow_reconciliation = false;
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  cluster.SubmitLongRunning(6);
  cluster.RunFor(seconds(2));
  cluster.RemoveAgent(0, /*planned=*/false);
  cluster.RunFor(kLeaseExpiry);
  cluster.KillEntry(std::max(cluster.Owner(), 0), milliseconds(1000));
  // Falls between the two owners, so that the next one does not know whether
  // the tasks of this worker run at the removed one.
  cluster.RunFor(milliseconds(500));
  cluster.worker(1).Crash();
  cluster.RunFor(seconds(20));
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

}  // namespace
}  // namespace rhubarbhaven::jobs

// Tasks of a worker that does not answer its agent while the agent still
// follows its owner. The events have fixed times, so that each test keeps its
// sequence when other code changes.

#include <gtest/gtest.h>

#include <string>
#include <tuple>

#include "Tests/Jobs/simulated_cluster.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Before this time, an earlier process of the agent may have renewed the lease
// of the worker, for 10 s at most.
constexpr seconds kEarlierLeaseExpiry{12};
constexpr uint32_t kTasks = 6;
constexpr int kUnresponsiveWorker = 0;

auto Options() -> SimulatedClusterOptions {
  SimulatedClusterOptions options;
  options.paced_registration = true;
  options.keep_order = true;
  options.check_long_running = true;
  return options;
}

auto ExpectNoProblems(const SimulatedCluster& cluster) -> void {
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
}

// When the tasks are submitted after the worker became unresponsive, and how
// long it stays so: about the length of its lease.
using UnresponsiveCase = std::tuple<milliseconds, milliseconds>;

class UnresponsiveWorkerTest : public testing::TestWithParam<UnresponsiveCase> {
};

// Guards against a task that runs in two places. A worker becomes unresponsive;
// the owner does not know it yet and starts tasks there; the calls get no
// answer and are repeated; the lease of the worker expires and its agent
// reports it; the worker answers again while a call is in progress. The owner
// declared the starts without a result lost together with the lease and placed
// their tasks elsewhere, but the agent repeated the call under a new lease and
// the worker carried it out.
TEST_P(UnresponsiveWorkerTest, StartsWithoutAResultRunInOnePlace) {
  SimulatedCluster cluster(Options());
  cluster.RunFor(kEarlierLeaseExpiry);
  const auto [submit_after, span] = GetParam();
  cluster.worker(kUnresponsiveWorker).SetUnresponsive(true);
  cluster.RunFor(submit_after);
  cluster.SubmitLongRunning(kTasks);
  cluster.RunFor(span - submit_after);
  cluster.worker(kUnresponsiveWorker).SetUnresponsive(false);
  cluster.RunFor(seconds(30));
  cluster.CheckJobs();
  ExpectNoProblems(cluster);
}

INSTANTIATE_TEST_SUITE_P(
    Spans,
    UnresponsiveWorkerTest,
    testing::Combine(
        testing::Range(milliseconds(0), milliseconds(600), milliseconds(60)),
        testing::Range(milliseconds(5000),
                       milliseconds(6500),
                       milliseconds(100))),
    [](const auto& info) {
      return std::to_string(std::get<0>(info.param).count()) + "_" +
             std::to_string(std::get<1>(info.param).count()) + "ms";
    });

// Guards against long-running tasks that stay down as long as their worker is
// unresponsive, with room for them elsewhere. A worker becomes unresponsive;
// the owner does not know it yet and starts tasks there. Each repeat of a start
// carried a later deadline, so the agent could never be sure that the lease of
// the worker had expired.
TEST(SilentWorkerTest, ItsTasksRunElsewhereOnceItsLeaseIsOver) {
  SimulatedCluster cluster(Options());
  cluster.RunFor(kEarlierLeaseExpiry);
  cluster.worker(kUnresponsiveWorker).SetUnresponsive(true);
  const std::string job = cluster.SubmitLongRunning(kTasks);
  // A lease of 5 s with its margins, and 6 s within which a lost task has to
  // run again.
  cluster.RunFor(seconds(12));
  for (uint32_t index = 0; index < kTasks; ++index) {
    const auto task = job + ".0.0." + std::to_string(index);
    bool runs = false;
    for (const int number : cluster.Agents()) {
      runs = runs || (number != kUnresponsiveWorker &&
                      cluster.worker(number).Runs(task));
    }
    EXPECT_TRUE(runs) << task;
  }
  ExpectNoProblems(cluster);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

// Owners whose orders reach the agents late, or who decide on an outdated copy
// of the log, while jobs are cancelled at other entries.
//
// Checks that no task starts longer after the acknowledgement of its job's
// cancel than the platform allows. The owner is at fault, but its agents are
// not, so nothing excuses a late start.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 4;
constexpr int kAgents = 6;
constexpr int kSeedsPerCase = 12;
constexpr int kJobs = 10;
constexpr uint32_t kTasksPerJob = 6;
constexpr uint32_t kTasksOfWideJob = 80;
// The shortest time in which a platform requires a cancel to take effect.
constexpr milliseconds kCancelEffectiveWithin{3000};
constexpr seconds kFaultDuration{7};

enum class OwnerLog {
  kServes,
  kReadsUnanswered,
  // Reads and appends are unanswered, at this owner alone.
  kUnanswered,
};

struct LateOrdersCase {
  std::string name;
  // How much later the owner's orders are delivered.
  milliseconds delay{0};
  // Time that the owner needs for each event.
  milliseconds per_event{0};
  OwnerLog log = OwnerLog::kServes;
  // Whether the agents hear nothing from the other entries, one of which takes
  // over.
  bool successors_cut = false;
  // How long each second the agents' calls to the log are refused.
  milliseconds agents_refused{0};
};

class LateOrdersTest : public testing::TestWithParam<LateOrdersCase> {
 protected:
  // One run, with the counts that show that it was worth anything.
  struct Outcome {
    std::vector<std::string> late_starts;
    std::size_t cancelled = 0;
    int starts = 0;
  };

  static auto RunCase(const LateOrdersCase& late, uint64_t seed) -> Outcome {
    Outcome outcome;
    std::map<std::string, TimePoint> acknowledged;
    SimulatedCluster* running = nullptr;
    SimulatedClusterOptions options;
    options.seed = seed;
    options.entries = kEntries;
    options.agents = kAgents;
    options.failing_runs = 0.3;
    options.paced_registration = true;
    options.keep_order = true;
    options.on_start = [&](const TaskName& task) -> void {
      const auto found = acknowledged.find(task.job());
      const auto now = running->time().now();
      if (found != acknowledged.end() &&
          now - found->second > kCancelEffectiveWithin) {
        outcome.late_starts.push_back(DescribeTask(task) + " starts " +
                                      InMilliseconds(now - found->second) +
                                      " ms after its cancel");
      }
    };
    SimulatedCluster cluster(options);
    running = &cluster;
    cluster.RunFor(seconds(4));
    const int owner = cluster.Owner();
    // Its tasks do not fit all at once, so more of them start whenever one
    // ends.
    const auto wide = cluster.Submit({kTasksOfWideJob});
    cluster.RunFor(cluster.time().Milliseconds(100, 300));
    Break(cluster, late, owner);
    cluster.RunFor(cluster.time().Milliseconds(0, 300));
    CancelAt(cluster, (owner + 1) % kEntries, wide, &acknowledged);
    const auto uncancelled = cluster.Submit({kTasksPerJob});
    for (int job = 0; job < kJobs; ++job) {
      const auto id = job % 2 == 0 ? cluster.Submit({kTasksPerJob})
                                   : cluster.SubmitLongRunning(kTasksPerJob);
      cluster.RunFor(cluster.time().Milliseconds(50, 600));
      CancelAt(cluster, (owner + 1) % kEntries, id, &acknowledged);
    }
    cluster.RunFor(kFaultDuration);
    cluster.HealAll();
    cluster.RunFor(seconds(20));
    outcome.cancelled = acknowledged.size();
    outcome.starts = cluster.starts();
    EXPECT_GE(cluster.Owner(), 0);
    EXPECT_EQ(cluster.StateOf(0, uncancelled), JOB_COMPLETED);
    for (const auto& problem : cluster.problems()) {
      ADD_FAILURE() << "seed " << seed << ": " << problem;
    }
    return outcome;
  }

 private:
  static auto Break(SimulatedCluster& cluster,
                    const LateOrdersCase& late,
                    int owner) -> void {
    const std::string client = "entry-" + std::to_string(owner);
    if (late.log == OwnerLog::kReadsUnanswered) {
      cluster.log().SetModeFor(client, VirtualLog::Mode::kReadsUnanswered);
    } else if (late.log == OwnerLog::kUnanswered) {
      cluster.log().SetModeFor(client, VirtualLog::Mode::kUnresponsive);
    }
    if (late.agents_refused > milliseconds(0)) {
      RefuseAgents(cluster, late.agents_refused);
    }
    if (late.per_event > milliseconds(0)) {
      cluster.SlowEntry(owner, late.per_event, kFaultDuration);
    }
    for (const int agent : cluster.Agents()) {
      cluster.DelayOrders(owner, agent, late.delay, kFaultDuration);
      for (int entry = 0; entry < kEntries; ++entry) {
        if (late.successors_cut && entry != owner) {
          cluster.CutLink(entry, agent, kFaultDuration);
        }
      }
    }
  }

  static auto RefuseAgents(SimulatedCluster& cluster, milliseconds span)
      -> void {
    for (const int agent : cluster.Agents()) {
      const std::string name = "agent-" + std::to_string(agent);
      for (seconds from{0}; from < kFaultDuration; ++from) {
        const auto set = [&cluster, name](VirtualLog::Mode mode) {
          return
              [&cluster, name, mode] { cluster.log().SetModeFor(name, mode); };
        };
        cluster.time().After(from, set(VirtualLog::Mode::kRejects));
        cluster.time().After(from + span, set(VirtualLog::Mode::kServes));
      }
    }
  }

  static auto CancelAt(SimulatedCluster& cluster,
                       int entry,
                       const std::string& job,
                       std::map<std::string, TimePoint>* acknowledged) -> void {
    cluster.CallAt(entry, JobCallKind::kCancel, job,
                   [&cluster, job, acknowledged](const JobReply& reply) {
                     if (reply.verdict == JobVerdict::kCancelled) {
                       acknowledged->emplace(job, cluster.time().now());
                     }
                   });
  }
};

// Guards against a task that starts after its job's cancel was acknowledged,
// since its order, or the owner's knowledge on which it rests, is outdated.
TEST_P(LateOrdersTest, NothingStartsLongAfterItsCancel) {
  std::size_t cancelled = 0;
  int starts = 0;
  for (uint64_t seed = 1; seed <= kSeedsPerCase; ++seed) {
    const auto outcome = RunCase(GetParam(), seed);
    cancelled += outcome.cancelled;
    starts += outcome.starts;
    for (const auto& start : outcome.late_starts) {
      ADD_FAILURE() << "seed " << seed << ": " << start;
    }
  }
  EXPECT_GT(cancelled, static_cast<std::size_t>(kSeedsPerCase * kJobs / 2));
  EXPECT_GT(starts, kSeedsPerCase * static_cast<int>(kTasksPerJob));
}

struct LateOwnerCase {
  std::string name;
  milliseconds delay{0};
};

class LateOwnerTest : public testing::TestWithParam<LateOwnerCase> {};

// Guards against a job that has nothing running for as long as its owner's
// orders are late, since all of them are rejected.
TEST_P(LateOwnerTest, JobIsDoneAlthoughOrdersAreLate) {
  SimulatedClusterOptions options;
  options.entries = kEntries;
  options.agents = kAgents;
  options.paced_registration = true;
  options.keep_order = true;
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  const int owner = cluster.Owner();
  for (const int agent : cluster.Agents()) {
    cluster.DelayOrders(owner, agent, GetParam().delay, seconds(60));
  }
  const auto job = cluster.Submit({kTasksPerJob});
  cluster.RunFor(seconds(40));
  EXPECT_EQ(cluster.Owner(), owner);
  EXPECT_EQ(cluster.StateOf(0, job), JOB_COMPLETED);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LateOwnerTest,
    testing::Values(LateOwnerCase{"by_2000ms", milliseconds(2000)},
                    LateOwnerCase{"by_3500ms", milliseconds(3500)}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    Table,
    LateOrdersTest,
    testing::Values(
        LateOrdersCase{"orders_late_by_1000ms", milliseconds(1000)},
        LateOrdersCase{"orders_late_by_2500ms", milliseconds(2500)},
        LateOrdersCase{"orders_late_by_3500ms", milliseconds(3500)},
        LateOrdersCase{"orders_late_by_4500ms", milliseconds(4500)},
        LateOrdersCase{"owner_slow", milliseconds(0), milliseconds(25)},
        LateOrdersCase{"owner_slow_and_orders_late", milliseconds(2500),
                       milliseconds(10)},
        LateOrdersCase{"owner_does_not_read", milliseconds(0), milliseconds(0),
                       OwnerLog::kReadsUnanswered},
        LateOrdersCase{"owner_does_not_read_and_orders_late",
                       milliseconds(1200), milliseconds(0),
                       OwnerLog::kReadsUnanswered},
        LateOrdersCase{"replaced_owner_does_not_read_and_agents_hear_no_other",
                       milliseconds(0), milliseconds(0),
                       OwnerLog::kReadsUnanswered, true},
        LateOrdersCase{"owner_alone_cut_off_from_the_log", milliseconds(0),
                       milliseconds(0), OwnerLog::kUnanswered},
        LateOrdersCase{
            "owner_alone_cut_off_from_the_log_and_agents_hear_no_other",
            milliseconds(0), milliseconds(0), OwnerLog::kUnanswered, true},
        LateOrdersCase{"owner_alone_cut_off_and_agents_refused_now_and_then",
                       milliseconds(0), milliseconds(0), OwnerLog::kUnanswered,
                       true, milliseconds(100)},
        LateOrdersCase{"orders_late_by_3500ms_and_agents_without_log",
                       milliseconds(3500), milliseconds(0), OwnerLog::kServes,
                       false, milliseconds(1000)},
        LateOrdersCase{"orders_late_by_2500ms_and_agents_without_log",
                       milliseconds(2500), milliseconds(0), OwnerLog::kServes,
                       false, milliseconds(1000)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

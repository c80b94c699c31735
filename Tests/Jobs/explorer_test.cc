// Explores random orders of events and faults in virtual time.
//
// Checks that no task runs in two places or again after its end, and that every
// accepted job completes. The faults come in series and overlap: processes are
// killed and frozen, links are cut, the log is unreachable, slow, compacted or
// loses answers, and workers crash, do not answer, or carry out orders late.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::seconds;

auto InjectFault(SimulatedCluster& cluster,
                 const SimulatedClusterOptions& options) -> void {
  auto& time = cluster.time();
  const auto entry = static_cast<int>(time.Pick(0, options.entries - 1));
  const auto agent = static_cast<int>(time.Pick(0, options.agents - 1));
  const auto span = time.Milliseconds(300, 9000);
  const auto fault = time.Pick(0, kLastCommonFault);
  ApplyFault(cluster, fault, {entry, agent, span});
}

// Seeds that once showed a fault are listed below, with their causes.
class ExplorerTest : public testing::TestWithParam<uint64_t> {};

TEST_P(ExplorerTest, EveryJobRunsOnceWhateverFails) {
  SimulatedClusterOptions options;
  options.seed = GetParam();
  options.failing_runs = 0.1;
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  for (int round = 0; round < 12; ++round) {
    cluster.Submit({static_cast<uint32_t>(cluster.time().Pick(1, 5)),
                    static_cast<uint32_t>(cluster.time().Pick(1, 4))});
    InjectFault(cluster, options);
    if (cluster.time().Chance(0.5)) {
      InjectFault(cluster, options);
    }
    cluster.RunFor(cluster.time().Milliseconds(200, 4000));
    if (cluster.time().Chance(0.4)) {
      cluster.HealAll();
    }
  }
  cluster.HealAll();
  cluster.RunFor(seconds(90));
  cluster.CheckCompleted();
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(cluster.Owner(), 0);
  EXPECT_FALSE(cluster.accepted().empty());
  for (const auto& job : cluster.accepted()) {
    for (int entry = 0; entry < options.entries; ++entry) {
      EXPECT_EQ(cluster.StateOf(entry, job), JOB_COMPLETED)
          << "entry " << entry << " job " << job;
    }
  }
}

// A record of another writer, besides those of entries and agents.
auto ForeignRecord(SimulatedCluster& cluster) -> KeyedRecord {
  auto& time = cluster.time();
  const std::string name = "ghost-" + std::to_string(time.Pick(0, 5));
  AgentEntry entry;
  entry.set_name(time.Chance(0.5) ? name : "agent-0");
  entry.set_link_endpoint(entry.name() == name ? "" : "nowhere");
  WorkerEnds ends;
  ends.set_worker_id("agent-0-life-1");
  ends.set_last_end(1000);
  const std::string job =
      cluster.accepted().empty() ? name : *cluster.accepted().begin();
  switch (time.Pick(0, 5)) {
    case 0:
      return MakeRecord(RecordKind::kAgent, name, entry);
    case 1:
      return {MakeKey(RecordKind::kAgent, name), "\xff\xff", 0};
    case 2:
      return MakeRecord(RecordKind::kWorkerEnds, name, ends);
    case 3:
      return {MakeKey(RecordKind::kCancellation, job), "no", 0};
    case 4:
      return {MakeKey(RecordKind::kClaim, name), "\x0a\x01x\x18\x7f", 0};
    default:
      return {"z/" + name, "text", 0};
  }
}

// Checks the same, and that no record of another writer delays or cancels a
// job.
class StrangeRecordsTest : public testing::TestWithParam<uint64_t> {};

TEST_P(StrangeRecordsTest, EveryJobRunsOnceBesideAnotherWriter) {
  SimulatedClusterOptions options;
  options.seed = GetParam();
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  for (int round = 0; round < 8; ++round) {
    cluster.Submit({static_cast<uint32_t>(cluster.time().Pick(1, 5)), 2});
    for (int record = 0; record < 4; ++record) {
      cluster.log().Put(LogTopic::kJobs, ForeignRecord(cluster));
      cluster.RunFor(cluster.time().Milliseconds(20, 300));
    }
    InjectFault(cluster, options);
    cluster.RunFor(cluster.time().Milliseconds(200, 4000));
    cluster.HealAll();
  }
  cluster.RunFor(seconds(60));
  cluster.CheckCompleted();
  for (const auto& problem : cluster.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(cluster.Owner(), 0);
  EXPECT_FALSE(cluster.accepted().empty());
  for (const auto& job : cluster.accepted()) {
    for (int entry = 0; entry < options.entries; ++entry) {
      EXPECT_EQ(cluster.StateOf(entry, job), JOB_COMPLETED)
          << "entry " << entry << " job " << job;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         StrangeRecordsTest,
                         testing::Range<uint64_t>(1, 31));

struct ServicesCase {
  std::string name;
  // Services that the configuration lists; the queue and the workers use
  // "service".
  std::vector<std::string> services;
  bool completes = false;
};

class ServicesTest : public testing::TestWithParam<ServicesCase> {};

// Guards against a task that runs on a worker whose service the configuration
// does not list. Only the service names of the queue and the worker were
// compared.
TEST_P(ServicesTest, OnlyWorkersOfNamedServicesAreUsed) {
  SimulatedClusterOptions options;
  options.services = GetParam().services;
  SimulatedCluster cluster(options);
  cluster.RunFor(seconds(4));
  const auto job = cluster.Submit({2});
  cluster.RunFor(seconds(20));
  ASSERT_TRUE(cluster.accepted().contains(job));
  EXPECT_EQ(cluster.StateOf(0, job),
            GetParam().completes ? JOB_COMPLETED : JOB_QUEUED);
  EXPECT_EQ(cluster.starts() > 0, GetParam().completes);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ServicesTest,
    testing::Values(ServicesCase{"named", {"other", "service"}, true},
                    ServicesCase{"not_named", {"other"}, false},
                    // A configuration without a list does not restrict the
                    // services.
                    ServicesCase{"no_list", {}, true},
                    ServicesCase{"list_without_names", {""}, true}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(Seeds, ExplorerTest, ExplorerSeeds(150));

// Regression seeds, which once showed a fault.
INSTANTIATE_TEST_SUITE_P(
    Regressions,
    ExplorerTest,
    testing::Values(
        // An agent that had received no heartbeat of its worker named no
        // worker, and the owner declared its runs lost.
        12,
        14,
        29,
        // An entry rejected all calls for good after the log had rejected one
        // append.
        166,
        // An entry became the owner on a fold that lacked records.
        327,
        754,
        764,
        // A restarted agent rejected a start that had been carried out.
        1000,
        // An old listing of an unresponsive worker was reported again after its
        // runs had been declared lost.
        3203));

}  // namespace
}  // namespace rhubarbhaven::jobs

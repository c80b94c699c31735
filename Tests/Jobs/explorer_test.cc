// Random orders of events and faults over virtual time.
//
// Symptom watched for: a task that runs in two places or again after its end,
// an accepted job that never completes. The faults come in series and overlap:
// processes killed and frozen, links cut, the log away, slow, forgetful or
// losing answers, workers crashed, silent, or carrying orders out late.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::seconds;

auto InjectFault(JobWorld& world, const JobWorldOptions& options) -> void {
  auto& time = world.time();
  const auto entry = static_cast<int>(time.Pick(0, options.entries - 1));
  const auto agent = static_cast<int>(time.Pick(0, options.agents - 1));
  const auto span = time.Milliseconds(300, 9000);
  const auto fault = time.Pick(0, kLastPlainFault);
  MakeFault(world, fault, {entry, agent, span});
}

// Seeds that once showed a fault come first, with their cause.
class ExplorerTest : public testing::TestWithParam<uint64_t> {};

TEST_P(ExplorerTest, EveryJobRunsOnceWhateverFails) {
  JobWorldOptions options;
  options.seed = GetParam();
  options.failing_runs = 0.1;
  JobWorld world(options);
  world.RunFor(seconds(4));
  for (int round = 0; round < 12; ++round) {
    world.Submit({static_cast<uint32_t>(world.time().Pick(1, 5)),
                  static_cast<uint32_t>(world.time().Pick(1, 4))});
    InjectFault(world, options);
    if (world.time().Chance(0.5)) {
      InjectFault(world, options);
    }
    world.RunFor(world.time().Milliseconds(200, 4000));
    if (world.time().Chance(0.4)) {
      world.HealAll();
    }
  }
  world.HealAll();
  world.RunFor(seconds(90));
  world.CheckCompleted();
  for (const auto& problem : world.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(world.Owner(), 0);
  EXPECT_FALSE(world.accepted().empty());
  for (const auto& job : world.accepted()) {
    for (int entry = 0; entry < options.entries; ++entry) {
      EXPECT_EQ(world.StateOf(entry, job), JOB_COMPLETED)
          << "entry " << entry << " job " << job;
    }
  }
}

// A record of another writer, beside those of entries and agents.
auto StrangeRecord(JobWorld& world) -> KeyedRecord {
  auto& time = world.time();
  const std::string name = "ghost-" + std::to_string(time.Pick(0, 5));
  AgentEntry entry;
  entry.set_name(time.Chance(0.5) ? name : "agent-0");
  entry.set_link_endpoint(entry.name() == name ? "" : "nowhere");
  WorkerEnds ends;
  ends.set_worker_id("agent-0-life-1");
  ends.set_last_end(1000);
  const std::string job =
      world.accepted().empty() ? name : *world.accepted().begin();
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

// Symptom watched for: as above, and a job that another writer's record holds
// up or cancels.
class StrangeRecordsTest : public testing::TestWithParam<uint64_t> {};

TEST_P(StrangeRecordsTest, EveryJobRunsOnceBesideAnotherWriter) {
  JobWorldOptions options;
  options.seed = GetParam();
  JobWorld world(options);
  world.RunFor(seconds(4));
  for (int round = 0; round < 8; ++round) {
    world.Submit({static_cast<uint32_t>(world.time().Pick(1, 5)), 2});
    for (int record = 0; record < 4; ++record) {
      world.log().Put(LogTopic::kJobs, StrangeRecord(world));
      world.RunFor(world.time().Milliseconds(20, 300));
    }
    InjectFault(world, options);
    world.RunFor(world.time().Milliseconds(200, 4000));
    world.HealAll();
  }
  world.RunFor(seconds(60));
  world.CheckCompleted();
  for (const auto& problem : world.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(world.Owner(), 0);
  EXPECT_FALSE(world.accepted().empty());
  for (const auto& job : world.accepted()) {
    for (int entry = 0; entry < options.entries; ++entry) {
      EXPECT_EQ(world.StateOf(entry, job), JOB_COMPLETED)
          << "entry " << entry << " job " << job;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         StrangeRecordsTest,
                         testing::Range<uint64_t>(1, 31));

struct ServicesCase {
  std::string name;
  // As the configuration lists them; the queue and the workers say "service".
  std::vector<std::string> services;
  bool completes = false;
};

class ServicesTest : public testing::TestWithParam<ServicesCase> {};

// Symptom: a task at a worker whose service the configuration does not name.
// Cause: only the names of the queue's service and the worker's were compared.
TEST_P(ServicesTest, OnlyWorkersOfNamedServicesAreUsed) {
  JobWorldOptions options;
  options.services = GetParam().services;
  JobWorld world(options);
  world.RunFor(seconds(4));
  const auto job = world.Submit({2});
  world.RunFor(seconds(20));
  ASSERT_TRUE(world.accepted().contains(job));
  EXPECT_EQ(world.StateOf(0, job),
            GetParam().completes ? JOB_COMPLETED : JOB_QUEUED);
  EXPECT_EQ(world.starts() > 0, GetParam().completes);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ServicesTest,
    testing::Values(ServicesCase{"named", {"other", "service"}, true},
                    ServicesCase{"not_named", {"other"}, false},
                    // A configuration that lists none says nothing of them.
                    ServicesCase{"no_list", {}, true},
                    ServicesCase{"list_without_names", {""}, true}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(Seeds, ExplorerTest, ExplorerSeeds(150));

// Seeds that once showed a fault.
INSTANTIATE_TEST_SUITE_P(
    Kept,
    ExplorerTest,
    testing::Values(
        // An agent without a worker's heartbeat named no worker, and the owner
        // took its runs for lost.
        12,
        14,
        29,
        // An entry refused callers for good after one refusal by the log.
        166,
        // An owner began on a fold that lacked records.
        327,
        754,
        764,
        // A restarted agent refused a start that had been carried out.
        1000,
        // A silent worker's old listing was told again after its runs had been
        // taken for lost.
        3203));

}  // namespace
}  // namespace rhubarbhaven::jobs

// The state of jobs as folded from the log's records.

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <functional>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr char kId[] = "0123456789abcdef";

auto JobRecord(uint64_t offset, const std::string& payload) -> KeyedRecord {
  Job job;
  job.set_id(kId);
  job.set_queue("queue");
  job.set_payload(payload);
  job.add_steps()->set_count(1);
  auto record = MakeRecord(RecordKind::kJob, kId, job);
  record.offset = offset;
  return record;
}

auto ProgressRecord(uint64_t offset, JobState state) -> KeyedRecord {
  JobProgress progress;
  progress.set_state(state);
  auto record = MakeRecord(RecordKind::kProgress, kId, progress);
  record.offset = offset;
  return record;
}

auto CancelRecord(uint64_t offset) -> KeyedRecord {
  auto record = MakeCancellation(kId);
  record.offset = offset;
  return record;
}

struct StateCase {
  std::string name;
  std::vector<KeyedRecord> records;
  JobState state = JOB_QUEUED;
};

class JobStateTest : public testing::TestWithParam<StateCase> {};

TEST_P(JobStateTest, FollowsFromTheRecords) {
  JobFold fold;
  for (const auto& record : GetParam().records) {
    fold.Apply(record);
  }
  ASSERT_NE(fold.Find(kId), nullptr);
  EXPECT_EQ(fold.Find(kId)->state(), GetParam().state);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    JobStateTest,
    testing::Values(
        StateCase{"accepted", {JobRecord(1, "a")}, JOB_QUEUED},
        StateCase{"running",
                  {JobRecord(1, "a"), ProgressRecord(2, JOB_RUNNING)},
                  JOB_RUNNING},
        StateCase{"completed_then_cancelled",
                  {JobRecord(1, "a"), ProgressRecord(2, JOB_COMPLETED),
                   CancelRecord(3)},
                  JOB_COMPLETED},
        StateCase{"cancelled_then_completed",
                  {JobRecord(1, "a"), CancelRecord(2),
                   ProgressRecord(3, JOB_COMPLETED)},
                  JOB_CANCELLED},
        // Pages of newest records come in the order of keys.
        StateCase{"progress_read_ahead_of_the_job",
                  {CancelRecord(5), JobRecord(1, "a")},
                  JOB_CANCELLED},
        StateCase{"older_progress_is_ignored",
                  {JobRecord(1, "a"), ProgressRecord(4, JOB_COMPLETED),
                   ProgressRecord(2, JOB_RUNNING)},
                  JOB_COMPLETED}),
    [](const auto& info) { return info.param.name; });

TEST(JobFoldTest, FirstRecordOfAnIdCounts) {
  JobFold fold;
  fold.Apply(JobRecord(1, "first"));
  fold.Apply(JobRecord(2, "second"));
  EXPECT_EQ(fold.Find(kId)->job.payload(), "first");
  EXPECT_EQ(fold.PendingIn("queue"), 1U);
}

TEST(JobFoldTest, DroppedJobIsGone) {
  JobFold fold;
  fold.Apply(JobRecord(1, "first"));
  fold.Apply({MakeKey(RecordKind::kJob, kId), "", 2});
  EXPECT_EQ(fold.Find(kId), nullptr);
}

TEST(JobFoldTest, UnknownKeysAreIgnored) {
  JobFold fold;
  EXPECT_EQ(fold.Apply({"x/strange", "value", 1}).kind, RecordKind::kUnknown);
  EXPECT_EQ(fold.Apply({"", "value", 2}).kind, RecordKind::kUnknown);
  // Not a message: the job stays unknown.
  fold.Apply({MakeKey(RecordKind::kJob, kId), "\xff\xff", 3});
  EXPECT_EQ(fold.Find(kId), nullptr);
}

constexpr char kOther[] = "fedcba9876543210";
constexpr char kAgent[] = "agent-0";
constexpr char kLife[] = "life-1";
constexpr char kEntry[] = "entry-0";
constexpr uint64_t kSeeds = 20000;

auto GoodJob() -> Job {
  Job job;
  job.set_id(kId);
  job.set_queue("queue");
  job.add_steps()->set_count(3);
  auto* second = job.add_steps();
  second->set_count(2);
  second->add_after(0);
  return job;
}

auto GoodProgress() -> JobProgress {
  JobProgress progress;
  progress.set_state(JOB_RUNNING);
  auto* occurrence = progress.add_occurrences();
  for (uint32_t number = 0; number < 2; ++number) {
    auto* step = occurrence->add_steps();
    step->set_number(number);
    step->set_done(std::string(1, number == 0 ? '\x05' : '\0'));
  }
  return progress;
}

auto GoodAgent() -> AgentEntry {
  AgentEntry entry;
  entry.set_name(kAgent);
  entry.set_link_endpoint("tcp://127.0.0.1:9000");
  entry.set_incarnation(7);
  return entry;
}

auto GoodEnds() -> WorkerEnds {
  WorkerEnds ends;
  ends.set_worker_id(kLife);
  ends.set_last_end(12);
  return ends;
}

auto GoodClaim() -> OwnerClaim {
  OwnerClaim claim;
  claim.set_owner(kEntry);
  claim.set_incarnation(3);
  claim.set_fence(4);
  return claim;
}

auto GoodPressures() -> LearnedPressures {
  LearnedPressures learned;
  auto* pressure = learned.add_pressures();
  pressure->set_serving_image("serving");
  pressure->set_filler_image("filler");
  pressure->set_pressure(5.0);
  return learned;
}

auto GoodGrants() -> AgentGrants {
  AgentGrants grants;
  grants.set_name(kAgent);
  grants.set_fence(3);
  return grants;
}

auto GoodResignation() -> OwnerResignation {
  OwnerResignation resignation;
  resignation.set_owner(kEntry);
  resignation.set_fence(2);
  return resignation;
}

// One good record of each kind.
auto GoodRecords() -> std::vector<KeyedRecord> {
  return {MakeRecord(RecordKind::kJob, kId, GoodJob()),
          MakeRecord(RecordKind::kProgress, kId, GoodProgress()),
          MakeRecord(RecordKind::kAgent, kAgent, GoodAgent()),
          MakeRecord(RecordKind::kAgentGrants, kAgent, GoodGrants()),
          MakeRecord(RecordKind::kWorkerEnds, kLife, GoodEnds()),
          MakeRecord(RecordKind::kClaim, "", GoodClaim()),
          MakeRecord(RecordKind::kResignation, kEntry, GoodResignation()),
          MakeRecord(RecordKind::kPressures, "", GoodPressures())};
}

// All that a fold says, as text.
auto Picture(const JobFold& fold) -> std::string {
  std::map<std::string, std::string> parts;
  for (const auto& [id, entry] : fold.jobs()) {
    parts["job " + id] = entry->job.ShortDebugString() + " / " +
                         entry->progress.ShortDebugString() + " / " +
                         (entry->cancelled_at ? "cancelled" : "");
  }
  for (const auto& [name, entry] : fold.agents()) {
    parts["agent " + name] = entry.ShortDebugString();
  }
  parts["granted"] = std::to_string(fold.granted_by(kAgent).value_or(0));
  parts["ends"] = std::to_string(fold.ends_logged(kLife));
  parts["resigned"] = std::to_string(fold.resigned_fence(kEntry));
  parts["claim"] = fold.claim().ShortDebugString();
  parts["pressures"] = fold.pressures().ShortDebugString();
  std::string text;
  for (const auto& [part, value] : parts) {
    absl::StrAppend(&text, part, ": ", value, "\n");
  }
  return text;
}

auto ApplyAll(JobFold* fold,
              uint64_t first_offset,
              std::vector<KeyedRecord> records) -> void {
  for (auto& record : records) {
    record.offset = first_offset++;
    fold->Apply(record);
  }
}

struct BadRecord {
  std::string name;
  KeyedRecord record;
};

template <typename Message>
auto Bad(const std::string& name,
         RecordKind kind,
         const std::string& key,
         Message message,
         const std::function<auto(Message*)->void>& change) -> BadRecord {
  change(&message);
  return {name, MakeRecord(kind, key, message)};
}

// A record whose last bytes are missing.
auto Cut(const std::string& name,
         RecordKind kind,
         const std::string& key,
         const google::protobuf::Message& message) -> BadRecord {
  auto record = MakeRecord(kind, key, message);
  record.value.pop_back();
  return {name, record};
}

auto BadBytes() -> std::vector<BadRecord> {
  std::vector<BadRecord> bad;
  const std::map<std::string, std::string> values = {
      {"garbage", "\xff\xff"},
      {"json", R"({"name":"agent-0","link_endpoint":"tcp://127.0.0.1:9000"})"},
      // The first field as a number.
      {"other_type", std::string("\x08\x01")}};
  const std::map<std::string, std::string> keys = {
      {"job", MakeKey(RecordKind::kJob, kId)},
      {"progress", MakeKey(RecordKind::kProgress, kId)},
      {"cancellation", MakeKey(RecordKind::kCancellation, kId)},
      {"agent", MakeKey(RecordKind::kAgent, kAgent)},
      {"ends", MakeKey(RecordKind::kWorkerEnds, kLife)},
      {"claim", MakeKey(RecordKind::kClaim)},
      {"pressures", MakeKey(RecordKind::kPressures)},
      {"unknown", "x/strange"}};
  for (const auto& [kind, key] : keys) {
    for (const auto& [name, value] : values) {
      // The first field of progress is a number, and 1 a state.
      if (kind != "progress" || name != "other_type") {
        bad.push_back({absl::StrCat(kind, "_", name), {key, value, 0}});
      }
    }
  }
  // Pressures of another type are unknown fields, that is, none at all.
  std::erase_if(bad, [](const BadRecord& record) -> bool {
    return record.name == "pressures_other_type";
  });
  return bad;
}

auto BadJobs() -> std::vector<BadRecord> {
  const auto job = [](const std::string& name, const std::string& key,
                      const std::function<auto(Job*)->void>& change) {
    return Bad<Job>("job_" + name, RecordKind::kJob, key, GoodJob(), change);
  };
  return {Cut("job_cut", RecordKind::kJob, kId, GoodJob()),
          job("without_id", kId, [](Job* job) { job->clear_id(); }),
          job("of_another_id", kId, [](Job* job) { job->set_id(kOther); }),
          job("under_another_key", kOther, [](Job*) {}),
          job("with_a_strange_id", "strange",
              [](Job* job) { job->set_id("strange"); }),
          job("without_steps", kId, [](Job* job) { job->clear_steps(); }),
          job("after_itself", kId,
              [](Job* job) { job->mutable_steps(1)->set_after(0, 1); }),
          job("after_no_step", kId,
              [](Job* job) { job->mutable_steps(1)->set_after(0, 900); }),
          job("without_tasks", kId,
              [](Job* job) { job->mutable_steps(0)->set_count(0); }),
          job("with_absurd_tasks", kId,
              [](Job* job) { job->mutable_steps(0)->set_count(UINT32_MAX); }),
          job("with_absurd_occurrences", kId,
              [](Job* job) { job->set_occurrences(UINT32_MAX); })};
}

auto BadProgress() -> std::vector<BadRecord> {
  using Change = std::function<auto(JobProgress*)->void>;
  const auto progress = [](const std::string& name, const Change& change) {
    return Bad<JobProgress>("progress_" + name, RecordKind::kProgress, kId,
                            GoodProgress(), change);
  };
  return {
      Cut("progress_cut", RecordKind::kProgress, kId, GoodProgress()),
      progress("with_an_unknown_state",
               [](JobProgress* made) {
                 made->set_state(static_cast<JobState>(17));
               }),
      // Only a cancellation's own record cancels.
      progress("that_cancels",
               [](JobProgress* made) { made->set_state(JOB_CANCELLED); }),
      progress("of_an_unknown_step",
               [](JobProgress* made) {
                 made->mutable_occurrences(0)->mutable_steps(1)->set_number(2);
               }),
      progress("of_an_absurd_step",
               [](JobProgress* made) {
                 made->mutable_occurrences(0)->mutable_steps(1)->set_number(
                     UINT32_MAX);
               }),
      progress("of_a_step_twice",
               [](JobProgress* made) {
                 made->mutable_occurrences(0)->mutable_steps(1)->set_number(0);
               }),
      progress("of_an_unknown_occurrence",
               [](JobProgress* made) {
                 made->mutable_occurrences(0)->set_number(1);
               }),
      progress("of_an_absurd_occurrence",
               [](JobProgress* made) {
                 made->mutable_occurrences(0)->set_number(UINT32_MAX);
               }),
      progress("of_an_occurrence_twice", [](JobProgress* made) {
        *made->add_occurrences() = made->occurrences(0);
      })};
}

auto BadOthers() -> std::vector<BadRecord> {
  using ChangeAgent = std::function<auto(AgentEntry*)->void>;
  using ChangeGrants = std::function<auto(AgentGrants*)->void>;
  using ChangeEnds = std::function<auto(WorkerEnds*)->void>;
  using ChangeClaim = std::function<auto(OwnerClaim*)->void>;
  using ChangeResignation = std::function<auto(OwnerResignation*)->void>;
  using ChangePressures = std::function<auto(LearnedPressures*)->void>;
  const auto agent = [](const std::string& name, const std::string& key,
                        const ChangeAgent& change) {
    return Bad<AgentEntry>("agent_" + name, RecordKind::kAgent, key,
                           GoodAgent(), change);
  };
  const auto grants = [](const std::string& name, const ChangeGrants& change) {
    return Bad<AgentGrants>("grants_" + name, RecordKind::kAgentGrants, kAgent,
                            GoodGrants(), change);
  };
  const auto ends = [](const std::string& name, const ChangeEnds& change) {
    return Bad<WorkerEnds>("ends_" + name, RecordKind::kWorkerEnds, kLife,
                           GoodEnds(), change);
  };
  const auto claim = [](const std::string& name, const std::string& key,
                        const ChangeClaim& change) {
    return Bad<OwnerClaim>("claim_" + name, RecordKind::kClaim, key,
                           GoodClaim(), change);
  };
  const auto resignation = [](const std::string& name,
                              const ChangeResignation& change) {
    return Bad<OwnerResignation>("resignation_" + name,
                                 RecordKind::kResignation, kEntry,
                                 GoodResignation(), change);
  };
  const auto pressures = [](const std::string& name, const std::string& key,
                            const ChangePressures& change) {
    return Bad<LearnedPressures>("pressures_" + name, RecordKind::kPressures,
                                 key, GoodPressures(), change);
  };
  return {
      Cut("agent_cut", RecordKind::kAgent, kAgent, GoodAgent()),
      agent("without_name", kAgent,
            [](AgentEntry* entry) { entry->clear_name(); }),
      agent("of_another_name", kAgent,
            [](AgentEntry* entry) { entry->set_name("agent-9"); }),
      agent("under_another_key", "agent-9", [](AgentEntry*) {}),
      agent("without_key", "", [](AgentEntry* entry) { entry->clear_name(); }),
      agent("without_endpoint", kAgent,
            [](AgentEntry* entry) { entry->clear_link_endpoint(); }),
      Cut("grants_cut", RecordKind::kAgentGrants, kAgent, GoodGrants()),
      grants("without_name", [](AgentGrants* made) { made->clear_name(); }),
      grants("of_another_agent",
             [](AgentGrants* made) { made->set_name("agent-9"); }),
      grants("without_fence", [](AgentGrants* made) { made->clear_fence(); }),
      Cut("ends_cut", RecordKind::kWorkerEnds, kLife, GoodEnds()),
      ends("without_worker", [](WorkerEnds* made) { made->clear_worker_id(); }),
      ends("of_another_worker",
           [](WorkerEnds* made) { made->set_worker_id("life-2"); }),
      Cut("resignation_cut", RecordKind::kResignation, kEntry,
          GoodResignation()),
      resignation("without_owner",
                  [](OwnerResignation* made) { made->clear_owner(); }),
      resignation("of_another_entry",
                  [](OwnerResignation* made) { made->set_owner("entry-9"); }),
      resignation("without_fence",
                  [](OwnerResignation* made) { made->clear_fence(); }),
      Cut("claim_cut", RecordKind::kClaim, "", GoodClaim()),
      claim("without_owner", "", [](OwnerClaim* made) { made->clear_owner(); }),
      claim("without_fence", "", [](OwnerClaim* made) { made->clear_fence(); }),
      claim("with_an_absurd_fence", "",
            [](OwnerClaim* made) { made->set_fence(UINT64_MAX); }),
      claim("under_another_key", "other",
            [](OwnerClaim* made) { made->set_fence(5); }),
      Cut("pressures_cut", RecordKind::kPressures, "", GoodPressures()),
      pressures("that_are_no_number", "",
                [](LearnedPressures* made) {
                  made->mutable_pressures(0)->set_pressure(
                      std::numeric_limits<double>::quiet_NaN());
                }),
      pressures("that_are_negative", "",
                [](LearnedPressures* made) {
                  made->mutable_pressures(0)->set_pressure(-1.0);
                }),
      pressures("under_another_key", "other",
                [](LearnedPressures* made) {
                  made->mutable_pressures(0)->set_pressure(9.0);
                }),
      {"cancellation_of_no_job",
       {MakeKey(RecordKind::kCancellation, "strange"), "cancelled", 0}}};
}

auto BadRecords() -> std::vector<BadRecord> {
  std::vector<BadRecord> all;
  for (const auto& some : {BadBytes(), BadJobs(), BadProgress(), BadOthers()}) {
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

// Symptom: an owner polls agents that do not exist, and one that has just begun
// lets tasks wait until the leases are over; a job hangs, vanishes, or ends the
// process. Sequence: another writer puts a record that cannot be read, lacks
// fields, or names what is not there. Cause: what was read of it was kept.
class BadRecordTest : public testing::TestWithParam<BadRecord> {};

TEST_P(BadRecordTest, LeavesWhatEarlierRecordsSaid) {
  JobFold fold;
  ApplyAll(&fold, 1, GoodRecords());
  const std::string before = Picture(fold);
  auto record = GetParam().record;
  record.offset = 50;
  const auto change = fold.Apply(record);
  EXPECT_EQ(Picture(fold), before);
  EXPECT_EQ(change.kind, RecordKind::kUnknown);
  EXPECT_FALSE(change.skipped_reason.empty());
}

TEST_P(BadRecordTest, SaysNothingByItself) {
  JobFold fold;
  ApplyAll(&fold, 1, {GetParam().record});
  EXPECT_EQ(fold.Find(kId), nullptr);
  EXPECT_EQ(fold.Find(kOther), nullptr);
  EXPECT_TRUE(fold.agents().empty());
  EXPECT_EQ(fold.claim().fence(), 0U);
  EXPECT_EQ(fold.ends_logged(kLife), 0U);
}

TEST_P(BadRecordTest, LaterGoodRecordsAreTaken) {
  JobFold good;
  ApplyAll(&good, 10, GoodRecords());
  JobFold fold;
  ApplyAll(&fold, 1, {GetParam().record});
  ApplyAll(&fold, 10, GoodRecords());
  EXPECT_EQ(Picture(fold), Picture(good));
}

// Progress may be read ahead of its job.
TEST_P(BadRecordTest, IsFoundOutWhenTheJobComes) {
  JobFold good;
  ApplyAll(&good, 10, {GoodRecords().front()});
  JobFold fold;
  ApplyAll(&fold, 1, {GetParam().record, GoodRecords().front()});
  ASSERT_NE(fold.Find(kId), nullptr);
  EXPECT_EQ(fold.Find(kId)->progress.ShortDebugString(), "");
  EXPECT_EQ(fold.Find(kId)->state(), JOB_QUEUED);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BadRecordTest,
                         testing::ValuesIn(BadRecords()),
                         [](const auto& info) { return info.param.name; });

// Damaged records of all kinds, one after the other: whatever the fold takes of
// them, an owner's work on it stays within its bounds.
TEST(JobFoldTest, DamagedRecordsAreTakenOrPassedOver) {
  std::mt19937_64 random(17);
  const auto good = GoodRecords();
  JobFold fold;
  ApplyAll(&fold, 1, good);
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    auto record = good[random() % good.size()];
    const std::size_t changes = 1 + random() % 3;
    for (std::size_t i = 0; i < changes; ++i) {
      record.value[random() % record.value.size()] =
          static_cast<char>(random());
    }
    record.offset = 100 + seed;
    fold.Apply(record);
    ASSERT_NE(fold.Find(kId), nullptr) << seed;
    JobWork work;
    work.entry = fold.Find(kId);
    work.Restore(TimePoint(), /*uncertain=*/false);
    ASSERT_EQ(fold.agents().size(), 1U) << seed;
    ASSERT_EQ(fold.agents().at(kAgent).name(), kAgent) << seed;
    ASSERT_LE(fold.jobs().size(), 1U) << seed;
  }
}

TEST(JobFoldTest, EmptyValuesDropTheirKeys) {
  JobFold fold;
  ApplyAll(&fold, 1, GoodRecords());
  for (const auto& record : GoodRecords()) {
    ApplyAll(&fold, 50, {{record.key, "", 0}});
  }
  EXPECT_TRUE(fold.jobs().empty());
  EXPECT_TRUE(fold.agents().empty());
  EXPECT_EQ(fold.ends_logged(kLife), 0U);
  EXPECT_EQ(fold.pressures().pressures_size(), 0);
}

TEST(JobFoldTest, GoodRecordsAreNotPassedOver) {
  JobFold fold;
  for (int round = 0; round < 2; ++round) {
    for (const auto& record : GoodRecords()) {
      EXPECT_EQ(fold.Apply(record).skipped_reason, "") << record.key;
      EXPECT_EQ(fold.Apply({record.key, record.value, 9}).kind,
                ParseKey(record.key).kind);
    }
  }
}

// Progress that was read ahead of its job and is not the job's.
TEST(JobFoldTest, ProgressThatIsNotTheJobsIsNamed) {
  auto progress = GoodProgress();
  progress.mutable_occurrences(0)->mutable_steps(1)->set_number(9);
  JobFold fold;
  fold.Apply(MakeRecord(RecordKind::kProgress, kId, progress));
  const auto change = fold.Apply(MakeRecord(RecordKind::kJob, kId, GoodJob()));
  EXPECT_EQ(change.kind, RecordKind::kJob);
  EXPECT_NE(change.skipped_reason.find("step 9"), std::string::npos)
      << change.skipped_reason;
}

// Symptom: no entry can claim the cell. Cause: the claim was dropped, and the
// next one began again at the lowest fence.
TEST(JobFoldTest, DroppedClaimHoldsOn) {
  JobFold fold;
  ApplyAll(&fold, 1, GoodRecords());
  const auto change = fold.Apply({MakeKey(RecordKind::kClaim), "", 50});
  EXPECT_EQ(change.kind, RecordKind::kUnknown);
  EXPECT_EQ(fold.claim().fence(), GoodClaim().fence());
}

TEST(JobFoldTest, AgentsHaveEndpointsOfTheLinksForm) {
  JobFold fold([](const std::string& endpoint) -> bool {
    return endpoint.starts_with("tcp://");
  });
  auto entry = GoodAgent();
  entry.set_link_endpoint("nowhere");
  fold.Apply(MakeRecord(RecordKind::kAgent, kAgent, entry));
  EXPECT_TRUE(fold.agents().empty());
  fold.Apply(MakeRecord(RecordKind::kAgent, kAgent, GoodAgent()));
  EXPECT_EQ(fold.agents().size(), 1U);
  fold.Apply(MakeRecord(RecordKind::kAgent, kAgent, entry));
  EXPECT_EQ(fold.agents().at(kAgent).link_endpoint(),
            GoodAgent().link_endpoint());
}

// Symptom watched for: a log full of one line. Sequence: the same input again
// and again, and a flood of different ones.
TEST(ComplaintBookTest, ComplainsOnceAndNotOfAll) {
  const DiagnosticLimiterOptions options;
  DiagnosticLimiter book;
  TimePoint now{std::chrono::hours(5)};
  EXPECT_TRUE(book.ShouldLog(now, "a/ghost", "why"));
  for (int i = 0; i < 100; ++i) {
    now += std::chrono::seconds(1);
    EXPECT_FALSE(book.ShouldLog(now, "a/ghost", "why"));
  }
  EXPECT_TRUE(book.ShouldLog(now, "a/ghost", "other"));
  std::size_t complaints = 2;
  for (int i = 0; i < 10000; ++i) {
    complaints += book.ShouldLog(now, std::to_string(i), "why") ? 1 : 0;
  }
  EXPECT_EQ(complaints, options.max_diagnostics);
  now += options.repeat_interval;
  EXPECT_TRUE(book.ShouldLog(now, "a/ghost", "why"));
}

TEST(ComplaintBookTest, TextForTheLogIsPrintableAndShort) {
  EXPECT_EQ(SanitizeForLog("a/\xff\n\x01z"), "a/???z");
  EXPECT_LE(SanitizeForLog(std::string(100000, 'x')).size(), 200U);
}

// Symptom: a job hangs at its last task, or the owner ends. Cause: a task that
// two rows call done was counted twice, and a step beyond the job's was
// written.
TEST(JobWorkTest, RestoresOnlyWhatTheJobHas) {
  StoredJob stored;
  stored.job = GoodJob();
  stored.progress = GoodProgress();
  auto* occurrence = stored.progress.mutable_occurrences(0);
  *occurrence->add_steps() = occurrence->steps(0);
  occurrence->add_steps()->set_number(2);
  occurrence->add_steps()->set_number(UINT32_MAX);
  stored.progress.add_occurrences()->set_number(1);
  stored.progress.add_occurrences()->set_number(UINT32_MAX);
  JobWork work;
  work.entry = &stored;
  work.Restore(TimePoint(), /*uncertain=*/false);
  EXPECT_EQ(work.opened, 1U);
  ASSERT_EQ(work.occurrences.size(), 1U);
  ASSERT_EQ(work.occurrences.at(0).steps.size(), 2U);
  EXPECT_EQ(work.occurrences.at(0).steps[0].done(), 2U);
  EXPECT_FALSE(work.occurrences.at(0).complete());
}

}  // namespace
}  // namespace rhubarbhaven::jobs

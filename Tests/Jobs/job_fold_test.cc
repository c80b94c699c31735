// Tests of the state of jobs as folded from the log's records.

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

constexpr char kJobId[] = "0123456789abcdef";

auto JobRecord(uint64_t offset, const std::string& payload) -> KeyedRecord {
  Job job;
  job.set_id(kJobId);
  job.set_queue("queue");
  job.set_payload(payload);
  job.add_steps()->set_count(1);
  auto record = MakeRecord(RecordKind::kJob, kJobId, job);
  record.offset = offset;
  return record;
}

auto ProgressRecord(uint64_t offset, JobState state) -> KeyedRecord {
  JobProgress progress;
  progress.set_state(state);
  auto record = MakeRecord(RecordKind::kProgress, kJobId, progress);
  record.offset = offset;
  return record;
}

auto CancelRecord(uint64_t offset) -> KeyedRecord {
  auto record = MakeCancellation(kJobId);
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
  ASSERT_NE(fold.Find(kJobId), nullptr);
  EXPECT_EQ(fold.Find(kJobId)->state(), GetParam().state);
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
        // Pages of newest records are sorted by key.
        StateCase{"progress_read_ahead_of_the_job",
                  {CancelRecord(5), JobRecord(1, "a")},
                  JOB_CANCELLED},
        StateCase{"older_progress_is_ignored",
                  {JobRecord(1, "a"), ProgressRecord(4, JOB_COMPLETED),
                   ProgressRecord(2, JOB_RUNNING)},
                  JOB_COMPLETED}),
    [](const auto& info) { return info.param.name; });

TEST(JobFoldTest, KeepsTheFirstRecordOfAnId) {
  JobFold fold;
  fold.Apply(JobRecord(1, "first"));
  fold.Apply(JobRecord(2, "second"));
  EXPECT_EQ(fold.Find(kJobId)->job.payload(), "first");
  EXPECT_EQ(fold.PendingIn("queue"), 1U);
}

TEST(JobFoldTest, RemovedJobIsUnknown) {
  JobFold fold;
  fold.Apply(JobRecord(1, "first"));
  fold.Apply({MakeKey(RecordKind::kJob, kJobId), "", 2});
  EXPECT_EQ(fold.Find(kJobId), nullptr);
}

TEST(JobFoldTest, UnknownKeysAreIgnored) {
  JobFold fold;
  EXPECT_EQ(fold.Apply({"x/strange", "value", 1}).kind, RecordKind::kUnknown);
  EXPECT_EQ(fold.Apply({"", "value", 2}).kind, RecordKind::kUnknown);
  // The value is no message, so the job remains unknown.
  fold.Apply({MakeKey(RecordKind::kJob, kJobId), "\xff\xff", 3});
  EXPECT_EQ(fold.Find(kJobId), nullptr);
}

constexpr char kOtherJobId[] = "fedcba9876543210";
constexpr char kAgent[] = "agent-0";
constexpr char kWorkerId[] = "life-1";
constexpr char kEntry[] = "entry-0";
constexpr uint64_t kSeeds = 20000;

auto ValidJob() -> Job {
  Job job;
  job.set_id(kJobId);
  job.set_queue("queue");
  job.add_steps()->set_count(3);
  auto* second = job.add_steps();
  second->set_count(2);
  second->add_after(0);
  return job;
}

auto ValidProgress() -> JobProgress {
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

auto ValidAgent() -> AgentEntry {
  AgentEntry entry;
  entry.set_name(kAgent);
  entry.set_link_endpoint("tcp://127.0.0.1:9000");
  entry.set_incarnation(7);
  return entry;
}

auto ValidEnds() -> WorkerEnds {
  WorkerEnds ends;
  ends.set_worker_id(kWorkerId);
  ends.set_last_end(12);
  return ends;
}

auto ValidClaim() -> OwnerClaim {
  OwnerClaim claim;
  claim.set_owner(kEntry);
  claim.set_incarnation(3);
  claim.set_fence(4);
  return claim;
}

auto ValidPressures() -> LearnedPressures {
  LearnedPressures learned;
  auto* pressure = learned.add_pressures();
  pressure->set_serving_image("serving");
  pressure->set_filler_image("filler");
  pressure->set_pressure(5.0);
  return learned;
}

auto ValidGrants() -> AgentGrants {
  AgentGrants grants;
  grants.set_name(kAgent);
  grants.set_fence(3);
  return grants;
}

auto ValidResignation() -> OwnerResignation {
  OwnerResignation resignation;
  resignation.set_owner(kEntry);
  resignation.set_fence(2);
  return resignation;
}

// Returns one valid record of each kind.
auto ValidRecords() -> std::vector<KeyedRecord> {
  return {MakeRecord(RecordKind::kJob, kJobId, ValidJob()),
          MakeRecord(RecordKind::kProgress, kJobId, ValidProgress()),
          MakeRecord(RecordKind::kAgent, kAgent, ValidAgent()),
          MakeRecord(RecordKind::kAgentGrants, kAgent, ValidGrants()),
          MakeRecord(RecordKind::kWorkerEnds, kWorkerId, ValidEnds()),
          MakeRecord(RecordKind::kClaim, "", ValidClaim()),
          MakeRecord(RecordKind::kResignation, kEntry, ValidResignation()),
          MakeRecord(RecordKind::kPressures, "", ValidPressures())};
}

// Returns the complete state of a fold as text.
auto StateText(const JobFold& fold) -> std::string {
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
  parts["ends"] = std::to_string(fold.ends_logged(kWorkerId));
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

struct InvalidRecord {
  std::string name;
  KeyedRecord record;
};

template <typename Message>
auto MakeInvalid(const std::string& name,
                 RecordKind kind,
                 const std::string& key,
                 Message message,
                 const std::function<auto(Message*)->void>& change)
    -> InvalidRecord {
  change(&message);
  return {name, MakeRecord(kind, key, message)};
}

// Returns a record whose last byte is missing.
auto MakeTruncated(const std::string& name,
                   RecordKind kind,
                   const std::string& key,
                   const google::protobuf::Message& message) -> InvalidRecord {
  auto record = MakeRecord(kind, key, message);
  record.value.pop_back();
  return {name, record};
}

auto InvalidBytes() -> std::vector<InvalidRecord> {
  std::vector<InvalidRecord> invalid;
  const std::map<std::string, std::string> values = {
      {"garbage", "\xff\xff"},
      {"json", R"({"name":"agent-0","link_endpoint":"tcp://127.0.0.1:9000"})"},
      // The first field as a number.
      {"other_type", std::string("\x08\x01")}};
  const std::map<std::string, std::string> keys = {
      {"job", MakeKey(RecordKind::kJob, kJobId)},
      {"progress", MakeKey(RecordKind::kProgress, kJobId)},
      {"cancellation", MakeKey(RecordKind::kCancellation, kJobId)},
      {"agent", MakeKey(RecordKind::kAgent, kAgent)},
      {"ends", MakeKey(RecordKind::kWorkerEnds, kWorkerId)},
      {"claim", MakeKey(RecordKind::kClaim)},
      {"pressures", MakeKey(RecordKind::kPressures)},
      {"unknown", "x/strange"}};
  for (const auto& [kind, key] : keys) {
    for (const auto& [name, value] : values) {
      // The first field of progress is a number, and 1 is a valid state.
      if (kind != "progress" || name != "other_type") {
        invalid.push_back({absl::StrCat(kind, "_", name), {key, value, 0}});
      }
    }
  }
  // Pressures of another type are parsed as unknown fields, that is, as no
  // pressures.
  std::erase_if(invalid, [](const InvalidRecord& record) -> bool {
    return record.name == "pressures_other_type";
  });
  return invalid;
}

auto InvalidJobs() -> std::vector<InvalidRecord> {
  const auto job = [](const std::string& name, const std::string& key,
                      const std::function<auto(Job*)->void>& change) {
    return MakeInvalid<Job>("job_" + name, RecordKind::kJob, key, ValidJob(),
                            change);
  };
  return {
      MakeTruncated("job_cut", RecordKind::kJob, kJobId, ValidJob()),
      job("without_id", kJobId, [](Job* job) { job->clear_id(); }),
      job("of_another_id", kJobId, [](Job* job) { job->set_id(kOtherJobId); }),
      job("under_another_key", kOtherJobId, [](Job*) {}),
      job("with_a_strange_id", "strange",
          [](Job* job) { job->set_id("strange"); }),
      job("without_steps", kJobId, [](Job* job) { job->clear_steps(); }),
      job("after_itself", kJobId,
          [](Job* job) { job->mutable_steps(1)->set_after(0, 1); }),
      job("after_no_step", kJobId,
          [](Job* job) { job->mutable_steps(1)->set_after(0, 900); }),
      job("without_tasks", kJobId,
          [](Job* job) { job->mutable_steps(0)->set_count(0); }),
      job("with_absurd_tasks", kJobId,
          [](Job* job) { job->mutable_steps(0)->set_count(UINT32_MAX); }),
      job("with_absurd_occurrences", kJobId,
          [](Job* job) { job->set_occurrences(UINT32_MAX); })};
}

auto InvalidProgress() -> std::vector<InvalidRecord> {
  using Change = std::function<auto(JobProgress*)->void>;
  const auto progress = [](const std::string& name, const Change& change) {
    return MakeInvalid<JobProgress>("progress_" + name, RecordKind::kProgress,
                                    kJobId, ValidProgress(), change);
  };
  return {
      MakeTruncated("progress_cut", RecordKind::kProgress, kJobId,
                    ValidProgress()),
      progress("with_an_unknown_state",
               [](JobProgress* record_message) {
                 record_message->set_state(static_cast<JobState>(17));
               }),
      // Only a cancellation's own record cancels.
      progress("that_cancels",
               [](JobProgress* record_message) {
                 record_message->set_state(JOB_CANCELLED);
               }),
      progress("of_an_unknown_step",
               [](JobProgress* record_message) {
                 record_message->mutable_occurrences(0)
                     ->mutable_steps(1)
                     ->set_number(2);
               }),
      progress("of_an_absurd_step",
               [](JobProgress* record_message) {
                 record_message->mutable_occurrences(0)
                     ->mutable_steps(1)
                     ->set_number(UINT32_MAX);
               }),
      progress("of_a_step_twice",
               [](JobProgress* record_message) {
                 record_message->mutable_occurrences(0)
                     ->mutable_steps(1)
                     ->set_number(0);
               }),
      progress("of_an_unknown_occurrence",
               [](JobProgress* record_message) {
                 record_message->mutable_occurrences(0)->set_number(1);
               }),
      progress("of_an_absurd_occurrence",
               [](JobProgress* record_message) {
                 record_message->mutable_occurrences(0)->set_number(UINT32_MAX);
               }),
      progress("of_an_occurrence_twice", [](JobProgress* record_message) {
        *record_message->add_occurrences() = record_message->occurrences(0);
      })};
}

auto OtherInvalidRecords() -> std::vector<InvalidRecord> {
  using ChangeAgent = std::function<auto(AgentEntry*)->void>;
  using ChangeGrants = std::function<auto(AgentGrants*)->void>;
  using ChangeEnds = std::function<auto(WorkerEnds*)->void>;
  using ChangeClaim = std::function<auto(OwnerClaim*)->void>;
  using ChangeResignation = std::function<auto(OwnerResignation*)->void>;
  using ChangePressures = std::function<auto(LearnedPressures*)->void>;
  const auto agent = [](const std::string& name, const std::string& key,
                        const ChangeAgent& change) {
    return MakeInvalid<AgentEntry>("agent_" + name, RecordKind::kAgent, key,
                                   ValidAgent(), change);
  };
  const auto grants = [](const std::string& name, const ChangeGrants& change) {
    return MakeInvalid<AgentGrants>("grants_" + name, RecordKind::kAgentGrants,
                                    kAgent, ValidGrants(), change);
  };
  const auto ends = [](const std::string& name, const ChangeEnds& change) {
    return MakeInvalid<WorkerEnds>("ends_" + name, RecordKind::kWorkerEnds,
                                   kWorkerId, ValidEnds(), change);
  };
  const auto claim = [](const std::string& name, const std::string& key,
                        const ChangeClaim& change) {
    return MakeInvalid<OwnerClaim>("claim_" + name, RecordKind::kClaim, key,
                                   ValidClaim(), change);
  };
  const auto resignation = [](const std::string& name,
                              const ChangeResignation& change) {
    return MakeInvalid<OwnerResignation>("resignation_" + name,
                                         RecordKind::kResignation, kEntry,
                                         ValidResignation(), change);
  };
  const auto pressures = [](const std::string& name, const std::string& key,
                            const ChangePressures& change) {
    return MakeInvalid<LearnedPressures>("pressures_" + name,
                                         RecordKind::kPressures, key,
                                         ValidPressures(), change);
  };
  return {
      MakeTruncated("agent_cut", RecordKind::kAgent, kAgent, ValidAgent()),
      agent("without_name", kAgent,
            [](AgentEntry* entry) { entry->clear_name(); }),
      agent("of_another_name", kAgent,
            [](AgentEntry* entry) { entry->set_name("agent-9"); }),
      agent("under_another_key", "agent-9", [](AgentEntry*) {}),
      agent("without_key", "", [](AgentEntry* entry) { entry->clear_name(); }),
      agent("without_endpoint", kAgent,
            [](AgentEntry* entry) { entry->clear_link_endpoint(); }),
      MakeTruncated("grants_cut", RecordKind::kAgentGrants, kAgent,
                    ValidGrants()),
      grants("without_name",
             [](AgentGrants* record_message) { record_message->clear_name(); }),
      grants("of_another_agent",
             [](AgentGrants* record_message) {
               record_message->set_name("agent-9");
             }),
      grants(
          "without_fence",
          [](AgentGrants* record_message) { record_message->clear_fence(); }),
      MakeTruncated("ends_cut", RecordKind::kWorkerEnds, kWorkerId,
                    ValidEnds()),
      ends("without_worker",
           [](WorkerEnds* record_message) {
             record_message->clear_worker_id();
           }),
      ends("of_another_worker",
           [](WorkerEnds* record_message) {
             record_message->set_worker_id("life-2");
           }),
      MakeTruncated("resignation_cut", RecordKind::kResignation, kEntry,
                    ValidResignation()),
      resignation("without_owner",
                  [](OwnerResignation* record_message) {
                    record_message->clear_owner();
                  }),
      resignation("of_another_entry",
                  [](OwnerResignation* record_message) {
                    record_message->set_owner("entry-9");
                  }),
      resignation("without_fence",
                  [](OwnerResignation* record_message) {
                    record_message->clear_fence();
                  }),
      MakeTruncated("claim_cut", RecordKind::kClaim, "", ValidClaim()),
      claim("without_owner", "",
            [](OwnerClaim* record_message) { record_message->clear_owner(); }),
      claim("without_fence", "",
            [](OwnerClaim* record_message) { record_message->clear_fence(); }),
      claim("with_an_absurd_fence", "",
            [](OwnerClaim* record_message) {
              record_message->set_fence(UINT64_MAX);
            }),
      claim("under_another_key", "other",
            [](OwnerClaim* record_message) { record_message->set_fence(5); }),
      MakeTruncated("pressures_cut", RecordKind::kPressures, "",
                    ValidPressures()),
      pressures("that_are_no_number", "",
                [](LearnedPressures* record_message) {
                  record_message->mutable_pressures(0)->set_pressure(
                      std::numeric_limits<double>::quiet_NaN());
                }),
      pressures("that_are_negative", "",
                [](LearnedPressures* record_message) {
                  record_message->mutable_pressures(0)->set_pressure(-1.0);
                }),
      pressures("under_another_key", "other",
                [](LearnedPressures* record_message) {
                  record_message->mutable_pressures(0)->set_pressure(9.0);
                }),
      {"cancellation_of_no_job",
       {MakeKey(RecordKind::kCancellation, "strange"), "cancelled", 0}}};
}

auto InvalidRecords() -> std::vector<InvalidRecord> {
  std::vector<InvalidRecord> all;
  for (const auto& some : {InvalidBytes(), InvalidJobs(), InvalidProgress(),
                           OtherInvalidRecords()}) {
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

// Guards against an owner that polls agents that do not exist, a new owner that
// delays tasks until the leases have expired, and a job that hangs, vanishes or
// terminates the process. Another writer stores a record that cannot be parsed,
// lacks fields, or refers to something that does not exist, and the parts that
// could be parsed were kept.
class InvalidRecordTest : public testing::TestWithParam<InvalidRecord> {};

TEST_P(InvalidRecordTest, KeepsTheStateOfEarlierRecords) {
  JobFold fold;
  ApplyAll(&fold, 1, ValidRecords());
  const std::string before = StateText(fold);
  auto record = GetParam().record;
  record.offset = 50;
  const auto change = fold.Apply(record);
  EXPECT_EQ(StateText(fold), before);
  EXPECT_EQ(change.kind, RecordKind::kUnknown);
  EXPECT_FALSE(change.skipped_reason.empty());
}

TEST_P(InvalidRecordTest, LeavesAnEmptyFoldEmpty) {
  JobFold fold;
  ApplyAll(&fold, 1, {GetParam().record});
  EXPECT_EQ(fold.Find(kJobId), nullptr);
  EXPECT_EQ(fold.Find(kOtherJobId), nullptr);
  EXPECT_TRUE(fold.agents().empty());
  EXPECT_EQ(fold.claim().fence(), 0U);
  EXPECT_EQ(fold.ends_logged(kWorkerId), 0U);
}

TEST_P(InvalidRecordTest, LaterValidRecordsAreApplied) {
  JobFold valid;
  ApplyAll(&valid, 10, ValidRecords());
  JobFold fold;
  ApplyAll(&fold, 1, {GetParam().record});
  ApplyAll(&fold, 10, ValidRecords());
  EXPECT_EQ(StateText(fold), StateText(valid));
}

// Progress may be read before its job; invalid progress is detected when the
// job is read.
TEST_P(InvalidRecordTest, IsDetectedWhenTheJobIsRead) {
  JobFold valid;
  ApplyAll(&valid, 10, {ValidRecords().front()});
  JobFold fold;
  ApplyAll(&fold, 1, {GetParam().record, ValidRecords().front()});
  ASSERT_NE(fold.Find(kJobId), nullptr);
  EXPECT_EQ(fold.Find(kJobId)->progress.ShortDebugString(), "");
  EXPECT_EQ(fold.Find(kJobId)->state(), JOB_QUEUED);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         InvalidRecordTest,
                         testing::ValuesIn(InvalidRecords()),
                         [](const auto& info) { return info.param.name; });

// Applies corrupted records of all kinds in sequence. Whatever the fold accepts
// of them, an owner's work on it stays within its bounds.
TEST(JobFoldTest, CorruptedRecordsAreAppliedOrSkipped) {
  std::mt19937_64 random(17);
  const auto valid = ValidRecords();
  JobFold fold;
  ApplyAll(&fold, 1, valid);
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    auto record = valid[random() % valid.size()];
    const std::size_t changes = 1 + random() % 3;
    for (std::size_t i = 0; i < changes; ++i) {
      record.value[random() % record.value.size()] =
          static_cast<char>(random());
    }
    record.offset = 100 + seed;
    fold.Apply(record);
    ASSERT_NE(fold.Find(kJobId), nullptr) << seed;
    JobWork work;
    work.entry = fold.Find(kJobId);
    RestoreProgress(TimePoint(), /*uncertain=*/false, &work);
    ASSERT_EQ(fold.agents().size(), 1U) << seed;
    ASSERT_EQ(fold.agents().at(kAgent).name(), kAgent) << seed;
    ASSERT_LE(fold.jobs().size(), 1U) << seed;
  }
}

TEST(JobFoldTest, EmptyValuesRemoveTheirKeys) {
  JobFold fold;
  ApplyAll(&fold, 1, ValidRecords());
  for (const auto& record : ValidRecords()) {
    ApplyAll(&fold, 50, {{record.key, "", 0}});
  }
  EXPECT_TRUE(fold.jobs().empty());
  EXPECT_TRUE(fold.agents().empty());
  EXPECT_EQ(fold.ends_logged(kWorkerId), 0U);
  EXPECT_EQ(fold.pressures().pressures_size(), 0);
}

TEST(JobFoldTest, ValidRecordsAreNotSkipped) {
  JobFold fold;
  for (int round = 0; round < 2; ++round) {
    for (const auto& record : ValidRecords()) {
      EXPECT_EQ(fold.Apply(record).skipped_reason, "") << record.key;
      EXPECT_EQ(fold.Apply({record.key, record.value, 9}).kind,
                ParseKey(record.key).kind);
    }
  }
}

// The progress was read before its job and does not match it.
TEST(JobFoldTest, MismatchedProgressIsReported) {
  auto progress = ValidProgress();
  progress.mutable_occurrences(0)->mutable_steps(1)->set_number(9);
  JobFold fold;
  fold.Apply(MakeRecord(RecordKind::kProgress, kJobId, progress));
  const auto change =
      fold.Apply(MakeRecord(RecordKind::kJob, kJobId, ValidJob()));
  EXPECT_EQ(change.kind, RecordKind::kJob);
  EXPECT_NE(change.skipped_reason.find("step 9"), std::string::npos)
      << change.skipped_reason;
}

// Guards against a cell that no entry can claim: the claim was removed, and the
// next one started again at the lowest fence.
TEST(JobFoldTest, RemovedClaimRemainsInEffect) {
  JobFold fold;
  ApplyAll(&fold, 1, ValidRecords());
  const auto change = fold.Apply({MakeKey(RecordKind::kClaim), "", 50});
  EXPECT_EQ(change.kind, RecordKind::kUnknown);
  EXPECT_EQ(fold.claim().fence(), ValidClaim().fence());
}

TEST(JobFoldTest, AgentsRequireValidLinkEndpoints) {
  JobFold fold([](const std::string& endpoint) -> bool {
    return endpoint.starts_with("tcp://");
  });
  auto entry = ValidAgent();
  entry.set_link_endpoint("nowhere");
  fold.Apply(MakeRecord(RecordKind::kAgent, kAgent, entry));
  EXPECT_TRUE(fold.agents().empty());
  fold.Apply(MakeRecord(RecordKind::kAgent, kAgent, ValidAgent()));
  EXPECT_EQ(fold.agents().size(), 1U);
  fold.Apply(MakeRecord(RecordKind::kAgent, kAgent, entry));
  EXPECT_EQ(fold.agents().at(kAgent).link_endpoint(),
            ValidAgent().link_endpoint());
}

// Guards against a log that is flooded by one line, with the same input
// repeated and with many different inputs.
TEST(DiagnosticLimiterTest, LimitsRepeatedAndDistinctDiagnostics) {
  const DiagnosticLimiterOptions options;
  DiagnosticLimiter limiter;
  TimePoint now{std::chrono::hours(5)};
  EXPECT_TRUE(limiter.ShouldLog(now, "a/ghost", "why"));
  for (int i = 0; i < 100; ++i) {
    now += std::chrono::seconds(1);
    EXPECT_FALSE(limiter.ShouldLog(now, "a/ghost", "why"));
  }
  EXPECT_TRUE(limiter.ShouldLog(now, "a/ghost", "other"));
  std::size_t logged = 2;
  for (int i = 0; i < 10000; ++i) {
    logged += limiter.ShouldLog(now, std::to_string(i), "why") ? 1 : 0;
  }
  EXPECT_EQ(logged, options.max_diagnostics);
  now += options.repeat_interval;
  EXPECT_TRUE(limiter.ShouldLog(now, "a/ghost", "why"));
}

TEST(DiagnosticLimiterTest, TextForTheLogIsPrintableAndShort) {
  EXPECT_EQ(SanitizeForLog("a/\xff\n\x01z"), "a/???z");
  EXPECT_LE(SanitizeForLog(std::string(100000, 'x')).size(), 200U);
}

// Guards against a job that hangs at its last task, and against an owner that
// crashes: a task that two rows list as done was counted twice, and a step
// beyond the job's last one was written.
TEST(JobWorkTest, RestoresOnlyStepsOfTheJob) {
  StoredJob stored;
  stored.job = ValidJob();
  stored.progress = ValidProgress();
  auto* occurrence = stored.progress.mutable_occurrences(0);
  *occurrence->add_steps() = occurrence->steps(0);
  occurrence->add_steps()->set_number(2);
  occurrence->add_steps()->set_number(UINT32_MAX);
  stored.progress.add_occurrences()->set_number(1);
  stored.progress.add_occurrences()->set_number(UINT32_MAX);
  JobWork work;
  work.entry = &stored;
  RestoreProgress(TimePoint(), /*uncertain=*/false, &work);
  EXPECT_EQ(work.opened, 1U);
  ASSERT_EQ(work.occurrences.size(), 1U);
  ASSERT_EQ(work.occurrences.at(0).steps.size(), 2U);
  EXPECT_EQ(work.occurrences.at(0).steps[0].done(), 2U);
  EXPECT_FALSE(work.occurrences.at(0).complete());
}

}  // namespace
}  // namespace rhubarbhaven::jobs

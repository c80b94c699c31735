// For how long an owner grants leases while the log stores no renewals, and how
// long the next owner waits for them.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "Jobs/agent_majority.h"
#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

auto At(int time) -> TimePoint {
  return TimePoint(seconds(time));
}

auto TimesOf(const std::vector<int>& values) -> std::vector<TimePoint> {
  std::vector<TimePoint> times;
  times.reserve(values.size());
  for (const int value : values) {
    times.push_back(At(value));
  }
  return times;
}

struct MajorityCase {
  std::string name;
  // In seconds, like the times below.
  std::vector<int> reports;
  std::size_t members = 0;
  // Since when a majority has reported to the owner.
  std::optional<int> reported_since;
  // When a majority can have reported last to an earlier owner, if the reports
  // are the last ones to that owner.
  std::optional<int> last_possible;
};

class MajorityTest : public testing::TestWithParam<MajorityCase> {};

// Guards against two owners that count half of the agents each.
TEST_P(MajorityTest, IsMoreThanHalfOfTheMembers) {
  const auto& param = GetParam();
  const auto as_time = [](std::optional<int> value) {
    return value ? std::optional(At(*value)) : std::nullopt;
  };
  EXPECT_EQ(MajorityReportedSince(TimesOf(param.reports), param.members),
            as_time(param.reported_since));
  EXPECT_EQ(LastPossibleMajority(TimesOf(param.reports), param.members),
            as_time(param.last_possible));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    MajorityTest,
    testing::Values(
        MajorityCase{"no_members", {}, 0, {}, {}},
        MajorityCase{"no_reports", {}, 3, {}, {}},
        MajorityCase{"one_of_one", {5}, 1, 5, 5},
        // The other one may report to the earlier owner still, but is no
        // majority alone.
        MajorityCase{"one_of_two", {5}, 2, {}, 5},
        MajorityCase{"one_of_three", {5}, 3, {}, {}},
        MajorityCase{"two_of_three", {5, 9}, 3, 5, 9},
        MajorityCase{"two_of_four", {5, 9}, 4, {}, 9},
        MajorityCase{"one_of_four", {5}, 4, {}, {}},
        MajorityCase{"all_of_four", {9, 3, 7, 5}, 4, 5, 5},
        MajorityCase{"six_of_ten", {6, 1, 5, 2, 4, 3}, 10, 1, 5},
        MajorityCase{"more_reports_than_members", {9, 8, 7}, 2, 8, 8}),
    [](const auto& info) { return info.param.name; });

constexpr char kFollower[] = "agent-0";

struct GrantCase {
  std::string name;
  // Agents that answer this owner, out of three.
  std::vector<std::string> answering;
  // Whether their answers are to orders from before the log was lost.
  bool late = false;
  // Whether the log has confirmed the records of grants.
  bool recorded = true;
  // Whether the log goes on storing renewals.
  bool renews = false;
  bool grants = false;
};

auto Agents() -> std::vector<std::string> {
  return {"agent-0", "agent-1", "agent-2"};
}

class GrantTest : public JobOwnerTest {
 protected:
  auto Answer(const std::string& agent, TimePoint built_at) -> void {
    auto report = ReportOf(agent);
    report.set_orders_built_at_us(MicrosecondsOf(built_at));
    EXPECT_TRUE(owner_.OnReport(now_, agent, report));
    owner_.Tick(now_);
  }
};

class GrantTableTest : public GrantTest,
                       public testing::WithParamInterface<GrantCase> {};

// Guards against tasks that run in two places, and against a next owner that
// has to wait for 20 s. An owner that is cut off from the log with a minority
// of the agents goes on granting to them, and the next owner, which a majority
// follows, cannot know until when.
TEST_P(GrantTableTest, NeedsARenewalOrAMajority) {
  const auto& param = GetParam();
  PutAgent("agent-2");
  Begin();
  for (const auto& agent : Agents()) {
    Answer(agent, now_);
  }
  const auto records = owner_.TakeBatch();
  if (param.recorded) {
    for (const auto& record : records) {
      Put(record);
    }
    owner_.OnBatchStored(now_);
  }
  const TimePoint lost_at = now_;
  exclusive_until_ = param.renews ? TimePoint::max() : lost_at;
  const TimePoint end = lost_at + seconds(6);
  while (now_ < end) {
    now_ += milliseconds(100);
    for (const auto& agent : param.answering) {
      Answer(agent, param.late ? lost_at : now_);
    }
    owner_.Tick(now_);
  }
  EXPECT_EQ(latest_orders_[kFollower].granted_from_us() > 0, param.grants);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    GrantTableTest,
    testing::Values(
        GrantCase{"all_answer", Agents(), false, true, false, true},
        GrantCase{"majority_answers",
                  {"agent-0", "agent-1"},
                  false,
                  true,
                  false,
                  true},
        GrantCase{"minority_answers", {"agent-0"}, false, true, false, false},
        GrantCase{"minority_answers_and_the_log_renews",
                  {"agent-0"},
                  false,
                  true,
                  true,
                  true},
        // What an agent answered long ago shows nothing about now, whenever the
        // answer arrives.
        GrantCase{"answers_are_late", Agents(), true, true, false, false},
        GrantCase{"grants_are_not_recorded", Agents(), false, false, false,
                  false}),
    [](const auto& info) { return info.param.name; });

// Guards against two owners that each hear from a majority of other agents: a
// record of grants that is under way may be in the log of the next owner.
TEST_F(GrantTest, RecordUnderWayCountsAsAMember) {
  PutAgent("agent-2");
  Begin();
  for (const auto& agent : Agents()) {
    Answer(agent, now_);
  }
  StoreBatch();
  PutAgent("agent-3");
  Answer("agent-3", now_);
  EXPECT_FALSE(owner_.TakeBatch().empty());
  exclusive_until_ = now_;
  const TimePoint end = now_ + seconds(6);
  while (now_ < end) {
    now_ += milliseconds(100);
    Answer("agent-0", now_);
    Answer("agent-1", now_);
  }
  // Two of three, but not of four.
  EXPECT_EQ(latest_orders_[kFollower].granted_from_us(), 0U);
}

// Guards against an owner that grants nothing in an outage although it reaches
// all agents: some of them have no worker at present.
TEST_F(GrantTest, AgentsWithoutAWorkerCount) {
  constexpr uint64_t kIncarnation = 11;
  PutAgent("agent-2");
  Begin();
  const auto answer = [this](const std::string& agent, bool with_worker) {
    auto report = ReportOf(agent);
    report.set_incarnation(kIncarnation);
    report.set_orders_built_at_us(MicrosecondsOf(now_));
    if (!with_worker) {
      report.set_worker_id("");
      report.set_left_worker_id("life-of-" + agent);
      report.set_complete(false);
    }
    EXPECT_TRUE(owner_.OnReport(now_, agent, report));
    owner_.Tick(now_);
  };
  for (const auto& agent : Agents()) {
    answer(agent, true);
  }
  StoreBatch();
  exclusive_until_ = now_;
  const TimePoint end = now_ + seconds(6);
  while (now_ < end) {
    now_ += milliseconds(100);
    answer("agent-0", true);
    answer("agent-1", false);
    answer("agent-2", false);
  }
  EXPECT_GT(latest_orders_[kFollower].granted_from_us(), 0U);
}

// Guards against a lease that counts from the newest report of an agent beside
// an older majority: it would outlast what the next owner waits for.
TEST_F(JobOwnerTest, LeaseIsShortenedToTheMajoritysAge) {
  Begin();
  ReportAll();
  exclusive_until_ = now_;
  now_ += seconds(2);
  Report("agent-0", ReportOf("agent-0"));
  now_ += milliseconds(500);
  owner_.Tick(now_);
  const auto& orders = latest_orders_["agent-0"];
  EXPECT_GT(orders.granted_from_us(), 0U);
  EXPECT_EQ(orders.lease_ttl_ms(), 3000U);
}

struct LastOwnerCase {
  std::string name;
  // Agents out of five that answer this owner at its start, each after having
  // followed the earlier owner until this long before.
  std::vector<milliseconds> since_earlier;
  // How long before this owner's start the earlier owner's last renewal was
  // read; none if it did not need a majority.
  std::optional<milliseconds> renewed_before;
  // When the task of before starts, in seconds from this owner's start.
  double starts_after = 0.0;
};

class LastOwnerTest : public JobOwnerTest,
                      public testing::WithParamInterface<LastOwnerCase> {};

// Guards against tasks that stay down for some 20 s although there is room. An
// agent is gone without a word, its owner is lost for good, and the next owner
// waits for all that the lost one could grant if both were only cut off. An
// owner without a majority grants nothing.
TEST_P(LastOwnerTest, GrantsAreOverOneLeaseAfterItsMajority) {
  const auto& param = GetParam();
  PutJob({Step(1)});
  PutClaim();
  for (int agent = 0; agent < 5; ++agent) {
    const std::string name = "agent-" + std::to_string(agent);
    PutAgent(name);
    PutGrants(name, kFence - 1, "life-of-" + name, 1);
  }
  EarlierGrants earlier{now_ + seconds(20), now_};
  if (param.renewed_before) {
    earlier.last_owner_renewed = now_ - *param.renewed_before;
  }
  const TimePoint started_at = now_;
  owner_.Begin(now_, kFence, &fold_, earlier);
  while (Starts() == 0 && now_ < started_at + seconds(30)) {
    now_ += milliseconds(100);
    int agent = 0;
    for (const auto since : param.since_earlier) {
      const std::string name = "agent-" + std::to_string(agent++);
      auto report = ReportOf(name);
      report.set_incarnation(1);
      report.set_since_earlier_owner_ms(static_cast<uint64_t>(since.count()));
      Report(name, report);
    }
  }
  EXPECT_NEAR(std::chrono::duration<double>(now_ - started_at).count(),
              param.starts_after, 0.2);
  EXPECT_EQ(last_owner_bounds_.empty(), param.starts_after > 19);
}

constexpr milliseconds kSinceEarlierOwner{1600};

INSTANTIATE_TEST_SUITE_P(
    Table,
    LastOwnerTest,
    testing::Values(
        // 5.4 s of a lease, from 1.6 s before, by a clock that may be 2% off,
        // and the interval of the reports.
        LastOwnerCase{"four_follow",
                      {kSinceEarlierOwner, kSinceEarlierOwner,
                       kSinceEarlierOwner, kSinceEarlierOwner},
                      kSinceEarlierOwner,
                      3.95},
        LastOwnerCase{
            "three_follow",
            {kSinceEarlierOwner, kSinceEarlierOwner, kSinceEarlierOwner},
            kSinceEarlierOwner,
            3.95},
        LastOwnerCase{"two_follow",
                      {kSinceEarlierOwner, kSinceEarlierOwner},
                      kSinceEarlierOwner,
                      20.0},
        // Three may have followed the earlier owner until now: two that do not
        // answer, and one that has just turned.
        LastOwnerCase{"one_has_just_turned",
                      {kSinceEarlierOwner, milliseconds(0), kSinceEarlierOwner},
                      kSinceEarlierOwner,
                      5.5},
        LastOwnerCase{
            "renewed_later",
            {kSinceEarlierOwner, kSinceEarlierOwner, kSinceEarlierOwner},
            milliseconds(600),
            4.8},
        LastOwnerCase{"owner_of_an_earlier_version",
                      {kSinceEarlierOwner, kSinceEarlierOwner,
                       kSinceEarlierOwner, kSinceEarlierOwner},
                      {},
                      20.0}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

// What an owner tells of jobs that have nothing running although they could.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

using testing::SizeIs;

constexpr milliseconds kRound{100};

class OwnerStandingTest : public JobOwnerTest {
 protected:
  // Reports of these agents over time, with what `change` makes of them.
  auto PlayFor(
      Duration span,
      const std::vector<std::string>& agents,
      const std::function<auto(const std::string&, AgentReport*)->void>& change)
      -> void {
    for (const TimePoint end = now_ + span; now_ < end; now_ += kRound) {
      for (const auto& agent : agents) {
        auto report = ReportOf(agent);
        change(agent, &report);
        Report(agent, report);
      }
    }
  }

  // The agent refuses all starts that it has not answered yet.
  auto RefuseStarts(const std::string& agent, AgentReport* report) -> void {
    for (const auto& [number, start] : starts_[agent]) {
      auto* result = report->add_results();
      result->set_order(number);
      result->set_outcome(ORDER_UNHEALTHY);
    }
    starts_[agent].clear();
  }
};

struct StandingCase {
  std::string name;
  std::string why;
  std::vector<std::string> agents = {"agent-0", "agent-1"};
  bool before_claim = false;
  bool needs_ticket = false;
  bool has_rules = true;
  bool draining = false;
  bool silent = false;
  bool refuses = false;
  uint32_t millicores = 1000;
  const char* label = "";
};

class WhyItStandsTest : public OwnerStandingTest,
                        public testing::WithParamInterface<StandingCase> {};

// Guards against a job that stands without a line that says why.
TEST_P(WhyItStandsTest, IsTold) {
  const auto& param = GetParam();
  rules_.set_needs_ticket(param.needs_ticket);
  if (!param.has_rules) {
    rules_.clear_service();
  }
  auto step = Step(2);
  step.mutable_need()->set_millicores(param.millicores);
  step.set_required_label(param.label);
  if (param.before_claim) {
    PutJob({step});
    PutClaim();
    Begin();
  } else {
    Begin();
    PutJob({step});
  }
  PlayFor(milliseconds(3200), param.agents,
          [this, &param](const std::string& agent, AgentReport* report) {
            report->set_draining(param.draining);
            report->set_worker_silent(param.silent);
            if (param.refuses) {
              RefuseStarts(agent, report);
            }
          });
  ASSERT_THAT(standing_told_, SizeIs(1));
  const auto& told = standing_told_.front();
  EXPECT_EQ(told.why, param.why);
  EXPECT_EQ(told.task.job(), kId);
  EXPECT_GE(told.waited, seconds(2));
  EXPECT_LE(told.waited, milliseconds(2400));
  EXPECT_EQ(standing_jobs_, 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    WhyItStandsTest,
    testing::Values(
        StandingCase{
            .name = "census",
            .why = "uncertain, reconciliation waits for 1 of 2 agents: agent-1",
            .agents = {"agent-0"},
            .before_claim = true},
        StandingCase{.name = "no_ticket",
                     .why = "no ticket 2",
                     .needs_ticket = true},
        StandingCase{.name = "no_rules",
                     .why = "its queue has no rules",
                     .has_rules = false},
        StandingCase{.name = "draining", .why = "draining 2", .draining = true},
        StandingCase{.name = "silent", .why = "silent 2", .silent = true},
        StandingCase{.name = "no_room", .why = "no room 2", .millicores = 5000},
        StandingCase{.name = "no_label",
                     .why = "no label 2",
                     .label = "accelerator"},
        StandingCase{.name = "starts_refused",
                     .why = "quarantined 2",
                     .refuses = true},
        StandingCase{.name = "not_heard",
                     .why = "not reporting 1, no room 1",
                     .agents = {"agent-0"},
                     .millicores = 5000}),
    [](const auto& info) { return info.param.name; });

// Guards against a log that is full of jobs that stand.
TEST_F(OwnerStandingTest, EachIsToldAgainAndNotTooMany) {
  constexpr int kJobs = 8;
  Begin();
  for (int number = 0; number < kJobs; ++number) {
    Job job;
    job.set_id("000000000000000" + std::to_string(number));
    *job.add_steps() = Step(1);
    job.mutable_steps(0)->mutable_need()->set_millicores(5000);
    Put(MakeRecord(RecordKind::kJob, job.id(), job));
  }
  const auto nothing = [](const std::string&, AgentReport*) {};
  PlayFor(milliseconds(2400), {"agent-0"}, nothing);
  EXPECT_THAT(standing_told_, SizeIs(5));
  EXPECT_EQ(standing_jobs_, kJobs);
  PlayFor(milliseconds(3000), {"agent-0"}, nothing);
  EXPECT_THAT(standing_told_, SizeIs(kJobs));
  PlayFor(milliseconds(5000), {"agent-0"}, nothing);
  EXPECT_THAT(standing_told_, SizeIs(2 * kJobs));
}

// Guards against a count of jobs that stand which stays after they run, or
// after their owner has ended.
TEST_F(OwnerStandingTest, CountFallsOnceTheyRun) {
  Begin();
  PutJob({Step(1)});
  const auto drains = [](const std::string&, AgentReport* report) {
    report->set_draining(true);
  };
  PlayFor(milliseconds(2600), {"agent-0"}, drains);
  EXPECT_EQ(standing_jobs_, 1U);
  PlayFor(milliseconds(500), {"agent-0"},
          [this](const std::string& agent, AgentReport* report) {
            *report = Started(agent, 1);
          });
  EXPECT_EQ(Starts(), 1U);
  EXPECT_EQ(standing_jobs_, 0U);
}

TEST_F(OwnerStandingTest, CountFallsWithTheEndOfItsOwner) {
  Begin();
  PutJob({Step(1)});
  PlayFor(milliseconds(2600), {"agent-0"},
          [](const std::string&, AgentReport* report) {
            report->set_draining(true);
          });
  EXPECT_EQ(standing_jobs_, 1U);
  owner_.End();
  EXPECT_EQ(standing_jobs_, 0U);
}

struct RefusedFillerCase {
  std::string name;
  // What was learned of the filler's image.
  double pressure = 1;
  // Of what serves, against its target of 100 ms.
  uint32_t latency_ms = 20;
  uint32_t millicores = 1000;
  bool gang = false;
  std::size_t starts = 1;
};

// A job that fills beside runs that serve, one on each worker.
class RefusedFillerTest
    : public OwnerStandingTest,
      public testing::WithParamInterface<RefusedFillerCase> {
 protected:
  static constexpr char kServing[] = "0000000000000001";
  static constexpr char kFilling[] = "0000000000000002";

  auto PutOneStep(const std::string& id, const JobStep& step) -> void {
    Job job;
    job.set_id(id);
    *job.add_steps() = step;
    Put(MakeRecord(RecordKind::kJob, id, job));
  }

  auto PutServing() -> void {
    auto step = Step(2);
    step.set_long_running(true);
    step.set_max_per_worker(1);
    step.set_target_latency_ms(100);
    step.set_image("web");
    PutOneStep(kServing, step);
  }

  auto PutFilling() -> void {
    const auto& param = GetParam();
    auto step = Step(2);
    step.mutable_need()->set_millicores(param.millicores);
    step.set_uses_spare_processors(true);
    step.set_gang(param.gang);
    step.set_image("filler");
    PutOneStep(kFilling, step);
  }

  auto Play(Duration span) -> void {
    PlayFor(span, {"agent-0", "agent-1"},
            [this](const std::string& agent, AgentReport* report) {
              *report = Started(agent, 0);
              for (auto& row : *report->mutable_running()) {
                row.set_load(
                    row.task().job() == kServing ? GetParam().latency_ms : 0);
              }
            });
  }

  auto FillerStarts() const -> std::size_t {
    std::size_t count = 0;
    for (const auto& [agent, starts] : starts_) {
      for (const auto& [number, start] : starts) {
        count += start.task().job() == kFilling ? 1 : 0;
      }
    }
    return count;
  }
};

// Guards against a job that fills and never starts, as what was learned of its
// image, or what serves everywhere, speaks against it on each worker.
TEST_P(RefusedFillerTest, StartsOneTaskAllTheSame) {
  LearnedPressures learned;
  auto* pressure = learned.add_pressures();
  pressure->set_serving_image("web");
  pressure->set_filler_image("filler");
  pressure->set_pressure(GetParam().pressure);
  Put(MakeRecord(RecordKind::kPressures, "", learned));
  Begin();
  PutServing();
  Play(seconds(1));
  ASSERT_EQ(Starts(), 2U);
  PutFilling();
  Play(milliseconds(1300));
  EXPECT_EQ(FillerStarts(), 0U);
  EXPECT_THAT(owner_.FindIndexErrors(now_), testing::IsEmpty());
  Play(milliseconds(1200));
  EXPECT_EQ(FillerStarts(), GetParam().starts) << "within 2.5 s";
  EXPECT_THAT(owner_.FindIndexErrors(now_), testing::IsEmpty());
  // The others go on keeping away.
  Play(seconds(8));
  EXPECT_EQ(FillerStarts(), GetParam().starts);
  EXPECT_THAT(owner_.FindIndexErrors(now_), testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RefusedFillerTest,
    testing::Values(
        RefusedFillerCase{.name = "learned_pressure_is_huge", .pressure = 1000},
        RefusedFillerCase{.name = "serving_near_the_target", .latency_ms = 99},
        RefusedFillerCase{.name = "few_processors_are_unused",
                          .millicores = 4000},
        RefusedFillerCase{.name = "gang",
                          .pressure = 1000,
                          .gang = true,
                          .starts = 2}),
    [](const auto& info) { return info.param.name; });

// Guards against a small filler that never starts, as a larger one of its image
// is refused.
TEST_F(OwnerStandingTest, FillersOfOneImageAreRefusedEachByItsOwnNeed) {
  Begin();
  auto held = Step(2);
  held.set_long_running(true);
  held.set_max_per_worker(1);
  PutJob({held});
  ReportAll();
  ASSERT_EQ(Starts(), 2U);
  for (const uint32_t millicores : {4000, 1000}) {
    Job job;
    job.set_id("000000000000" + std::to_string(millicores));
    *job.add_steps() = Step(1);
    job.mutable_steps(0)->mutable_need()->set_millicores(millicores);
    job.mutable_steps(0)->set_uses_spare_processors(true);
    job.mutable_steps(0)->set_image("filler");
    Put(MakeRecord(RecordKind::kJob, job.id(), job));
  }
  ReportAll();
  EXPECT_EQ(Starts(), 3U);
}

// Guards against a gang that stands for good after two crashes, as each worker
// has run a suspect since it was asked: nothing told that it waits no longer
// for workers of its own.
TEST_F(OwnerStandingTest, GangOnItsLastTryWaitsForWorkersOfItsOwnNotForLong) {
  constexpr char kGang[] = "0000000000000001";
  auto lasting = Step(2);
  lasting.set_long_running(true);
  lasting.set_max_per_worker(1);
  PutJob({lasting});
  Begin();
  auto crashed = ReportOf("agent-0");
  const auto add = [&crashed](const std::string& job, uint32_t index,
                              uint64_t run) {
    auto* row = crashed.add_crashed();
    row->mutable_task()->set_job(job);
    row->mutable_task()->set_index(index);
    row->set_run(run);
    row->set_worker_id("earlier-life-" + std::to_string(run));
    row->set_number(static_cast<uint64_t>(crashed.crashed_size()));
  };
  add(kId, 0, 1);
  add(kId, 1, 1);
  Report("agent-0", crashed);
  Report("agent-1", ReportOf("agent-1"));
  ASSERT_EQ(Starts(), 2U);
  Job job;
  job.set_id(kGang);
  *job.add_steps() = Step(2);
  job.mutable_steps(0)->set_gang(true);
  Put(MakeRecord(RecordKind::kJob, job.id(), job));
  add(kGang, 0, 2);
  add(kGang, 0, 3);
  Report("agent-0", crashed);
  // Starts have no answer, so that no suspect is known to be sound.
  const auto nothing = [](const std::string&, AgentReport*) {};
  PlayFor(milliseconds(1000), {"agent-0", "agent-1"}, nothing);
  ASSERT_EQ(Starts(), 2U);
  PlayFor(milliseconds(1000), {"agent-0", "agent-1"}, nothing);
  EXPECT_EQ(Starts(), 4U);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

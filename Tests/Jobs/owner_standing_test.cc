// Tests of what an owner logs about starved jobs: jobs of which nothing runs
// although a step is ready.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

using testing::SizeIs;

constexpr milliseconds kReportInterval{100};

class StarvedJobsTest : public JobOwnerTest {
 protected:
  // Sends reports of these agents for `span`; `change` modifies each report.
  auto SendReportsFor(
      Duration span,
      const std::vector<std::string>& agents,
      const std::function<auto(const std::string&, AgentReport*)->void>& change)
      -> void {
    for (const TimePoint end = now_ + span; now_ < end;
         now_ += kReportInterval) {
      for (const auto& agent : agents) {
        auto report = ReportOf(agent);
        change(agent, &report);
        Report(agent, report);
      }
    }
  }

  // Adds a rejection of each start that the agent has not answered yet.
  auto RejectStarts(const std::string& agent, AgentReport* report) -> void {
    for (const auto& [number, start] : starts_[agent]) {
      auto* result = report->add_results();
      result->set_order(number);
      result->set_outcome(ORDER_UNHEALTHY);
    }
    starts_[agent].clear();
  }
};

struct StarvedCase {
  std::string name;
  std::string why;
  std::vector<std::string> agents = {"agent-0", "agent-1"};
  bool before_claim = false;
  bool needs_ticket = false;
  bool has_rules = true;
  bool draining = false;
  bool unresponsive = false;
  bool rejects = false;
  uint32_t millicores = 1000;
  const char* label = "";
};

class StarvationReasonTest : public StarvedJobsTest,
                             public testing::WithParamInterface<StarvedCase> {};

// Guards against a starved job without a log line that gives the reason.
TEST_P(StarvationReasonTest, IsLogged) {
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
  SendReportsFor(milliseconds(3200), param.agents,
                 [this, &param](const std::string& agent, AgentReport* report) {
                   report->set_draining(param.draining);
                   report->set_worker_silent(param.unresponsive);
                   if (param.rejects) {
                     RejectStarts(agent, report);
                   }
                 });
  ASSERT_THAT(logged_starved_jobs_, SizeIs(1));
  const auto& logged = logged_starved_jobs_.front();
  EXPECT_EQ(logged.why, param.why);
  EXPECT_EQ(logged.task.job(), kJobId);
  EXPECT_GE(logged.waited, seconds(2));
  EXPECT_LE(logged.waited, milliseconds(2400));
  EXPECT_EQ(starved_jobs_, 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    StarvationReasonTest,
    testing::Values(
        StarvedCase{
            .name = "census",
            .why = "uncertain, reconciliation waits for 1 of 2 agents: agent-1",
            .agents = {"agent-0"},
            .before_claim = true},
        StarvedCase{.name = "no_ticket",
                    .why = "no ticket 2",
                    .needs_ticket = true},
        StarvedCase{.name = "no_rules",
                    .why = "its queue has no rules",
                    .has_rules = false},
        StarvedCase{.name = "draining", .why = "draining 2", .draining = true},
        StarvedCase{.name = "silent", .why = "silent 2", .unresponsive = true},
        StarvedCase{.name = "no_room", .why = "no room 2", .millicores = 5000},
        StarvedCase{.name = "no_label",
                    .why = "no label 2",
                    .label = "accelerator"},
        StarvedCase{.name = "starts_refused",
                    .why = "quarantined 2",
                    .rejects = true},
        StarvedCase{.name = "not_heard",
                    .why = "not reporting 1, no room 1",
                    .agents = {"agent-0"},
                    .millicores = 5000}),
    [](const auto& info) { return info.param.name; });

// Guards against a log that is flooded with lines about starved jobs.
TEST_F(StarvedJobsTest, EachIsLoggedRepeatedlyAndNotTooManyAtOnce) {
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
  SendReportsFor(milliseconds(2400), {"agent-0"}, nothing);
  EXPECT_THAT(logged_starved_jobs_, SizeIs(5));
  EXPECT_EQ(starved_jobs_, kJobs);
  SendReportsFor(milliseconds(3000), {"agent-0"}, nothing);
  EXPECT_THAT(logged_starved_jobs_, SizeIs(kJobs));
  SendReportsFor(milliseconds(5000), {"agent-0"}, nothing);
  EXPECT_THAT(logged_starved_jobs_, SizeIs(2 * kJobs));
}

// Guards against long-running tasks that stay down without a log line because
// others of their job run.
TEST_F(StarvedJobsTest, LongRunningTasksAreNamedAlthoughOthersRun) {
  constexpr uint32_t kTasks = 10;
  auto step = Step(kTasks);
  step.set_long_running(true);
  Begin();
  PutJob({step});
  SendReportsFor(milliseconds(3200), {"agent-0", "agent-1"},
                 [this](const std::string& agent, AgentReport* report) {
                   *report = Started(agent, 1);
                 });
  // Each worker has room for four.
  ASSERT_EQ(Starts(), 8U);
  ASSERT_THAT(logged_starved_jobs_, SizeIs(1));
  const auto& logged = logged_starved_jobs_.front();
  EXPECT_EQ(logged.why, "no room 2");
  EXPECT_EQ(logged.waiting, 2U);
  ASSERT_THAT(logged.tasks, SizeIs(2));
  EXPECT_EQ(DescribeTask(logged.tasks[0]), std::string(kJobId) + ".0.0.8");
  EXPECT_EQ(DescribeTask(logged.tasks[1]), std::string(kJobId) + ".0.0.9");
  // A job of which something runs does not count as starved.
  EXPECT_EQ(starved_jobs_, 0U);
}

// Guards against leases that lapse together because the owner does not hear
// from its agents, without a line that says so.
TEST_F(StarvedJobsTest, SilentAgentsAreLoggedRepeatedly) {
  Begin();
  ReportAll();
  const auto nothing = [](const std::string&, AgentReport*) {};
  SendReportsFor(milliseconds(1400), {"agent-0"}, nothing);
  EXPECT_THAT(logged_silent_agents_, SizeIs(0));
  SendReportsFor(milliseconds(600), {"agent-0"}, nothing);
  ASSERT_THAT(logged_silent_agents_, SizeIs(1));
  const auto& logged = logged_silent_agents_.front();
  EXPECT_EQ(logged.silent, 1U);
  EXPECT_EQ(logged.agents, 2U);
  EXPECT_THAT(logged.names, testing::ElementsAre("agent-1"));
  EXPECT_GE(logged.longest, milliseconds(1500));
  SendReportsFor(milliseconds(3000), {"agent-0"}, nothing);
  EXPECT_THAT(logged_silent_agents_, SizeIs(1));
  SendReportsFor(milliseconds(500), {"agent-0", "agent-1"}, nothing);
  SendReportsFor(milliseconds(1400), {"agent-0", "agent-1"}, nothing);
  EXPECT_THAT(logged_silent_agents_, SizeIs(1));
}

// Guards against a count of starved jobs that remains after they run or after
// their owner has ended.
TEST_F(StarvedJobsTest, CountFallsOnceTheyRun) {
  Begin();
  PutJob({Step(1)});
  const auto drains = [](const std::string&, AgentReport* report) {
    report->set_draining(true);
  };
  SendReportsFor(milliseconds(2600), {"agent-0"}, drains);
  EXPECT_EQ(starved_jobs_, 1U);
  SendReportsFor(milliseconds(500), {"agent-0"},
                 [this](const std::string& agent, AgentReport* report) {
                   *report = Started(agent, 1);
                 });
  EXPECT_EQ(Starts(), 1U);
  EXPECT_EQ(starved_jobs_, 0U);
}

TEST_F(StarvedJobsTest, CountFallsWithTheEndOfItsOwner) {
  Begin();
  PutJob({Step(1)});
  SendReportsFor(milliseconds(2600), {"agent-0"},
                 [](const std::string&, AgentReport* report) {
                   report->set_draining(true);
                 });
  EXPECT_EQ(starved_jobs_, 1U);
  owner_.End();
  EXPECT_EQ(starved_jobs_, 0U);
}

struct RejectedOpportunisticCase {
  std::string name;
  // Pressure learned for the opportunistic task's image.
  double pressure = 1;
  // Latency of the serving tasks, whose target is 100 ms.
  uint32_t latency_ms = 20;
  uint32_t millicores = 1000;
  bool gang = false;
  std::size_t starts = 1;
};

// An opportunistic job beside serving runs, one on each worker.
class RejectedOpportunisticJobTest
    : public StarvedJobsTest,
      public testing::WithParamInterface<RejectedOpportunisticCase> {
 protected:
  static constexpr char kServing[] = "0000000000000001";
  static constexpr char kOpportunistic[] = "0000000000000002";

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

  auto PutOpportunistic() -> void {
    const auto& param = GetParam();
    auto step = Step(2);
    step.mutable_need()->set_millicores(param.millicores);
    step.set_uses_spare_processors(true);
    step.set_gang(param.gang);
    step.set_image("filler");
    PutOneStep(kOpportunistic, step);
  }

  auto RunFor(Duration span) -> void {
    SendReportsFor(span, {"agent-0", "agent-1"},
                   [this](const std::string& agent, AgentReport* report) {
                     *report = Started(agent, 0);
                     for (auto& row : *report->mutable_running()) {
                       row.set_load(row.task().job() == kServing
                                        ? GetParam().latency_ms
                                        : 0);
                     }
                   });
  }

  auto OpportunisticStarts() const -> std::size_t {
    std::size_t count = 0;
    for (const auto& [agent, starts] : starts_) {
      for (const auto& [number, start] : starts) {
        count += start.task().job() == kOpportunistic ? 1 : 0;
      }
    }
    return count;
  }
};

// Guards against an opportunistic job that never starts because the pressure
// learned for its image, or the load of the serving tasks, rules out each
// worker.
TEST_P(RejectedOpportunisticJobTest, StartsOneTaskNevertheless) {
  LearnedPressures learned;
  auto* pressure = learned.add_pressures();
  pressure->set_serving_image("web");
  pressure->set_filler_image("filler");
  pressure->set_pressure(GetParam().pressure);
  Put(MakeRecord(RecordKind::kPressures, "", learned));
  Begin();
  PutServing();
  RunFor(seconds(1));
  ASSERT_EQ(Starts(), 2U);
  PutOpportunistic();
  RunFor(milliseconds(1300));
  EXPECT_EQ(OpportunisticStarts(), 0U);
  EXPECT_THAT(owner_.FindIndexErrors(now_), testing::IsEmpty());
  RunFor(milliseconds(1200));
  EXPECT_EQ(OpportunisticStarts(), GetParam().starts) << "within 2.5 s";
  EXPECT_THAT(owner_.FindIndexErrors(now_), testing::IsEmpty());
  // The other tasks still do not start.
  RunFor(seconds(8));
  EXPECT_EQ(OpportunisticStarts(), GetParam().starts);
  EXPECT_THAT(owner_.FindIndexErrors(now_), testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RejectedOpportunisticJobTest,
    testing::Values(
        RejectedOpportunisticCase{.name = "learned_pressure_is_huge",
                                  .pressure = 1000},
        RejectedOpportunisticCase{.name = "serving_near_the_target",
                                  .latency_ms = 99},
        RejectedOpportunisticCase{.name = "few_processors_are_unused",
                                  .millicores = 4000},
        RejectedOpportunisticCase{.name = "gang",
                                  .pressure = 1000,
                                  .gang = true,
                                  .starts = 2}),
    [](const auto& info) { return info.param.name; });

// Guards against a small opportunistic task that never starts because a larger
// one of the same image is rejected.
TEST_F(StarvedJobsTest, TasksOfOneImageAreRejectedEachByItsOwnNeed) {
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

// Guards against a gang that is starved forever after two crashes because each
// worker has run a suspected task since the gang was last tried: nothing
// triggered a new scan when the gang no longer waited for workers of its own.
TEST_F(StarvedJobsTest, GangOnItsLastAttemptWaitsBrieflyForWorkersOfItsOwn) {
  constexpr char kGang[] = "0000000000000001";
  auto long_running = Step(2);
  long_running.set_long_running(true);
  long_running.set_max_per_worker(1);
  PutJob({long_running});
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
  add(kJobId, 0, 1);
  add(kJobId, 1, 1);
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
  // The starts are not answered, so no suspected task is known to run without a
  // crash.
  const auto nothing = [](const std::string&, AgentReport*) {};
  SendReportsFor(milliseconds(1000), {"agent-0", "agent-1"}, nothing);
  ASSERT_EQ(Starts(), 2U);
  SendReportsFor(milliseconds(1000), {"agent-0", "agent-1"}, nothing);
  EXPECT_EQ(Starts(), 4U);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

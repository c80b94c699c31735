// Tests of jobs with very many due occurrences.

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

struct OccurrencesCase {
  std::string name;
  // Number of steps, one after the other, with one task each.
  int steps = 0;
  uint32_t occurrences = 0;
};

class ManyOccurrencesTest
    : public JobOwnerTest,
      public testing::WithParamInterface<OccurrencesCase> {
 protected:
  ManyOccurrencesTest() {
    wall_time_ = std::chrono::hours(24);
    std::vector<JobStep> steps;
    for (int number = 0; number < GetParam().steps; ++number) {
      JobStep step = Step(1);
      step.mutable_need()->set_millicores(10);
      if (number > 0) {
        step.add_after(static_cast<uint32_t>(number - 1));
      }
      steps.push_back(step);
    }
    PutJob(steps, GetParam().occurrences);
  }

  auto State() const -> JobState { return fold_.Find(kJobId)->state(); }

  // Ends all runs that the agent was ordered to start, as done.
  auto EndRuns(const std::string& agent) -> void {
    auto report = ReportOf(agent);
    for (const auto& [number, start] : std::exchange(starts_[agent], {})) {
      EXPECT_TRUE(started_.insert(DescribeTask(start.task())).second)
          << DescribeTask(start.task()) << " started twice";
      auto* result = report.add_results();
      result->set_order(number);
      result->set_outcome(ORDER_DONE);
      auto* ended = report.add_ended();
      ended->set_number(++ends_[agent]);
      *ended->mutable_task() = start.task();
      ended->set_run(start.run());
      ended->set_end(RUN_DONE);
    }
    Report(agent, report);
  }

  auto StoreBatchWithinLimits() -> void {
    for (const auto& record : owner_.TakeBatch()) {
      EXPECT_LE(SizeInLog(record), LogLimits().record_bytes);
      Put(record);
    }
    owner_.OnBatchStored(now_);
  }

  // Lets agents end what they start until so many tasks have started.
  auto RunUntil(std::size_t tasks) -> void {
    constexpr int kMaxRounds = 5000;
    for (int round = 0; round < kMaxRounds && State() != JOB_COMPLETED &&
                        started_.size() < tasks;
         ++round) {
      now_ += milliseconds(20);
      for (const char* agent : {"agent-0", "agent-1"}) {
        EndRuns(agent);
      }
      StoreBatchWithinLimits();
    }
  }

  std::set<std::string> started_;
  std::map<std::string, uint64_t> ends_;
};

// Guards against a cell that stops: the progress of one job outgrew the log's
// records, and nothing was stored after it. The second half is done by the next
// owner, which must not repeat the first one.
TEST_P(ManyOccurrencesTest, AllAreDoneOnceByTwoOwners) {
  const std::size_t tasks =
      std::size_t{GetParam().occurrences} * GetParam().steps;
  Begin();
  ReportAll();
  RunUntil(tasks / 2);
  EXPECT_GE(started_.size(), tasks / 2);
  starts_.clear();
  for (const char* agent : {"agent-0", "agent-1"}) {
    // All ends are stored, so that the agents list none.
    ends_[agent] = fold_.ends_logged(std::string("life-of-") + agent);
  }
  const std::size_t done = started_.size();
  Begin();
  ReportAll();
  RunUntil(tasks + 1);
  EXPECT_GT(started_.size(), done);
  EXPECT_EQ(started_.size(), tasks);
  EXPECT_EQ(State(), JOB_COMPLETED);
  EXPECT_TRUE(large_records_.empty());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ManyOccurrencesTest,
                         testing::Values(OccurrencesCase{"one_step", 1, 30000},
                                         OccurrencesCase{"three_steps", 3,
                                                         12000}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

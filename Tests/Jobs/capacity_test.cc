// Tests of workers whose capacity shrinks and grows again while they run tasks.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "Tests/Jobs/job_owner_fixture.h"

namespace rhubarbhaven::jobs {
namespace {

struct CapacityCase {
  std::string name;
  // Capacity that the worker reports once four tasks of 1,000 millicores and
  // 100 MB run there.
  uint32_t millicores = 0;
  uint64_t memory_mb = 0;
  // How many of these tasks have ended and are being stopped; the others
  // continue to run.
  int ended = 0;
  int stopping = 0;
  int more_starts = 0;
};

class CapacityTest : public JobOwnerTest,
                     public testing::WithParamInterface<CapacityCase> {
 protected:
  static auto TaskStep(uint32_t count) -> JobStep {
    JobStep step = Step(count);
    step.mutable_need()->set_memory_mb(100);
    return step;
  }

  // Returns the worker's report for the case, with the first tasks ended.
  auto ChangedWorker() -> AgentReport {
    auto report = Started("agent-0", 10);
    report.mutable_capacity()->set_millicores(GetParam().millicores);
    report.mutable_capacity()->set_memory_mb(GetParam().memory_mb);
    for (int end = 0; end < GetParam().ended; ++end) {
      auto* row = report.add_ended();
      row->set_number(static_cast<uint64_t>(end) + 1);
      *row->mutable_task() = report.running(end).task();
      row->set_run(report.running(end).run());
      row->set_end(RUN_DONE);
    }
    report.mutable_running()->DeleteSubrange(0, GetParam().ended);
    return report;
  }
};

// Guards against a start that exceeds the capacity that the worker reports now,
// since some workers do not reject it. Runs that are being stopped still count.
TEST_P(CapacityTest, NothingStartsBeyondTheReportedCapacity) {
  PutJob({TaskStep(12)});
  Begin();
  Report("agent-0", ReportOf("agent-0"));
  ASSERT_EQ(starts_["agent-0"].size(), 4U);
  Report("agent-0", Started("agent-0", 10));
  now_ += milliseconds(100);
  auto report = ChangedWorker();
  if (GetParam().stopping > 0) {
    // The tasks make no progress.
    now_ += seconds(3);
    Report("agent-0", Started("agent-0", 10));
    ASSERT_EQ(stops_["agent-0"].size(), 4U);
    now_ += seconds(5);
  }
  Report("agent-0", report);
  EXPECT_EQ(starts_["agent-0"].size(),
            4U + static_cast<std::size_t>(GetParam().more_starts));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CapacityTest,
    testing::Values(
        CapacityCase{"as_before", 4000, 4000, 2, 0, 2},
        CapacityCase{"fewer_processors", 3000, 4000, 2, 0, 1},
        CapacityCase{"less_memory", 4000, 300, 2, 0, 1},
        CapacityCase{"less_than_runs_on", 1000, 4000, 2, 0, 0},
        CapacityCase{"less_memory_than_runs_on", 4000, 100, 2, 0, 0},
        CapacityCase{"just_what_runs", 2000, 4000, 2, 0, 0},
        CapacityCase{"being_stopped", 4000, 4000, 0, 4, 0},
        CapacityCase{"being_stopped_and_fewer_processors", 2000, 4000, 1, 3, 0},
        CapacityCase{"grown", 6000, 4000, 0, 0, 2}),
    [](const auto& info) { return info.param.name; });

// Guards against a worker that is still used at an earlier, smaller capacity.
TEST_F(JobOwnerTest, RoomThatHasGrownAgainIsUsedAtOnce) {
  PutJob({Step(4)});
  Begin();
  for (const uint32_t millicores : {1U, 4000U}) {
    auto report = ReportOf("agent-0");
    report.mutable_capacity()->set_millicores(millicores);
    Report("agent-0", report);
  }
  EXPECT_EQ(starts_["agent-0"].size(), 4U);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

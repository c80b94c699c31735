#include "Jobs/placement_order.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using testing::ElementsAre;
using testing::IsEmpty;

// Estimated duration of each step of the test's jobs.
constexpr milliseconds kStepTime{1000};

class PlacementOrderTest : public testing::Test {
 protected:
  // Adds a job of consecutive steps with two tasks each.
  auto Add(const std::string& id, milliseconds received, int steps = 1)
      -> JobWork& {
    auto& stored = stored_.emplace_back(std::make_unique<StoredJob>());
    stored->job.set_id(id);
    stored->job.set_received_unix_ms(static_cast<uint64_t>(received.count()));
    stored->accepted_at = stored_.size();
    for (int number = 0; number < steps; ++number) {
      auto* step = stored->job.add_steps();
      step->set_count(2);
      step->set_estimated_ms(static_cast<uint64_t>(kStepTime.count()));
      if (number > 0) {
        step->add_after(static_cast<uint32_t>(number - 1));
      }
    }
    auto& work = work_.emplace_back(std::make_unique<JobWork>());
    work->entry = stored.get();
    work->Open(TimePoint(), 0, /*uncertain=*/false);
    order_.MarkChanged(*work);
    return *work;
  }

  auto Update(milliseconds wall) -> void {
    order_.Update(wall, [this](JobWork& work, JobOutlook outlook) -> void {
      work.outlook = outlook;
      changed_jobs_.push_back(work.job().id());
    });
  }

  // "JOB.STEP" in the order in which they are served.
  auto Steps() const -> std::vector<std::string> {
    std::vector<std::string> names;
    for (const auto& step : order_.steps()) {
      names.push_back(step.place.work->job().id() + "." +
                      std::to_string(step.place.step));
    }
    return names;
  }

  std::vector<std::unique_ptr<StoredJob>> stored_;
  std::vector<std::unique_ptr<JobWork>> work_;
  // Jobs whose outlook has changed.
  std::vector<std::string> changed_jobs_;
  PlacementOrder order_;
};

TEST_F(PlacementOrderTest, OrdersStepsByDueTime) {
  Add("later", milliseconds(500));
  Add("sooner", milliseconds(0));
  Update(milliseconds(0));
  EXPECT_THAT(Steps(), ElementsAre("sooner.0", "later.0"));
}

// Guards against an order that becomes outdated as time passes: a job that has
// become late is placed behind one that can be in time, even if nothing of it
// has changed.
TEST_F(PlacementOrderTest, MovesBackAJobThatHasBecomeLate) {
  Add("sooner", milliseconds(0));
  Add("later", milliseconds(500));
  Update(milliseconds(0));
  Update(milliseconds(1));
  EXPECT_THAT(changed_jobs_, ElementsAre("sooner"));
  EXPECT_THAT(Steps(), ElementsAre("later.0", "sooner.0"));
}

TEST_F(PlacementOrderTest, JobIsInTimeAgainWhenTheClockIsSetBack) {
  Add("job", milliseconds(500));
  Update(milliseconds(900));
  Update(milliseconds(400));
  EXPECT_THAT(changed_jobs_, ElementsAre("job", "job"));
  EXPECT_EQ(work_.front()->outlook, JobOutlook::kInTime);
}

TEST_F(PlacementOrderTest, OmitsAStepWhoseTasksAllRun) {
  JobWork& work = Add("job", milliseconds(0));
  auto& step = work.occurrences.at(0).steps[0];
  step.AddRun(0, {});
  step.AddRun(1, {});
  Update(milliseconds(0));
  EXPECT_THAT(Steps(), IsEmpty());
  step.RemoveRun(1, step.tasks()[1].runs.begin());
  order_.MarkChanged(work);
  Update(milliseconds(0));
  EXPECT_THAT(Steps(), ElementsAre("job.0"));
}

TEST_F(PlacementOrderTest, IncludesAStepOnceThePrecedingOnesAreDone) {
  JobWork& work = Add("job", milliseconds(0), /*steps=*/2);
  Update(milliseconds(0));
  EXPECT_THAT(Steps(), ElementsAre("job.0"));
  work.occurrences.at(0).steps[0].SetDone(0);
  work.occurrences.at(0).steps[0].SetDone(1);
  order_.MarkChanged(work);
  Update(milliseconds(0));
  EXPECT_THAT(Steps(), ElementsAre("job.1"));
}

TEST_F(PlacementOrderTest, ForgetsAJob) {
  Add("gone", milliseconds(0));
  Add("kept", milliseconds(0));
  Update(milliseconds(0));
  order_.Forget(*work_.front());
  Update(milliseconds(5000));
  EXPECT_THAT(Steps(), ElementsAre("kept.0"));
  EXPECT_THAT(changed_jobs_, ElementsAre("kept"));
}

TEST(StepWorkTest, CountsWaitingTasks) {
  StepWork step(3, TaskWork());
  step.AddRun(0, {});
  EXPECT_EQ(step.waiting(), 2U);
  EXPECT_EQ(step.first_waiting(), 1U);
  step.SetDone(0);
  step.RemoveRun(0, step.tasks()[0].runs.begin());
  EXPECT_EQ(step.waiting(), 2U);
  EXPECT_EQ(step.first_waiting(), 1U);
  step.AddRun(1, {});
  step.AddRun(2, {});
  EXPECT_EQ(step.waiting(), 0U);
  step.RemoveRun(1, step.tasks()[1].runs.begin());
  EXPECT_EQ(step.waiting(), 1U);
  EXPECT_EQ(step.first_waiting(), 1U);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

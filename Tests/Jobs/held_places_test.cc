#include "Jobs/held_places.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class HeldPlacesTest : public testing::Test {
 protected:
  HeldPlacesTest() {
    auto* step = stored_.job.add_steps();
    step->set_count(2);
    step->mutable_need()->set_millicores(1000);
    step->mutable_need()->set_memory_mb(500);
    step->set_uses_spare_processors(true);
    work_.entry = &stored_;
    work_.Open(TimePoint(), 0, /*uncertain=*/false);
    worker_.worker_id = "life";
    worker_.confirmed = true;
    worker_.grants_recorded = true;
    worker_.reported_at = now_;
    worker_.capacity = {4000, 1000, 0};
  }

  auto Task(uint32_t index) -> TaskPlace { return {&work_, 0, 0, index}; }

  TimePoint now_{seconds(100)};
  StoredJob stored_;
  JobWork work_;
  WorkerView worker_;
  int released_ = 0;
  HeldPlaces places_{[this](WorkerView&) -> void { ++released_; }};
};

// Guards against a move whose place another task takes before the moved task
// can start.
TEST_F(HeldPlacesTest, PlaceCountsAsUsedUntilReleased) {
  places_.Hold(now_ + seconds(2), Task(0), worker_);
  EXPECT_EQ(worker_.Free().memory_mb, 500);
  EXPECT_EQ(worker_.spare_millicores_used, 1000);
  EXPECT_EQ(worker_.held_places.size(), 1U);
  places_.Release(Task(1));
  EXPECT_EQ(places_.size(), 1U);
  places_.Release(Task(0));
  EXPECT_EQ(worker_.Free().memory_mb, 1000);
  EXPECT_EQ(worker_.spare_millicores_used, 0);
  EXPECT_TRUE(worker_.held_places.empty());
  EXPECT_EQ(released_, 1);
}

struct ReleaseCase {
  std::string name;
  std::function<auto(HeldPlaces&, WorkerView&, const TaskPlace&)->void> event;
  std::size_t left = 0;
};

class HeldPlacesReleaseTest : public HeldPlacesTest,
                              public testing::WithParamInterface<ReleaseCase> {
};

// Guards against a place that stays held for a task that will not start there.
TEST_P(HeldPlacesReleaseTest, ReleasesPlace) {
  places_.Hold(now_ + seconds(2), Task(0), worker_);
  GetParam().event(places_, worker_, Task(0));
  EXPECT_EQ(places_.size(), GetParam().left);
  EXPECT_EQ(worker_.held_places.size(), GetParam().left);
}

INSTANTIATE_TEST_SUITE_P(
    Events,
    HeldPlacesReleaseTest,
    testing::Values(ReleaseCase{"still_held",
                                [](auto& places, auto& worker, const auto&) {
                                  worker.reported_at += milliseconds(1900);
                                  places.Expire(worker.reported_at);
                                },
                                1},
                    ReleaseCase{"expired",
                                [](auto& places, auto& worker, const auto&) {
                                  worker.reported_at += milliseconds(2000);
                                  places.Expire(worker.reported_at);
                                }},
                    ReleaseCase{"worker_drains",
                                [](auto& places, auto& worker, const auto&) {
                                  worker.draining = true;
                                  places.Expire(worker.reported_at);
                                }},
                    ReleaseCase{"job_ends",
                                [](auto& places, auto&, const auto& place) {
                                  places.ReleaseJob(*place.work);
                                }},
                    ReleaseCase{"worker_is_forgotten",
                                [](auto& places, auto& worker, const auto&) {
                                  places.ReleaseWorker(worker);
                                }}),
    [](const auto& param) { return param.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

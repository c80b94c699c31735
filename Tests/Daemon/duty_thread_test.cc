#include "Daemon/duty_thread.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <thread>

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an owner that takes in reports for as long as they come and
// renews no lease meanwhile: jobs arrive as fast as they are run.
TEST(DutyThreadTest, TicksAlsoWhileJobsKeepComing) {
  constexpr seconds kPatience{5};
  std::atomic<int> ticks = 0;
  DutyThread duty({.on_tick = [&ticks](TimePoint) -> void { ++ticks; },
                   .next_wake = []() -> TimePoint { return TimePoint(); }});
  const TimePoint end = Clock::now() + kPatience;
  std::function<auto(TimePoint)->void> again = [&](TimePoint now) -> void {
    if (ticks < 3 && now < end) {
      duty.Post(again);
    }
  };
  duty.PostOrWait(again);
  duty.Start();
  while (ticks < 3 && Clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  EXPECT_GE(ticks, 3);
  EXPECT_LT(Clock::now(), end);
  duty.Stop();
}

// Guards against a worker that is taken for silent while its report waits
// behind those of others: a tick goes behind all that waited before it.
TEST(DutyThreadTest, TicksAfterAllThatWaited) {
  constexpr int kWaiting = 2000;
  std::atomic<int> run = 0;
  std::atomic<int> run_before_tick = -1;
  DutyThread duty({.on_tick = [&](TimePoint) -> void {
                     if (run_before_tick < 0) {
                       run_before_tick = run.load();
                     }
                   },
                   .next_wake = []() -> TimePoint { return TimePoint(); }});
  for (int job = 0; job < kWaiting; ++job) {
    ASSERT_TRUE(duty.Post([&run](TimePoint) -> void { ++run; }));
  }
  duty.Start();
  const TimePoint end = Clock::now() + seconds(5);
  while (run_before_tick < 0 && Clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  duty.Stop();
  EXPECT_EQ(run_before_tick, kWaiting);
}

}  // namespace
}  // namespace rhubarbhaven

#include "Daemon/event_loop_thread.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <thread>

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an owner that processes reports for as long as they arrive and
// renews no lease meanwhile: callbacks are posted as fast as they run.
TEST(EventLoopThreadTest, TicksWhileCallbacksKeepComing) {
  constexpr seconds kTimeout{5};
  std::atomic<int> ticks = 0;
  EventLoopThread loop(
      {.on_tick = [&ticks](TimePoint) -> void { ++ticks; },
       .next_wake = []() -> TimePoint { return TimePoint(); }});
  const TimePoint end = Clock::now() + kTimeout;
  std::function<auto(TimePoint)->void> again = [&](TimePoint now) -> void {
    if (ticks < 3 && now < end) {
      loop.Post(again);
    }
  };
  loop.PostOrWait(again);
  loop.Start();
  while (ticks < 3 && Clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  EXPECT_GE(ticks, 3);
  EXPECT_LT(Clock::now(), end);
  loop.Stop();
}

// Guards against a worker that is declared unresponsive while its report is
// queued behind those of others: a tick runs after all callbacks that were
// queued before it.
TEST(EventLoopThreadTest, TicksAfterAllQueuedCallbacks) {
  constexpr int kQueued = 2000;
  std::atomic<int> run = 0;
  std::atomic<int> run_before_tick = -1;
  EventLoopThread loop(
      {.on_tick = [&](TimePoint) -> void {
         if (run_before_tick < 0) {
           run_before_tick = run.load();
         }
       },
       .next_wake = []() -> TimePoint { return TimePoint(); }});
  for (int i = 0; i < kQueued; ++i) {
    ASSERT_TRUE(loop.Post([&run](TimePoint) -> void { ++run; }));
  }
  loop.Start();
  const TimePoint end = Clock::now() + seconds(5);
  while (run_before_tick < 0 && Clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  loop.Stop();
  EXPECT_EQ(run_before_tick, kQueued);
}

// Guards against a loop whose stall goes unnoticed: a callback that waits uses
// no processor time, as a process that is stopped.
TEST(EventLoopThreadTest, ReportsIterationsThatTakeTooLong) {
  std::atomic<bool> reported = false;
  std::atomic<Duration> processor_time = Duration(0);
  EventLoopThread loop(
      {.on_tick = [](TimePoint) -> void {},
       .next_wake = []() -> TimePoint { return TimePoint::max(); },
       .on_stall = [&](const Stall& stall) -> void {
         processor_time = stall.processor_time;
         reported = true;
       }});
  loop.Start();
  loop.PostOrWait([](TimePoint) -> void {
    std::this_thread::sleep_for(milliseconds(1300));
  });
  const TimePoint end = Clock::now() + seconds(5);
  while (!reported && Clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  loop.Stop();
  EXPECT_TRUE(reported);
  EXPECT_LT(processor_time.load(), milliseconds(500));
}

}  // namespace
}  // namespace rhubarbhaven

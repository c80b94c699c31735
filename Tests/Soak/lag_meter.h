#ifndef RHUBARBHAVEN_TESTS_SOAK_LAG_METER_H_
#define RHUBARBHAVEN_TESTS_SOAK_LAG_METER_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

#include "Base/base.h"

namespace rhubarbhaven::soak {

// Measures by how much a sleeping thread is woken late. On an overloaded
// machine the daemons are delayed by as much.
class SchedulingLagMeter {
 public:
  SchedulingLagMeter() : thread_([this]() -> void { Run(); }) {}
  SchedulingLagMeter(const SchedulingLagMeter&) = delete;
  auto operator=(const SchedulingLagMeter&) -> SchedulingLagMeter& = delete;
  ~SchedulingLagMeter() {
    stop_ = true;
    thread_.join();
  }

  auto longest() const -> std::chrono::milliseconds { return longest_; }

 private:
  auto Run() -> void {
    constexpr std::chrono::milliseconds kSampleInterval{10};
    while (!stop_) {
      const TimePoint due = Clock::now() + kSampleInterval;
      std::this_thread::sleep_until(due);
      const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
          Clock::now() - due);
      longest_ = std::max(longest_.load(), late);
    }
  }

  std::atomic<bool> stop_ = false;
  std::atomic<std::chrono::milliseconds> longest_{};
  std::thread thread_;
};

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_LAG_METER_H_

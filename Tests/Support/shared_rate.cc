#include "Tests/Support/shared_rate.h"

#include <algorithm>

namespace rhubarbhaven::test {
namespace {

// How long a byte waits at most in the queue of the link: that of a network
// device with 1000 packets, at a few megabits per second.
constexpr std::chrono::seconds kMaxQueue{4};

}  // namespace

SharedRate::SharedRate(std::size_t bytes_per_second)
    : bytes_per_second_(bytes_per_second) {}

auto SharedRate::Reserve(std::size_t bytes, Time now) -> Time {
  const std::lock_guard lock(mutex_);
  const std::chrono::duration<double> takes(
      static_cast<double>(bytes) / static_cast<double>(bytes_per_second_));
  free_at_ = std::max(free_at_, now) +
             std::chrono::duration_cast<Time::duration>(takes);
  return free_at_;
}

auto SharedRate::IsFull(Time now) const -> bool {
  const std::lock_guard lock(mutex_);
  return free_at_ - now > kMaxQueue;
}

}  // namespace rhubarbhaven::test

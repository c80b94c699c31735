#ifndef RHUBARBHAVEN_TESTS_SUPPORT_SHARED_RATE_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_SHARED_RATE_H_

#include <chrono>
#include <cstddef>
#include <mutex>

namespace rhubarbhaven::test {

// A link with a rate that several connections share: their bytes pass one after
// the other, in the order in which they are reserved. Thread-safe.
class SharedRate {
 public:
  using Time = std::chrono::steady_clock::time_point;

  explicit SharedRate(std::size_t bytes_per_second);

  // Adds these bytes to the queue of the link and returns when the last of them
  // has passed.
  auto Reserve(std::size_t bytes, Time now) -> Time;
  // Whether the queue holds as much as it may, so that senders have to wait.
  auto IsFull(Time now) const -> bool;

 private:
  std::size_t bytes_per_second_;
  mutable std::mutex mutex_;
  // When all reserved bytes have passed.
  Time free_at_;
};

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_SUPPORT_SHARED_RATE_H_

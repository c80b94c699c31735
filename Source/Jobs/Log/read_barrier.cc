#include "Jobs/Log/read_barrier.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// Maximum number of concurrent waiters. Each waits for a few milliseconds, or
// until its deadline if the log is unavailable.
constexpr std::size_t kMaxWaiters = 1024;
// Minimum interval between two requests. Calls for jobs that do not exist must
// not exhaust the read capacity of the log.
constexpr std::chrono::milliseconds kMinRequestInterval{20};

}  // namespace

ReadBarrier::ReadBarrier(ReadBarrierHooks hooks) : hooks_(std::move(hooks)) {}

auto ReadBarrier::Await(TimePoint now, TimePoint expires_at, OnPassed on_passed)
    -> void {
  if (!hooks_.read_to() || waiters_.size() >= kMaxWaiters) {
    on_passed(now, false);
    return;
  }
  Waiter waiter;
  waiter.expires_at = expires_at;
  waiter.on_passed = std::move(on_passed);
  waiters_.push_back(std::move(waiter));
  RequestEnd(now);
}

auto ReadBarrier::OnReadTo(TimePoint now) -> void {
  const auto read_to = hooks_.read_to();
  if (read_to) {
    Settle(now, /*passed=*/true, [&read_to](const Waiter& waiter) -> bool {
      return waiter.end && *waiter.end <= *read_to;
    });
  }
}

auto ReadBarrier::Tick(TimePoint now) -> void {
  OnReadTo(now);
  Settle(now, /*passed=*/false, [now](const Waiter& waiter) -> bool {
    return waiter.expires_at <= now;
  });
  RequestEnd(now);
}

auto ReadBarrier::next_wake() const -> TimePoint {
  TimePoint wake = !request_in_flight_ && NeedsRequest() ? next_request_at_
                                                         : TimePoint::max();
  for (const auto& waiter : waiters_) {
    wake = std::min(wake, waiter.expires_at);
  }
  return wake;
}

auto ReadBarrier::RequestEnd(TimePoint now) -> void {
  if (request_in_flight_ || now < next_request_at_ || !NeedsRequest()) {
    return;
  }
  request_in_flight_ = true;
  next_request_at_ = now + kMinRequestInterval;
  read_before_request_ = hooks_.read_to().value_or(0);
  for (auto& waiter : waiters_) {
    waiter.requested = true;
  }
  NewestCall call;
  call.topic = hooks_.topic;
  call.after = kAfterAllKeys;
  hooks_.newest(call,
                [this](TimePoint then, const NewestResult& result) -> void {
                  OnEnd(then, result);
                });
}

auto ReadBarrier::OnEnd(TimePoint now, const NewestResult& result) -> void {
  request_in_flight_ = false;
  // If the log ends before a record that had been read, it has been replaced.
  const bool answered =
      result.answered && hooks_.read_to() && read_before_request_ <= result.end;
  if (answered) {
    for (auto& waiter : waiters_) {
      if (waiter.requested && !waiter.end) {
        waiter.end = result.end;
      }
    }
    hooks_.resume_reading(now);
    OnReadTo(now);
  } else {
    Settle(now, /*passed=*/false, [](const Waiter& waiter) -> bool {
      return waiter.requested && !waiter.end;
    });
  }
  RequestEnd(now);
}

auto ReadBarrier::NeedsRequest() const -> bool {
  return std::any_of(
      waiters_.begin(), waiters_.end(),
      [](const Waiter& waiter) -> bool { return !waiter.requested; });
}

auto ReadBarrier::Settle(TimePoint now,
                         bool passed,
                         const std::function<auto(const Waiter&)->bool>& done)
    -> void {
  const auto first = std::stable_partition(
      waiters_.begin(), waiters_.end(),
      [&done](const Waiter& waiter) -> bool { return !done(waiter); });
  std::vector<Waiter> settled(std::make_move_iterator(first),
                              std::make_move_iterator(waiters_.end()));
  waiters_.erase(first, waiters_.end());
  for (const auto& waiter : settled) {
    waiter.on_passed(now, passed);
  }
}

}  // namespace rhubarbhaven::jobs

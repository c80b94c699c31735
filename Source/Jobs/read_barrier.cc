#include "Jobs/read_barrier.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// Calls that wait at once. Each is held for a few milliseconds, or until its
// deadline if the log is away.
constexpr std::size_t kMostWaiters = 1024;
// Only the log's end is wanted.
constexpr std::size_t kEndReadBytes = 1 << 10;

}  // namespace

ReadBarrier::ReadBarrier(ReadBarrierHooks hooks) : hooks_(std::move(hooks)) {}

auto ReadBarrier::Await(TimePoint now, TimePoint give_up_at, OnPassed on_passed)
    -> void {
  if (!hooks_.read_to() || waiters_.size() >= kMostWaiters) {
    on_passed(now, false);
    return;
  }
  waiters_.push_back({give_up_at, std::move(on_passed), std::nullopt});
  if (!asking_) {
    AskEnd();
  }
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
  Settle(now, /*passed=*/false, [now](const Waiter& waiter) -> bool {
    return waiter.give_up_at <= now;
  });
}

auto ReadBarrier::next_wake() const -> TimePoint {
  TimePoint wake = TimePoint::max();
  for (const auto& waiter : waiters_) {
    wake = std::min(wake, waiter.give_up_at);
  }
  return wake;
}

auto ReadBarrier::AskEnd() -> void {
  asking_ = true;
  asked_for_ = waiters_.size();
  ReadCall call;
  call.from = hooks_.read_to().value_or(0);
  call.most_bytes = kEndReadBytes;
  hooks_.read(call, [this](TimePoint now, const ReadResult& result) -> void {
    OnEnd(now, result);
  });
}

auto ReadBarrier::OnEnd(TimePoint now, const ReadResult& result) -> void {
  asking_ = false;
  const std::size_t answered = std::exchange(asked_for_, 0);
  if (result.outcome == ReadOutcome::kRecords) {
    for (std::size_t i = 0; i < answered; ++i) {
      waiters_[i].end = waiters_[i].end.value_or(result.end);
    }
    hooks_.read_on();
    OnReadTo(now);
  } else {
    std::size_t left = answered;
    Settle(now, /*passed=*/false,
           [&left](const Waiter&) -> bool { return left > 0 && left-- > 0; });
  }
  const bool more = std::any_of(
      waiters_.begin(), waiters_.end(),
      [](const Waiter& waiter) -> bool { return !waiter.end.has_value(); });
  if (more && !asking_) {
    AskEnd();
  }
}

auto ReadBarrier::Settle(TimePoint now,
                         bool passed,
                         const std::function<auto(const Waiter&)->bool>& done)
    -> void {
  std::vector<OnPassed> settled;
  for (std::size_t i = 0; i < waiters_.size();) {
    if (!done(waiters_[i])) {
      ++i;
      continue;
    }
    settled.push_back(std::move(waiters_[i].on_passed));
    waiters_.erase(waiters_.begin() + static_cast<std::ptrdiff_t>(i));
    asked_for_ -= i < asked_for_ ? 1 : 0;
  }
  for (const auto& on_passed : settled) {
    on_passed(now, passed);
  }
}

}  // namespace rhubarbhaven::jobs

#include "Jobs/read_barrier.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// Calls that wait at once. Each is held for a few milliseconds, or until its
// deadline if the log is away.
constexpr std::size_t kMostWaiters = 1024;
// Between two reads: who asks for what is not there must not use up the log's
// reads.
constexpr std::chrono::milliseconds kBetweenReads{20};
// A read from beyond the end is answered with the end, without records.
constexpr uint64_t kBeyondTheEnd = 1ULL << 40;

}  // namespace

ReadBarrier::ReadBarrier(ReadBarrierHooks hooks) : hooks_(std::move(hooks)) {}

auto ReadBarrier::Await(TimePoint now, TimePoint give_up_at, OnPassed on_passed)
    -> void {
  if (!hooks_.read_to() || waiters_.size() >= kMostWaiters) {
    on_passed(now, false);
    return;
  }
  Waiter waiter;
  waiter.give_up_at = give_up_at;
  waiter.on_passed = std::move(on_passed);
  waiters_.push_back(std::move(waiter));
  AskEnd(now);
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
    return waiter.give_up_at <= now;
  });
  AskEnd(now);
}

auto ReadBarrier::next_wake() const -> TimePoint {
  TimePoint wake = !asking_ && ReadIsWanted() ? ask_at_ : TimePoint::max();
  for (const auto& waiter : waiters_) {
    wake = std::min(wake, waiter.give_up_at);
  }
  return wake;
}

auto ReadBarrier::AskEnd(TimePoint now) -> void {
  if (asking_ || now < ask_at_ || !ReadIsWanted()) {
    return;
  }
  asking_ = true;
  ask_at_ = now + kBetweenReads;
  for (auto& waiter : waiters_) {
    waiter.asked = true;
  }
  ReadCall call;
  call.from = kBeyondTheEnd;
  hooks_.read(call, [this](TimePoint then, const ReadResult& result) -> void {
    OnEnd(then, result);
  });
}

auto ReadBarrier::OnEnd(TimePoint now, const ReadResult& result) -> void {
  asking_ = false;
  const auto read_to = hooks_.read_to();
  // A log that ends before what was read of it is another one.
  const bool answered = result.outcome == ReadOutcome::kRecords && read_to &&
                        *read_to <= result.end;
  if (answered) {
    for (auto& waiter : waiters_) {
      if (waiter.asked && !waiter.end) {
        waiter.end = result.end;
      }
    }
    hooks_.read_on(now);
    OnReadTo(now);
  } else {
    Settle(now, /*passed=*/false, [](const Waiter& waiter) -> bool {
      return waiter.asked && !waiter.end;
    });
  }
  AskEnd(now);
}

auto ReadBarrier::ReadIsWanted() const -> bool {
  return std::any_of(
      waiters_.begin(), waiters_.end(),
      [](const Waiter& waiter) -> bool { return !waiter.asked; });
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

#include "Daemon/event_loop_thread.h"

#include <poll.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kMaxWait{500};
constexpr std::chrono::microseconds kRingFullBackoff{200};
// A renewal or a lease that is late by less has no effect.
constexpr std::chrono::milliseconds kMinStall{1000};

}  // namespace

auto LogStall(EventLog& log, const Stall& stall) -> void {
  log.Warn("process_stalled",
           {{"lasted_ms", InMilliseconds(stall.lasted)},
            {"processor_ms", InMilliseconds(stall.processor_time)}});
}

EventLoopThread::EventLoopThread(EventLoopOptions options)
    : options_(std::move(options)),
      ring_(options_.ring_capacity),
      stalls_(kMinStall) {}

EventLoopThread::~EventLoopThread() {
  Stop();
}

auto EventLoopThread::Start() -> void {
  thread_ = std::thread([this]() -> void { Run(); });
}

auto EventLoopThread::Post(Callback callback) -> bool {
  return !stop_ && ring_.Push(std::move(callback));
}

auto EventLoopThread::PostOrWait(Callback callback) -> void {
  // A full ring discards what is pushed, so that each attempt needs a copy. One
  // of the callback itself would copy the message that it carries.
  const auto shared = std::make_shared<Callback>(std::move(callback));
  while (!stop_ &&
         !ring_.Push([shared](TimePoint now) -> void { (*shared)(now); })) {
    std::this_thread::sleep_for(kRingFullBackoff);
  }
}

auto EventLoopThread::Stop() -> void {
  stop_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

auto EventLoopThread::Run() -> void {
  bool more = false;
  while (!stop_) {
    const TimePoint until = more ? Clock::now() : WaitUntil();
    DetectStall(until);
    if (!more) {
      Wait(until);
    }
    // The wait may have ended early, so that the work is measured from here.
    DetectStall(Clock::now());
    more = RunCallbacks();
    const TimePoint now = Clock::now();
    if (options_.next_wake() <= now) {
      options_.on_tick(now);
    }
  }
}

auto EventLoopThread::DetectStall(TimePoint due) -> void {
  const auto stall =
      stalls_.OnIteration(Clock::now(), ThreadProcessorTime(), due);
  if (stall && options_.on_stall) {
    options_.on_stall(*stall);
  }
}

auto EventLoopThread::WaitUntil() const -> TimePoint {
  const TimePoint now = Clock::now();
  // Clamped before any subtraction, which overflows at TimePoint::min() and
  // TimePoint::max().
  return std::clamp(options_.next_wake(), now, now + kMaxWait);
}

auto EventLoopThread::Wait(TimePoint until) -> void {
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(Duration(0), until - Clock::now()));
  pollfd wake{ring_.wake_fd(), POLLIN, 0};
  poll(&wake, 1, static_cast<int>(wait.count()));
}

auto EventLoopThread::RunCallbacks() -> bool {
  ring_.ClearWake();
  // Runs everything that can have been queued when the iteration began: a tick
  // that decides which peers are unresponsive must not run before reports that
  // are already queued. Callbacks posted meanwhile may wait for the next
  // iteration, so that ticks run under constant load.
  for (std::size_t run = 0; run < options_.ring_capacity; ++run) {
    const auto callback = ring_.Pop();
    if (!callback || stop_) {
      return false;
    }
    (*callback)(Clock::now());
  }
  return true;
}

}  // namespace rhubarbhaven

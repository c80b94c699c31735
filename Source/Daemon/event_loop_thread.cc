#include "Daemon/event_loop_thread.h"

#include <poll.h>

#include <algorithm>

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kMaxWait{500};
constexpr std::chrono::microseconds kRingFullBackoff{200};

}  // namespace

EventLoopThread::EventLoopThread(EventLoopOptions options)
    : options_(std::move(options)), ring_(options_.ring_capacity) {}

EventLoopThread::~EventLoopThread() {
  Stop();
}

auto EventLoopThread::Start() -> void {
  thread_ = std::thread([this]() -> void { Run(); });
}

auto EventLoopThread::Post(Callback callback) -> bool {
  return !stop_ && ring_.Push(std::move(callback));
}

auto EventLoopThread::PostOrWait(const Callback& callback) -> void {
  while (!stop_ && !ring_.Push(callback)) {
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
    if (!more) {
      Wait();
    }
    more = RunCallbacks();
    const TimePoint now = Clock::now();
    if (options_.next_wake() <= now) {
      options_.on_tick(now);
    }
  }
}

auto EventLoopThread::Wait() -> void {
  const TimePoint now = Clock::now();
  // Clamped before the subtraction, which overflows at TimePoint::min() and
  // TimePoint::max().
  const TimePoint next = std::clamp(options_.next_wake(), now, now + kMaxWait);
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(next - now);
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

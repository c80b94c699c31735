#include "Daemon/duty_thread.h"

#include <poll.h>

#include <algorithm>

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kLongestWait{500};
constexpr std::chrono::microseconds kRingFullWait{200};

}  // namespace

DutyThread::DutyThread(DutyOptions options)
    : options_(std::move(options)), ring_(options_.ring_capacity) {}

DutyThread::~DutyThread() {
  Stop();
}

auto DutyThread::Start() -> void {
  thread_ = std::thread([this]() -> void { Run(); });
}

auto DutyThread::Post(Job job) -> bool {
  return !stop_ && ring_.Push(std::move(job));
}

auto DutyThread::PostOrWait(const Job& job) -> void {
  while (!stop_ && !ring_.Push(job)) {
    std::this_thread::sleep_for(kRingFullWait);
  }
}

auto DutyThread::Stop() -> void {
  stop_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

auto DutyThread::Run() -> void {
  bool more = false;
  while (!stop_) {
    if (!more) {
      Wait();
    }
    more = RunJobs();
    const TimePoint now = Clock::now();
    if (options_.next_wake() <= now) {
      options_.on_tick(now);
    }
  }
}

auto DutyThread::Wait() -> void {
  const TimePoint now = Clock::now();
  // Clamped first: the ends of the clock cannot be subtracted from.
  const TimePoint next =
      std::clamp(options_.next_wake(), now, now + kLongestWait);
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(next - now);
  pollfd wake{ring_.wake_fd(), POLLIN, 0};
  poll(&wake, 1, static_cast<int>(wait.count()));
}

auto DutyThread::RunJobs() -> bool {
  ring_.ClearWake();
  // All that can have waited when the turn began: a tick that decides who is
  // silent must not go ahead of reports that lie here. What comes meanwhile
  // waits for the next turn.
  for (std::size_t run = 0; run < options_.ring_capacity; ++run) {
    const auto job = ring_.Pop();
    if (!job || stop_) {
      return false;
    }
    (*job)(Clock::now());
  }
  return true;
}

}  // namespace rhubarbhaven

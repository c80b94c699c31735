#ifndef RHUBARBHAVEN_DAEMON_EVENT_LOOP_THREAD_H_
#define RHUBARBHAVEN_DAEMON_EVENT_LOOP_THREAD_H_

#include <atomic>
#include <functional>
#include <thread>

#include "Base/base.h"

namespace rhubarbhaven {

struct EventLoopOptions {
  std::size_t ring_capacity = 8192;
  // Runs on the loop's thread when `next_wake` is reached.
  std::function<auto(TimePoint)->void> on_tick;
  std::function<auto()->TimePoint> next_wake;
  // Runs on the loop's thread after a time in which the thread did not run or
  // one iteration took too long; may be null.
  std::function<auto(const Stall&)->void> on_stall = nullptr;
};

// Writes a warning about a stall of the loop that does a component's work.
auto LogStall(EventLog& log, const Stall& stall) -> void;

// A thread that runs posted callbacks in order and a tick when it is due. State
// that only these use needs no lock.
class EventLoopThread {
 public:
  using Callback = std::function<auto(TimePoint)->void>;

  explicit EventLoopThread(EventLoopOptions options);
  EventLoopThread(const EventLoopThread&) = delete;
  auto operator=(const EventLoopThread&) -> EventLoopThread& = delete;
  ~EventLoopThread();

  auto Start() -> void;
  // Returns false if the ring is full or the thread has been stopped. The
  // callback is then discarded, and the caller must count it.
  auto Post(Callback callback) -> bool;
  // Waits for room; for events that must not be lost, such as log records.
  auto PostOrWait(Callback callback) -> void;
  // Ends the thread after the current callback and discards all others.
  auto Stop() -> void;

 private:
  auto Run() -> void;
  // Returns when the wait ends at the latest.
  auto WaitUntil() const -> TimePoint;
  auto Wait(TimePoint until) -> void;
  auto DetectStall(TimePoint due) -> void;
  // Returns true if more callbacks may be queued.
  auto RunCallbacks() -> bool;

  EventLoopOptions options_;
  BoundedRing<Callback> ring_;
  StallDetector stalls_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_EVENT_LOOP_THREAD_H_

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
};

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
  auto PostOrWait(const Callback& callback) -> void;
  // Ends the thread after the current callback and discards all others.
  auto Stop() -> void;

 private:
  auto Run() -> void;
  auto Wait() -> void;
  // Returns true if more callbacks may be queued.
  auto RunCallbacks() -> bool;

  EventLoopOptions options_;
  BoundedRing<Callback> ring_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_EVENT_LOOP_THREAD_H_

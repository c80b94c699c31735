#ifndef RHUBARBHAVEN_DAEMON_DUTY_THREAD_H_
#define RHUBARBHAVEN_DAEMON_DUTY_THREAD_H_

#include <atomic>
#include <functional>
#include <thread>

#include "Base/base.h"

namespace rhubarbhaven {

struct DutyOptions {
  std::size_t ring_capacity = 8192;
  // Runs when `next_wake` is reached, on the duty's thread.
  std::function<auto(TimePoint)->void> on_tick;
  std::function<auto()->TimePoint> next_wake;
};

// One thread for one duty: runs posted jobs in order, and its tick in time.
// All state of the duty belongs to this thread.
class DutyThread {
 public:
  using Job = std::function<auto(TimePoint)->void>;

  explicit DutyThread(DutyOptions options);
  DutyThread(const DutyThread&) = delete;
  auto operator=(const DutyThread&) -> DutyThread& = delete;
  ~DutyThread();

  auto Start() -> void;
  // False if the ring is full: the job was dropped and must be counted.
  auto Post(Job job) -> bool;
  // Waits for room; for events that must not be lost, such as log records.
  auto PostOrWait(const Job& job) -> void;
  // Ends the thread after the job that runs now. Further jobs are dropped.
  auto Stop() -> void;

 private:
  auto Run() -> void;
  auto Wait() -> void;
  // Whether more jobs may wait.
  auto RunJobs() -> bool;

  DutyOptions options_;
  BoundedRing<Job> ring_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_DUTY_THREAD_H_

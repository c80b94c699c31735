#ifndef RHUBARBHAVEN_DAEMON_JOB_SERVICE_H_
#define RHUBARBHAVEN_DAEMON_JOB_SERVICE_H_

#include <atomic>
#include <string>

#include "Daemon/event_loop_thread.h"
#include "Jobs/jobs.h"

namespace rhubarbhaven {

// Wraps `port` so that its callbacks run on `thread`.
auto OnThread(const jobs::KeyedLogPort& port, EventLoopThread* thread)
    -> jobs::KeyedLogPort;

// An entry on the platform: one thread that owns its `EntryDecisions`.
class JobService {
 public:
  // The callbacks of the log in `hooks` may run on any thread.
  JobService(const jobs::EntryOptions& options,
             jobs::EntryHooks hooks,
             Metrics* metrics);
  JobService(const JobService&) = delete;
  auto operator=(const JobService&) -> JobService& = delete;

  auto Start() -> void;
  // May be called on any thread. Calls `respond` once. Returns false, and does
  // not call it, if the ring is full.
  auto Call(jobs::JobCall call, jobs::JobResponder respond) -> bool;
  auto OnReport(const std::string& agent, jobs::AgentReport report) -> void;
  // Releases the ownership, so that another entry can take over immediately.
  auto Release() -> void;
  auto Stop() -> void;
  auto ready() const -> bool { return ready_; }

 private:
  auto Tick(TimePoint now) -> void;
  auto WithLogOnThread(jobs::EntryHooks hooks) -> jobs::EntryHooks;

  std::atomic<bool> ready_ = false;
  EventLog log_;
  EventLoopThread thread_;
  jobs::EntryDecisions decisions_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_JOB_SERVICE_H_

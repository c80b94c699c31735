#ifndef RHUBARBHAVEN_DAEMON_JOB_SERVICE_H_
#define RHUBARBHAVEN_DAEMON_JOB_SERVICE_H_

#include <atomic>
#include <string>

#include "Daemon/duty_thread.h"
#include "Jobs/jobs.h"

namespace rhubarbhaven {

// The calls of `port`, answered on the duty's thread.
auto OnThread(const jobs::KeyedLogPort& port, DutyThread* duty)
    -> jobs::KeyedLogPort;

// The duty of an entry on the platform: one thread that owns the decisions.
class JobService {
 public:
  // The log of `hooks` may answer on any thread.
  JobService(const jobs::EntryOptions& options,
             jobs::EntryHooks hooks,
             Metrics* metrics);
  JobService(const JobService&) = delete;
  auto operator=(const JobService&) -> JobService& = delete;

  auto Start() -> void;
  // From any thread. Answers once; false if the ring is full.
  auto Call(jobs::JobCall call, jobs::JobResponder respond) -> bool;
  auto OnReport(const std::string& agent, jobs::AgentReport report) -> void;
  // Gives the ownership up, so that another entry takes over at once.
  auto Release() -> void;
  auto Stop() -> void;
  auto ready() const -> bool { return ready_; }

 private:
  auto Tick(TimePoint now) -> void;
  auto WithLogOnThread(jobs::EntryHooks hooks) -> jobs::EntryHooks;

  std::atomic<bool> ready_ = false;
  DutyThread duty_;
  jobs::EntryDecisions decisions_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_JOB_SERVICE_H_

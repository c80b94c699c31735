#ifndef RHUBARBHAVEN_DAEMON_JOB_SERVICE_H_
#define RHUBARBHAVEN_DAEMON_JOB_SERVICE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Daemon/duty_thread.h"
#include "Daemon/job_requests.h"
#include "Daemon/keyed_log_follower.h"
#include "Jobs/jobs.h"

namespace rhubarbhaven {

struct JobServiceOptions {
  // This entry, unique in the deployment.
  std::string name;
  uint64_t incarnation = 0;
};

struct JobServiceHooks {
  jobs::KeyedLogPort log;
  // Over the link, to an agent.
  std::function<auto(const std::string& link_endpoint, schema::Envelope)->void>
      send;
  // Reads one record of the operators' log; null if it is no configuration.
  std::function<
      auto(const jobs::KeyedRecord&)->std::optional<jobs::QueueConfiguration>>
      read_configuration;
};

// The duty of an entry on the platform: answers callers about jobs from the
// fold of the log, stores what they hand in, and decides for the cell while it
// owns it. One thread; all state belongs to it.
class JobService {
 public:
  JobService(JobServiceOptions options,
             JobServiceHooks hooks,
             Metrics* metrics);
  JobService(const JobService&) = delete;
  auto operator=(const JobService&) -> JobService& = delete;
  ~JobService();

  auto Start() -> void;
  // From any thread. Answers once; false if the ring is full.
  auto Call(JobCall call, JobResponder respond) -> bool;
  auto OnReport(const std::string& agent, jobs::AgentReport report) -> void;
  // Gives the ownership up, so that another entry takes over at once.
  auto Release() -> void;
  auto Stop() -> void;

  // Whether callers are served: a configuration is known and the log is read.
  auto ready() const -> bool { return ready_; }

 private:
  struct Submission {
    std::string job;
    std::string queue;
    JobResponder respond;
    TimePoint received;
    TimePoint give_up_at;
    bool is_cancel = false;
  };

  auto Tick(TimePoint now) -> void;
  auto NextWake() const -> TimePoint;
  auto Post(DutyThread::Job job) -> void;

  auto Handle(TimePoint now, JobCall call, const JobResponder& respond) -> void;
  auto Submit(TimePoint now,
              const jobs::Queue& queue,
              const std::string& id,
              JobCall call,
              const JobResponder& respond) -> void;
  auto Cancel(TimePoint now,
              const std::string& id,
              const JobCall& call,
              const JobResponder& respond) -> void;
  auto Ask(TimePoint now, const std::string& id, const JobResponder& respond)
      -> void;
  auto Store(TimePoint now, Submission submission, jobs::KeyedRecord record)
      -> void;
  auto GiveUpLate(TimePoint now) -> void;
  auto Refuse(const Submission& submission, const std::string& why) -> void;
  auto CaughtUp(TimePoint now) const -> bool;

  auto FollowerHooksFor(jobs::LogTopic topic) -> KeyedLogFollowerHooks;
  auto OnJobRecord(TimePoint now, const jobs::KeyedRecord& record) -> void;
  auto OnOperatorRecord(const jobs::KeyedRecord& record) -> void;
  auto OnCaughtUp(TimePoint now) -> void;

  auto SendAppends(TimePoint now) -> void;
  auto SendCallerBatch(TimePoint now) -> void;
  auto OnCallerBatch(TimePoint now, const jobs::AppendResult& result) -> void;
  auto SendOwnerBatch(TimePoint now) -> void;
  auto OnOwnerBatch(TimePoint now,
                    uint64_t fence,
                    const jobs::AppendResult& result) -> void;
  auto ClaimIfDue(TimePoint now) -> void;
  auto BecomeOwnerIfClaimed(TimePoint now) -> void;
  auto Resign(const std::string& why) -> void;
  auto UpdateReady(TimePoint now) -> void;
  auto MakeOwnerHooks() -> jobs::JobOwnerHooks;

  JobServiceOptions options_;
  JobServiceHooks hooks_;
  Metrics* metrics_;
  EventLog log_;
  std::atomic<bool> ready_ = false;

  jobs::JobFold fold_;
  jobs::QueueDirectory queues_;
  jobs::OwnerElection election_;
  jobs::JobOwner owner_;
  KeyedLogFollower job_follower_;
  KeyedLogFollower operator_follower_;
  std::multimap<TimePoint, DutyThread::Job> later_;

  jobs::AppendBatcher caller_appends_;
  std::map<uint64_t, Submission> submissions_;
  uint64_t next_ticket_ = 1;
  // Made anew for each claim; null while this entry claims nothing.
  std::unique_ptr<jobs::AppendBatcher> owner_appends_;
  bool releasing_ = false;
  TimePoint looked_at_;

  DutyThread duty_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_JOB_SERVICE_H_

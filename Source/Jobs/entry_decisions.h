#ifndef RHUBARBHAVEN_JOBS_ENTRY_DECISIONS_H_
#define RHUBARBHAVEN_JOBS_ENTRY_DECISIONS_H_

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Jobs/Log/append_batcher.h"
#include "Jobs/Log/keyed_log_follower.h"
#include "Jobs/Log/read_barrier.h"
#include "Jobs/agent_stops.h"
#include "Jobs/diagnostic_limiter.h"
#include "Jobs/job_check.h"
#include "Jobs/job_fold.h"
#include "Jobs/job_owner.h"
#include "Jobs/job_requests.h"
#include "Jobs/lag_monitor.h"
#include "Jobs/owner_election.h"
#include "Jobs/queue_directory.h"
#include "Jobs/recent_gap.h"

namespace rhubarbhaven::jobs {

// What an entry's machine has; zero if unknown.
struct EntryLimits {
  // Bandwidth of its link, in megabits per second.
  double link_mbps = 0;
  double processor_cores = 0;
  LogLimits log{};
};

struct EntryOptions {
  // Name of this entry, unique in the deployment.
  std::string name;
  uint64_t incarnation = 0;
  // A request is handled by each version of the configuration that was
  // acknowledged this long before it, or by a newer one.
  std::chrono::milliseconds configuration_bound{2000};
  EntryLimits limits{};
};

struct EntryHooks {
  // Calls back on the thread of the decisions.
  KeyedLogPort log;
  // Sends orders to an agent over the link.
  std::function<auto(const std::string& link_endpoint, AgentOrders)->void> send;
  // Whether a link can be opened to an agent's endpoint. If null, every
  // endpoint is accepted.
  IsLinkEndpoint is_link_endpoint;
  // Time since 1970.
  std::function<auto()->std::chrono::milliseconds> wall_clock;
  // Requests a ticket from the admission policy; calls back on the thread of
  // the decisions.
  AskAdvice ask_advice;
  // Parses one record of the operators' log; null if it is not a configuration.
  std::function<auto(const KeyedRecord&)->std::optional<QueueConfiguration>>
      read_configuration;
  // The failure domain that is evacuated for as long as the operators' log has
  // a record with this key; null if the record is of another kind.
  std::function<auto(const std::string& key)->std::optional<std::string>>
      evacuated_domain;
};

// The decisions of an entry on the platform. It answers callers' requests about
// jobs from the fold of the log, stores the jobs that they submit, and decides
// for the cell while it owns it.
class EntryDecisions {
 public:
  EntryDecisions(EntryOptions options, EntryHooks hooks, Metrics* metrics);
  EntryDecisions(const EntryDecisions&) = delete;
  auto operator=(const EntryDecisions&) -> EntryDecisions& = delete;
  ~EntryDecisions();

  auto Start(TimePoint now) -> void;
  // Calls `respond` exactly once.
  auto Call(TimePoint now, JobCall call, const JobResponder& respond) -> void;
  auto OnReport(TimePoint now, const std::string& agent, AgentReport report)
      -> void;
  // Releases the ownership, so that another entry takes over at once.
  auto Release(TimePoint now) -> void;
  auto Tick(TimePoint now) -> void;
  auto next_wake() const -> TimePoint;

  // Whether callers can be served: a configuration is known, and the log is
  // being read.
  auto ready() const -> bool { return ready_; }
  auto owner() const -> const JobOwner& { return owner_; }
  // Fence of this entry's claim; zero if it has none.
  auto fence() const -> uint64_t { return election_.fence(); }
  auto fold() const -> const JobFold& { return fold_; }

 private:
  // Ticket of the entry's own appends. Those of callers count upward from 1.
  static constexpr uint64_t kResignationTicket =
      std::numeric_limits<uint64_t>::max();

  // The local copy of the jobs' log counts as current for this long after a
  // read that reached the end.
  static constexpr std::chrono::milliseconds kCurrentReadAge{2000};
  // The copy of the operators' log counts as current for this long while a
  // newer version is arriving. Covers a read's wait and the transfer of 1 MB at
  // 2 Mbit/s.
  static constexpr std::chrono::milliseconds kMaxTransferAge{7000};

  enum class SubmissionKind {
    kSubmitJob,
    kCancel,
    // The local copy of the log has no job with this id.
    kCancelAhead,
  };

  struct Submission {
    SubmissionKind kind = SubmissionKind::kSubmitJob;
    std::string job;
    std::string queue;
    JobResponder respond;
    TimePoint received;
    TimePoint expires_at;
    // Of a job: the configuration by which its queue was found, and the age of
    // the copy at that time, for the log.
    uint64_t config_version = 0;
    Duration config_age{0};
  };

  auto Handle(TimePoint now, JobCall call, const JobResponder& respond) -> void;
  auto Submit(TimePoint now,
              const Queue& queue,
              const std::string& id,
              JobCall call,
              const JobResponder& respond) -> void;
  auto Cancel(TimePoint now,
              const std::string& id,
              TimePoint expires_at,
              const JobResponder& respond) -> void;
  // Responds to a stored cancellation whose job was not known.
  auto AnswerCancelAhead(TimePoint now, const Submission& submission) -> void;
  // Cancels an unknown job only if the log turns out to contain it.
  auto CancelIfFound(TimePoint now, const Submission& submission) -> void;
  auto Query(TimePoint now,
             const std::string& id,
             TimePoint expires_at,
             const JobResponder& respond) -> void;
  auto Store(TimePoint now, Submission submission, KeyedRecord record) -> void;
  // Whether the entry's link carries as much within that time.
  auto LinkCarries(std::size_t bytes, Duration span) const -> bool;
  auto ExpireSubmissions(TimePoint now) -> void;
  auto Reject(const Submission& submission, const std::string& why) -> void;

  auto FollowerHooksFor(LogTopic topic) -> KeyedLogFollowerHooks;
  auto OnJobRecord(TimePoint now, const KeyedRecord& record) -> void;
  auto NoteSkippedRecord(TimePoint now,
                         const KeyedRecord& record,
                         const std::string& why) -> void;
  auto OnOperatorRecord(const KeyedRecord& record) -> void;
  auto OnEvacuation(const std::string& failure_domain, bool in_force) -> void;
  auto OnCaughtUp(TimePoint now, TimePoint as_of) -> void;

  auto OnOperatorsCaughtUp(TimePoint now) -> void;
  // Requests the end of the operators' log, to which the configuration must
  // have been read.
  auto ConfirmConfiguration(TimePoint now) -> void;
  // Whether this entry reads the operators' log, so that it may decide for the
  // cell.
  auto ReadsOperators(TimePoint now) const -> bool;
  // Whether no version was acknowledged, more than the bound ago, that is newer
  // than the one in force here.
  auto ConfigurationConfirmed(TimePoint now) const -> bool;

  // Whether a response of the log is arriving.
  auto ReceivesFromLog() const -> bool;
  auto SendAppends(TimePoint now) -> void;
  auto SendCallerBatch(TimePoint now) -> void;
  auto OnCallerBatch(TimePoint now, const AppendResult& result) -> void;
  auto SendOwnerBatch(TimePoint now) -> void;
  auto OnOwnerBatch(TimePoint now, uint64_t fence, const AppendResult& result)
      -> void;
  auto ClaimIfDue(TimePoint now) -> void;
  // Logs a line when this owner begins or ceases to read too late to remain the
  // owner.
  auto NoteReadsLate(TimePoint now, bool late) -> void;
  // The same when this owner begins or ceases to reach none of the agents.
  // Returns whether it reaches none.
  auto NoteReachesNoAgent(TimePoint now) -> bool;
  // Pause before this entry's next read of the log.
  auto ReadPause() const -> std::chrono::milliseconds;
  auto BecomeOwnerIfClaimed(TimePoint now) -> void;
  auto Resign(const std::string& why) -> void;
  auto NoteLargeRecord(const LargeRecord& record) -> void;
  // Logs that the log does not accept these records of the owner.
  auto NoteInvalidRecords(const std::vector<std::string>& keys) -> void;
  // Withdraws a claim that is not stored in the log. Nothing was granted under
  // it.
  auto WithdrawClaim(const std::string& why) -> void;
  // Appends a record which states that no process of this entry is an owner any
  // more. The current owner then need not wait as it would for an owner that is
  // only disconnected.
  auto WriteResignation(TimePoint now) -> void;
  auto OnResignationOutcome(EntryOutcome outcome) -> void;
  auto OnResignationRead(TimePoint now, const std::string& entry) -> void;
  auto UpdateReady(TimePoint now) -> void;
  auto MakeOwnerHooks() -> JobOwnerHooks;
  auto LogFollowerCall(TimePoint now, LogTopic topic, const FollowerCall& call)
      -> void;
  // Time since which newer versions of the configuration may exist.
  auto ConfigurationAge(TimePoint now) const -> Duration;
  auto LogConfirmation(TimePoint now) -> void;
  // Logs that there has been no confirmed configuration for some time.
  auto LogConfigurationWait(TimePoint now) -> void;
  // Logs responses of the log that have been arriving for some time.
  auto LogTransfers(TimePoint now) -> void;
  auto LogAccepted(const Submission& submission) -> void;
  auto NoteLag(Duration lag) -> void;
  auto NoteStartDelay(Duration delay) -> void;
  auto NoteOverload(const OverloadState& state) -> void;
  auto NoteRunLength(const RunLengthSample& sample) -> void;
  auto LogRunLengths(const std::string& what, std::size_t keys) -> void;
  auto LogReconciliation(const ReconciliationState& state) -> void;
  auto LogStarvedJob(const StarvedJob& job) -> void;
  auto LogSilentAgents(const SilentAgents& silent) -> void;
  // Logs a renewal that took long to be stored.
  auto NoteRenewalStored(TimePoint now, TimePoint sent) -> void;
  auto NoteOrderTraffic(const OrderTraffic& traffic) -> void;
  // The longest time in which this process recently did not run.
  auto OwnGap() const -> Duration;
  auto LogDecision(const OwnerDecision& decision) -> void;

  EntryOptions options_;
  EntryHooks hooks_;
  Metrics* metrics_;
  EventLog log_;
  bool ready_ = false;
  // The latest line about the configuration says that it is not confirmed.
  bool unconfirmed_logged_ = false;
  // Since when there has been no confirmed configuration; none if there is one.
  std::optional<TimePoint> unconfirmed_since_;
  TimePoint next_wait_log_;
  TimePoint next_transfer_log_;
  // Of the latest call for the operators' log; empty if it was answered.
  std::string operators_error_;

  JobFold fold_;
  AgentStops agent_stops_;
  DiagnosticLimiter skipped_records_;
  // The fold contains all records up to some offset of the log.
  bool fold_current_ = false;
  QueueDirectory queues_;
  std::set<std::string> evacuated_domains_;
  // Whether the latest claim states that this owner reads too late.
  bool reads_late_ = false;
  bool reaches_no_agent_ = false;
  // Whether jobs displace each other.
  bool overloaded_ = false;
  OwnerElection election_;
  // When the log was last read to its end. Kept while the newest records are
  // being re-read: the fold still contains these.
  LogPosition log_position_;
  LagMonitor owner_lag_;
  LagMonitor start_delay_;
  // Mean absolute error of the expected length of runs, as the logarithm of the
  // factor, by callers' estimates and by what was learned.
  double estimate_error_ = 0;
  double learned_error_ = 0;
  // When a job was last displaced by others.
  TimePoint displaced_at_;
  JobOwner owner_;
  KeyedLogFollower job_follower_;
  KeyedLogFollower operator_follower_;
  ReadBarrier job_barrier_;
  ReadBarrier operator_barrier_;
  // The copy of the operators' log contains all that the log contained at this
  // time.
  TimePoint configuration_as_of_;
  TimePoint next_confirmation_;
  std::multimap<TimePoint, std::function<auto(TimePoint)->void>> scheduled_;

  AppendBatcher caller_appends_;
  std::map<uint64_t, Submission> submissions_;
  uint64_t next_ticket_ = 1;
  // Created for each claim; null while this entry has no claim.
  std::unique_ptr<AppendBatcher> owner_appends_;
  // Fence of this entry's newest claim, until the entry has established that it
  // is no longer the owner.
  uint64_t claimed_fence_ = 0;
  // The highest fence under which no process of this entry grants anything
  // more, and the highest one for which a resignation was appended.
  uint64_t resigned_fence_ = 0;
  uint64_t resignation_logged_ = 0;
  // Whether the log has been read to its end once.
  bool has_caught_up_ = false;
  bool releasing_ = false;
  TimePoint last_tick_;
  // How long a gap between two ticks is remembered: as long as what is lost by
  // it may show.
  static constexpr std::chrono::seconds kGapMemory{15};
  RecentGap ticks_{kGapMemory};
  // When the latest renewal of this entry's claim was stored.
  TimePoint renewal_stored_at_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_ENTRY_DECISIONS_H_

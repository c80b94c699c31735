#ifndef RHUBARBHAVEN_JOBS_ENTRY_DECISIONS_H_
#define RHUBARBHAVEN_JOBS_ENTRY_DECISIONS_H_

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Jobs/append_batcher.h"
#include "Jobs/complaint_book.h"
#include "Jobs/job_check.h"
#include "Jobs/job_fold.h"
#include "Jobs/job_owner.h"
#include "Jobs/job_requests.h"
#include "Jobs/keyed_log_follower.h"
#include "Jobs/lag_watch.h"
#include "Jobs/owner_election.h"
#include "Jobs/queue_directory.h"
#include "Jobs/read_barrier.h"

namespace rhubarbhaven::jobs {

struct EntryOptions {
  // This entry, unique in the deployment.
  std::string name;
  uint64_t incarnation = 0;
};

struct EntryHooks {
  // Answers on the thread of the decisions.
  KeyedLogPort log;
  // Over the link, to an agent.
  std::function<auto(const std::string& link_endpoint, AgentOrders)->void> send;
  // Whether a link can be made to an agent's endpoint; null if to any.
  IsLinkEndpoint is_link_endpoint;
  // Since 1970.
  std::function<auto()->std::chrono::milliseconds> wall_clock;
  // The policy that gives tickets; answers on the thread of the decisions.
  AskAdvice ask_advice;
  // Reads one record of the operators' log; null if it is no configuration.
  std::function<auto(const KeyedRecord&)->std::optional<QueueConfiguration>>
      read_configuration;
  // The failure domain that a record with this key of the operators' log has
  // evacuated for as long as the record is there; null if it is another record.
  std::function<auto(const std::string& key)->std::optional<std::string>>
      evacuated_domain;
};

// What an entry on the platform decides: it answers callers about jobs from the
// fold of the log, stores what they hand in, and decides for the cell while it
// owns it.
class EntryDecisions {
 public:
  EntryDecisions(EntryOptions options, EntryHooks hooks, Metrics* metrics);
  EntryDecisions(const EntryDecisions&) = delete;
  auto operator=(const EntryDecisions&) -> EntryDecisions& = delete;
  ~EntryDecisions();

  auto Start() -> void;
  // Answers once.
  auto Call(TimePoint now, JobCall call, const JobResponder& respond) -> void;
  auto OnReport(TimePoint now, const std::string& agent, AgentReport report)
      -> void;
  // Gives the ownership up, so that another entry takes over at once.
  auto Release(TimePoint now) -> void;
  auto Tick(TimePoint now) -> void;
  auto next_wake() const -> TimePoint;

  // Whether callers are served: a configuration is known and the log is read.
  auto ready() const -> bool { return ready_; }
  auto owner() const -> const JobOwner& { return owner_; }
  // Of this entry's claim; zero if it has none.
  auto fence() const -> uint64_t { return election_.fence(); }
  auto fold() const -> const JobFold& { return fold_; }

 private:
  // Of the entry's own appends; those of callers count upward.
  static constexpr uint64_t kResignationTicket =
      std::numeric_limits<uint64_t>::max();

  // A copy of a log counts as current for this long after a read that reached
  // the end.
  static constexpr std::chrono::milliseconds kCurrentFor{2000};

  enum class SubmissionKind {
    kHandIn,
    kCancel,
    // Of an id that this entry's copy of the log does not have.
    kCancelAhead,
  };

  struct Submission {
    SubmissionKind kind = SubmissionKind::kHandIn;
    std::string job;
    std::string queue;
    JobResponder respond;
    TimePoint received;
    TimePoint give_up_at;
  };

  auto Handle(TimePoint now, JobCall call, const JobResponder& respond) -> void;
  auto Submit(TimePoint now,
              const Queue& queue,
              const std::string& id,
              JobCall call,
              const JobResponder& respond) -> void;
  auto Cancel(TimePoint now,
              const std::string& id,
              TimePoint give_up_at,
              const JobResponder& respond) -> void;
  // Answers a cancel that is in the log, of a job that was not known.
  auto AnswerCancelAhead(TimePoint now, const Submission& submission) -> void;
  // Cancels a job that is not known only if the log has it.
  auto CancelIfThere(TimePoint now, const Submission& submission) -> void;
  auto Ask(TimePoint now,
           const std::string& id,
           TimePoint give_up_at,
           const JobResponder& respond) -> void;
  auto Store(TimePoint now, Submission submission, KeyedRecord record) -> void;
  auto GiveUpLate(TimePoint now) -> void;
  auto Refuse(const Submission& submission, const std::string& why) -> void;

  auto FollowerHooksFor(LogTopic topic) -> KeyedLogFollowerHooks;
  auto OnJobRecord(TimePoint now, const KeyedRecord& record) -> void;
  auto NotePassedOver(TimePoint now,
                      const KeyedRecord& record,
                      const std::string& why) -> void;
  auto OnOperatorRecord(const KeyedRecord& record) -> void;
  auto OnEvacuation(const std::string& failure_domain, bool in_force) -> void;
  auto OnCaughtUp(TimePoint now, TimePoint shown) -> void;

  auto SendAppends(TimePoint now) -> void;
  auto SendCallerBatch(TimePoint now) -> void;
  auto OnCallerBatch(TimePoint now, const AppendResult& result) -> void;
  auto SendOwnerBatch(TimePoint now) -> void;
  auto OnOwnerBatch(TimePoint now, uint64_t fence, const AppendResult& result)
      -> void;
  auto ClaimIfDue(TimePoint now) -> void;
  // Says in the log if this owner begins or ceases to read too late to stay
  // one.
  auto NoteReadsLate(TimePoint now, bool late) -> void;
  // Before this entry reads the log on.
  auto ReadPause() const -> std::chrono::milliseconds;
  auto BecomeOwnerIfClaimed(TimePoint now) -> void;
  auto Resign(const std::string& why) -> void;
  // Lets go of a claim that is not in the log. Nothing was granted under it.
  auto WithdrawClaim(const std::string& why) -> void;
  // Says in the log that no process of this entry is an owner any more, so that
  // the owner in office needs not wait as for one that is only cut off.
  auto WriteResignation(TimePoint now) -> void;
  auto OnResignationSettled(AppendFate fate) -> void;
  auto OnResignationRead(TimePoint now, const std::string& entry) -> void;
  auto UpdateReady(TimePoint now) -> void;
  auto MakeOwnerHooks() -> JobOwnerHooks;
  auto NoteLag(Duration lag) -> void;
  auto LogCensus(const CensusState& state) -> void;
  auto LogStanding(const StandingJob& job) -> void;
  auto LogDecision(const OwnerDecision& decision) -> void;

  EntryOptions options_;
  EntryHooks hooks_;
  Metrics* metrics_;
  EventLog log_;
  bool ready_ = false;

  JobFold fold_;
  ComplaintBook passed_over_;
  // The fold holds everything up to some place in the log.
  bool fold_current_ = false;
  QueueDirectory queues_;
  std::set<std::string> evacuated_domains_;
  // As the latest claim says.
  bool reads_late_ = false;
  OwnerElection election_;
  LagWatch owner_lag_;
  JobOwner owner_;
  KeyedLogFollower job_follower_;
  KeyedLogFollower operator_follower_;
  ReadBarrier job_barrier_;
  std::multimap<TimePoint, std::function<auto(TimePoint)->void>> later_;

  AppendBatcher caller_appends_;
  std::map<uint64_t, Submission> submissions_;
  uint64_t next_ticket_ = 1;
  // Made anew for each claim; null while this entry claims nothing.
  std::unique_ptr<AppendBatcher> owner_appends_;
  // Of the newest claim that this entry has made, until it knows that it is not
  // the owner any more.
  uint64_t claimed_fence_ = 0;
  // Up to which fence no process of this entry grants anything any more, and up
  // to which the log has been told so.
  uint64_t resigned_fence_ = 0;
  uint64_t resignation_told_ = 0;
  // The log has been read to its end once.
  bool has_caught_up_ = false;
  bool releasing_ = false;
  TimePoint looked_at_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_ENTRY_DECISIONS_H_

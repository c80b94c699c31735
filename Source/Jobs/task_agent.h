#ifndef RHUBARBHAVEN_JOBS_TASK_AGENT_H_
#define RHUBARBHAVEN_JOBS_TASK_AGENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Jobs/agent_recovery.h"
#include "Jobs/heartbeat_sequence.h"
#include "Jobs/opportunistic_pacing.h"
#include "Jobs/order_basis.h"
#include "Jobs/payload_cache.h"
#include "Jobs/recent_gap.h"
#include "Jobs/run_tracker.h"
#include "Jobs/start_check.h"
#include "Jobs/worker_port.h"

namespace rhubarbhaven::jobs {

struct TaskAgentOptions {
  // Incarnation of the agent's process.
  uint64_t incarnation = 0;
  // Maximum wait of one listing. The worker's lease is renewed at this
  // interval.
  std::chrono::milliseconds list_wait{400};
  // Pause between listings while task ends wait to be stored in the log: the
  // worker responds at once as long as it lists ends that it may not discard.
  std::chrono::milliseconds list_pause{100};
  // Pause after a listing without a response.
  std::chrono::milliseconds retry_pause{150};
  // A worker counts as unresponsive after its listings have failed for this
  // long.
  std::chrono::milliseconds unresponsive_after{700};
  // A start may rest on a copy of the log that is older than this only if a
  // check in the log finds that it stands. A cancel has to take effect within 3
  // s of its acknowledgement, and the call to the worker takes time.
  std::chrono::milliseconds max_log_age{2500};
  // While the log cannot be read, such a start is void if the owner has not
  // confirmed it for this long.
  std::chrono::milliseconds max_unconfirmed{1800};
  // The maximum lease that a worker grants, and so the bound of one that an
  // earlier process of this agent renewed.
  std::chrono::milliseconds max_lease{10000};
  // A worker's clock may be slow by this fraction.
  double worker_clock_drift = 0.02;
  // How long runs ended by a crash of the worker are reported if no owner
  // stores them. It is longer than a takeover while the log is unavailable.
  std::chrono::milliseconds crash_report_period{30000};
  // Payloads that are kept for later starts.
  std::size_t max_payload_bytes = 4UL << 20;
  // While the owner is behind: how long a report waits for the results of calls
  // to the worker, and how often the runs are listed for the owner. The
  // results of local calls take a few milliseconds; the interval is shorter
  // than that of the owner's polls.
  std::chrono::milliseconds result_wait{20};
  std::chrono::milliseconds running_interval{250};
};

// How old a start was when it was carried out or rejected. All but the last are
// upper bounds.
struct StartAges {
  Duration since_decision{0};
  // Since the owner last stated that the order stands.
  Duration since_confirmation{0};
  // Age of the log records on which the order rests.
  Duration log{0};
  Duration at_agent{0};
};

// A decision or observation of the agent about a run, for logging.
struct AgentDecision {
  std::string what;
  TaskName task;
  uint64_t run = 0;
  std::string why;
  // For starts whose age is known.
  std::optional<StartAges> ages = std::nullopt;
};

// An observation of the agent about the process of its worker, for logging.
struct WorkerObservation {
  std::string what;
  std::string worker_id;
};

// The agent's calls to other components.
struct TaskAgentHooks {
  WorkerPort worker;
  // Reads the log, to check starts that rest on an outdated copy of it.
  StartCheck::ReadLog read_log;
  // Sends a report to the owner whose orders have the highest fence.
  std::function<auto(const std::string& peer, AgentReport)->void> report;
  std::function<auto(const AgentDecision&)->void> log;
  std::function<auto(const WorkerObservation&)->void> log_worker;
};

// An agent's decisions. It is the only caller of its worker. It starts and
// stops runs as ordered by the owner with the highest fence, renews the
// worker's lease while its own lease holds, and reports running tasks and task
// ends.
class TaskAgent {
 public:
  TaskAgent(TaskAgentOptions options, TaskAgentHooks hooks);
  TaskAgent(const TaskAgent&) = delete;
  auto operator=(const TaskAgent&) -> TaskAgent& = delete;

  auto OnOrders(TimePoint now,
                const std::string& peer,
                const AgentOrders& orders) -> void;
  // Returns false for a heartbeat of a worker process that has ended.
  auto OnHeartbeat(TimePoint now, const WorkerHeartbeat& heartbeat) -> bool;
  // The worker has announced that it stops as planned. The id may lack the
  // start of its process.
  auto OnLeave(TimePoint now, const std::string& notice_of) -> void;
  auto Tick(TimePoint now) -> void;
  // The process was told to stop: from now on, the agent extends no lease of
  // its worker and starts nothing. Returns for how long the worker's lease may
  // still be valid, whatever the rate of the worker's clock.
  auto Stop(TimePoint now) -> Duration;
  auto next_wake() const -> TimePoint;

  auto stopped() const -> bool { return stopped_; }
  auto draining() const -> bool { return heartbeat_.draining; }
  // Id of the worker that was known last and has left; empty if a worker is
  // known now or none has been known.
  auto left_worker() const -> std::string {
    return worker_left_ ? left_worker_id_ : "";
  }
  auto fence() const -> uint64_t { return fence_; }
  // When orders were last received.
  auto ordered_at() const -> TimePoint { return ordered_at_; }

 private:
  enum class OrderState { kWaiting, kCalling, kVerifying, kFinished };
  struct Order {
    bool is_stop = false;
    StartOrder start;
    TaskName task;
    uint64_t run = 0;
    OrderState state = OrderState::kWaiting;
    // An earlier call for this run may still be carried out.
    bool unconfirmed = false;
    bool revoked = false;
    // A start for whose run a stop was received.
    bool withdrawn = false;
    // A start that was called at an earlier process of the worker.
    bool carried_over = false;
    TimePoint not_before;
    TimePoint received_at;
    // Of the newest message with this start; null if they are unknown.
    std::optional<OrderBasis> basis;
    // Lease under which the order was received. The order is void once that
    // lease has ended.
    uint64_t lease_number = 0;
    // With kVerifying: the outcome is final once a listing that was requested
    // after this time shows that the run does not exist.
    TimePoint verify_after;
    OrderOutcome outcome = ORDER_DONE;
    // See OrderResult.
    uint64_t after_end = 0;
  };
  using OrderPtr = std::shared_ptr<Order>;

  auto AdoptFence(TimePoint now, uint64_t fence) -> void;
  // For how long this process has certainly not reported to an owner with a
  // lower fence.
  auto SinceEarlierOwner(TimePoint now) const -> Duration;
  // Renews the lease if the orders grant one to this process.
  auto RenewLease(TimePoint now, const AgentOrders& orders) -> void;
  auto AcceptOrders(TimePoint now, const AgentOrders& orders) -> void;
  auto AcceptStart(TimePoint now,
                   const StartOrder& start,
                   const std::optional<OrderBasis>& basis) -> void;
  // Withdraws the waiting starts to which the stop applies.
  auto WithdrawStarts(const StopOrder& stop) -> void;
  // Whether a stop that was received earlier applies to the start.
  auto HasStop(const StartOrder& start) const -> bool;
  auto ResetWorker(TimePoint now) -> void;
  // Ends the starts that a later process of the same name may have carried out
  // or may still carry out: calls name the worker only.
  auto CarryOverStarts(TimePoint now) -> void;
  // Whether the worker's process may still carry out starts that were called at
  // an earlier one. An owner that declared the earlier runs lost before these
  // are settled would start them elsewhere while they run.
  auto MayRunEarlierStarts() const -> bool;
  // Takes the process that sent the heartbeat for the worker.
  auto UseWorker(TimePoint now, const WorkerHeartbeat& heartbeat) -> void;
  // Asks the worker whether it still is the process that the log names, unless
  // another one has answered.
  auto RecoverWorker(TimePoint now, const std::string& recorded_id) -> void;
  auto OnRecoveryAnswer(TimePoint now,
                        const std::string& recorded_id,
                        uint64_t epoch,
                        const WorkerListing& listing) -> void;
  // Asks the worker whether it is the process that sent the heartbeat. Another
  // one is known, so the heartbeat may be a delayed one of a process that has
  // ended; the live one must not be taken for ended.
  auto VerifyHeartbeat(const WorkerHeartbeat& heartbeat) -> void;
  auto OnHeartbeatVerified(TimePoint now, const WorkerListing& listing) -> void;
  // Notes which runs ended when the worker's earlier process crashed, once it
  // is known which of them the later one has.
  auto NoteCrash(TimePoint now) -> void;
  // Discards crashes that an owner has stored, and old ones.
  auto DiscardCrashes(TimePoint now, uint64_t stored) -> void;
  auto ExecuteOrders(TimePoint now) -> void;
  // Ends orders to a worker whose lease has expired. The worker can no longer
  // carry out earlier calls, so nothing runs because of them, and nothing will.
  // If the orders remained open, their tasks would wait for a worker that may
  // never return.
  auto SettleLapsed(TimePoint now) -> void;
  auto ExecuteOrder(TimePoint now, const OrderPtr& order) -> void;
  auto CallStart(TimePoint now, const OrderPtr& order, TimePoint valid_until)
      -> void;
  auto CallStop(const OrderPtr& order) -> void;
  auto OnStarted(TimePoint now, const OrderPtr& order, WorkerCallResult result)
      -> void;
  auto OnStopped(TimePoint now, const OrderPtr& order, WorkerCallResult result)
      -> void;
  // The payload that the start is for; null if the owner has left it out and
  // this process does not have it.
  auto PayloadOf(const Order& order) -> const std::string*;
  // Why the start must not be carried out, whatever it rests on; empty if it
  // may.
  auto FindRejection(const Order& order, TimePoint now) const -> std::string;
  // Returns until when a call that carries out the start is valid. Null if it
  // must not be carried out now; the order is then rejected or looked at again
  // later.
  auto FindValidity(TimePoint now, const OrderPtr& order)
      -> std::optional<TimePoint>;
  auto CheckLog(TimePoint now, const Order& order) -> StartCheck::Result;
  // Rejects a start because of its age, unless its run may exist already.
  auto RejectOutdated(TimePoint now,
                      const OrderPtr& order,
                      const std::string& why) -> void;
  auto LogStart(TimePoint now,
                const Order& order,
                const std::string& what,
                const std::string& why) const -> void;
  auto RejectStart(TimePoint now, const OrderPtr& order, OrderOutcome outcome)
      -> void;
  auto Verify(TimePoint now, const OrderPtr& order, OrderOutcome outcome)
      -> void;
  auto Finish(const OrderPtr& order, OrderOutcome outcome) -> void;
  auto ListIfDue(TimePoint now) -> void;
  auto OnListing(TimePoint asked, TimePoint now, WorkerListing listing) -> void;
  auto SettleVerified(TimePoint asked) -> void;
  // Number of the newest end that the worker has listed.
  auto NewestListedEnd() const -> uint64_t;
  // Logs the runs whose lease has expired, among ends after `newest_known`.
  auto LogLapsedRuns(TimePoint now, uint64_t newest_known) const -> void;
  // Why leases may have expired: what this agent has missed lately.
  auto DescribeGaps(TimePoint now) const -> std::string;
  auto Pace(TimePoint now) -> void;
  auto LeaseHolds(TimePoint now) const -> bool { return now < lease_until_; }
  // The time until which a call made now may extend the worker's lease. The
  // lease of an unresponsive worker is not extended: it has to expire before
  // the worker's tasks can start elsewhere, and calls without a response are
  // repeated indefinitely.
  auto GrantUntil() const -> TimePoint;
  auto ToWorkerTime(TimePoint time) const -> WorkerTime;
  // The end of the lease on the worker's clock.
  auto WorkerDeadline() const -> WorkerTime;
  auto NoteGranted(TimePoint now) -> void;
  // Whether the lease of an unresponsive worker has expired, also by the
  // worker's clock.
  auto LeaseLapsed(TimePoint now) const -> bool;
  auto LeaseLeft(TimePoint now) const -> Duration;
  // Answers orders, or reports their results. While the owner is behind, waits
  // for the results of calls that are outstanding.
  auto ReportSettled(TimePoint now) -> void;
  auto CallsWorker() const -> bool;
  // Whether the answer to orders lists the runs.
  auto RunningIsDue(TimePoint now) const -> bool;
  auto Report(TimePoint now, bool with_running) -> void;

  TaskAgentOptions options_;
  TaskAgentHooks hooks_;
  StartCheck start_check_;
  OpportunisticPacing pacing_{OpportunisticPacingOptions()};
  uint64_t pacing_version_ = 0;

  uint64_t fence_ = 0;
  std::string owner_peer_;
  uint64_t owner_incarnation_ = 0;
  // `built_at_us` of the newest orders under this fence.
  uint64_t orders_built_at_us_ = 0;
  // When this process reported last, and when it did so under an earlier fence.
  std::optional<TimePoint> reported_at_;
  std::optional<TimePoint> earlier_owner_reported_at_;
  // When this process was first active.
  std::optional<TimePoint> active_since_;
  TimePoint ordered_at_;
  TimePoint lease_until_;
  // Number of leases that began after a gap.
  uint64_t lease_number_ = 0;
  uint64_t forget_through_ = 0;
  std::map<uint64_t, OrderPtr> orders_;
  uint64_t results_seen_ = 0;

  AgentRecovery recovery_;
  // Until the worker has sent a heartbeat, only its id is set.
  WorkerHeartbeat heartbeat_;
  HeartbeatSequence sequence_;
  // The newest heartbeat of another process than the worker while a call that
  // verifies it is outstanding.
  std::optional<WorkerHeartbeat> unverified_heartbeat_;
  std::set<std::string> ended_worker_ids_;
  std::string left_worker_id_;
  // The worker that was known last has left, and no other has appeared since.
  bool worker_left_ = false;
  // Whether the worker has sent a heartbeat to this process, and whether it has
  // answered a listing. Until then, it may be a process that has ended.
  bool described_ = false;
  bool answered_ = false;
  // The owner may not know yet that a process has replaced one that may have
  // had its name. It is told with the runs of the process: the later one may
  // have carried out starts that were called at the earlier one.
  bool announced_with_runs_ = false;
  // Another process has answered a listing of the worker.
  bool replaced_ = false;
  // Increases when the worker id or the fence changes, to detect responses to
  // earlier calls.
  uint64_t epoch_ = 0;

  // How long a gap is remembered: the longest lease, and the time until its end
  // has been listed.
  static constexpr std::chrono::seconds kGapMemory{15};
  RecentGap ticks_{kGapMemory};
  RecentGap orders_received_{kGapMemory};
  RecentGap grants_{kGapMemory};
  RecentGap listings_{kGapMemory};
  RunTracker run_watch_;
  PayloadCache payloads_;
  // Runs ended by crashes of the worker, oldest first.
  struct ReportedCrash {
    TimePoint until;
    CrashedRun run;
  };
  std::deque<ReportedCrash> crashes_;
  // The latest process that did not leave and has been replaced, until its runs
  // are noted; null if there is none.
  std::optional<WorkerHeartbeat> crashed_worker_;
  uint64_t next_crash_ = 1;

  bool listing_in_flight_ = false;
  TimePoint list_not_before_;
  // The newest listing under the current fence.
  bool listed_ = false;
  TimePoint listed_at_;
  WorkerListing listing_;
  // Since when listings have failed; none while they are answered.
  std::optional<TimePoint> unresponsive_since_;
  // The worker's clock in its last listing, and when that was received.
  WorkerTime worker_clock_{0};
  TimePoint worker_clock_at_;
  // Until when the worker's lease may last, on this process's clock; none if
  // unknown, as after a start.
  std::optional<TimePoint> worker_lease_until_;
  // Orders are answered at this time at the latest; none if they have been.
  std::optional<TimePoint> answer_by_;
  // When the newest report with a listing of the runs was sent.
  std::optional<TimePoint> running_reported_at_;
  bool report_due_ = false;
  bool owner_is_behind_ = false;
  bool stopped_ = false;
  // Whether the worker's failure domain is evacuated, by the latest orders.
  bool evacuated_ = false;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_TASK_AGENT_H_

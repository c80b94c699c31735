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
#include "Jobs/filler_pacing.h"
#include "Jobs/run_watch.h"
#include "Jobs/worker_port.h"

namespace rhubarbhaven::jobs {

struct TaskAgentOptions {
  // Number of this start of the agent's process.
  uint64_t incarnation = 0;
  // Longest wait of one listing; the worker's lease is renewed that often.
  std::chrono::milliseconds list_wait{400};
  // Pause between listings while ends wait for the log: the worker answers at
  // once as long as it lists ends that it may not forget.
  std::chrono::milliseconds list_pause{100};
  // Pause after a listing that got no answer.
  std::chrono::milliseconds retry_pause{150};
  // A worker whose listings failed for this long counts as silent.
  std::chrono::milliseconds silent_after{700};
  // The longest lease that a worker gives: how long one may last that an
  // earlier process of this agent renewed.
  std::chrono::milliseconds longest_lease{10000};
  // A worker's clock may be slow by this share.
  double worker_clock_drift = 0.02;
  // How long owners are told what a crash of the worker ended, if none stores
  // it: longer than a takeover while the log is away.
  std::chrono::milliseconds tell_crashes{30000};
};

// Everything that the agent tells others.
struct TaskAgentHooks {
  WorkerPort worker;
  // To the owner that sent the orders with the highest fence.
  std::function<auto(const std::string& peer, AgentReport)->void> report;
  // One decision about a run, for the log.
  std::function<auto(const std::string& what,
                     const TaskName& task,
                     uint64_t run,
                     const std::string& why)
                    ->void>
      log;
};

// An agent's decisions: the only caller of the worker beside it. It starts and
// stops runs as the owner with the highest fence says, renews the worker's
// lease while its own lease holds, and reports what runs and what ended.
class TaskAgent {
 public:
  TaskAgent(TaskAgentOptions options, TaskAgentHooks hooks);
  TaskAgent(const TaskAgent&) = delete;
  auto operator=(const TaskAgent&) -> TaskAgent& = delete;

  auto OnOrders(TimePoint now,
                const std::string& peer,
                const AgentOrders& orders) -> void;
  // False for a heartbeat of a life that is over.
  auto OnHeartbeat(TimePoint now, const WorkerHeartbeat& heartbeat) -> bool;
  // The worker ends as planned.
  auto OnLeave(TimePoint now, const std::string& worker_id) -> void;
  auto Tick(TimePoint now) -> void;
  auto next_wake() const -> TimePoint;

  auto draining() const -> bool { return heartbeat_.draining; }
  // Life of the worker that was known last and has left; empty if there is one
  // now, or none was known.
  auto left_worker() const -> std::string {
    return worker_left_ ? left_worker_id_ : "";
  }
  auto fence() const -> uint64_t { return fence_; }
  // When orders last came.
  auto ordered_at() const -> TimePoint { return ordered_at_; }

 private:
  enum class OrderState { kWaiting, kCalling, kVerifying, kFinished };
  struct Order {
    bool is_stop = false;
    StartOrder start;
    TaskName task;
    uint64_t run = 0;
    OrderState state = OrderState::kWaiting;
    // An earlier call of this run may still be carried out.
    bool unsure = false;
    bool poisoned = false;
    // A start whose run is to be stopped.
    bool withdrawn = false;
    TimePoint not_before;
    // Lease under which the order came; it is void after that one's end.
    uint64_t lease_number = 0;
    // With kVerifying: the result holds once a listing that was asked for
    // later shows that the run is not there.
    TimePoint verify_after;
    OrderOutcome outcome = ORDER_DONE;
  };
  using OrderPtr = std::shared_ptr<Order>;

  auto AdoptFence(TimePoint now, uint64_t fence) -> void;
  // Renews the lease, if the orders do and mean this process.
  auto TakeLease(TimePoint now, const AgentOrders& orders) -> void;
  auto TakeOrders(const AgentOrders& orders) -> void;
  // Starts that wait and that the stop is for are not carried out any more.
  auto WithdrawStarts(const StopOrder& stop) -> void;
  // Whether a stop that came earlier is for it.
  auto HasStop(const StartOrder& start) const -> bool;
  auto ResetWorker(TimePoint now) -> void;
  // The worker has another life, and the one before did not leave.
  auto NoteCrash(TimePoint now) -> void;
  // Those that an owner has stored, and old ones.
  auto ForgetCrashes(TimePoint now, uint64_t stored) -> void;
  auto RunOrders(TimePoint now) -> void;
  // Ends orders to a worker whose lease has run out. Calls of before are too
  // late for it by now: nothing of them is there, or will be. Left open, their
  // tasks would wait for a worker that may be gone for good.
  auto SettleLapsed(TimePoint now) -> void;
  auto RunOrder(TimePoint now, const OrderPtr& order) -> void;
  auto CallStart(TimePoint now, const OrderPtr& order) -> void;
  auto CallStop(const OrderPtr& order) -> void;
  auto OnStarted(TimePoint now, const OrderPtr& order, WorkerCallResult result)
      -> void;
  auto OnStopped(TimePoint now, const OrderPtr& order, WorkerCallResult result)
      -> void;
  auto RefuseStart(TimePoint now, const OrderPtr& order, OrderOutcome outcome)
      -> void;
  auto Verify(TimePoint now, const OrderPtr& order, OrderOutcome outcome)
      -> void;
  auto Finish(const OrderPtr& order, OrderOutcome outcome) -> void;
  auto ListIfDue(TimePoint now) -> void;
  auto OnListing(TimePoint asked, TimePoint now, WorkerListing listing) -> void;
  auto SettleVerified(TimePoint asked) -> void;
  auto Pace(TimePoint now) -> void;
  auto LeaseHolds(TimePoint now) const -> bool { return now < lease_until_; }
  // Until when a call that is made now may extend the worker's lease. A silent
  // worker is granted no more time: its lease has to run out for its tasks to
  // be started elsewhere, and calls without an answer are made again and again.
  auto GrantUntil() const -> TimePoint;
  // The same by the worker's clock.
  auto WorkerDeadline() const -> WorkerTime;
  auto NoteGranted(TimePoint now) -> void;
  // The lease of a silent worker has run out, also by its own clock.
  auto LeaseLapsed(TimePoint now) const -> bool;
  auto Report(TimePoint now, bool with_running) -> void;

  TaskAgentOptions options_;
  TaskAgentHooks hooks_;
  FillerPacing pacing_{FillerPacingOptions()};
  uint64_t pacing_version_ = 0;

  uint64_t fence_ = 0;
  std::string owner_peer_;
  uint64_t owner_incarnation_ = 0;
  TimePoint ordered_at_;
  TimePoint lease_until_;
  // Counts leases that followed on a gap.
  uint64_t lease_number_ = 0;
  uint64_t forget_through_ = 0;
  std::map<uint64_t, OrderPtr> orders_;
  uint64_t results_seen_ = 0;

  WorkerHeartbeat heartbeat_;
  std::set<std::string> ended_lives_;
  std::string left_worker_id_;
  // The life that was known last has left, and no other was heard of since.
  bool worker_left_ = false;
  // Grows when the worker's life or the fence changes, so that answers to
  // earlier calls are told apart.
  uint64_t epoch_ = 0;

  RunWatch run_watch_;
  // What crashes of the worker ended, oldest first.
  struct ToldCrash {
    TimePoint until;
    CrashedRun run;
  };
  std::deque<ToldCrash> crashes_;
  uint64_t next_crash_ = 1;

  bool listing_under_way_ = false;
  TimePoint list_not_before_;
  // The newest listing under the fence in force.
  bool listed_ = false;
  TimePoint listed_at_;
  WorkerListing listing_;
  // Since when listings fail; none while they are answered.
  std::optional<TimePoint> silent_since_;
  // By the worker's clock when it was last heard, and when that was.
  WorkerTime worker_clock_{0};
  TimePoint worker_clock_at_;
  // Until when the worker's lease may last, on this process's clock; none if
  // that is not known, as after a start.
  std::optional<TimePoint> worker_lease_until_;
  bool report_due_ = false;
  // Whether the worker's failure domain is, by the latest orders.
  bool evacuated_ = false;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_TASK_AGENT_H_

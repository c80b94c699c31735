#ifndef RHUBARBHAVEN_JOBS_JOB_OWNER_H_
#define RHUBARBHAVEN_JOBS_JOB_OWNER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Base/base.h"
#include "Jobs/held_places.h"
#include "Jobs/image_interference.h"
#include "Jobs/job_fold.h"
#include "Jobs/job_owner_hooks.h"
#include "Jobs/job_owner_options.h"
#include "Jobs/job_work.h"
#include "Jobs/order_window.h"
#include "Jobs/owner_election.h"
#include "Jobs/place_choice.h"
#include "Jobs/placement_order.h"
#include "Jobs/run_lengths.h"
#include "Jobs/ticket_cache.h"
#include "Jobs/worker_changes.h"
#include "Jobs/worker_view.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven::jobs {

// Makes the decisions for the cell from claiming it until losing it: where
// tasks run, what the ends of runs mean, and what is written to the log.
// Reports of agents count only if they carry this owner's fence.
class JobOwner {
 public:
  JobOwner(JobOwnerOptions options, JobOwnerHooks hooks);
  JobOwner(const JobOwner&) = delete;
  auto operator=(const JobOwner&) -> JobOwner& = delete;
  ~JobOwner();

  // `earlier` bounds when runs of earlier owners are over even on agents that
  // do not answer.
  auto Begin(TimePoint now,
             uint64_t fence,
             const JobFold* fold,
             const EarlierGrants& earlier) -> void;
  auto End() -> void;
  auto active() const -> bool { return fence_ != 0; }

  auto OnChange(TimePoint now, const FoldChange& change) -> void;
  // Called when runs of earlier owners are known to end sooner than assumed at
  // `Begin`.
  auto OnEarlierGrants(TimePoint now, const EarlierGrants& earlier) -> void;
  // Called when the configuration has changed.
  auto OnRules() -> void;
  // Called when the set of evacuated failure domains has changed.
  auto OnEvacuations() -> void;
  // Returns false if the agent has seen a higher fence, which means that this
  // owner has been replaced.
  auto OnReport(TimePoint now,
                const std::string& agent,
                const AgentReport& report) -> bool;
  // Returns the records to be written to the log now, in this order. Returns
  // none while an earlier batch is being stored.
  auto TakeBatch() -> std::vector<KeyedRecord>;
  // Called when the batch is stored, except for the records with these keys,
  // which the log does not accept.
  auto OnBatchStored(TimePoint now,
                     const std::vector<std::string>& invalid_keys = {}) -> void;
  // Called when `exclusive_until` has advanced.
  auto OnExclusiveUntil(TimePoint now) -> void;
  // Called before the fold is read again, starting at the newest records.
  auto OnReread() -> void;
  auto Tick(TimePoint now) -> void;
  auto next_wake() const -> TimePoint;

  // State shown to operators.
  auto workers() const -> const WorkerViews& { return workers_; }
  auto reconciliation_done() const -> bool { return reconciliation_done_; }
  // Whether no agent has reported lately, although some had before: this owner
  // may be cut off from all of them, and another entry may reach them. False
  // for an owner to which none has reported, or the entries would replace each
  // other while all agents are gone.
  auto ReachesNoAgent(TimePoint now) const -> bool;
  // For tests: describes each entry of the indexes that a full scan
  // contradicts; empty if the indexes are correct.
  auto FindIndexErrors(TimePoint now) const -> std::vector<std::string>;

 private:
  enum class LostRuns {
    // All runs; nothing can run there any more.
    kAll,
    // Only runs whose start was answered. The worker's lease has expired, but
    // starts without a result may be on their way to an agent that can reach
    // its worker again when they arrive. If those were declared lost, their
    // tasks would run in two places.
    kStartAnswered,
  };

  enum class WorkerExit {
    // It has left, or was draining before.
    kPlanned,
    kCrashed,
  };

  // The newest crash row taken from an agent. Rows are numbered by the agent's
  // process.
  struct CrashRow {
    uint64_t incarnation = 0;
    uint64_t number = 0;
  };

  // The processes of an agent and of its worker for which grants are recorded.
  struct GrantedProcesses {
    std::string worker_id;
    uint64_t agent_incarnation = 0;
  };

  struct NamedRun {
    TaskName task;
    uint64_t run = 0;
  };

  struct SlowedOpportunisticRun {
    TaskPlace place;
    uint64_t run = 0;
    // How much sooner it would end elsewhere.
    std::chrono::duration<double> gain{0};
  };

  // Jobs.
  auto AddJob(TimePoint now, const StoredJob& entry) -> void;
  auto EndJob(JobWork& work, const std::string& why) -> void;
  auto ForgetJobIfIdle(TimePoint now, const std::string& id) -> void;
  auto RemoveJob(TimePoint now, const std::string& id) -> void;
  auto OpenDue(TimePoint now, JobWork& work) -> void;
  // Number of occurrences of the job that may be opened at present, beside
  // those that are open.
  auto MayOpen(const JobWork& work) const -> std::size_t;
  // Opens due occurrences of the jobs that had too many open ones.
  auto OpenHeldBack(TimePoint now) -> void;
  // Closes complete occurrences.
  auto CloseOccurrences() -> void;
  // Opens the job's next occurrence. Its tasks start when it is due.
  auto OpenNext(TimePoint now, JobWork& work) -> void;
  // Zero if it is due, or if the job has no occurrences.
  auto TimeUntilDue(const JobWork& work, uint32_t occurrence) const
      -> std::chrono::milliseconds;
  auto Locate(const TaskName& name) -> std::optional<TaskPlace>;
  // The same for a task of which an agent reports a run. The occurrence was due
  // by the clock of an earlier owner, which may be ahead of this one's.
  auto LocateRun(TimePoint now, const TaskName& name)
      -> std::optional<TaskPlace>;
  auto SetState(JobWork& work, JobState state) -> void;
  // Marks the job to be written to a record and ranked again.
  auto MarkProgressDirty(JobWork& work) -> void;
  auto EraseJob(const std::string& id) -> void;

  // Agents and their workers.
  auto OnAgentRecord(TimePoint now, const std::string& name) -> void;
  auto OnRegistrationGone(const std::string& name) -> void;
  // Applies a log record that the worker has left, as if the agent had reported
  // it.
  auto ApplyWorkerLeave(TimePoint now, WorkerView& worker) -> void;
  // Applies a log record that the agent's process was told to stop: waits for
  // its runs no longer than the lease that the process has stated.
  auto ApplyAgentStop(WorkerView& worker) -> void;
  auto AddAgent(TimePoint now, const AgentEntry& entry) -> void;
  auto EraseWorker(WorkerView& worker) -> void;
  auto SetConfirmed(WorkerView& worker, bool confirmed) -> void;
  auto SetLeaseBound(WorkerView& worker, TimePoint bound) -> void;
  // Gives the worker no new runs until the given time.
  auto QuarantineWorker(WorkerView& worker, TimePoint until) -> void;
  // Makes workers available again whose quarantine is over.
  auto ReinstateWorkers(TimePoint now) -> void;
  // When grants of earlier owners to the agent have expired.
  auto EarlierGrantsEnd(const std::string& agent) const -> TimePoint;
  auto ForgetUnresponsiveAgents(TimePoint now) -> void;
  // Whether a late report was sent by a process of the agent that has ended.
  static auto IsOfEndedAgentProcess(const WorkerView& worker,
                                    const AgentReport& report) -> bool;
  // Returns whether the worker has restarted under its name.
  auto UpdateWorker(TimePoint now,
                    WorkerView& worker,
                    const AgentReport& report) -> bool;
  // The worker's agent, replaced by one of a later version, names the start of
  // the same process.
  auto RefineWorkerId(WorkerView& worker, const std::string& worker_id) -> void;
  auto EndWorkerLifetime(TimePoint now, WorkerView& worker, WorkerExit how)
      -> void;
  auto AdoptListing(TimePoint now,
                    WorkerView& worker,
                    const AgentReport& report) -> void;
  // The latest time until which a lease may be valid that was granted for a
  // report of the agent received at `granted_from`.
  auto LeaseBound(TimePoint granted_from) const -> TimePoint;
  auto AdoptRun(TimePoint now, WorkerView& worker, const RunningTask& row)
      -> void;
  auto UpdateProgress(TimePoint now, WorkerView& worker, const RunningTask& row)
      -> void;
  // Stops stalled runs.
  auto StopStalled(TimePoint now, WorkerView& worker) -> void;
  // Declares runs of the worker lost, so that their tasks start elsewhere.
  auto DeclareRunsLost(TimePoint now,
                       WorkerView& worker,
                       LostRuns which,
                       const std::string& why) -> void;
  auto DeclareWorkersLost(TimePoint now) -> void;
  auto BeginReconciliation(TimePoint now) -> void;
  // When nothing of earlier owners can run on workers that have not been
  // listed.
  auto ReconciliationDeadline() const -> TimePoint;
  auto FinishReconciliation(TimePoint now) -> void;
  auto LogReconciliationWait(TimePoint now) -> void;
  auto DescribeReconciliation(TimePoint now) const -> ReconciliationState;
  auto DescribeBound(TimePoint now, const WorkerView& worker) const
      -> std::string;

  // Grants.

  // Records that the agent's process follows this owner.
  auto NoteFollowed(TimePoint now,
                    WorkerView& worker,
                    const AgentReport& report) -> void;
  // Records when the agent last reported to an earlier owner.
  auto NoteEarlierOwner(TimePoint now,
                        const WorkerView& worker,
                        const AgentReport& report) -> void;
  // The time since which a majority of the agents granted to follows this
  // owner; the epoch if there is none. The next owner then hears from at least
  // one of them, which follows this owner no more.
  auto MajorityFollowsSince(TimePoint now) -> TimePoint;
  // The time from which a lease for the worker counts: its newest report, but
  // not later than the newest evidence that there is no other owner.
  auto GrantFrom(TimePoint now, const WorkerView& worker) -> TimePoint;
  // The lease that the worker's agent may be granted, from its newest report;
  // zero if none.
  auto LeaseFor(TimePoint now, const WorkerView& worker)
      -> std::chrono::milliseconds;
  // Records the agents to which earlier owners may have granted.
  auto NoteEarlierMembers() -> void;
  // Shortens the wait for the previous owner's grants once so many agents
  // follow this owner that the others are no majority.
  auto BoundLastOwner(TimePoint now) -> void;
  // Number of agents that the next owner may find in the log with a record of
  // grants.
  auto CountMembers() const -> std::size_t;
  // Applies `earlier_` to the agents that reconciliation waits for.
  auto ShortenWaits(TimePoint now) -> void;

  // Ends and results.
  auto OnEnd(TimePoint now,
             WorkerView& worker,
             const EndedTask& row,
             bool reconciling) -> void;
  auto OnDone(const TaskPlace& place) -> void;
  // Notes that the task's occurrence is to be closed if it is complete.
  auto CloseWhenComplete(const TaskPlace& place) -> void;
  auto OnFailed(TimePoint now, WorkerView& worker, const TaskPlace& place)
      -> void;
  // Handles the runs that agents report as ended by crashes of their workers.
  auto OnCrashedRuns(WorkerView& worker, const AgentReport& report) -> void;
  // Handles a crash that the agent cannot report because it has restarted
  // since.
  auto RecordUnreportedCrash(const WorkerView& worker) -> void;
  // Attributes the crash to the task; returns false if that was done before.
  auto RecordCrash(const WorkerView& worker,
                   const TaskPlace& place,
                   uint64_t run,
                   Duration ran) -> bool;
  // Fails the job of the task that caused a crash, as far as the cause can be
  // determined. The runs of all the given tasks were ended by one crash.
  auto FailCrashCause(const std::vector<TaskPlace>& crashed) -> void;
  // Marks the worker's runs as possible causes of a crash. The worker has been
  // unresponsive for so long that its runs are over, and one of them may have
  // crashed it.
  static auto MarkRunsSuspected(const WorkerView& worker) -> void;
  // Clears the suspicion of tasks that have run for long enough.
  auto ClearSuspects(TimePoint now, WorkerView& worker) -> void;
  auto OnOrderResult(TimePoint now,
                     WorkerView& worker,
                     const OrderResult& result) -> void;
  auto OnStartResult(TimePoint now,
                     WorkerView& worker,
                     const StartOrder& start,
                     OrderOutcome outcome) -> void;
  auto RemoveRun(TimePoint now,
                 const TaskPlace& place,
                 uint64_t run,
                 const WorkerView* worker) -> bool;

  // How long runs take.
  // Adds the time since the last report, at the speed that was last reported.
  static auto MeasureRun(TimePoint now, const TaskPlace& place, RunWork& run)
      -> void;
  auto NoteProgress(const TaskPlace& place, RunWork& run) -> void;
  auto NoteRunDone(TimePoint now,
                   const TaskPlace& place,
                   uint64_t number,
                   const WorkerView& worker) -> void;
  // Stores the total time of a run that is at `percent`. Returns none if it
  // does not apply to other tasks.
  auto SetRunTime(const TaskPlace& place, const RunWork& run, uint32_t percent)
      -> std::optional<std::chrono::milliseconds>;
  auto UpdateExpectedRunTime(const TaskPlace& place) -> void;
  auto SetExpectedRunTimes(JobWork& work, uint32_t occurrence) -> void;
  auto StoreRunLengthsIfDue(TimePoint now) -> void;

  // Placement.
  auto PlaceAll(TimePoint now) -> void;
  auto UpdateOrder() -> void;
  // Ranks jobs again if there is too little room for all of them.
  auto CheckOverload(TimePoint now) -> void;
  // Reports an empty state if another one was reported before.
  auto EndOverload() -> void;
  // What workers that accept tasks give to those that end.
  auto MeasureRates(TimePoint now) const -> CellRates;
  auto ApplyOutlook(JobWork& work, JobOutlook outlook) -> void;
  auto PlaceStep(TimePoint now, const PlacementOrder::WaitingStep& waiting)
      -> void;
  auto PlaceGang(TimePoint now, const PlacementOrder::WaitingStep& waiting)
      -> void;
  // Whether a worker that has changed since the gang was last rejected would
  // accept a member of it.
  auto MayFitGang(TimePoint now,
                  const PlacementOrder::WaitingStep& waiting,
                  const PlaceLimits& limits) -> bool;
  // Returns a worker for each member of a gang, or none if not all fit.
  auto PlacesOfGang(TimePoint now, TaskPlace place, PlaceLimits& limits)
      -> std::vector<WorkerView*>;
  // Returns tickets for workers on which the policy of the queue lets the
  // task's step run, and requests some if there are none; none if the queue has
  // no policy.
  auto TicketsFor(TimePoint now, const TaskPlace& place)
      -> std::optional<StepTickets>;
  // Asks the queue's policy, if it has one, about further workers: none of
  // those with tickets accepts the task.
  auto RequestTickets(TimePoint now, const TaskPlace& place) -> void;
  // The same as TicketsFor, without requesting new ones.
  auto TicketsHeld(TimePoint now, const TaskPlace& place) const
      -> std::optional<StepTickets>;
  // Logs why no worker accepts the task once it has waited for long enough.
  auto LogWaiting(TimePoint now,
                  const TaskPlace& place,
                  const PlaceLimits& limits) -> void;
  // Finds jobs without runs although a step is ready, and logs and counts them.
  auto CheckStarvedJobs(TimePoint now) -> void;
  auto LogStarvedJob(TimePoint now, const PlacementOrder::WaitingStep& step)
      -> void;
  // Whether one more line about a starved job may be logged now, for this job.
  auto TakeStarvedLine(TimePoint now, JobWork& work) -> bool;
  // Logs long-running tasks of the job that have had no run for some time,
  // although others of the job run.
  auto LogWaitingLongRunning(TimePoint now, JobWork& work) -> void;
  // Names the waiting tasks of the step, from the given one on, if they are
  // long-running.
  static auto AddWaitingTasks(TaskPlace place, StarvedJob* starved) -> void;
  // Logs agents that have not reported lately.
  auto CheckSilentAgents(TimePoint now) -> void;
  auto DescribeStarvation(TimePoint now, const TaskPlace& place) const
      -> std::string;
  auto DescribeMissing(TimePoint now) const -> std::string;
  auto OldestReport(TimePoint now) const -> Duration;
  auto ReportStarved(std::size_t jobs) -> void;
  // Opportunistic runs that would end sooner elsewhere at full speed, those of
  // jobs that can still be in time first.
  auto SlowedOpportunisticRuns(TimePoint now)
      -> std::vector<SlowedOpportunisticRun>;
  auto MoveSlowedRuns(TimePoint now) -> void;
  auto MayStart(TimePoint now, const TaskPlace& place) -> bool;
  // Whether the task may start opportunistically at any speed because its job
  // has nothing running. Interference is learned from what runs, and the agent
  // protects the serving tasks on the worker.
  static auto MayIgnoreInterference(const TaskPlace& place) -> bool;
  // The mark at which all workers had rejected the step under these limits.
  static auto RejectedMark(StepWork& step, const PlaceLimits& limits)
      -> uint64_t&;
  auto Start(TimePoint now,
             const TaskPlace& place,
             WorkerView& worker,
             uint64_t run,
             const std::string& ticket) -> void;
  // Registers the run at the worker under the order's number.
  static auto AddRunTo(WorkerView& worker,
                       uint64_t number,
                       const TaskPlace& place) -> void;
  auto StopRun(const TaskPlace& place, RunWork& run, const std::string& why)
      -> void;
  // Marks the pending start of a run that is ordered to stop, so that no repeat
  // of it confirms the start.
  static auto WithdrawStart(const TaskPlace& place, const RunWork& run) -> void;
  // Orders the stop without logging it; returns false if it was ordered before.
  auto OrderStop(const TaskPlace& place, RunWork& run) -> bool;
  auto StopOrphan(WorkerView& worker, const RunningTask& row) -> void;
  auto NewRun() -> uint64_t;
  auto NewestRun() const -> uint64_t;

  // Records to be written to the log.
  auto AddProgress(const JobWork& work, std::vector<KeyedRecord>* records)
      -> void;
  auto AddEnds(std::vector<KeyedRecord>* records) -> void;
  // Adds the record unless it is larger than the log accepts.
  auto AddIfAccepted(KeyedRecord record, std::vector<KeyedRecord>* records)
      -> void;
  // Maximum size of the value of a record with this key.
  auto MaxValueBytes(RecordKind kind, const std::string& name) const
      -> std::size_t;
  // Notes which reported crashes the batch covers.
  auto AddCrashes() -> void;
  auto OnCrashesStored() -> void;
  auto AddMembership(std::vector<KeyedRecord>* records) -> void;
  auto AddGrants(std::vector<KeyedRecord>* records) -> void;
  auto OnGrantsRecorded() -> void;
  auto OnInvalidRecord(TimePoint now, const RecordKey& key) -> void;
  auto RetryUnstoredProgress(TimePoint now) -> void;
  // Deletes the records of jobs that ended long enough ago.
  auto ExpireOldJobs(TimePoint now) -> void;

  auto CheckStep(TimePoint now,
                 const TaskPlace& place,
                 std::vector<std::string>* problems) const -> void;
  auto CheckWorker(const WorkerView& worker,
                   std::vector<std::string>* problems) const -> void;

  // Orders in messages.

  // Adds the orders that are due, as far as the window has room for starts.
  auto AddOrders(TimePoint now,
                 WorkerView& worker,
                 bool grants,
                 AgentOrders* orders) -> void;
  auto AddStart(TimePoint now,
                WorkerView& worker,
                PendingOrder& order,
                AgentOrders* orders) -> void;
  // Whether the order is due to be sent, for the first time or again.
  auto IsDue(TimePoint now,
             const WorkerView& worker,
             const PendingOrder& order) const -> bool;
  // Whether the agent has been sent the payload of the start's job, or does not
  // need it.
  auto MayOmitPayload(const WorkerView& worker, const PendingOrder& order) const
      -> bool;
  auto BytesOf(const WorkerView& worker, const PendingOrder& order) const
      -> std::size_t;
  // Records which messages the agent has received.
  auto NoteReceived(TimePoint now,
                    WorkerView& worker,
                    const AgentReport& report) -> void;
  // Sends starts again whose payloads the agent lacks.
  auto ResendPayloads(WorkerView& worker, const AgentReport& report) -> void;
  // Polls agents whose starts fit into the window now.
  auto UseWindow(TimePoint now) -> void;
  // Whether the start may be sent now. Otherwise, its agent is polled as soon
  // as it may be.
  auto HasRoom(TimePoint now,
               WorkerView& worker,
               uint64_t number,
               std::size_t unsent,
               std::size_t bytes) -> bool;
  // Updates `unsent_start_bytes_`.
  auto CountUnsent(TimePoint now, WorkerView& worker) -> void;
  // Bytes of further starts that may be decided now.
  auto StartBytesLeft() const -> std::size_t;
  // Lets placement go on if few starts wait for the window.
  auto ResumePlacement() -> void;

  // Messages.
  auto PollSoon(WorkerView& worker) -> void;
  auto Poll(TimePoint now, WorkerView& worker) -> void;
  auto PollAll(TimePoint now) -> void;
  auto NoteLag(TimePoint now, Duration lag) -> void;
  auto ReportLag(TimePoint now) -> void;
  auto CountOrders(const AgentOrders& orders) -> void;
  auto SchedulePoll(WorkerView& worker) -> void;
  auto NextPoll(const WorkerView& worker) const -> TimePoint;
  // Time between two polls of an agent that has not listed its runs yet.
  auto FirstPollInterval() const -> std::chrono::milliseconds;
  auto LearnInterference(TimePoint now,
                         WorkerView& worker,
                         const AgentReport& report) -> void;
  auto AddPressures(const WorkerView& worker, AgentOrders* orders) const
      -> void;
  auto AddPacedRuns(const WorkerView& worker, AgentOrders* orders) const
      -> void;
  auto Log(const std::string& what,
           const TaskPlace& place,
           uint64_t run,
           const WorkerView* worker,
           const std::string& why) -> void;
  // Logs one line for all of the runs. With a line for each, the log's rate
  // limit would discard some when a worker with hundreds of runs is lost.
  auto LogRuns(const std::string& what,
               const std::vector<NamedRun>& runs,
               const std::string& agent,
               const std::string& why) -> void;

  JobOwnerOptions options_;
  JobOwnerHooks hooks_;
  uint64_t fence_ = 0;
  const JobFold* fold_ = nullptr;
  uint64_t claim_at_ = 0;
  EarlierGrants earlier_;
  TimePoint begun_at_;
  // When an agent last reported under this fence; the epoch if none has.
  TimePoint last_report_at_;
  bool reconciliation_done_ = false;
  // When the wait for reconciliation is logged next.
  TimePoint log_reconciliation_at_;

  absl::flat_hash_map<std::string, std::unique_ptr<JobWork>> jobs_;
  PlacementOrder order_;
  // Jobs to be written to a record.
  std::set<std::string> dirty_jobs_;
  // Jobs with due occurrences that are not open yet, and jobs with complete
  // occurrences to be closed.
  std::set<std::string> held_back_jobs_;
  std::set<std::string> jobs_to_close_;
  // Jobs whose progress is not stored, until it is written again.
  TimerQueue<std::string> unstored_progress_;
  // Workers by their agents' names, and by their numbers.
  WorkerViews workers_;
  absl::flat_hash_map<uint64_t, WorkerView*> numbered_;
  uint64_t next_worker_ = 1;
  WorkerChanges changes_;
  // Workers whose agents have not listed their runs, by agent name.
  std::map<std::string, WorkerView*> unconfirmed_;
  // By the workers' numbers: when agents are polled, when leases may expire at
  // the earliest, and when quarantined workers are reinstated.
  TimerQueue<uint64_t> polls_;
  TimerQueue<uint64_t> leases_;
  TimerQueue<uint64_t> quarantines_;
  ImageInterference interference_;
  TicketCache tickets_;
  TimePoint pressures_stored_at_;
  RunLengths run_lengths_;
  TimePoint run_lengths_stored_at_;
  bool pressures_due_ = false;
  bool run_lengths_due_ = false;
  // Ended jobs until their records are deleted.
  TimerQueue<std::string> ended_jobs_;
  std::vector<std::string> keys_to_delete_;
  // Agents whose registrations this owner deletes, until it has read the
  // deletion, and those in the batch being stored.
  std::set<std::string> agents_being_deleted_;
  std::set<std::string> batch_deletions_;
  // Agents in use whose registrations must be written again.
  std::set<std::string> agents_to_restore_;
  // Agents that have listed their runs, until the log records that this owner
  // grants to them; then those in the batch being stored.
  std::set<std::string> grants_to_record_;
  // By agent name.
  std::map<std::string, GrantedProcesses> batch_grants_;
  // Agents for which a record of grants was appended and not read yet.
  std::set<std::string> unread_grants_;
  TimePoint majority_follows_since_;
  TimePoint majority_computed_at_;
  // Agents with a record of grants when this owner began: their number, the
  // names of those that have not reported to this owner yet, and when the
  // others last reported to an earlier one.
  std::size_t earlier_member_count_ = 0;
  std::set<std::string> earlier_members_;
  std::vector<TimePoint> earlier_reports_;
  // Number of reports from which the bound was computed, and when.
  std::size_t bound_from_ = 0;
  TimePoint bound_computed_at_;
  uint64_t next_order_ = 1;
  uint64_t next_run_ = 1;
  TimePoint moved_at_;
  // Since the last report.
  Duration longest_lag_{0};
  // The owner's processor does not suffice: it reduces the traffic with agents.
  bool behind_ = false;
  TimePoint behind_until_;
  Duration longest_start_delay_{0};
  OrderTraffic order_traffic_;
  TimePoint lag_reported_at_;
  TimePoint check_starved_at_;
  TimePoint check_silent_at_;
  // Lines logged in the second that began at `starved_lines_since_`.
  int starved_lines_ = 0;
  TimePoint starved_lines_since_;
  std::size_t starved_jobs_ = 0;
  // Places of tasks that are being moved.
  HeldPlaces held_places_;
  // Whether a state of overload was reported that has not been reset.
  bool overload_reported_ = false;
  bool placement_due_ = false;
  // Starts, and bytes of starts, left in the current placement round.
  int starts_left_ = 0;
  std::size_t start_bytes_left_ = 0;
  OrderWindow window_;
  // Workers with starts that the window had no room for, by the number of the
  // first such order. Those that only wait until their own agent has received
  // earlier ones are not included.
  std::map<uint64_t, WorkerView*> waiting_for_room_;
  // Starts that wait for the window, without those to unresponsive agents; as
  // of the latest message to each agent.
  std::size_t unsent_start_bytes_ = 0;
  // Something has arrived since the window was last used.
  bool window_changed_ = false;
  // Placement waits until the window has room.
  bool placement_held_ = false;
  bool batch_pending_ = false;
  // Agents whose workers have ends to be recorded in the log, and the ends in
  // the batch being stored.
  std::set<std::string> ends_due_;
  std::map<std::string, WorkerEnds> batch_ends_;
  // Agents that have reported crashes, and the newest crash row of each in the
  // batch being stored.
  std::set<std::string> crashes_due_;
  std::map<std::string, CrashRow> batch_crashes_;
  TimePoint occurrence_due_at_ = TimePoint::max();
  TimePoint retry_at_ = TimePoint::max();
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_OWNER_H_

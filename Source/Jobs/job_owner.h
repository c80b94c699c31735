#ifndef RHUBARBHAVEN_JOBS_JOB_OWNER_H_
#define RHUBARBHAVEN_JOBS_JOB_OWNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Base/base.h"
#include "Jobs/image_interference.h"
#include "Jobs/job_fold.h"
#include "Jobs/job_work.h"
#include "Jobs/owner_election.h"
#include "Jobs/place_choice.h"
#include "Jobs/placement_order.h"
#include "Jobs/ticket_book.h"
#include "Jobs/worker_changes.h"
#include "Jobs/worker_view.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven::jobs {

struct JobOwnerOptions {
  uint64_t incarnation = 0;
  // How long an agent may act on a grant. Longer: runs outlive longer silence
  // of their agent or owner; shorter: tasks of a lost worker start elsewhere
  // sooner. Agents that lose power come back within 3 to 5 s.
  std::chrono::milliseconds lease_ttl{5000};
  // Clocks may differ in speed by this share.
  double clock_drift = 0.02;
  std::chrono::milliseconds lease_margin{300};
  std::chrono::milliseconds poll_interval{300};
  // An agent that has not listed its runs yet is polled more often at first:
  // the first poll only makes the connection, and a takeover waits for the
  // listing.
  std::chrono::milliseconds first_polls{40};
  std::chrono::milliseconds first_polls_for{2000};
  // First polls come no faster than one in this time, all agents together: more
  // would use up a small owner's processor, which connections need to be made.
  std::chrono::milliseconds between_first_polls{1};
  // An order without a result is sent again after this.
  std::chrono::milliseconds repeat_after{400};
  // How often an agent is told what was learned of the images on its worker.
  std::chrono::milliseconds tell_pressures{1000};
  // How often what was learned goes into the log, for the next owner: one that
  // began with nothing would crowd fillers where they disturb.
  std::chrono::milliseconds store_pressures{3000};
  // A run that has made no progress for this long is stopped and started
  // elsewhere. Workers tell whole percents of tasks that take seconds.
  std::chrono::milliseconds stalled_after{2000};
  std::chrono::milliseconds set_aside_stalled{4000};
  // How long jobs that are over stay readable; the platform asks for 120 s.
  std::chrono::seconds keep_over{150};
  // An agent that is silent for this long, and under no lease any more, leaves
  // the roster. It registers again when it lives. Longer: the census of a next
  // owner waits for agents of which this one knows that nothing runs there, and
  // tasks that last stay down for as long, some 20 s. A lease and its margin.
  std::chrono::milliseconds forget_agent_after{6000};
  // The same for an agent whose worker has ended as planned: five polls.
  std::chrono::milliseconds forget_left_after{1500};

  // How long a lease may hold after the report that it was granted for.
  auto LongestLease() const -> Duration {
    return std::chrono::duration_cast<Duration>(lease_ttl *
                                                (1.0 + clock_drift)) +
           lease_margin;
  }
};

// A decision of the owner about one run, or about several at once, for the log.
struct OwnerDecision {
  std::string what;
  // Of the first run.
  TaskName task;
  uint64_t run = 0;
  // Empty if the runs are on several.
  std::string agent;
  std::string why;
  std::size_t runs = 1;
  // Tasks of several runs, no more than a line of the log should hold.
  std::vector<TaskName> some_tasks = {};
};

// How far a new owner's census is. Tasks of before its claim wait for it.
struct CensusState {
  bool done = false;
  // Since the owner began.
  Duration waited{0};
  // How long it still waits at most, if no missing agent answers.
  Duration longest{0};
  std::size_t agents = 0;
  // Agents for which it waits; the names of some of them.
  std::size_t missing = 0;
  std::vector<std::string> missing_names;
};

// A job that has nothing running although a step of it is ready.
struct StandingJob {
  // The first task that waits.
  TaskName task;
  Duration waited{0};
  std::string why;
  // Age of the oldest report of the workers that have listed their runs.
  Duration oldest_report{0};
};

struct JobOwnerHooks {
  // Over the link, to the agent at the endpoint.
  std::function<auto(const std::string& link_endpoint, AgentOrders)->void> send;
  std::function<auto(const OwnerDecision&)->void> log;
  // A decision about an agent as a whole: "agent_known" or "agent_forgotten".
  std::function<auto(const std::string& what, const std::string& agent)->void>
      log_agent;
  // The census waits on, or is done.
  std::function<auto(const CensusState&)->void> log_census;
  // A job stands; at most some lines a second in all.
  std::function<auto(const StandingJob&)->void> log_standing;
  // So many jobs stand for long enough to be told; told when that changes.
  std::function<auto(std::size_t)->void> note_standing;
  // How late the latest poll of an agent was lately, each second.
  std::function<auto(Duration)->void> note_lag;
  // The queue's rules by the newest configuration; null if it has none.
  std::function<auto(const std::string& queue)->const QueueRules*> rules;
  // Whether operators have asked that nothing starts in the failure domain.
  std::function<auto(const std::string& failure_domain)->bool> is_evacuated;
  // Up to when this owner is certain that no other one has followed it. What
  // ran under a lease that ended before is over; a later lease may have been
  // renewed by a successor.
  std::function<auto()->TimePoint> exclusive_until;
  // Since 1970.
  std::function<auto()->std::chrono::milliseconds> wall_clock;
  // The policy that gives tickets.
  AskAdvice ask_advice;
};

// Decides for the cell between a claim and its loss: where tasks run, what
// their ends mean, and what the log is told. Agents are believed only under
// this owner's fence.
class JobOwner {
 public:
  JobOwner(JobOwnerOptions options, JobOwnerHooks hooks);
  JobOwner(const JobOwner&) = delete;
  auto operator=(const JobOwner&) -> JobOwner& = delete;
  ~JobOwner();

  // `earlier`: when runs of earlier owners are over even on agents that do not
  // answer.
  auto Begin(TimePoint now,
             uint64_t fence,
             const JobFold* fold,
             const EarlierGrants& earlier) -> void;
  auto End() -> void;
  auto active() const -> bool { return fence_ != 0; }

  auto OnChange(TimePoint now, const FoldChange& change) -> void;
  // Runs of earlier owners are over sooner than was known when this one began.
  auto OnEarlierGrants(TimePoint now, const EarlierGrants& earlier) -> void;
  // The configuration has changed.
  auto OnRules() -> void;
  // Other failure domains are evacuated than before.
  auto OnEvacuations() -> void;
  // False if the agent has seen a higher fence: this owner is replaced.
  auto OnReport(TimePoint now,
                const std::string& agent,
                const AgentReport& report) -> bool;
  // Records that should go into the log now, as one append; none while an
  // earlier batch is under way.
  auto TakeBatch() -> std::vector<KeyedRecord>;
  auto OnBatchStored() -> void;
  // The owner is certain for longer that no other one has followed it.
  auto OnAloneUntil(TimePoint now) -> void;
  // The fold is about to be read anew, from the newest records.
  auto OnReadAnew() -> void;
  auto Tick(TimePoint now) -> void;
  auto next_wake() const -> TimePoint;

  // For operators.
  auto workers() const -> const WorkerViews& { return workers_; }
  auto census_done() const -> bool { return census_done_; }
  // For tests: what of the indexes is not as a look at everything finds it;
  // empty if they are true.
  auto FalseIndexes(TimePoint now) const -> std::vector<std::string>;

 private:
  enum class RunsToLose {
    // Nothing can run there any more.
    kAll,
    // The worker's lease has run out. Starts without a result may be under way
    // to an agent that hears its worker again by the time they come. Taken for
    // lost, their tasks would run in two places.
    kAnswered,
  };

  enum class LifeEnd {
    // It has left, or its worker drained before.
    kPlanned,
    kCrashed,
  };

  // A row of what crashes ended, by the process of the agent that numbers it.
  struct CrashRow {
    uint64_t incarnation = 0;
    uint64_t number = 0;
  };

  struct NamedRun {
    TaskName task;
    uint64_t run = 0;
  };

  struct SlowedFiller {
    TaskPlace place;
    uint64_t run = 0;
    // How much sooner it would end.
    std::chrono::duration<double> gain{0};
  };

  // Jobs.
  auto AddJob(TimePoint now, const StoredJob& entry) -> void;
  auto EndJob(JobWork& work, const std::string& why) -> void;
  auto ForgetJobIfIdle(TimePoint now, const std::string& id) -> void;
  auto DropJob(TimePoint now, const std::string& id) -> void;
  auto OpenDue(TimePoint now, JobWork& work) -> void;
  auto Locate(const TaskName& name) -> std::optional<TaskPlace>;
  auto SetState(JobWork& work, JobState state) -> void;
  // The job is to be put into a record, and ranked anew.
  auto NoteProgressOf(JobWork& work) -> void;
  auto EraseJob(const std::string& id) -> void;

  // Agents and their workers.
  auto OnAgentRecord(TimePoint now, const std::string& name) -> void;
  auto OnRegistrationGone(const std::string& name) -> void;
  // Takes what the log says of a worker that has left for its agent's word.
  auto NoteLeft(TimePoint now, WorkerView& worker) -> void;
  auto AddAgent(TimePoint now, const AgentEntry& entry) -> void;
  auto EraseWorker(WorkerView& worker) -> void;
  auto SetConfirmed(WorkerView& worker, bool confirmed) -> void;
  auto SetLeaseBound(WorkerView& worker, TimePoint bound) -> void;
  // The worker takes no new runs until then.
  auto SetAside(WorkerView& worker, TimePoint until) -> void;
  // Those whose time aside is over may be asked again.
  auto TakeBack(TimePoint now) -> void;
  // When grants of earlier owners to the agent are over.
  auto EarlierGrantsEnd(const std::string& agent) const -> TimePoint;
  auto ForgetSilentAgents(TimePoint now) -> void;
  auto UpdateWorker(TimePoint now,
                    WorkerView& worker,
                    const AgentReport& report) -> void;
  auto EndLife(TimePoint now, WorkerView& worker, LifeEnd how) -> void;
  auto AdoptListing(TimePoint now,
                    WorkerView& worker,
                    const AgentReport& report) -> void;
  // Until when a lease granted from an agent's report of then may hold.
  auto LeaseBound(TimePoint granted_from) const -> TimePoint;
  auto AdoptRun(TimePoint now, WorkerView& worker, const RunningTask& row)
      -> void;
  auto NoteProgress(TimePoint now, WorkerView& worker, const RunningTask& row)
      -> void;
  // Stops runs that stand still.
  auto StopStalled(TimePoint now, WorkerView& worker) -> void;
  // Takes runs of the worker for lost, so that their tasks start elsewhere.
  auto LoseRuns(TimePoint now,
                WorkerView& worker,
                RunsToLose which,
                const std::string& why) -> void;
  auto LoseSilentWorkers(TimePoint now) -> void;
  auto BeginCensus(TimePoint now) -> void;
  // When nothing of earlier owners runs on the workers that are not listed.
  auto CensusEnd() const -> TimePoint;
  auto FinishCensus(TimePoint now) -> void;
  auto NoteCensusWaits(TimePoint now) -> void;
  auto DescribeCensus(TimePoint now) const -> CensusState;

  // Ends and results.
  auto OnEnd(TimePoint now,
             WorkerView& worker,
             const EndedTask& row,
             bool census) -> void;
  auto OnDone(const TaskPlace& place) -> void;
  auto OnFailed(TimePoint now, WorkerView& worker, const TaskPlace& place)
      -> void;
  // What agents tell of crashes of their workers.
  auto OnCrashedRuns(WorkerView& worker, const AgentReport& report) -> void;
  // The agent has started anew since, and cannot tell.
  auto NoteUnseenCrash(const WorkerView& worker) -> void;
  // Holds the crash against the task; false if that was done before.
  auto NoteCrash(const WorkerView& worker,
                 const TaskPlace& place,
                 uint64_t run,
                 Duration ran) -> bool;
  // Gives up the one of these tasks, whose runs one crash has ended, that is
  // the cause of it, as far as that can be told.
  auto GiveUpCause(const std::vector<TaskPlace>& crashed) -> void;
  // The worker is silent for so long that its runs are over: one of them may
  // have crashed it.
  static auto SuspectRuns(const WorkerView& worker) -> void;
  // Lets go of the suspicion against tasks that have run for long enough.
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

  // Placement.
  auto PlaceAll(TimePoint now) -> void;
  auto UpdateOrder() -> void;
  auto NoteOutlook(JobWork& work, JobOutlook outlook) -> void;
  auto PlaceStep(TimePoint now, const PlacementOrder::WaitingStep& waiting)
      -> void;
  auto PlaceGang(TimePoint now, const PlacementOrder::WaitingStep& waiting)
      -> void;
  // Whether a worker that has changed since the gang found no places would take
  // a member of it.
  auto MayFitGang(TimePoint now,
                  const PlacementOrder::WaitingStep& waiting,
                  const PlaceLimits& limits) -> bool;
  // A place for each member of a gang, or none at all.
  auto PlacesOfGang(TimePoint now, TaskPlace place, PlaceLimits& limits)
      -> std::vector<WorkerView*>;
  // Workers on which the task's step may run, by its queue's policy; none if
  // the queue has no policy.
  auto TicketsFor(TimePoint now, const TaskPlace& place)
      -> std::optional<StepTickets>;
  // The same of what is known, without a question to the policy.
  auto TicketsHeld(TimePoint now, const TaskPlace& place) const
      -> std::optional<StepTickets>;
  // No worker takes the task: says why in the log once it has lasted.
  auto NoteWaiting(TimePoint now,
                   const TaskPlace& place,
                   const PlaceLimits& limits) -> void;
  // Jobs that have nothing running.
  auto LookForStandingJobs(TimePoint now) -> void;
  auto LogStandingJob(TimePoint now, const PlacementOrder::WaitingStep& step)
      -> void;
  auto WhyItStands(TimePoint now, const TaskPlace& place) const -> std::string;
  auto DescribeMissing(TimePoint now) const -> std::string;
  auto OldestReport(TimePoint now) const -> Duration;
  auto NoteStanding(std::size_t jobs) -> void;
  // Runs on spare processors that would end sooner elsewhere at full speed,
  // those of jobs that can be in time first.
  auto SlowedFillers(TimePoint now) -> std::vector<SlowedFiller>;
  auto MoveSlowedFillers(TimePoint now) -> void;
  auto MayStart(TimePoint now, const TaskPlace& place) -> bool;
  // A job with nothing running fills at any speed in the end: what disturbs is
  // learned from what runs, and its agent protects what serves there.
  static auto MayFillAnyway(const TaskPlace& place) -> bool;
  // The mark at which all workers had refused the step under these limits.
  static auto RefusedAt(StepWork& step, const PlaceLimits& limits) -> uint64_t&;
  auto Start(TimePoint now,
             const TaskPlace& place,
             WorkerView& worker,
             uint64_t run,
             const std::string& ticket) -> void;
  // The run stands there under the number from now on.
  static auto AddRunTo(WorkerView& worker,
                       uint64_t number,
                       const TaskPlace& place) -> void;
  auto StopRun(const TaskPlace& place, RunWork& run, const std::string& why)
      -> void;
  // Orders the stop without a line in the log; false if it was ordered before.
  auto OrderStop(const TaskPlace& place, RunWork& run) -> bool;
  auto StopOrphan(WorkerView& worker, const RunningTask& row) -> void;
  auto NewRun() -> uint64_t;

  // Records for the log.
  auto AddEnds(std::vector<KeyedRecord>* records) -> void;
  // Which of the crashes that were told the batch covers.
  auto AddCrashes() -> void;
  auto OnCrashesStored() -> void;
  auto AddRoster(std::vector<KeyedRecord>* records) -> void;
  auto AddGrants(std::vector<KeyedRecord>* records) -> void;
  auto OnGrantsNoted() -> void;
  // Lets go of jobs that were over for long enough.
  auto DropOldJobs(TimePoint now) -> void;

  auto CheckStep(TimePoint now,
                 const TaskPlace& place,
                 std::vector<std::string>* problems) const -> void;
  auto CheckWorker(const WorkerView& worker,
                   std::vector<std::string>* problems) const -> void;

  // Messages.
  auto PollSoon(WorkerView& worker) -> void;
  auto Poll(TimePoint now, WorkerView& worker) -> void;
  auto PollAll(TimePoint now) -> void;
  auto NoteLag(TimePoint now) -> void;
  auto NextPoll(const WorkerView& worker) const -> TimePoint;
  // Between two polls of an agent that has not listed its runs yet.
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
  // One line for all of the runs: a line for each would be left out by the
  // log's rate when a worker is lost with hundreds of them.
  auto LogTogether(const std::string& what,
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
  bool census_done_ = false;
  // When the log is told next that the census waits.
  TimePoint tell_census_at_;

  absl::flat_hash_map<std::string, std::unique_ptr<JobWork>> jobs_;
  PlacementOrder order_;
  // Jobs to be put into a record.
  std::set<std::string> dirty_jobs_;
  // Workers by their agents' names, and by their numbers.
  WorkerViews workers_;
  absl::flat_hash_map<uint64_t, WorkerView*> numbered_;
  uint64_t next_worker_ = 1;
  WorkerChanges changes_;
  // Those whose agents have not listed their runs, by the agents' names.
  std::map<std::string, WorkerView*> unconfirmed_;
  // By the workers' numbers: when agents are polled, when leases may be over
  // (at the soonest), and when workers that are set aside are taken back.
  TimerQueue<uint64_t> polls_;
  TimerQueue<uint64_t> leases_;
  TimerQueue<uint64_t> asides_;
  ImageInterference interference_;
  TicketBook tickets_;
  TimePoint pressures_stored_at_;
  bool pressures_due_ = false;
  // Jobs that are over, until they are dropped.
  TimerQueue<std::string> over_;
  std::vector<std::string> keys_to_drop_;
  // Agents whose registrations this owner drops, until it has read the drop;
  // those of the batch under way.
  std::set<std::string> agents_in_drop_;
  std::set<std::string> batch_drops_;
  // Agents in use whose registrations are to be written again.
  std::set<std::string> agents_to_restore_;
  // Agents that have listed their runs, until the log says that this owner
  // grants to them; those of the batch under way.
  std::set<std::string> agents_to_note_;
  // With the life of the agent's worker.
  std::map<std::string, std::string> batch_grants_;
  uint64_t next_order_ = 1;
  uint64_t next_run_ = 1;
  TimePoint moved_at_;
  // Since it was last told.
  Duration longest_lag_{0};
  TimePoint lag_told_at_;
  TimePoint look_standing_at_;
  // In the log, since it was last a second ago.
  int standing_lines_ = 0;
  TimePoint standing_lines_since_;
  std::size_t standing_jobs_ = 0;
  bool place_due_ = false;
  // In the turn of placement under way.
  int starts_left_ = 0;
  bool batch_out_ = false;
  // Agents whose workers have ends to be noted in the log; those of the batch
  // under way.
  std::set<std::string> ends_due_;
  std::map<std::string, WorkerEnds> batch_ends_;
  // Agents that have told of crashes; those of the batch under way, with the
  // newest row that it covers.
  std::set<std::string> crashes_due_;
  std::map<std::string, CrashRow> batch_crashes_;
  TimePoint due_at_ = TimePoint::max();
  TimePoint retry_at_ = TimePoint::max();
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_OWNER_H_

#ifndef RHUBARBHAVEN_TESTS_JOBS_SIMULATED_CLUSTER_H_
#define RHUBARBHAVEN_TESTS_JOBS_SIMULATED_CLUSTER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Jobs/jobs.h"
#include "Tests/Jobs/virtual_log.h"
#include "Tests/Jobs/virtual_time.h"
#include "Tests/Jobs/virtual_worker.h"

namespace rhubarbhaven::jobs {

struct SimulatedClusterOptions {
  uint64_t seed = 1;
  int entries = 3;
  int agents = 3;
  // Share of runs that fail. A task fails at most twice.
  double failing_runs = 0.0;
  // Services that the configuration lists. All workers belong to "service".
  std::vector<std::string> services;
  // Agents register as their daemon does: not while they are frozen, and not
  // again before the owner has had time to call them.
  bool paced_registration = false;
  // Events for a frozen process are handled in the order in which they arrived.
  // Otherwise, a second freeze changes their order.
  bool keep_order = false;
  // Checks periodically that long-running tasks are restarted; see
  // `CheckLongRunning`.
  bool check_long_running = false;
  // Checks periodically that no job is starved; see `CheckStarvation`.
  bool check_starvation = false;
  // Allows a new owner to wait for an agent that is gone for as long as leases
  // granted by the previous owner may still be valid.
  bool allow_reconciliation = true;
  // Time from a crash under a task until the worker is restarted.
  std::chrono::milliseconds restart_delay{3300};
  // A worker that restarts keeps its name; see WorkerObserver.
  bool workers_keep_names = false;
  // Size of the payload of each job.
  std::size_t payload_bytes = 300;
  // Bandwidth of the link of each entry, which its orders, its appends and what
  // it reads from the log share; zero for no limit. It is no fault: it excuses
  // nothing.
  std::size_t link_bytes_per_second = 0;
  // Called when a worker starts a run of a task.
  std::function<auto(const TaskName&)->void> on_start = [](const TaskName&) {};
};

// Simulates entries, agents, workers and callers in virtual time and injects
// faults. Invariants are checked as events happen; `problems` lists the
// violations.
class SimulatedCluster {
 public:
  static constexpr uint32_t kTaskMillicores = 1000;

  explicit SimulatedCluster(SimulatedClusterOptions options);
  SimulatedCluster(const SimulatedCluster&) = delete;
  auto operator=(const SimulatedCluster&) -> SimulatedCluster& = delete;
  ~SimulatedCluster();

  auto RunFor(Duration span) -> void;
  auto time() -> VirtualTime& { return time_; }
  auto log() -> VirtualLog& { return log_; }
  auto entries() const -> int { return options_.entries; }
  auto worker(int number) -> VirtualWorker& { return *workers_.at(number); }

  // Submits a job whose steps have these numbers of tasks, each step after the
  // one before, and retries until an entry accepts it. Returns the id of the
  // job.
  auto Submit(const std::vector<uint32_t>& steps) -> std::string;
  // Submits a job with this number of tasks, which run until the job is
  // cancelled.
  auto SubmitLongRunning(uint32_t tasks) -> std::string;
  // Submits a job with this number of opportunistic tasks, which resume from
  // their checkpoints.
  auto SubmitOpportunistic(uint32_t tasks) -> std::string;
  // Submits a job of one step. Its first task crashes each worker this long
  // after it has started there.
  auto SubmitCrashing(const JobStep& step, std::chrono::milliseconds after)
      -> std::string;
  // Submits a job of one step.
  auto SubmitStep(const JobStep& step) -> std::string;
  auto Cancel(const std::string& job) -> void;
  // Cancels the job at this entry.
  auto CancelAt(int number, const std::string& job) -> void;
  // Calls this entry about the job. `respond` is not called if the entry is
  // down or ends before it has answered.
  auto CallAt(int number,
              JobCallKind kind,
              const std::string& job,
              const JobResponder& respond) -> void;

  auto KillEntry(int number, Duration down) -> void;
  auto KillAgent(int number, Duration down) -> void;
  auto FreezeEntry(int number, Duration span) -> void;
  auto FreezeAgent(int number, Duration span) -> void;
  // Cuts the link between the two for this time.
  auto CutLink(int entry, int agent, Duration span) -> void;
  // For this time, orders of the entry to the agent are delivered this much
  // later, in the order in which they were sent.
  auto DelayOrders(int entry, int agent, Duration delay, Duration span) -> void;
  // For this time, the entry needs this long for each event that it handles, so
  // that events wait. Requires `keep_order`. Neither of these two counts as a
  // fault: they excuse nothing that an agent does.
  auto SlowEntry(int number, Duration per_event, Duration span) -> void;
  // Isolates these processes together for this time: from the log, and from all
  // other entries and agents.
  auto Isolate(const std::set<int>& entries,
               const std::set<int>& agents,
               Duration span) -> void;
  auto StopEntry(int number) -> void;
  // Adds an agent with an empty worker. Returns its number.
  auto AddAgent() -> int;
  // Removes an agent and its worker permanently. `planned`: the agent still
  // reports that its worker has left.
  auto RemoveAgent(int number, bool planned) -> void;
  // Removes the worker permanently; its agent keeps running.
  auto RemoveWorker(int number) -> void;
  // Kills all entries and agents at once; they start again after `down`. The
  // workers live on.
  auto LosePower(Duration down) -> void;
  // Workers send no heartbeats for this time.
  auto PauseHeartbeats(Duration span) -> void;
  // The agent receives a heartbeat that its worker's present process has sent,
  // this much later: the worker may have restarted meanwhile.
  auto DeliverLateHeartbeat(int number, Duration delay) -> void;
  // The agent is told to stop: it ends as soon as it has recorded that, or
  // after a second. Its next process starts after `down`.
  auto StopAgent(int number, Duration down) -> void;
  // The same, but the agent and its worker are then removed permanently.
  auto StopAgentForGood(int number) -> void;
  // Removes the entry permanently.
  auto RemoveEntry(int number) -> void;
  // Numbers of the agents that have not been removed.
  auto Agents() const -> std::vector<int>;
  // Whether a fault is active now.
  auto HasFault() const -> bool;
  // Whether a fault is active now other than unanswered or slow reads of the
  // log.
  auto HasFaultBeyondReads() const -> bool;
  auto RunsAnywhere(const std::string& task) const -> bool;
  // Records a fault that does not show in the state of the simulation.
  auto RecordFault() -> void { last_fault_at_ = time_.now(); }
  auto HealAll() -> void;
  // Prints the text if EXPLORER_TRACE is set in the environment.
  auto Trace(const std::string& text) -> void;
  // Checks that every task of each completed job has ended successfully.
  auto CheckCompleted() -> void;
  // Checks that long-running jobs are open, or cancelled and without a run, and
  // that all others are completed. Owners delete jobs from the log some time
  // after they have ended.
  auto CheckJobs() -> void;

  // The entry that is the active owner; -1 if there is none or more than one.
  auto Owner() const -> int;
  // The fence of the claim of the entry; zero if it has none.
  auto FenceOf(int entry) const -> uint64_t;
  auto StateOf(int entry, const std::string& job) const
      -> std::optional<JobState>;
  auto accepted() const -> const std::set<std::string>& { return accepted_; }
  auto cancelled() const -> const std::set<std::string>& { return cancelled_; }
  // Long-running jobs whose cancellation was not requested.
  auto long_running_jobs() const -> std::vector<std::string>;
  // Number of tasks of long-running jobs that are not known to be cancelled.
  auto long_running_tasks() const -> std::size_t;
  auto IsLongRunningJob(const std::string& job) const -> bool;
  // Number of runs of long-running tasks beyond the first one of each.
  auto long_running_restarts() const -> int { return long_running_restarts_; }
  auto starts() const -> int { return starts_; }
  // Number of runs whose end by a lapsed lease was reported.
  auto lapsed_runs() const -> int { return lapsed_runs_; }
  // Number of workers that have crashed under the crashing task of this job.
  auto crashes(const std::string& job) const -> int;
  auto problems() const -> const std::vector<std::string>& { return problems_; }

 private:
  struct Process {
    std::string name;
    // Grows with each restart. Events for earlier generations are discarded.
    uint64_t generation = 1;
    bool up = true;
    bool removed = false;
    // Events that have arrived but are not handled yet; used with `keep_order`.
    std::deque<std::function<auto()->void>> inbox;
    TimePoint frozen_until;
    TimePoint slow_until;
    Duration per_event{0};
    // The process is at work on an event until then.
    TimePoint busy_until;
    TimePoint wake_at = TimePoint::max();
    // What was sent over its link has passed it by then.
    TimePoint link_free_at;
    std::unique_ptr<EntryDecisions> entry;
    std::unique_ptr<TaskAgent> agent;
    std::unique_ptr<AgentRegistration> registration;
  };
  struct OrderDelay {
    Duration delay{0};
    TimePoint until;
    TimePoint last_delivery;
  };
  struct SubmittedJob {
    Job job;
    bool accepted = false;
    bool rejected_only = true;
    int tries = 0;
    bool cancel_requested = false;
    std::optional<std::chrono::milliseconds> crashes_after;
  };

  auto StartEntry(int number) -> void;
  auto StartAgent(int number) -> void;
  // Appends the registration record of the agent when it is due, as its daemon
  // does.
  auto Register(Process* process) -> void;
  auto SendRegistration(Process* process) -> void;
  auto KeepRegistered(Process* process) -> void;
  // Calls `end` once the agent has recorded its stop, or at `limit`.
  auto EndWhenRecorded(Process* process,
                       TimePoint limit,
                       const std::function<auto()->void>& end) -> void;
  auto Kill(Process* process, Duration down, std::function<auto()->void> start)
      -> void;
  // Runs `event` in the process if it has not been restarted since; if the
  // process is frozen, afterwards.
  auto Deliver(Process* process, const std::function<auto()->void>& event)
      -> void;
  auto HandleInbox(Process* process) -> void;
  auto WakeLater(Process* process) -> void;
  auto Alive(Process* process) -> std::function<auto()->bool>;
  auto SendOrders(int entry,
                  const std::string& endpoint,
                  const AgentOrders& orders) -> void;
  auto SendReport(int agent, const std::string& peer, const AgentReport& report)
      -> void;
  auto IsCut(int entry, int agent) const -> bool;
  // When orders that leave the entry's link at `sent_at` will be delivered.
  auto DeliveryTime(int entry, int agent, TimePoint sent_at) -> TimePoint;
  // The transfer of the records to the process over its link, which begins once
  // the link is free.
  auto TransferOf(Process* process,
                  const std::vector<KeyedRecord>& records,
                  TimePoint waited_until) -> VirtualTransfer;
  // The port with the calls' bytes queued on the entry's link.
  auto OverLink(Process* process, const KeyedLogPort& port) -> KeyedLogPort;
  // Queues these bytes on the entry's link. Returns when they have passed it.
  auto Transfer(Process* process, std::size_t bytes) -> TimePoint;
  auto MakePayload(const std::string& job) const -> std::string;
  auto CheckPayload(const TaskName& task, const std::string& payload) -> void;
  auto SendHeartbeat(int number) -> void;
  // Whether the process is frozen and therefore, like its daemon, does not
  // register; only with `paced_registration`.
  auto SkipsRegistration(const Process& process) const -> bool;
  auto IsLongRunning(const TaskName& task) const -> bool;
  auto IsOpportunistic(const TaskName& task) const -> bool;
  // Whether a worker whose agent has not been removed has room for one more
  // task.
  auto HasRoom() const -> bool;
  // Whether the owner may still wait for the runs of an agent that is gone.
  auto IsReconciling() const -> bool;
  // Checks that a long-running task whose job is accepted and not cancelled is
  // restarted within a time limit, counted while no fault was active and there
  // was room.
  auto CheckLongRunning() -> void;
  // Checks that an accepted job that has not ended has a task running within a
  // time limit, counted while no fault was active, at least two workers had
  // room, and less than half of the capacity was in use.
  auto CheckStarvation() -> void;
  auto ScheduleChecks() -> void;
  // Whether no fault was active for some time, and no reconciliation is in
  // progress that is allowed to wait.
  auto IsStable() -> bool;
  auto HasAmpleRoom() const -> bool;
  // Whether the job has ended according to some entry, or may have ended.
  auto MayHaveEnded(const std::string& job) const -> bool;
  auto AnyTaskRuns(const std::string& job) const -> bool;
  auto RecordCompleted() -> void;
  auto CheckStateOf(const std::string& job, int entry) -> void;
  auto TrySubmit(const std::string& id) -> void;
  auto OnReply(const std::string& id, const JobReply& reply) -> void;
  auto MakeObserver() -> WorkerObserver;
  auto OnStart(const std::string& worker, const TaskName& task, uint64_t run)
      -> void;
  auto OnEnd(const TaskName& task, RunEnd end, bool recorded) -> void;
  auto OnCrash(const TaskName& task) -> void;
  // Checks that a task that crashes its workers is not started without limit.
  auto CheckCrashBudget(const std::string& task) -> void;
  auto Crashes(const TaskName& task) const -> bool;
  // Whether enough workers have crashed under one of the tasks of the job for
  // it to be marked as failed, even if another task beside it was the cause.
  auto MayHaveFailed(const std::string& job) const -> bool;
  // Checks that the indexes of jobs and workers that owners keep agree with a
  // scan of all of them.
  auto CheckIndexes() -> void;
  auto ReportProblem(const std::string& text) -> void;

  SimulatedClusterOptions options_;
  VirtualTime time_;
  VirtualLog log_;
  Metrics metrics_;
  std::vector<std::unique_ptr<VirtualWorker>> workers_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::vector<std::unique_ptr<Process>> agents_;
  std::map<std::pair<int, int>, TimePoint> cuts_;
  std::map<std::pair<int, int>, OrderDelay> order_delays_;
  std::map<std::string, SubmittedJob> submitted_;
  std::set<std::string> accepted_;
  std::set<std::string> cancelled_;
  // Tasks whose successful end is recorded.
  std::map<std::string, TimePoint> recorded_done_;
  std::map<std::string, int> recorded_failures_;
  std::map<std::string, int> failed_runs_;
  // Crashes of workers under each task, whichever task was the cause.
  std::map<std::string, int> crashes_;
  // Starts of tasks that crash their workers, counted after the third crash.
  std::map<std::string, int> starts_after_crashes_;
  // Runs that ended successfully.
  std::map<std::string, int> done_runs_;
  // Long-running tasks, with the time since when each could have been started.
  std::map<std::string, TimePoint> startable_since_;
  std::map<std::string, int> long_running_starts_;
  // Accepted jobs, with the time since when each could have had a task running
  // but had none.
  std::map<std::string, TimePoint> idle_since_;
  // Jobs that an entry has shown as completed at some time.
  std::set<std::string> completed_;
  int long_running_restarts_ = 0;
  TimePoint heartbeats_paused_until_;
  TimePoint last_fault_at_;
  // When there was last no owner whose reconciliation was in progress.
  TimePoint no_reconciliation_at_;
  int starts_ = 0;
  int lapsed_runs_ = 0;
  int next_job_ = 0;
  std::vector<std::string> problems_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_SIMULATED_CLUSTER_H_

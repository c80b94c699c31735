#ifndef RHUBARBHAVEN_TESTS_JOBS_JOB_WORLD_H_
#define RHUBARBHAVEN_TESTS_JOBS_JOB_WORLD_H_

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

struct JobWorldOptions {
  uint64_t seed = 1;
  int entries = 3;
  int agents = 3;
  // Share of runs that end failed; a task fails at most twice.
  double failing_runs = 0.0;
  // That the configuration lists; the workers are of "service".
  std::vector<std::string> services;
  // Agents register as their daemon does: not while they are frozen, and not
  // again before the owner had time to call them.
  bool paced_registration = false;
  // What reaches a frozen process is handled in the order in which it came.
  // Without, a second freeze changes the order.
  bool keep_order = false;
  // Checks over time that tasks that last run again; see `CheckLasting`.
  bool check_lasting = false;
  // Checks over time that no job has nothing running although it could; see
  // `CheckStanding`.
  bool check_standing = false;
  // Allows a new owner to wait for an agent that is gone for as long as leases
  // of the owner before it may hold.
  bool allow_census = true;
  // From a crash under a task to the worker's next life.
  std::chrono::milliseconds back_after_crash{3300};
  // A worker begins to run a task.
  std::function<auto(const TaskName&)->void> on_start = [](const TaskName&) {};
};

// Entries, agents, workers and callers over virtual time, with their faults.
// Every event is followed by checks of what must always hold; `problems` lists
// what was broken.
class JobWorld {
 public:
  static constexpr uint32_t kTaskMillicores = 1000;

  explicit JobWorld(JobWorldOptions options);
  JobWorld(const JobWorld&) = delete;
  auto operator=(const JobWorld&) -> JobWorld& = delete;
  ~JobWorld();

  auto RunFor(Duration span) -> void;
  auto time() -> VirtualTime& { return time_; }
  auto log() -> VirtualLog& { return log_; }
  auto entries() const -> int { return options_.entries; }
  auto worker(int number) -> VirtualWorker& { return *workers_.at(number); }

  // A job of steps with these numbers of tasks, each after the one before,
  // handed in again until an entry accepts it. Returns its id.
  auto Submit(const std::vector<uint32_t>& steps) -> std::string;
  // A job of so many tasks that last until it is cancelled.
  auto SubmitLasting(uint32_t tasks) -> std::string;
  // A job of so many tasks that fill, and resume where they were.
  auto SubmitFilling(uint32_t tasks) -> std::string;
  // A job of one step, whose first task crashes each worker so long after its
  // start there.
  auto SubmitCrashing(const JobStep& step, std::chrono::milliseconds after)
      -> std::string;
  // A job of one step.
  auto SubmitStep(const JobStep& step) -> std::string;
  auto Cancel(const std::string& job) -> void;
  // At this entry.
  auto CancelAt(int number, const std::string& job) -> void;
  // Calls this entry about the job. Without an answer if it is down, or ends
  // before it has answered.
  auto CallAt(int number,
              JobCallKind kind,
              const std::string& job,
              const JobResponder& respond) -> void;

  auto KillEntry(int number, Duration down) -> void;
  auto KillAgent(int number, Duration down) -> void;
  auto FreezeEntry(int number, Duration span) -> void;
  auto FreezeAgent(int number, Duration span) -> void;
  // Cuts the link between the two for a while.
  auto CutLink(int entry, int agent, Duration span) -> void;
  // Cuts these off for a while, together: from the log, and from all entries
  // and agents beside them.
  auto CutOff(const std::set<int>& entries,
              const std::set<int>& agents,
              Duration span) -> void;
  auto StopEntry(int number) -> void;
  // One more agent with an empty worker. Returns its number.
  auto AddAgent() -> int;
  // Agent and worker are gone for good. `planned`: the agent still tells that
  // its worker has left.
  auto RemoveAgent(int number, bool planned) -> void;
  // Numbers of the agents that are not gone.
  auto Agents() const -> std::vector<int>;
  // Whether a fault is in force now.
  auto Disturbed() const -> bool;
  // Whether one is that is not only reads of the log that are silent or slow.
  auto DisturbedBeyondReads() const -> bool;
  auto RunsAnywhere(const std::string& task) const -> bool;
  // A fault has begun that does not show in the state of the world.
  auto NoteFault() -> void { disturbed_at_ = time_.now(); }
  auto HealAll() -> void;
  // Prints what happens if EXPLORER_TRACE is set in the environment.
  auto Trace(const std::string& text) -> void;
  // Whether every task of each completed job has ended as it should.
  auto CheckCompleted() -> void;
  // Whether jobs that last are open, or cancelled and without a run, and all
  // others are completed. Owners drop from the log what has long been over.
  auto CheckJobs() -> void;

  // The entry that decides; -1 if none or several do.
  auto Owner() const -> int;
  // The fence of the entry's claim; zero if it has none.
  auto FenceOf(int entry) const -> uint64_t;
  auto StateOf(int entry, const std::string& job) const
      -> std::optional<JobState>;
  auto accepted() const -> const std::set<std::string>& { return accepted_; }
  auto cancelled() const -> const std::set<std::string>& { return cancelled_; }
  // Jobs that last and were not asked to be cancelled.
  auto lasting() const -> std::vector<std::string>;
  // Tasks that last and are not known to be cancelled.
  auto lasting_tasks() const -> std::size_t;
  auto IsLasting(const std::string& job) const -> bool;
  // Runs of tasks that last beyond their first ones.
  auto lasting_restarts() const -> int { return lasting_restarts_; }
  auto starts() const -> int { return starts_; }
  // Workers that have crashed under the task of a job that crashes them.
  auto crashes(const std::string& job) const -> int;
  auto problems() const -> const std::vector<std::string>& { return problems_; }

 private:
  struct Process {
    std::string name;
    // Grows with each restart; events for earlier ones are dropped.
    uint64_t generation = 1;
    bool up = true;
    bool gone = false;
    // With `keep_order`: events that have come.
    std::deque<std::function<auto()->void>> inbox;
    TimePoint frozen_until;
    TimePoint wake_at = TimePoint::max();
    std::unique_ptr<EntryDecisions> entry;
    std::unique_ptr<TaskAgent> agent;
    std::unique_ptr<AgentRegistration> registration;
  };
  struct SubmittedJob {
    Job job;
    bool accepted = false;
    bool refused_only = true;
    int tries = 0;
    bool cancel_asked = false;
    std::optional<std::chrono::milliseconds> crashes_after;
  };

  auto StartEntry(int number) -> void;
  auto StartAgent(int number) -> void;
  // Writes the agent's entry when it is due, as its daemon would.
  auto Register(Process* process) -> void;
  auto KeepRegistered(Process* process) -> void;
  auto Kill(Process* process, Duration down, std::function<auto()->void> start)
      -> void;
  // Runs `event` in the process, if it is still the same; later, if frozen.
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
  auto Beat(int number) -> void;
  // Whether it is frozen and, as its daemon would, appends nothing.
  auto Sleeps(const Process& process) const -> bool;
  auto Lasts(const TaskName& task) const -> bool;
  auto Fills(const TaskName& task) const -> bool;
  // Whether a worker whose agent is alive has room for one more task.
  auto HasRoom() const -> bool;
  // Whether the owner may still wait for runs at an agent that is gone.
  auto CensusWaits() const -> bool;
  // A task that lasts, whose job is accepted and not cancelled, runs again
  // within a while in which no fault was in force and there was room.
  auto CheckLasting() -> void;
  // An accepted job that is not over has something running within a while in
  // which no fault was in force, there was room for it twice over, and less
  // than half of all room was in use.
  auto CheckStanding() -> void;
  auto LookLater() -> void;
  // Whether no fault was in force for a while, nor a census that may wait.
  auto IsCalm() -> bool;
  auto HasAmpleRoom() const -> bool;
  // Whether it is over by what some entry knows, or may be.
  auto MayBeOver(const std::string& job) const -> bool;
  auto AnyTaskRuns(const std::string& job) const -> bool;
  auto NoteCompleted() -> void;
  auto CheckStateOf(const std::string& job, int entry) -> void;
  auto TrySubmit(const std::string& id) -> void;
  auto OnReply(const std::string& id, const JobReply& reply) -> void;
  auto Watch() -> WorkerWatch;
  auto OnStart(const std::string& worker, const TaskName& task, uint64_t run)
      -> void;
  auto OnEnd(const TaskName& task, RunEnd end, bool noted) -> void;
  auto OnCrash(const TaskName& task) -> void;
  // Nor is a task that crashes its workers started for ever.
  auto CheckCrashBudget(const std::string& task) -> void;
  auto Crashes(const TaskName& task) const -> bool;
  // Whether enough workers have crashed under one of the job's tasks for it to
  // be given up, also if something beside it was the cause.
  auto MayBeGivenUp(const std::string& job) const -> bool;
  // What owners keep of jobs and workers is as a look at all of them finds it.
  auto CheckIndexes() -> void;
  auto Problem(const std::string& text) -> void;

  JobWorldOptions options_;
  VirtualTime time_;
  VirtualLog log_;
  Metrics metrics_;
  std::vector<std::unique_ptr<VirtualWorker>> workers_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::vector<std::unique_ptr<Process>> agents_;
  std::map<std::pair<int, int>, TimePoint> cuts_;
  std::map<std::string, SubmittedJob> submitted_;
  std::set<std::string> accepted_;
  std::set<std::string> cancelled_;
  // Tasks whose end `done` is noted.
  std::map<std::string, TimePoint> noted_done_;
  std::map<std::string, int> noted_failures_;
  std::map<std::string, int> failed_runs_;
  // Crashes of workers under tasks, whichever of these was the cause.
  std::map<std::string, int> crashes_;
  // Starts of tasks that crash their workers, after the third crash.
  std::map<std::string, int> starts_after_crashes_;
  // Runs that ended well.
  std::map<std::string, int> done_runs_;
  // Tasks that last, and since when each could have been started.
  std::map<std::string, TimePoint> lasting_;
  std::map<std::string, int> lasting_starts_;
  // Since when something of each accepted job could have run and did not.
  std::map<std::string, TimePoint> standing_;
  // Jobs that were seen completed at some time.
  std::set<std::string> completed_;
  int lasting_restarts_ = 0;
  TimePoint disturbed_at_;
  // When there was last no owner whose census was open.
  TimePoint no_census_at_;
  int starts_ = 0;
  int next_job_ = 0;
  std::vector<std::string> problems_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_JOB_WORLD_H_

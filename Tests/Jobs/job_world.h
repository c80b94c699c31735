#ifndef RHUBARBHAVEN_TESTS_JOBS_JOB_WORLD_H_
#define RHUBARBHAVEN_TESTS_JOBS_JOB_WORLD_H_

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
};

// Entries, agents, workers and callers over virtual time, with their faults.
// Every event is followed by checks of what must always hold; `problems` lists
// what was broken.
class JobWorld {
 public:
  explicit JobWorld(JobWorldOptions options);
  JobWorld(const JobWorld&) = delete;
  auto operator=(const JobWorld&) -> JobWorld& = delete;
  ~JobWorld();

  auto RunFor(Duration span) -> void;
  auto time() -> VirtualTime& { return time_; }
  auto log() -> VirtualLog& { return log_; }
  auto worker(int number) -> VirtualWorker& { return *workers_.at(number); }

  // A job of steps with these numbers of tasks, each after the one before,
  // handed in again until an entry accepts it. Returns its id.
  auto Submit(const std::vector<uint32_t>& steps) -> std::string;
  auto Cancel(const std::string& job) -> void;

  auto KillEntry(int number, Duration down) -> void;
  auto KillAgent(int number, Duration down) -> void;
  auto FreezeEntry(int number, Duration span) -> void;
  auto FreezeAgent(int number, Duration span) -> void;
  // Cuts the link between the two for a while.
  auto CutLink(int entry, int agent, Duration span) -> void;
  auto StopEntry(int number) -> void;
  auto HealAll() -> void;
  // Prints what happens if EXPLORER_TRACE is set in the environment.
  auto Trace(const std::string& text) -> void;
  // Whether every task of each completed job has ended as it should.
  auto CheckCompleted() -> void;

  // The entry that decides; -1 if none or several do.
  auto Owner() const -> int;
  auto StateOf(int entry, const std::string& job) const
      -> std::optional<JobState>;
  auto accepted() const -> const std::set<std::string>& { return accepted_; }
  auto cancelled() const -> const std::set<std::string>& { return cancelled_; }
  auto starts() const -> int { return starts_; }
  auto problems() const -> const std::vector<std::string>& { return problems_; }

 private:
  struct Process {
    std::string name;
    // Grows with each restart; events for earlier ones are dropped.
    uint64_t generation = 1;
    bool up = true;
    TimePoint frozen_until;
    TimePoint wake_at = TimePoint::max();
    std::unique_ptr<EntryDecisions> entry;
    std::unique_ptr<TaskAgent> agent;
    std::unique_ptr<AppendBatcher> registration;
  };
  struct SubmittedJob {
    Job job;
    bool accepted = false;
    bool refused_only = true;
    int tries = 0;
  };

  auto StartEntry(int number) -> void;
  auto StartAgent(int number) -> void;
  auto Register(Process* process, int number) -> void;
  auto Kill(Process* process, Duration down, std::function<auto()->void> start)
      -> void;
  // Runs `event` in the process, if it is still the same; later, if frozen.
  auto Deliver(Process* process, const std::function<auto()->void>& event)
      -> void;
  auto WakeLater(Process* process) -> void;
  auto Alive(Process* process) -> std::function<auto()->bool>;
  auto SendOrders(int entry,
                  const std::string& endpoint,
                  const AgentOrders& orders) -> void;
  auto SendReport(int agent, const std::string& peer, const AgentReport& report)
      -> void;
  auto IsCut(int entry, int agent) const -> bool;
  auto Beat(int number) -> void;
  auto TrySubmit(const std::string& id) -> void;
  auto OnReply(const std::string& id, const JobReply& reply) -> void;
  auto Watch() -> WorkerWatch;
  auto OnStart(const std::string& worker, const TaskName& task, uint64_t run)
      -> void;
  auto OnEnd(const TaskName& task, RunEnd end, bool noted) -> void;
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
  // Runs that ended well.
  std::map<std::string, int> done_runs_;
  int starts_ = 0;
  int next_job_ = 0;
  std::vector<std::string> problems_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_JOB_WORLD_H_

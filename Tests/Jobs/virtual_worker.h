#ifndef RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_WORKER_H_
#define RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_WORKER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Jobs/jobs.h"
#include "Tests/Jobs/virtual_time.h"

namespace rhubarbhaven::jobs {

// Callbacks for the events of a worker that the checks of the simulation need,
// and settings of its tasks.
struct WorkerObserver {
  std::function<
      auto(const std::string& worker, const TaskName&, uint64_t run)->void>
      on_start;
  // Called with the payload of each run that is started.
  std::function<auto(const TaskName&, const std::string& payload)->void>
      on_payload = [](const TaskName&, const std::string&) {};
  // `recorded` if the lease held until the end was acknowledged and may be
  // forgotten.
  std::function<auto(const TaskName&, RunEnd, bool recorded)->void> on_end;
  // Called when a run ends successfully. Whether its end is recorded is known
  // only later.
  std::function<auto(const TaskName&)->void> on_done;
  std::function<auto(const TaskName&)->std::chrono::milliseconds> work;
  std::function<auto(const TaskName&)->bool> fails;
  // Whether the task runs on spare processors and so uses no room. By default,
  // no task does.
  std::function<auto(const TaskName&)->bool> is_opportunistic =
      [](const TaskName&) -> bool { return false; };
  // Time from the start of a run of the task until it crashes its worker, or
  // none if it does not. By default, no task crashes its worker.
  std::function<auto(const TaskName&)->std::optional<std::chrono::milliseconds>>
      crashes_after =
          [](const TaskName&) -> std::optional<std::chrono::milliseconds> {
    return std::nullopt;
  };
  // Time from a crash under a task until the worker is restarted.
  std::chrono::milliseconds restart_delay{3300};
  // A worker that restarts keeps its name, by which it is called, and its clock
  // and its counts begin anew. Otherwise it has a new id.
  bool keeps_name = false;
  // Called for each run that was on a worker when it crashed.
  std::function<auto(const TaskName&)->void> on_crash = [](const TaskName&) {};
};

// Simulates a worker in virtual time: fences, runs, leases, ends, and orders
// that are carried out late or whose answers are lost.
class VirtualWorker {
 public:
  VirtualWorker(VirtualTime* time, std::string name, WorkerObserver observer);

  auto PortFor(const std::function<auto()->bool>& alive) -> WorkerPort;
  auto Heartbeat() -> WorkerHeartbeat;
  // Loses all runs and restarts at once.
  auto Crash() -> void;
  // The same, but the worker is down for this time, like a process that is
  // being restarted.
  auto CrashFor(std::chrono::milliseconds down) -> void;
  // Removes the worker permanently, with all its runs.
  auto Remove() -> void;
  auto SetUnresponsive(bool unresponsive) -> void {
    unresponsive_ = unresponsive;
  }
  // Sets the share of orders that get no answer. Half of these are carried out
  // late.
  auto SetUnanswered(double share) -> void { unanswered_ = share; }
  // Sets the share of orders that are carried out at once and whose answers are
  // lost.
  auto SetAnswersLost(double share) -> void { answers_lost_ = share; }
  auto SetDraining(bool draining) -> void { draining_ = draining; }
  // Reports that opportunistic tasks are slowed to a tenth of their speed.
  auto SetSlowed(bool slowed) -> void { slowed_ = slowed; }

  auto name() const -> const std::string& { return name_; }
  auto Runs(const std::string& task) const -> bool;
  // Whether it runs a task whose name has this prefix.
  auto RunsOneOf(const std::string& prefix) const -> bool;
  auto running() const -> std::size_t { return runs_.size(); }
  auto draining() const -> bool { return draining_; }
  auto removed() const -> bool { return removed_; }
  // Whether its process is down at present.
  auto down() const -> bool { return down_; }
  // Whether calls to it fail at present.
  auto has_fault() const -> bool {
    return unresponsive_ || down_ || unanswered_ > 0 || answers_lost_ > 0;
  }
  // Whether it would start one more run now.
  auto HasRoom() const -> bool;
  static constexpr uint32_t kMillicores = 4000;

 private:
  struct Run {
    TaskName task;
    uint64_t run = 0;
    bool stopping = false;
    uint64_t number = 0;
    TimePoint started;
    std::chrono::milliseconds work{0};
  };
  struct End {
    EndedTask row;
    bool lease_lapsed = false;
  };

  auto Clock() const -> WorkerTime;
  auto Id() const -> std::string;
  // Whether a call for this id reaches the worker's process.
  auto Accepts(const std::string& worker_id) const -> bool;
  // Whether a call that was sent to this process still arrives: a connection
  // ends with the process. With a new id, the next process rejects the call.
  auto ReachesProcess(int lifetime) const -> bool;
  auto PercentOf(const Run& run) const -> uint32_t;
  // Number of runs that use room.
  auto RunsUsingRoom() const -> std::size_t;
  auto ExpireLease() -> void;
  auto ExtendLease(WorkerTime deadline) -> void;
  auto Start(const StartCall& call) -> WorkerCallOutcome;
  // Crashes after this time if the run is still active.
  auto CrashLater(const std::string& task,
                  uint64_t number,
                  std::chrono::milliseconds after) -> void;
  auto Stop(const StopCall& call) -> WorkerCallOutcome;
  auto List(const ListCall& call) -> WorkerListing;
  auto WaitAndList(const ListCall& call,
                   TimePoint until,
                   int lifetime,
                   const WorkerPort::OnListing& done) -> void;
  auto EndRun(const std::string& task, RunEnd end) -> void;
  template <typename Call>
  auto Order(const Call& call,
             std::function<auto(const Call&)->WorkerCallOutcome> act,
             const WorkerPort::OnCall& done) -> void;

  VirtualTime* time_;
  std::string name_;
  WorkerObserver observer_;
  int lifetime_ = 1;
  TimePoint born_;
  uint64_t heartbeats_ = 0;
  bool unresponsive_ = false;
  bool draining_ = false;
  bool slowed_ = false;
  bool removed_ = false;
  bool down_ = false;
  double unanswered_ = 0;
  double answers_lost_ = 0;
  uint64_t fence_ = 0;
  WorkerTime lease_until_{0};
  uint64_t last_end_number_ = 0;
  uint64_t last_run_number_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, uint64_t> last_ended_run_;
  std::vector<End> reported_ends_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_WORKER_H_

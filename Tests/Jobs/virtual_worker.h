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

// What a worker does that the checks of a world watch.
struct WorkerWatch {
  std::function<
      auto(const std::string& worker, const TaskName&, uint64_t run)->void>
      on_start;
  // `noted` once the end may be forgotten and its lease held all the while.
  std::function<auto(const TaskName&, RunEnd, bool noted)->void> on_end;
  // A run has ended well; whether that counts shows later.
  std::function<auto(const TaskName&)->void> on_done;
  std::function<auto(const TaskName&)->std::chrono::milliseconds> work;
  std::function<auto(const TaskName&)->bool> fails;
  // Whether the task runs on spare processors, which take no room; none does
  // where nobody says so.
  std::function<auto(const TaskName&)->bool> fills =
      [](const TaskName&) -> bool { return false; };
  // How long after its start a run of the task crashes its worker; none for a
  // task that does not, which all are where nobody says so.
  std::function<auto(const TaskName&)->std::optional<std::chrono::milliseconds>>
      crashes_after =
          [](const TaskName&) -> std::optional<std::chrono::milliseconds> {
    return std::nullopt;
  };
  // From a crash under a task to the worker's next life.
  std::chrono::milliseconds back_after_crash{3300};
  // A worker has crashed under the run of this task.
  std::function<auto(const TaskName&)->void> on_crash = [](const TaskName&) {};
};

// A worker over virtual time: fences, runs, leases, ends, and orders that are
// carried out late or whose answers are lost.
class VirtualWorker {
 public:
  VirtualWorker(VirtualTime* time, std::string name, WorkerWatch watch);

  auto PortFor(const std::function<auto()->bool>& alive) -> WorkerPort;
  auto Heartbeat() -> WorkerHeartbeat;
  // Loses all runs and comes back as a new life.
  auto Crash() -> void;
  // The same, but the next life comes only after a while, as of a process that
  // is started anew.
  auto CrashFor(std::chrono::milliseconds down) -> void;
  // Is gone for good, with all its runs.
  auto Vanish() -> void;
  auto SetSilent(bool silent) -> void { silent_ = silent; }
  // Share of orders that get no answer; half of them are carried out late.
  auto SetUnanswered(double share) -> void { unanswered_ = share; }
  auto SetDraining(bool draining) -> void { draining_ = draining; }
  // Tells of tasks that fill that they are slowed to a tenth.
  auto SetSlowing(bool slowing) -> void { slowing_ = slowing; }

  auto name() const -> const std::string& { return name_; }
  auto Runs(const std::string& task) const -> bool;
  // A task whose name begins so.
  auto RunsOneOf(const std::string& prefix) const -> bool;
  auto running() const -> std::size_t { return runs_.size(); }
  auto draining() const -> bool { return draining_; }
  auto gone() const -> bool { return gone_; }
  // Whether no process is there at present.
  auto down() const -> bool { return down_; }
  // Whether calls to it fail at present.
  auto disturbed() const -> bool { return silent_ || down_ || unanswered_ > 0; }
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
    bool lapsed_since = false;
  };

  auto Clock() const -> WorkerTime;
  auto PercentOf(const Run& run) const -> uint32_t;
  // Runs that take room.
  auto RunsInRoom() const -> std::size_t;
  auto ExpireLease() -> void;
  auto ExtendLease(WorkerTime deadline) -> void;
  auto Start(const StartCall& call) -> WorkerCallOutcome;
  // Crashes after a while if the run is still there.
  auto CrashLater(const std::string& task,
                  uint64_t number,
                  std::chrono::milliseconds after) -> void;
  auto Stop(const StopCall& call) -> WorkerCallOutcome;
  auto List(const ListCall& call) -> WorkerListing;
  auto WaitAndList(const ListCall& call,
                   TimePoint until,
                   const WorkerPort::OnListing& done) -> void;
  auto EndRun(const std::string& task, RunEnd end) -> void;
  template <typename Call>
  auto Order(const Call& call,
             std::function<auto(const Call&)->WorkerCallOutcome> act,
             const WorkerPort::OnCall& done) -> void;

  VirtualTime* time_;
  std::string name_;
  WorkerWatch watch_;
  int life_ = 1;
  uint64_t heartbeats_ = 0;
  bool silent_ = false;
  bool draining_ = false;
  bool slowing_ = false;
  bool gone_ = false;
  bool down_ = false;
  double unanswered_ = 0;
  uint64_t fence_ = 0;
  WorkerTime lease_until_{0};
  uint64_t ends_ = 0;
  uint64_t run_numbers_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, uint64_t> over_;
  std::vector<End> listed_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_WORKER_H_

#ifndef RHUBARBHAVEN_TESTS_TASKS_TASK_WORLD_H_
#define RHUBARBHAVEN_TESTS_TASKS_TASK_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Journal/journal.h"
#include "Tasks/tasks.h"
#include "Tests/StandIns/Worker/worker_model.h"

namespace rhubarbhaven::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Target { kWorker, kAgent, kOwner };
// kDisconnect disconnects an owner from the log, an agent from the present
// owner, or a worker from its agent.
enum class FaultKind { kKill, kFreeze, kDisconnect };

// Points in the lifetime of a task at which a fault can be injected.
enum class Step {
  kPlace,
  kStartSent,
  kStartDone,
  kRenewDone,
  kCheckpointDone,
  kStopDone,
  kEnd
};

// Injected the `nth` time that `step` is reached. The process recovers after
// `downtime`; if it was killed, it restarts with a new incarnation.
struct Fault {
  Step step = Step::kPlace;
  int nth = 1;
  Target target = Target::kWorker;
  FaultKind kind = FaultKind::kKill;
  milliseconds downtime{4000};
};

struct SimulationOptions {
  uint32_t seed = 1;
  int entries = 2;
  int instances = 2;
  // Probabilities in thousandths: that a message or answer is lost, is
  // delivered twice, or is delayed by up to ten seconds, and that a call is
  // paused between its check and its execution.
  int lose = 0;
  int repeat = 0;
  int delay = 0;
  int hold = 0;
  // Maximum deviation of a clock rate, in millionths.
  int drift = 400;
  OwnerOptions owner;
  std::vector<Fault> faults;
};

// Simulates owners, task supervisors, workers and a log in virtual time. Each
// process has its own clock. The invariants are checked after every event;
// `violation` describes the first one that is violated.
class SimulatedTaskCluster {
 public:
  explicit SimulatedTaskCluster(SimulationOptions options);

  auto SetConfig(std::vector<schema::VersionedObject> objects) -> void;
  // Runs until `done` returns true; returns false if that does not happen
  // within `limit` or if an invariant is violated.
  auto RunUntil(milliseconds limit, const std::function<auto()->bool>& done)
      -> bool;
  auto RunFor(milliseconds time) -> void;

  auto Kill(Target target, int index) -> void;
  auto Restart(Target target, int index) -> void;
  auto Freeze(Target target, int index, milliseconds time) -> void;
  auto set_log_down(bool down) -> void { log_down_ = down; }
  auto SetLogDisconnected(int entry, bool disconnected) -> void {
    entries_[entry].disconnected = disconnected;
  }
  auto DisconnectFor(Target target, int index, milliseconds time) -> void;
  auto SetLinkDisconnected(int entry, int instance, bool disconnected) -> void;
  auto Evict(const schema::TaskId& task) -> void;
  // Planned stops.
  auto ReleaseCell(int entry) -> void;
  auto LeaveAgent(int instance) -> void;

  // The entry that owns the cell according to the log, or -1.
  auto owner() const -> int;
  auto entry(int index) -> Owner& { return *entries_[index].owner; }
  auto supervisor(int index) -> TaskSupervisor& {
    return *agents_[index].supervisor;
  }
  auto worker(int index) -> WorkerModel& { return *workers_[index].model; }
  auto log() const -> const CellFold& { return reference_fold_; }
  auto now() const -> TimePoint { return now_; }
  auto starts(const std::string& task) -> int { return starts_[task]; }
  auto finished() const -> const std::set<std::string>& { return finished_; }
  // The instance on which the task runs, or -1.
  auto RunningInstance(const std::string& task) const -> int;
  // How often owners and supervisors counted an event.
  auto count(const std::string& counter) -> int { return counts_[counter]; }
  auto events() const -> uint64_t { return events_; }
  auto faults_left() const -> std::size_t { return faults_.size(); }
  // State of the log, the owners, the agents and the workers, for failure
  // messages.
  auto Describe() -> std::string;
  auto violation() const -> const std::string& { return violation_; }

 private:
  struct Process {
    bool alive = true;
    uint64_t epoch = 1;
    TimePoint frozen_until;
    double clock_rate = 1;
    milliseconds clock_offset{0};
  };
  struct Entry {
    Process process;
    std::unique_ptr<Owner> owner;
    std::unique_ptr<AppendQueue> queue;
    bool disconnected = false;
  };
  struct Agent {
    Process process;
    std::unique_ptr<TaskSupervisor> supervisor;
    uint64_t fence = 0;
  };
  struct Worker {
    Process process;
    std::unique_ptr<WorkerModel> model;
    bool disconnected = false;
  };

  auto Schedule(milliseconds after, std::function<auto()->void> action) -> void;
  // Runs `act` in the process unless it has been killed since; if the process
  // is frozen, runs it after the freeze.
  auto RunInProcess(Process* process,
                    milliseconds after,
                    std::function<auto()->void> act) -> void;
  auto LocalTime(const Process& process) const -> TimePoint;
  auto Chance(int in_thousand) -> bool;
  auto Random(int below) -> int;
  auto NetDelay() -> milliseconds;
  auto ProcessOf(Target target, int index) -> Process*;

  auto StartEntry(int index) -> void;
  auto StartAgent(int index) -> void;
  auto StartWorker(int index) -> void;
  auto TickEntry(int index) -> void;
  auto TickAgent(int index) -> void;
  auto ReadLog(int index) -> void;
  auto PumpAppends(int index) -> void;
  auto AppendToLog(const schema::LogRecord& record) -> void;
  auto Execute(int entry, const OwnerActions& actions) -> void;
  auto Execute(int agent, const SupervisorActions& actions) -> void;
  auto Send(Process* to, std::function<auto()->void> deliver) -> void;
  auto Call(int agent, const CallWorker& call) -> void;
  auto ExecuteCall(int instance, const CallWorker& call) -> TaskCallResult;
  auto TriggerFaults(Step step, int instance) -> void;
  auto OnWorkerEvent(int instance,
                     const std::string& event,
                     const std::string& name) -> void;
  auto Runs(int instance, const std::string& task) const -> bool;
  auto Check() -> void;
  auto ReportViolation(const std::string& what) -> void;

  SimulationOptions options_;
  std::mt19937 random_;
  TimePoint now_;
  uint64_t sequence_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<auto()->void>> queue_;
  std::vector<schema::VersionedObject> config_;
  std::vector<Entry> entries_;
  std::vector<Agent> agents_;
  std::vector<Worker> workers_;
  std::vector<schema::LogRecord> log_;
  CellFold reference_fold_;
  uint64_t highest_fence_ = 0;
  bool log_down_ = false;
  std::set<std::pair<int, int>> disconnected_links_;
  std::vector<Fault> faults_;
  std::map<std::string, int> starts_;
  std::set<std::string> started_attempts_;
  std::set<std::string> finished_;
  uint64_t next_incarnation_ = 100;
  std::map<std::string, int> counts_;
  uint64_t events_ = 0;
  std::string violation_;
};

auto MakeInstance(int index) -> schema::VersionedObject;
auto MakeJob(const std::string& name,
             uint32_t tasks,
             const std::string& command,
             uint64_t version) -> schema::VersionedObject;
// Name of a task of a job made by `MakeJob`.
auto MakeTask(const std::string& job, uint32_t index, uint64_t version)
    -> schema::TaskId;

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_TASKS_TASK_WORLD_H_

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
// A cut parts an owner from the log, an agent from the present owner, and a
// worker from its agent.
enum class FaultKind { kKill, kFreeze, kCut };

// Where in the life of a task a fault strikes.
enum class Step {
  kPlace,
  kStartSent,
  kStartDone,
  kRenewDone,
  kCheckpointDone,
  kStopDone,
  kEnd
};

// At the `nth` time that `step` is reached; the process comes back after
// `down`, with a new incarnation if it was killed.
struct Fault {
  Step step = Step::kPlace;
  int nth = 1;
  Target target = Target::kWorker;
  FaultKind kind = FaultKind::kKill;
  milliseconds down{4000};
};

struct WorldOptions {
  uint32_t seed = 1;
  int entries = 2;
  int instances = 2;
  // Chances in a thousand: a message or answer is lost, comes twice, comes up
  // to ten seconds late; a call is held between its check and its act.
  int lose = 0;
  int repeat = 0;
  int delay = 0;
  int hold = 0;
  // Relative speed of clocks differs by up to this, in millionths.
  int drift = 400;
  OwnerOptions owner;
  std::vector<Fault> faults;
};

// Owners, task keepers, workers and a log in virtual time, each process with
// its own clock, run through any order of events. After every event the
// invariants are checked; the first that is broken stands in `broken`.
class TaskWorld {
 public:
  explicit TaskWorld(WorldOptions options);

  auto SetConfig(std::vector<schema::VersionedObject> objects) -> void;
  // Runs until `done` says so; false if it did not within `limit`.
  auto RunUntil(milliseconds limit, const std::function<auto()->bool>& done)
      -> bool;
  auto RunFor(milliseconds time) -> void;

  auto Kill(Target target, int index) -> void;
  auto Restart(Target target, int index) -> void;
  auto Freeze(Target target, int index, milliseconds time) -> void;
  auto set_log_down(bool down) -> void { log_down_ = down; }
  auto CutFromLog(int entry, bool cut) -> void { entries_[entry].cut = cut; }
  auto CutFor(Target target, int index, milliseconds time) -> void;
  auto CutLink(int entry, int instance, bool cut) -> void;
  auto Evict(const schema::TaskId& task) -> void;
  // Planned stops.
  auto ReleaseCell(int entry) -> void;
  auto LeaveAgent(int instance) -> void;

  // The entry that owns the cell by the log, or -1.
  auto owner() const -> int;
  auto entry(int index) -> Owner& { return *entries_[index].owner; }
  auto keeper(int index) -> TaskKeeper& { return *agents_[index].keeper; }
  auto worker(int index) -> WorkerModel& { return *workers_[index].model; }
  auto log() const -> const CellFold& { return reference_; }
  auto now() const -> TimePoint { return now_; }
  auto starts(const std::string& task) -> int { return starts_[task]; }
  auto finished() const -> const std::set<std::string>& { return finished_; }
  // Instance on which the task runs, or -1.
  auto RunsOn(const std::string& task) const -> int;
  // How often owners and keepers counted an event.
  auto count(const std::string& counter) -> int { return counts_[counter]; }
  auto events() const -> uint64_t { return events_; }
  auto faults_left() const -> std::size_t { return faults_.size(); }
  // What log and owners know, for messages of failed tests.
  auto Describe() -> std::string;
  auto broken() const -> const std::string& { return broken_; }

 private:
  struct Process {
    bool alive = true;
    uint64_t epoch = 1;
    TimePoint frozen_until;
    double rate = 1;
    milliseconds ahead{0};
  };
  struct Entry {
    Process process;
    std::unique_ptr<Owner> owner;
    std::unique_ptr<AppendQueue> queue;
    bool cut = false;
  };
  struct Agent {
    Process process;
    std::unique_ptr<TaskKeeper> keeper;
    uint64_t fence = 0;
  };
  struct Worker {
    Process process;
    std::unique_ptr<WorkerModel> model;
    bool cut = false;
  };

  auto At(milliseconds after, std::function<auto()->void> action) -> void;
  // Runs in the process unless it died since; after its thaw if frozen.
  auto In(Process* process, milliseconds after, std::function<auto()->void> act)
      -> void;
  auto Local(const Process& process) const -> TimePoint;
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
  auto Carry(int entry, const OwnerActions& actions) -> void;
  auto Carry(int agent, const KeeperActions& actions) -> void;
  auto Send(Process* to, std::function<auto()->void> deliver) -> void;
  auto Call(int agent, const CallWorker& call) -> void;
  auto Act(int instance, const CallWorker& call) -> WorkerOutcome;
  auto Reach(Step step, int instance) -> void;
  auto OnWorkerEvent(int instance,
                     const std::string& event,
                     const std::string& name) -> void;
  auto Runs(int instance, const std::string& task) const -> bool;
  auto Check() -> void;
  auto Break(const std::string& what) -> void;

  WorldOptions options_;
  std::mt19937 random_;
  TimePoint now_;
  uint64_t sequence_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<auto()->void>> queue_;
  std::vector<schema::VersionedObject> config_;
  std::vector<Entry> entries_;
  std::vector<Agent> agents_;
  std::vector<Worker> workers_;
  std::vector<schema::LogRecord> log_;
  CellFold reference_;
  uint64_t highest_fence_ = 0;
  bool log_down_ = false;
  std::set<std::pair<int, int>> cut_links_;
  std::vector<Fault> faults_;
  std::map<std::string, int> starts_;
  std::set<std::string> started_attempts_;
  std::set<std::string> finished_;
  uint64_t next_incarnation_ = 100;
  std::map<std::string, int> counts_;
  uint64_t events_ = 0;
  std::string broken_;
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

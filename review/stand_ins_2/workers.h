#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_2_WORKERS_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_2_WORKERS_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http.h"
#include "world.h"

namespace review {

// What an executor has to know of a task.
struct TaskSpec {
  // Thousandths of a core, and megabytes.
  int cpu = 0;
  int mem_mb = 0;
  int64_t work_ms = 0;
  // Members that work only together; zero for a task of its own.
  int gang = 0;
  bool fills = false;
  bool checkpointing = false;
};

// One start that an executor has begun.
struct StartNote {
  int64_t at_ms = 0;
  int worker = 0;
  std::string task;
  uint64_t run = 0;
  std::string checkpoint;
};

// One end that an executor has listed.
struct EndNote {
  int64_t at_ms = 0;
  int worker = 0;
  std::string task;
  uint64_t run = 0;
  std::string how;
};

struct WorkersOptions {
  int count = 1;
  int cpu = 16000;
  int mem_mb = 64000;
  // A second label of some workers, by number.
  std::map<int, std::string> kinds;
};

// The executors of the platform, one beside each agent, with guarded capacity.
// They start, stop, hold and list as the platform's pages say.
class Workers {
 public:
  using SpecOf = std::function<std::optional<TaskSpec>(const std::string&)>;

  Workers(World* world, WorkersOptions options, SpecOf spec_of);
  Workers(const Workers&) = delete;
  auto operator=(const Workers&) -> Workers& = delete;
  ~Workers();

  auto port(int worker) const -> int;
  // Begins to send heartbeats to the agents' addresses, `IP:PORT`.
  auto Begin(const std::vector<std::string>& heartbeat_addresses) -> void;

  // While on, each run that the worker starts ends as failed 10 ms later.
  auto SetFailing(int worker, bool on) -> void;
  // From now on, a start needs a ticket that was granted at most `ms`
  // milliseconds before; none if zero.
  auto SetTicketsValid(int64_t ms) -> void;
  // A ticket for the tasks of the step on the worker of this id.
  auto Grant(const std::string& step, const std::string& worker_id)
      -> std::string;
  // The worker loses all and comes back `down_ms` later with a new id.
  auto Crash(int worker, int64_t down_ms) -> void;

  // Copies, in the order of time.
  auto starts() -> std::vector<StartNote>;
  auto ends() -> std::vector<EndNote>;
  // Whether any worker has a run of the task.
  auto Runs(const std::string& task) -> bool;
  // Milliseconds of work that the task's run has done; -1 without a run.
  auto WorkDone(const std::string& task) -> int64_t;
  // Number of the worker that has a run of the task; -1 if none.
  auto PlaceOf(const std::string& task) -> int;
  // Thousandths of a core that runs without `fills` hold, on all workers.
  auto CpuInUse() -> int;
  // Ends that no call has acknowledged, and all ends.
  auto UnseenEnds() -> std::pair<std::size_t, std::size_t>;

 private:
  struct Run {
    uint64_t run = 0;
    TaskSpec spec;
    std::string checkpoint;
    std::string saved;
    int64_t started_ms = 0;
    // When it began to work; -1 while a gang is incomplete.
    int64_t begun_ms = -1;
    // Work that the checkpoint brought.
    int64_t base_ms = 0;
    int64_t stop_at_ms = -1;
    int percent = 100;
  };
  struct End {
    uint64_t number = 0;
    std::string task;
    uint64_t run = 0;
    std::string how;
    std::string saved;
  };
  struct Worker {
    std::string id;
    int incarnation = 1;
    bool down = false;
    bool failing = false;
    int64_t born_ms = 0;
    int64_t up_at_ms = 0;
    // By the worker's clock.
    int64_t deadline_ms = 0;
    uint64_t fence = 0;
    uint64_t next_end = 1;
    uint64_t last_seen = 0;
    uint64_t sequence = 0;
    int64_t beat_at_ms = 0;
    std::map<std::string, Run> runs;
    std::map<std::string, uint64_t> over;
    std::deque<End> ended;
    std::string heartbeat_address;
    std::unique_ptr<HttpServer> server;
  };
  using GangKey = std::pair<std::string, uint64_t>;

  auto Handle(int number, const HttpRequest& request) -> HttpResponse;
  auto Start(int number, const std::string& body) -> HttpResponse;
  auto Stop(int number, const std::string& body) -> HttpResponse;
  auto Pace(int number, const std::string& body) -> HttpResponse;
  auto Hold(int number, const HttpRequest& request) -> HttpResponse;
  auto ClockOf(const Worker& worker) const -> int64_t;
  auto Extend(Worker& worker, int64_t deadline_ms) -> void;
  auto WorkOf(const Run& run) const -> int64_t;
  auto EndRun(int number, const std::string& task, const std::string& how)
      -> void;
  auto Loop() -> void;
  auto Step() -> void;
  auto StepGangs() -> void;
  auto Beat(int number) -> void;

  World* world_;
  WorkersOptions options_;
  SpecOf spec_of_;
  std::vector<std::unique_ptr<Worker>> workers_;
  int64_t tickets_valid_ms_ = 0;
  // When each ticket was granted, by its text.
  std::map<std::string, int64_t> tickets_;
  std::set<GangKey> broken_gangs_;
  std::vector<StartNote> starts_;
  std::vector<EndNote> ends_;
  std::size_t all_ends_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread loop_;
  std::vector<std::thread> beats_;
};

}  // namespace review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_2_WORKERS_H_

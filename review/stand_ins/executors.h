#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_EXECUTORS_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_EXECUTORS_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/http.h"
#include "stand_ins/record.h"

namespace review {

// What all executors of a deployment have in common, and two bounds of the
// platform. Times are milliseconds.
struct ExecutorOptions {
  std::string service = "results";
  // Thousandths of a core, and MB.
  int64_t cpu = 16000;
  int64_t memory_mb = 64000;
  // Whether an executor rejects what doesn't fit (`RejectsOverload`).
  bool guards = true;
  int64_t heartbeat_ms = 1500;
  // Time that a stop takes; the pages allow `StopTimeoutMs`.
  int64_t stop_ms = 300;
  int64_t checkpoint_ms = 500;
  int64_t restore_ms = 250;
  int64_t gang_timeout_ms = 3000;
  int64_t max_hold_ms = 6000;
  // `ConfigApplyMs`, for the entries' settings.
  int64_t config_ms = 3000;
  int64_t startup_ms = 300;
  // Whether an executor says when it was started (`born`).
  bool born = false;
};

// Under which id an executor starts again after a crash.
enum class Restart { kNewId, kSameId };

// How the tasks of a job behave, beside what its body says.
struct Work {
  int64_t work_ms = 1000;
};

// A run that an executor has begun.
struct StartedRun {
  int executor = 0;
  std::string task;
  std::string job;
  uint64_t run = 0;
};

// Executors by PROTOCOL.md ("Running tasks", "Service discovery"), each with an
// HTTP server and heartbeats, on the real clock. They also check what they are
// told: TWICE (two runs of a task at the same time), LIMIT (over the capacity
// of executors that don't guard it) and UNASKED (what no client sent, another
// `Spec`, a `Checkpoint` that isn't the task's, members of one run of a gang
// with different ones). A breach goes to the record with the rule's name.
class Executors {
 public:
  Executors(ExecutorOptions options, Record* record);
  Executors(const Executors&) = delete;
  auto operator=(const Executors&) -> Executors& = delete;
  ~Executors();

  // Adds an executor, which sends heartbeats to 127.0.0.1:`control_port` from
  // `Join` on. Returns its number, from 0 on.
  auto Add(int control_port) -> int;
  auto Join(int executor) -> void;
  auto address(int executor) const -> std::string;
  auto Begin() -> void;
  // Makes a client's job known before it is sent. `body` is what is submitted.
  auto AddJob(const std::string& id, const nlohmann::json& body, Work work)
      -> void;
  // The executor crashes, is gone for `down_ms` and starts again: it knows
  // nothing of before, and its counts and its clock start anew.
  auto Crash(int executor, int64_t down_ms, Restart restart) -> void;

  // Runs that are at work at this moment.
  auto Running() -> std::vector<StartedRun>;
  auto id(int executor) -> std::string;
  // From now on starts need the ticket that `CheckTicket` accepts for the step,
  // the executor's id and the ticket.
  using CheckTicket = std::function<
      auto(const std::string&, const std::string&, const std::string&)->bool>;
  auto RequireTickets(CheckTicket check) -> void;
  // How many runs of the job's tasks have begun, and have ended so.
  auto starts(const std::string& job) -> int;
  auto ends(const std::string& job, const std::string& how) -> int;
  auto executors() const -> int;

 private:
  struct Job {
    nlohmann::json body;
    Work work;
  };
  struct Run {
    std::string task;
    std::string job;
    // The task without its index, and the run: what members of a gang share.
    std::string gang;
    nlohmann::json step;
    uint64_t run = 0;
    std::string checkpoint;
    int64_t progress = 0;
    int64_t work_ms = 0;
    int64_t began = 0;
    // When it is at work, after its startup or the restoring.
    int64_t at_work = 0;
    int64_t stops_at = -1;
  };
  struct End {
    uint64_t number = 0;
    std::string task;
    uint64_t run = 0;
    std::string how;
    std::string checkpoint;
  };
  struct Executor {
    int number = 0;
    int control_port = 0;
    int port = 0;
    std::string id;
    uint64_t life = 0;
    uint64_t sequence = 0;
    bool up = false;
    bool joined = false;
    uint64_t fence = 0;
    int64_t clock_begins = 0;
    int64_t lease_until = 0;
    uint64_t last_end = 0;
    std::map<std::string, Run> runs;
    std::deque<End> ends;
    // The highest run stopped or ended here, by task.
    std::map<std::string, uint64_t> over;
    int64_t next_heartbeat = 0;
    int64_t comes_back_at = -1;
    Restart restart = Restart::kNewId;
    int64_t born_unix_ms = 0;
    std::unique_ptr<HttpServer> server;
  };
  struct Gang {
    std::set<std::string> present;
    int64_t complete_at = -1;
    // What each member carried.
    std::map<std::string, std::string> carried;
  };

  auto Serve(Executor* executor) -> void;
  auto Handle(Executor* executor, const HttpRequest& request) -> HttpAnswer;
  auto Start(Executor* executor, const nlohmann::json& call) -> HttpAnswer;
  auto Stop(Executor* executor, const nlohmann::json& call) -> HttpAnswer;
  auto List(std::unique_lock<std::mutex>* lock,
            Executor* executor,
            const nlohmann::json& call) -> HttpAnswer;
  auto CheckStart(const Executor& executor,
                  const Run& run,
                  const nlohmann::json& call) -> void;
  auto Extend(Executor* executor, const nlohmann::json& call) -> void;
  auto EndRun(Executor* executor,
              const std::string& task,
              const std::string& how) -> void;
  auto BreakGang(const std::string& gang) -> void;
  auto Advance(Executor* executor, int64_t passed) -> void;
  auto ComeBack(Executor* executor) -> void;
  auto Tick() -> void;
  auto SendHeartbeats() -> void;
  static auto Clock(const Executor& executor) -> int64_t;

  const ExecutorOptions options_;
  CheckTicket check_ticket_;
  Record* record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Gang> gangs_;
  // Checkpoints that a task, or its gang, has produced.
  std::map<std::string, std::set<std::string>> produced_;
  std::map<std::string, int> starts_;
  std::map<std::string, int> ends_;
  bool stopping_ = false;
  std::thread ticker_;
  std::thread heartbeats_;
};

}  // namespace review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_EXECUTORS_H_

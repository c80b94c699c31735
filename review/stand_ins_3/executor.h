#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_3_EXECUTOR_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_3_EXECUTOR_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Tests/Support/fault_proxy.h"
#include "Transport/transport.h"

namespace rhubarbhaven::review {

using Milliseconds = std::chrono::milliseconds;

// What a task does, as the client that submitted it has decided.
struct TaskPlan {
  // Time that a run takes on this executor, in milliseconds.
  Milliseconds work{0};
  // Reserved thousandths of a core, and MB.
  int64_t cpu = 0;
  int64_t memory_mb = 0;
  // A run saves its work and resumes from there; see `CheckpointS`.
  bool checkpointing = false;
  // It never ends by itself, and is at work once `work` is done.
  bool lasts = false;
  // If not zero, the run ends as failed after this time.
  Milliseconds fails_after{0};
  // If not zero, each run crashes its executor after this time.
  Milliseconds crashes_after{0};
};

struct ExecutorOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::string rack;
  // Address of the agent's `Control` interface, as HOST:PORT.
  std::string control_address;
  int64_t cpu = 16000;
  int64_t memory_mb = 64000;
  // Whether starts beyond the capacity are rejected (`RejectsOverload`).
  bool guards = true;
  Milliseconds heartbeat{1500};
  // How long the executor is down after a crash.
  Milliseconds down{3000};
  // Time from a stop to its end; at most the site's `StopTimeoutMs`.
  Milliseconds stop_time{100};
  // Looks a run's plan up by the name ID.K.STEP.INDEX of its task.
  std::function<auto(const std::string& task)->TaskPlan> plan;
  // Called for each start and end, under the executor's lock. `event` is
  // "start", or how the run ended: "done", "stopped", "failed", "lapsed" or
  // "crashed".
  std::function<auto(const std::string& executor,
                     const std::string& event,
                     const std::string& task,
                     uint64_t run)
                    ->void>
      on_event;
};

// A sound executor of the partners' platform, over HTTP on a loopback address:
// run-start, run-stop, hold and pace as the platform's page describes them, and
// heartbeats to its agent. It carries out each call at once and loses nothing.
// Errors are answered as the page says: 421 for another instance, 409 with
// `fence`, `late`, `old` or `room`, 400 for a body that cannot be read.
class Executor {
 public:
  explicit Executor(ExecutorOptions options);
  Executor(const Executor&) = delete;
  auto operator=(const Executor&) -> Executor& = delete;
  ~Executor();

  // HOST:PORT for the calls of the agent.
  auto address() const -> std::string;
  // Thousandths of a core that are not reserved.
  auto free_cpu() -> int64_t;
  auto cpu() const -> int64_t { return options_.cpu; }

 private:
  struct Run {
    uint64_t number = 0;
    TaskPlan plan;
    TimePoint started;
    // Work that an earlier run has saved.
    Milliseconds saved{0};
    TimePoint stop_at = TimePoint::max();
  };
  struct End {
    uint64_t number = 0;
    std::string task;
    uint64_t run = 0;
    std::string how;
    std::string saved;
  };
  struct Waiting {
    TimePoint until;
    HttpResponder respond;
  };

  auto Handle(const HttpServerRequest& request, const HttpResponder& respond)
      -> void;
  auto Start(const std::string& body) -> HttpServerAnswer;
  auto Stop(const std::string& body) -> HttpServerAnswer;
  auto Hold(const std::string& body, const HttpResponder& respond) -> void;
  auto Listing() -> HttpServerAnswer;
  auto WorkDone(const Run& run, TimePoint now) const -> Milliseconds;
  auto Saved(const Run& run, TimePoint now) const -> std::string;
  auto ExtendLease(int64_t deadline_ms) -> void;
  auto EndRun(const std::string& task, const std::string& how, TimePoint now)
      -> void;
  auto ClockMs() const -> int64_t;
  auto Tick() -> void;
  auto EndRuns(TimePoint now) -> void;
  // Everything that runs is gone, and the connections are reset. The next life
  // has another id and knows nothing.
  auto Crash(TimePoint now) -> void;
  auto Id() const -> std::string;
  auto SendHeartbeat() -> void;
  auto FreeCpu() const -> int64_t;
  auto FreeMemory() const -> int64_t;

  const ExecutorOptions options_;
  std::mutex mutex_;
  TimePoint born_;
  int life_ = 0;
  // Set while the executor is down.
  std::optional<TimePoint> back_at_;
  uint64_t fence_ = 0;
  int64_t lease_until_ms_ = 0;
  uint64_t last_end_ = 0;
  uint64_t sequence_ = 0;
  std::map<std::string, Run> runs_;
  // Highest run of a task that was stopped or has ended here.
  std::map<std::string, uint64_t> over_;
  std::deque<End> ends_;
  std::vector<Waiting> waiting_;
  TimePoint next_heartbeat_;
  bool stop_ = false;
  HttpCaller heartbeats_{2};
  std::unique_ptr<HttpServer> server_;
  // Stands between the agent and `server_`.
  std::unique_ptr<test::FaultProxy> proxy_;
  int port_ = 0;
  std::thread thread_;
};

}  // namespace rhubarbhaven::review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_3_EXECUTOR_H_

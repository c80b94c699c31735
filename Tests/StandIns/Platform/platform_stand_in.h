#ifndef RHUBARBHAVEN_TESTS_STANDINS_PLATFORM_PLATFORM_STAND_IN_H_
#define RHUBARBHAVEN_TESTS_STANDINS_PLATFORM_PLATFORM_STAND_IN_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "Jobs/jobs.h"
#include "Tests/Jobs/virtual_log.h"
#include "Tests/Jobs/virtual_time.h"
#include "Tests/Jobs/virtual_worker.h"
#include "Transport/transport.h"

namespace rhubarbhaven::test {

// What a test decides about the tasks, and what it is told of them, under the
// stand-in's lock: it must not call back.
struct PlatformWatch {
  std::function<auto(const jobs::TaskName&)->std::chrono::milliseconds> work;
  // Whether a run of the task ends as failed.
  std::function<auto(const jobs::TaskName&)->bool> fails;
  std::function<
      auto(const std::string& worker, const jobs::TaskName&, uint64_t run)
          ->void>
      on_start;
  std::function<auto(const std::string&)->void> on_problem;
};

// The partners' platform for tests of real processes, by its published
// interfaces: the log and one worker for each agent, over HTTP on loopback. The
// models are those of the explorer, with the real clock behind them.
class PlatformStandIn {
 public:
  // Each worker reports itself to the address of the same place in
  // `heartbeat_addresses`.
  explicit PlatformStandIn(std::vector<std::string> heartbeat_addresses,
                           PlatformWatch watch = {});
  PlatformStandIn(const PlatformStandIn&) = delete;
  auto operator=(const PlatformStandIn&) -> PlatformStandIn& = delete;
  ~PlatformStandIn();

  auto log_address() const -> std::string;
  auto log_port() const -> int;
  auto worker_address(int number) const -> std::string;
  // Publishes a configuration with one queue, /jobs/ at host "queue.example".
  auto Configure(uint64_t version) -> void;
  auto SetLogMode(jobs::VirtualLog::Mode mode) -> void;
  auto ForgetHistory() -> void;
  auto CrashWorker(int number) -> void;
  // While on, the log and the workers answer every call with success and bytes
  // without meaning, and carry out none.
  auto SetGarbage(bool on) -> void;
  // Publishes a configuration that nobody can read.
  auto ConfigureGarbage() -> void;

  // What was broken: a task in two places, or run again after its end.
  auto problems() -> std::vector<std::string>;
  auto starts() -> int;
  auto ends() -> int;
  // Whether a worker runs the task, by its name.
  auto Runs(const std::string& task) -> bool;
  // Whether a worker would start one more run.
  auto HasRoom() -> bool;

 private:
  struct WorkerPlace {
    std::unique_ptr<jobs::VirtualWorker> model;
    std::unique_ptr<HttpServer> server;
    std::string heartbeat_address;
  };

  auto Run() -> void;
  auto Beat(int number) -> void;
  auto MakeWatch() -> jobs::WorkerWatch;
  auto MakeServer(
      std::function<auto(const HttpServerRequest&, const HttpResponder&)->void>
          handle) -> std::unique_ptr<HttpServer>;
  auto Garbage() -> HttpServerAnswer;
  auto HandleLog(const HttpServerRequest& request, const HttpResponder& respond)
      -> void;
  auto HandleWorker(int number,
                    const HttpServerRequest& request,
                    const HttpResponder& respond) -> void;

  auto AddProblem(const std::string& problem) -> void;

  std::mutex mutex_;
  PlatformWatch watch_;
  jobs::VirtualTime time_{1};
  jobs::VirtualLog log_{&time_};
  jobs::KeyedLogPort log_port_;
  std::vector<WorkerPlace> workers_;
  std::unique_ptr<HttpServer> log_server_;
  HttpCaller heartbeats_{8};
  std::vector<std::string> problems_;
  std::set<std::string> done_;
  bool garbage_ = false;
  std::mt19937_64 random_{7};
  int starts_ = 0;
  int ends_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_STANDINS_PLATFORM_PLATFORM_STAND_IN_H_

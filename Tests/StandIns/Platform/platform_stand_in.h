#ifndef RHUBARBHAVEN_TESTS_STANDINS_PLATFORM_PLATFORM_STAND_IN_H_
#define RHUBARBHAVEN_TESTS_STANDINS_PLATFORM_PLATFORM_STAND_IN_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
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

// Functions by which a test controls the tasks and is notified of them. They
// run under the stand-in's lock and must not call the stand-in.
struct PlatformHooks {
  std::function<auto(const jobs::TaskName&)->std::chrono::milliseconds> work;
  // Returns whether a run of the task ends as failed.
  std::function<auto(const jobs::TaskName&)->bool> fails;
  std::function<
      auto(const std::string& worker, const jobs::TaskName&, uint64_t run)
          ->void>
      on_start;
  std::function<auto(const std::string&)->void> on_problem;
};

// Implements the published interfaces of the partners' platform for tests of
// real processes: the log and one worker for each agent, over HTTP on loopback.
// It uses the explorer's models of them, driven by the real clock.
class PlatformStandIn {
 public:
  // Creates one worker for each element of `heartbeat_addresses`, to which it
  // sends its heartbeats.
  explicit PlatformStandIn(std::vector<std::string> heartbeat_addresses,
                           PlatformHooks hooks = {});
  PlatformStandIn(const PlatformStandIn&) = delete;
  auto operator=(const PlatformStandIn&) -> PlatformStandIn& = delete;
  ~PlatformStandIn();

  auto log_address() const -> std::string;
  auto log_port() const -> int;
  auto worker_address(int number) const -> std::string;
  // Publishes a configuration with one queue, /jobs/ at host "queue.example",
  // and with further ones that nobody uses.
  auto Configure(uint64_t version, int idle_queues = 0) -> void;
  auto SetLogMode(jobs::VirtualLog::Mode mode) -> void;
  auto CompactLog() -> void;
  auto CrashWorker(int number) -> void;
  // Records that name the endpoint `from` are stored with `to`, as if their
  // sender were behind an address translation. Both must have the same length.
  auto TranslateEndpoint(const std::string& from, const std::string& to)
      -> void;
  // While on, the log and the workers answer every call with success and random
  // bytes, and execute none.
  auto SetGarbageAnswers(bool on) -> void;
  // Publishes a configuration that cannot be decoded.
  auto PublishInvalidConfiguration() -> void;

  // Returns the violations found: a task that ran in two places, or again after
  // its end.
  auto problems() -> std::vector<std::string>;
  auto starts() -> int;
  auto ends() -> int;
  // Returns whether a worker runs the task of this name.
  auto Runs(const std::string& task) -> bool;
  // Returns whether a worker whose number is not one of these would start one
  // more run.
  auto HasRoom(const std::set<int>& excluded = {}) -> bool;

 private:
  struct SimulatedWorker {
    std::unique_ptr<jobs::VirtualWorker> model;
    std::unique_ptr<HttpServer> server;
    std::string heartbeat_address;
  };

  auto Run() -> void;
  auto SendHeartbeat(int number) -> void;
  auto MakeWatch() -> jobs::WorkerObserver;
  auto MakeServer(
      std::function<auto(const HttpServerRequest&, const HttpResponder&)->void>
          handle) -> std::unique_ptr<HttpServer>;
  auto MakeGarbageAnswer() -> HttpServerAnswer;
  auto HandleLog(const HttpServerRequest& request, const HttpResponder& respond)
      -> void;
  auto HandleWorker(int number,
                    const HttpServerRequest& request,
                    const HttpResponder& respond) -> void;

  auto AddProblem(const std::string& problem) -> void;

  std::mutex mutex_;
  PlatformHooks hooks_;
  jobs::VirtualTime time_{1};
  jobs::VirtualLog log_{&time_};
  jobs::KeyedLogPort log_port_;
  std::vector<SimulatedWorker> workers_;
  std::unique_ptr<HttpServer> log_server_;
  HttpCaller heartbeats_{8};
  std::vector<std::string> problems_;
  std::set<std::string> done_;
  bool garbage_ = false;
  std::map<std::string, std::string> translated_endpoints_;
  std::mt19937_64 random_{7};
  int starts_ = 0;
  int ends_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_STANDINS_PLATFORM_PLATFORM_STAND_IN_H_

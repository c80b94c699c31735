#ifndef RHUBARBHAVEN_TESTS_SUPPORT_DEPLOYMENT_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_DEPLOYMENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Tests/Support/child_process.h"
#include "Tests/Support/free_port.h"
#include "Transport/transport.h"

namespace rhubarbhaven::test {

inline constexpr std::chrono::seconds kTestTimeout{60};

struct DeploymentOptions {
  int entries = 2;
  int agents = 3;
  bool workers = true;
  int endpoint_slots = 8;
  int retention_records = 100000;
  std::vector<std::string> worker_flags = {};
  // Called with the settings of each daemon before any is started.
  std::function<auto(schema::DaemonSettings&)->void> adjust = {};
};

// The processes of a small deployment with stand-ins for the platform. Each
// deployment has its own loopback ports and its own temporary folder.
class Deployment {
 public:
  explicit Deployment(DeploymentOptions options);
  Deployment(const Deployment&) = delete;
  auto operator=(const Deployment&) -> Deployment& = delete;
  ~Deployment();

  // Starts every process, applies a register without jobs and waits until each
  // entry reports every agent's endpoint as ready.
  auto StartAll() -> bool;
  auto Start(const std::string& name) -> void;
  // Names: "log", "entry-0", "agent-0", "endpoint-0", "worker-0".
  auto process(const std::string& name) -> ChildProcess&;
  // Applies a register of partner "rufisque" with one service, every instance
  // and `jobs` (JSON objects). Returns the exit code of the client.
  auto Apply(const std::vector<std::string>& jobs,
             const std::vector<std::string>& flags = {},
             std::string* output = nullptr) -> int;
  // Runs the operators' client and returns its exit code, -1 on a time-out.
  // Appends its output to `output`.
  auto Client(std::vector<std::string> arguments, std::string* output = nullptr)
      -> int;

  auto Call(int entry, HttpClientRequest request) -> HttpClientAnswer;
  auto Get(int entry, const std::string& path) -> HttpClientAnswer;
  auto Post(int entry, const std::string& path, const std::string& key)
      -> HttpClientAnswer;
  // Base URL of a process that serves HTTP, such as "entry-0" or "log".
  auto Url(const std::string& name) const -> std::string;
  // Value of a sample on the metrics page; zero if absent.
  auto Metric(const std::string& name, const std::string& metric) -> double;
  auto Status(int entry) -> schema::OperatorStatus;
  auto Tasks() -> std::vector<schema::TaskStatus>;
  // Number of endpoints that the entry reports in this state.
  auto EndpointsInState(int entry, const std::string& state) -> int;
  auto WaitReady(int entry, int agents) -> bool;
  // Number of times that requests with this key have run, over all endpoints.
  auto CountRuns(const std::string& key) -> int;
  // Lines "event=..." of all workers, in the order of each worker's output.
  auto WorkerEvents() -> std::string;
  auto PostFault(const std::string& name, const std::string& query) -> bool;

  auto options() const -> const DeploymentOptions& { return options_; }
  auto settings(const std::string& name) -> schema::DaemonSettings& {
    return settings_[name];
  }
  auto Port(const std::string& name) const -> int { return ports_.at(name); }

 private:
  auto MakeSettings() -> void;
  auto EntrySettingsOf(int index) -> schema::DaemonSettings;
  auto AgentSettingsOf(int index) -> schema::DaemonSettings;
  auto CommandOf(const std::string& name) -> std::vector<std::string>;
  auto PathOf(const std::string& file) const -> std::string;

  DeploymentOptions options_;
  std::string folder_;
  std::map<std::string, int> ports_;
  std::map<std::string, schema::DaemonSettings> settings_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
};

auto HeaderOf(const schema::HttpAnswer& answer, const std::string& name)
    -> std::string;

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_SUPPORT_DEPLOYMENT_H_

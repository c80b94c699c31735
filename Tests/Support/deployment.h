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

inline constexpr std::chrono::seconds kPatience{60};

struct DeploymentOptions {
  int entries = 2;
  int agents = 3;
  bool workers = true;
  int endpoint_slots = 8;
  int retention_records = 100000;
  std::vector<std::string> worker_flags = {};
  // Changes to a process's settings before it starts.
  std::function<auto(schema::DaemonSettings&)->void> adjust = {};
};

// The processes of a small deployment with stand-ins for the platform, on
// loopback ports of its own, in a folder of its own.
class Deployment {
 public:
  explicit Deployment(DeploymentOptions options);
  Deployment(const Deployment&) = delete;
  auto operator=(const Deployment&) -> Deployment& = delete;
  ~Deployment();

  // Starts everything, applies the usual register, waits until every entry
  // sees every agent.
  auto StartAll() -> bool;
  auto Start(const std::string& name) -> void;
  // Names: "log", "entry-0", "agent-0", "endpoint-0", "worker-0".
  auto process(const std::string& name) -> ChildProcess&;
  // A register of partner "rufisque" with one service and every instance, and
  // these jobs (JSON objects).
  auto Apply(const std::vector<std::string>& jobs,
             const std::vector<std::string>& flags = {},
             std::string* output = nullptr) -> int;
  // Runs the operators' client; its output is appended to `output`.
  auto Client(std::vector<std::string> arguments, std::string* output = nullptr)
      -> int;

  auto Call(int entry, HttpClientRequest request) -> HttpClientAnswer;
  auto Get(int entry, const std::string& path) -> HttpClientAnswer;
  auto Post(int entry, const std::string& path, const std::string& key)
      -> HttpClientAnswer;
  // Of an HTTP side: "entry-0" or "agent-0" or "log".
  auto Url(const std::string& name) const -> std::string;
  // A sample of the metrics page; zero if absent.
  auto Metric(const std::string& name, const std::string& metric) -> double;
  auto Status(int entry) -> schema::OperatorStatus;
  auto Tasks() -> std::vector<schema::TaskStatus>;
  // Agents in this state, as an entry sees them.
  auto EndpointsInState(int entry, const std::string& state) -> int;
  auto WaitReady(int entry, int agents) -> bool;
  // Runs of requests with this key, over all endpoints.
  auto RunsOf(const std::string& key) -> int;
  // Lines "event=..." of all workers, in each worker's order.
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

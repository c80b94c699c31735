#ifndef RHUBARBHAVEN_TESTS_SOAK_PROCESSES_H_
#define RHUBARBHAVEN_TESTS_SOAK_PROCESSES_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "Tests/Soak/soak_options.h"
#include "Tests/StandIns/Platform/platform_stand_in.h"
#include "Tests/Support/child_process.h"
#include "Tests/Support/fault_proxy.h"

namespace rhubarbhaven::soak {

// The daemons under test, the platform's stand-in, and a fault proxy between
// each daemon and the log. The destructor stops all of them. To be used by one
// thread: the kernel kills the daemons when the thread that started them exits.
class Processes {
 public:
  Processes(const SoakOptions& options,
            std::string folder,
            test::PlatformHooks watch);
  Processes(const Processes&) = delete;
  auto operator=(const Processes&) -> Processes& = delete;
  ~Processes();

  auto platform() -> test::PlatformStandIn& { return *platform_; }
  auto entry(int number) -> test::ChildProcess& { return *entries_[number]; }
  auto agent(int number) -> test::ChildProcess& { return *agents_[number]; }
  auto entry_link(int number) -> test::FaultProxy& {
    return *entry_links_[number];
  }
  auto entry_count() const -> int { return static_cast<int>(entries_.size()); }
  auto agent_link(int number) -> test::FaultProxy& {
    return *agent_links_[number];
  }
  // Sets how long the orders of all entries are under way to the agents.
  auto DelayOrders(std::chrono::milliseconds delay) -> void;
  // Cuts off the connections between one entry and all agents.
  auto CutOffFromAgents(int entry, test::CutOff cut_off) -> void;
  // Starts the daemon, again under the same name and addresses.
  auto StartEntry(int number) -> void;
  auto StartAgent(int number) -> void;
  // Address of each entry for callers.
  auto callers_addresses() const -> const std::vector<std::string>& {
    return callers_addresses_;
  }
  // Number of the entry that has become the owner last, zero if none has.
  auto Owner() const -> int;
  // Names of the daemons that have exited.
  auto Ended() -> std::vector<std::string>;

 private:
  auto Start(const std::string& name, const std::string& settings)
      -> std::unique_ptr<test::ChildProcess>;
  auto AddLink(std::vector<std::unique_ptr<test::FaultProxy>>* links,
               std::vector<std::string>* addresses) -> void;
  // Agents register the endpoint that they bind, so the log of the stand-in
  // names the proxy's endpoint instead.
  auto AddOrderLink(int agent) -> void;
  // What the entry sends to the agents and to the log shares one link.
  auto LimitRate(int entry) -> void;

  std::string binary_;
  std::string folder_;
  // In megabits per second, of each entry; empty if the links have no rate.
  std::vector<int> link_rates_;
  std::vector<std::string> callers_addresses_;
  std::vector<std::string> ready_addresses_;
  std::vector<std::string> heartbeat_addresses_;
  std::vector<int> link_ports_;
  std::vector<std::string> entry_log_addresses_;
  std::vector<std::string> agent_log_addresses_;
  std::unique_ptr<test::PlatformStandIn> platform_;
  std::vector<std::unique_ptr<test::FaultProxy>> entry_links_;
  std::vector<std::unique_ptr<test::FaultProxy>> agent_links_;
  std::vector<std::unique_ptr<test::FaultProxy>> order_links_;
  std::vector<std::unique_ptr<test::ChildProcess>> entries_;
  std::vector<std::unique_ptr<test::ChildProcess>> agents_;
};

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_PROCESSES_H_

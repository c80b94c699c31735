#include "Tests/Soak/processes.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <fstream>
#include <utility>

#include "Tests/Soak/link_rates.h"
#include "Tests/Support/free_port.h"
#include "Tests/Support/platform_settings.h"

namespace rhubarbhaven::soak {
namespace {

// What an entry logs when it has become the owner.
constexpr char kOwnerBegins[] = "owner_begin";
constexpr std::size_t kBytesPerMegabit = 125'000;

auto FreeAddress() -> std::string {
  return test::LoopbackAddress(test::FreePort());
}

// Also the routing id of its connections to agents.
auto EntryName(int number) -> std::string {
  return absl::StrCat("entry-", number);
}

auto Endpoint(int port) -> std::string {
  return "tcp://" + test::LoopbackAddress(port);
}

}  // namespace

Processes::Processes(const SoakOptions& options,
                     std::string folder,
                     test::PlatformHooks watch)
    : binary_(options.binary),
      folder_(std::move(folder)),
      link_rates_(LinkRates(options)) {
  for (int i = 0; i < options.agents; ++i) {
    heartbeat_addresses_.push_back(FreeAddress());
    link_ports_.push_back(test::FreePort());
  }
  platform_ = std::make_unique<test::PlatformStandIn>(heartbeat_addresses_,
                                                      std::move(watch));
  platform_->Configure(1);
  agents_.resize(options.agents);
  for (int i = 0; i < options.agents; ++i) {
    AddLink(&agent_links_, &agent_log_addresses_);
    AddOrderLink(i);
    StartAgent(i);
  }
  entries_.resize(options.entries);
  for (int i = 0; i < options.entries; ++i) {
    callers_addresses_.push_back(FreeAddress());
    ready_addresses_.push_back(FreeAddress());
    AddLink(&entry_links_, &entry_log_addresses_);
    LimitRate(i);
    StartEntry(i);
  }
}

Processes::~Processes() {
  entries_.clear();
  agents_.clear();
  // The proxies hold connections open, and the stand-in would wait for them.
  entry_links_.clear();
  agent_links_.clear();
  order_links_.clear();
}

auto Processes::AddLink(std::vector<std::unique_ptr<test::FaultProxy>>* links,
                        std::vector<std::string>* addresses) -> void {
  const int port = test::FreePort();
  links->push_back(
      std::make_unique<test::FaultProxy>(port, platform_->log_port()));
  addresses->push_back(test::LoopbackAddress(port));
}

auto Processes::AddOrderLink(int agent) -> void {
  const int port = test::FreePort();
  const int target_port = link_ports_[agent];
  order_links_.push_back(std::make_unique<test::FaultProxy>(port, target_port));
  platform_->TranslateEndpoint(Endpoint(target_port), Endpoint(port));
}

auto Processes::LimitRate(int entry) -> void {
  if (link_rates_.empty()) {
    return;
  }
  const auto rate =
      std::make_shared<test::SharedRate>(link_rates_[entry] * kBytesPerMegabit);
  entry_links_[entry]->SetRequestRate("", rate);
  for (auto& link : order_links_) {
    link->SetRequestRate(EntryName(entry), rate);
  }
}

auto Processes::Start(const std::string& name, const std::string& settings)
    -> std::unique_ptr<test::ChildProcess> {
  const std::string path = absl::StrCat(folder_, "/", name, ".json");
  std::ofstream(path) << settings;
  return std::make_unique<test::ChildProcess>(
      std::vector<std::string>{binary_, "--settings=" + path},
      absl::StrCat(folder_, "/", name, ".log"));
}

auto Processes::StartEntry(int number) -> void {
  const std::string name = EntryName(number);
  entries_[number] =
      Start(name, test::RenderSettings(test::EntryAddresses{
                      name, callers_addresses_[number],
                      ready_addresses_[number], entry_log_addresses_[number],
                      link_rates_.empty() ? 0 : link_rates_[number]}));
}

auto Processes::StartAgent(int number) -> void {
  const std::string name = absl::StrCat("agent-", number);
  agents_[number] = Start(name, test::RenderSettings(test::AgentAddresses{
                                    name, heartbeat_addresses_[number],
                                    platform_->worker_address(number),
                                    test::LoopbackAddress(link_ports_[number]),
                                    agent_log_addresses_[number]}));
}

auto Processes::DelayOrders(std::chrono::milliseconds delay) -> void {
  test::ProxyFault fault;
  fault.request_delay = delay;
  for (auto& link : order_links_) {
    link->SetFault(fault);
  }
}

auto Processes::CutOffFromAgents(int entry, test::CutOff cut_off) -> void {
  for (auto& link : order_links_) {
    link->SetCutOff(EntryName(entry), cut_off);
  }
}

auto Processes::Owner() const -> int {
  int owner = 0;
  std::string newest;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    std::ifstream log(absl::StrCat(folder_, "/entry-", i, ".log"));
    for (std::string line; std::getline(log, line);) {
      // Each line begins with its time.
      if (line > newest && absl::StrContains(line, kOwnerBegins)) {
        newest = line;
        owner = static_cast<int>(i);
      }
    }
  }
  return owner;
}

auto Processes::Ended() -> std::vector<std::string> {
  std::vector<std::string> ended;
  const auto collect = [&ended](auto& processes, const char* kind) -> void {
    for (std::size_t i = 0; i < processes.size(); ++i) {
      if (processes[i]->WaitExit(std::chrono::milliseconds(0))) {
        ended.push_back(absl::StrCat(kind, i));
      }
    }
  };
  collect(entries_, "entry-");
  collect(agents_, "agent-");
  return ended;
}

}  // namespace rhubarbhaven::soak

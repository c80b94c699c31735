#include "deployment.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int kReadySeconds = 20;
constexpr int kTries = 12;
constexpr char kHost[] = "jobs.example";
constexpr char kPrefix[] = "/q/";

// Ports below the range that the system gives to outgoing connections, so that
// none is taken before its daemon listens. Cases that run at the same time
// begin at different ones.
auto FreePorts(int count) -> std::vector<int> {
  constexpr int kFirst = 10000;
  constexpr int kBlocks = 200;
  constexpr int kBlock = 100;
  int port = kFirst + getpid() % kBlocks * kBlock;
  std::vector<int> ports;
  while (static_cast<int>(ports.size()) < count) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    if (fd < 0) {
      std::_Exit(2);
    }
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
      ports.push_back(port);
    }
    close(fd);
    port = port + 1 < kFirst + kBlocks * kBlock ? port + 1 : kFirst;
  }
  return ports;
}

auto Loopback(int port) -> std::string {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

Deployment::Deployment(World* world,
                       const std::string& folder,
                       DeploymentOptions options)
    : world_(world),
      options_(std::move(options)),
      log_(world),
      advice_([this](const HttpRequest& request) { return Advise(request); }) {
  workers_ =
      std::make_unique<Workers>(world_, options_.workers, options_.spec_of);
  workers_->SetTicketsValid(options_.advice.valid_ms);
  Json route = {{"Name", "coupons"},
                {"Host", kHost},
                {"PathPrefix", kPrefix},
                {"Service", "brume"},
                {"MaxAttempts", options_.attempts},
                {"Stretch", 2.0},
                {"TargetLatencyMs", 1000}};
  if (options_.advice.valid_ms > 0) {
    route["Advice"] = {{"DecideMs", options_.advice.decide_ms},
                       {"EachMs", options_.advice.each_ms},
                       {"ValidMs", options_.advice.valid_ms}};
  }
  log_.Put("keyed.op", "config",
           Json{{"Version", 3},
                {"Routes", Json::array({route})},
                {"Services",
                 Json::array({{{"Name", "brume"}, {"RejectsOverload", true}}})}}
               .dump());
  workers_->Begin(WriteSettings(folder));
  std::ofstream(folder + "/ready") << "ready\n";
}

auto Deployment::WriteSettings(const std::string& folder)
    -> std::vector<std::string> {
  const int agents = options_.workers.count;
  const auto ports = FreePorts(3 * options_.entries + 3 * agents);
  std::size_t next = 0;
  const auto base = [](const std::string& role, const std::string& id,
                       int number) -> Json {
    return {{"role", role},
            {"id", id},
            {"failure_domain", "hall-" + std::to_string(number % 3)},
            {"region", "cap-vert"},
            {"logging", {{"level", "info"}, {"form", "json"}}}};
  };
  for (int i = 0; i < options_.entries; ++i) {
    callers_ports_.push_back(ports[next++]);
    ready_ports_.push_back(ports[next++]);
    const std::string name = "frontend-" + std::to_string(i);
    Json settings = base("entry", name, i);
    settings["platform"] = {
        {"callers_address", Loopback(callers_ports_.back())},
        {"ready_address", Loopback(ready_ports_.back())},
        {"log_address", Loopback(log_.port())},
        {"metrics_address", Loopback(ports[next++])},
        {"advice_address", Loopback(advice_.port())},
        {"longest_lease_ms", 10000},
        {"stop_grace_ms", 6000},
        {"configuration_bound_ms", 2000},
        {"link_mbps", 1000.0},
        {"processor_cores", 0.25}};
    std::ofstream(folder + "/" + name + ".json") << settings.dump(2) << "\n";
  }
  std::vector<std::string> heartbeats;
  for (int i = 0; i < agents; ++i) {
    heartbeats.push_back(Loopback(ports[next++]));
    const std::string name = "side-" + std::to_string(i);
    Json settings = base("agent", name, i);
    settings["platform"] = {
        {"heartbeat_address", heartbeats.back()},
        {"worker_address", Loopback(workers_->port(i))},
        {"link_endpoint", "tcp://" + Loopback(ports[next++])},
        {"log_address", Loopback(log_.port())},
        {"metrics_address", Loopback(ports[next++])},
        {"advice_address", Loopback(advice_.port())},
        {"longest_lease_ms", 10000}};
    std::ofstream(folder + "/" + name + ".json") << settings.dump(2) << "\n";
  }
  return heartbeats;
}

auto Deployment::Advise(const HttpRequest& request) -> HttpResponse {
  const std::lock_guard one_call(advising_);
  const Json call = Json::parse(request.body, nullptr, false);
  const std::string step = call.value("Step", "");
  const Json names = call.value("Workers", Json::array());
  std::this_thread::sleep_for(
      milliseconds(options_.advice.decide_ms +
                   options_.advice.each_ms * static_cast<int>(names.size())));
  Json granted = Json::array();
  for (const auto& name : names) {
    const std::string id = name.get<std::string>();
    granted.push_back({id, workers_->Grant(step, id)});
  }
  const std::lock_guard lock(world_->mutex);
  world_->Note("advice on " + step + " for " + std::to_string(names.size()) +
               " workers");
  return {
      200,
      Json{{"Granted", granted}, {"ValidMs", options_.advice.valid_ms}}.dump()};
}

auto Deployment::WaitReady() -> bool {
  const auto until = Clock::now() + std::chrono::seconds(kReadySeconds);
  for (const int port : ready_ports_) {
    const std::string url =
        "http://" + Loopback(port) + "/rhubarbhaven/readiness";
    while (HttpCall("GET", url, "", {}, 500).status != 200) {
      if (Clock::now() > until) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
  }
  return true;
}

auto Deployment::Submit(const std::string& id, const std::string& body)
    -> bool {
  for (int attempt = 0; attempt < kTries; ++attempt) {
    const int entry = attempt % options_.entries;
    const auto answer = HttpCall(
        "POST", "http://" + Loopback(callers_ports_[entry]) + kPrefix + id,
        body, {{"Host", kHost}, {"Deadline-Ms", "3000"}}, 3000);
    {
      const std::lock_guard lock(world_->mutex);
      world_->Note("client: POST " + id + " at entry " + std::to_string(entry) +
                   " " + body.substr(0, 300) + " -> " +
                   std::to_string(answer.status));
    }
    if (answer.status == 200) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(500));
  }
  return false;
}

auto Deployment::StateOf(int entry, const std::string& id) -> std::string {
  const auto answer = HttpCall(
      "GET", "http://" + Loopback(callers_ports_[entry]) + kPrefix + id, "",
      {{"Host", kHost}, {"Deadline-Ms", "3000"}}, 3000);
  {
    const std::lock_guard lock(world_->mutex);
    world_->Note("client: GET " + id + " at entry " + std::to_string(entry) +
                 " -> " + std::to_string(answer.status) + " " + answer.body);
  }
  if (answer.status != 200) {
    return "";
  }
  return Json::parse(answer.body, nullptr, false).value("State", "");
}

}  // namespace review

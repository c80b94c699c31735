#include "stand_ins/deployment.h"

#include <absl/strings/match.h>
#include <absl/strings/str_format.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr char kHost[] = "queue.example";
constexpr char kPrefix[] = "/jobs/";
constexpr int kDeadlineMs = 3000;
constexpr int kRetries = 4;
constexpr int64_t kReadyWithinMs = 30000;
// Longer than any case.
constexpr int64_t kForGoodMs = 1000000;
constexpr std::chrono::milliseconds kPoll{50};

auto Address(int port) -> std::string {
  return absl::StrFormat("127.0.0.1:%d", port);
}

auto SideNames(int agents) -> std::vector<std::string> {
  std::vector<std::string> names;
  for (int i = 0; i < agents; ++i) {
    names.push_back(absl::StrFormat("side-a-%d", i + 1));
  }
  return names;
}

}  // namespace

auto JobId(int number) -> std::string {
  return absl::StrFormat("5c0e7a21%08x", number);
}

Deployment::Deployment(CasePaths paths,
                       int entries,
                       int agents,
                       ExecutorOptions options,
                       Record* record)
    : Deployment(std::move(paths),
                 entries,
                 SideNames(agents),
                 "",
                 nullptr,
                 options,
                 record) {}

Deployment::Deployment(CasePaths paths,
                       int entries,
                       const std::vector<std::string>& agents,
                       const std::string& advice_address,
                       const Json& advice,
                       ExecutorOptions options,
                       Record* record)
    : paths_(std::move(paths)), record_(record), executors_(options, record) {
  const Json log = {{"level", "info"}, {"form", "json"}};
  for (int i = 0; i < entries; ++i) {
    Process entry;
    entry.name = absl::StrFormat("frontend-a-%d", i + 1);
    entry.callers = Address(FreePort());
    entry.ready = Address(FreePort());
    entry.settings = {{"role", "entry"},
                      {"id", entry.name},
                      {"failure_domain", "zone-a"},
                      {"region", "region-a"},
                      {"logging", log},
                      {"platform",
                       {{"callers_address", entry.callers},
                        {"ready_address", entry.ready},
                        {"log_address", store_.address()},
                        {"metrics_address", Address(FreePort())},
                        {"advice_address", advice_address},
                        {"longest_lease_ms", options.max_hold_ms},
                        {"stop_grace_ms", 6000},
                        {"configuration_bound_ms", options.config_ms},
                        {"link_mbps", 1000.0},
                        {"processor_cores", 0.25}}}};
    entries_.push_back(std::move(entry));
  }
  for (const auto& name : agents) {
    const int control = FreePort();
    const int executor = executors_.Add(control);
    Process agent;
    agent.name = name;
    agent.settings = {{"role", "agent"},
                      {"id", agent.name},
                      {"failure_domain", "zone-a"},
                      {"region", "region-a"},
                      {"logging", log},
                      {"platform",
                       {{"heartbeat_address", Address(control)},
                        {"worker_address", executors_.address(executor)},
                        {"link_endpoint", "tcp://" + Address(FreePort())},
                        {"log_address", store_.address()},
                        {"metrics_address", Address(FreePort())},
                        {"advice_address", advice_address},
                        {"longest_lease_ms", options.max_hold_ms}}}};
    agents_.push_back(std::move(agent));
  }
  Json route = {{"Name", "r-work"},      {"Host", kHost},
                {"PathPrefix", kPrefix}, {"Type", "unsafe"},
                {"TimeoutMs", 3000},     {"TargetLatencyMs", 1000},
                {"Priority", 0},         {"Service", options.service},
                {"MaxAttempts", 4},      {"Stretch", 2.0}};
  if (!advice_address.empty()) {
    route["Advice"] = advice;
  }
  const Json service = {{"Name", options.service},
                        {"HealthCheckPath", "/health"},
                        {"MaxConnections", 64},
                        {"Protocol", "h1"},
                        {"Tls", false},
                        {"RejectsOverload", options.guards},
                        {"Standby", false}};
  const Json config = {{"Version", 2},
                       {"Routes", {route}},
                       {"Services", {service}},
                       {"Limits", {{"MaxBodyBytes", 262144}}}};
  store_.Put("keyed.op", "config", config.dump());
}

Deployment::~Deployment() {
  for (auto* list : {&entries_, &agents_}) {
    for (auto& process : *list) {
      if (process.id > 0) {
        kill(process.id, SIGKILL);
        waitpid(process.id, nullptr, 0);
      }
    }
  }
}

auto Deployment::Launch(Process* process) -> void {
  const std::string settings =
      absl::StrFormat("%s/%s.json", paths_.folder, process->name);
  const std::string log =
      absl::StrFormat("%s/%s.log", paths_.folder, process->name);
  std::ofstream(settings) << process->settings.dump(2);
  const std::string boot = "RHUBARBHAVEN_BOOT=" + settings;
  const pid_t parent = getpid();
  const pid_t id = fork();
  if (id < 0) {
    throw std::runtime_error("cannot start a daemon");
  }
  if (id == 0) {
    // It must not outlive the case.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    std::string program = paths_.program;
    std::string variable = boot;
    char* arguments[] = {program.data(), nullptr};
    char* environment[] = {variable.data(), nullptr};
    execve(program.c_str(), arguments, environment);
    _exit(1);
  }
  process->id = id;
  record_->Write(process->name + " starts");
}

auto Deployment::Ready(const Process& process) -> bool {
  return Call("GET", "http://" + process.ready + "/rhubarbhaven/readiness", {},
              "", 500)
             .status == 200;
}

auto Deployment::AddMachine(int agent) -> void {
  Launch(&agents_.at(agent));
  executors_.Join(agent);
}

auto Deployment::Begin(int agents) -> bool {
  for (auto& entry : entries_) {
    Launch(&entry);
  }
  const int first = agents < 0 ? static_cast<int>(agents_.size()) : agents;
  for (int i = 0; i < first; ++i) {
    AddMachine(i);
  }
  executors_.Begin();
  const int64_t until = NowMs() + kReadyWithinMs;
  while (NowMs() < until) {
    if (std::all_of(entries_.begin(), entries_.end(),
                    [this](const Process& entry) { return Ready(entry); })) {
      record_->Write("all entries are ready");
      return true;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

auto Deployment::Kill(Process* process) -> void {
  kill(process->id, SIGKILL);
  waitpid(process->id, nullptr, 0);
  process->id = -1;
  record_->Write(process->name + " is killed");
}

auto Deployment::KillEntry(int entry) -> void {
  Kill(&entries_.at(entry));
}

auto Deployment::RemoveMachine(int agent) -> void {
  Kill(&agents_.at(agent));
  executors_.Crash(agent, kForGoodMs, Restart::kNewId);
}

auto Deployment::Owner() -> int {
  // The claim names its owner in the first field of its message.
  const std::string claim = store_.Newest("keyed.jobs", "o/");
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (absl::StrContains(claim, entries_[i].name)) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

auto Deployment::entries() const -> int {
  return static_cast<int>(entries_.size());
}

auto Deployment::Send(int entry,
                      const std::string& method,
                      const std::string& id,
                      const std::string& body) -> HttpAnswer {
  HttpAnswer answer;
  for (int attempt = 0; attempt <= kRetries; ++attempt) {
    const Process& to = entries_.at((entry + attempt) % entries_.size());
    answer = Call(method, "http://" + to.callers + kPrefix + id,
                  {{"Host", kHost},
                   {"Content-Type", "application/json"},
                   {"Deadline-Ms", std::to_string(kDeadlineMs)}},
                  body, kDeadlineMs);
    record_->Write(absl::StrFormat(
        "%s %s to %s answered %d %s", method, id, to.name, answer.status,
        answer.status == 200 ? answer.body : std::string()));
    const bool again =
        answer.status == 0 || answer.status == 502 || answer.status == 504;
    if (!again) {
      break;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return answer;
}

auto Deployment::Submit(int entry,
                        const std::string& id,
                        const Json& body,
                        Work work) -> bool {
  executors_.AddJob(id, body, work);
  const auto status = Send(entry, "POST", id, body.dump()).status;
  return status >= 200 && status < 300;
}

auto Deployment::StateOf(int entry, const std::string& id) -> std::string {
  const auto answer = Send(entry, "GET", id, "");
  if (answer.status != 200) {
    return std::to_string(answer.status);
  }
  return Json::parse(answer.body, nullptr, false).value("State", "");
}

}  // namespace review

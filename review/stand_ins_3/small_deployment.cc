#include "review/stand_ins_3/small_deployment.h"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

#include "Tests/Support/free_port.h"

namespace rhubarbhaven::review {
namespace {

using Json = nlohmann::json;

constexpr int kRacks = 3;
constexpr Milliseconds kPoll{20};

auto Loopback(int port) -> std::string {
  return absl::StrCat("127.0.0.1:", port);
}

auto Configuration() -> std::string {
  const Json route = {{"Name", "queue"},        {"Host", "queue.example"},
                      {"PathPrefix", "/jobs/"}, {"Service", "service"},
                      {"MaxAttempts", 4},       {"Stretch", 2.0},
                      {"Priority", 0},          {"TargetLatencyMs", 1000}};
  return Json{{"Version", 1},
              {"Routes", Json::array({route})},
              {"Services",
               Json::array({{{"Name", "service"}, {"RejectsOverload", true}}})}}
      .dump();
}

// As deploy/entry.json, with the bounds of the small sites.
auto EntrySettings(const std::string& name,
                   const std::string& zone,
                   const std::string& front,
                   const std::string& ready,
                   const std::string& log,
                   double link_mbps) -> std::string {
  return Json{{"role", "entry"},
              {"id", name},
              {"failure_domain", zone},
              {"region", "region"},
              {"logging", {{"level", "info"}, {"form", "json"}}},
              {"platform",
               {{"callers_address", front},
                {"ready_address", ready},
                {"log_address", log},
                {"longest_lease_ms", 10000},
                {"stop_grace_ms", 6000},
                {"configuration_bound_ms", 2000},
                {"link_mbps", link_mbps},
                {"processor_cores", 0.25},
                {"max_record_bytes", 262144},
                {"max_append_bytes", 2097152}}}}
      .dump();
}

// As deploy/agent.json.
auto AgentSettings(const std::string& name,
                   const std::string& zone,
                   const std::string& control,
                   const std::string& executor,
                   const std::string& log) -> std::string {
  return Json{{"role", "agent"},
              {"id", name},
              {"failure_domain", zone},
              {"region", "region"},
              {"logging", {{"level", "info"}, {"form", "json"}}},
              {"platform",
               {{"heartbeat_address", control},
                {"worker_address", executor},
                {"link_endpoint", "tcp://" + Loopback(test::FreePort())},
                {"log_address", log},
                {"longest_lease_ms", 10000}}}}
      .dump();
}

}  // namespace

Record::Record(const std::string& path) : file_(path), opened_(Clock::now()) {}

auto Record::Now() const -> int64_t {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - opened_)
      .count();
}

auto Record::Write(const std::string& text) -> void {
  const std::lock_guard lock(mutex_);
  file_ << Now() << " " << text << std::endl;
}

SmallDeployment::SmallDeployment(const DeploymentOptions& options)
    : program_(options.program), folder_(options.folder) {
  std::string log = options.store;
  if (log.empty()) {
    store_ = std::make_unique<Store>();
    store_->PutByOperator("config", Configuration());
    log = store_->address();
  }
  const auto zone = [](int number) -> std::string {
    return absl::StrCat("zone-", number % 3);
  };
  for (int i = 0; i < options.entries; ++i) {
    fronts_.push_back(Loopback(test::FreePort()));
    readies_.push_back(Loopback(test::FreePort()));
    const auto name = absl::StrCat("frontend-", i);
    std::string path = log;
    if (options.entry_bytes_per_second > 0) {
      const int port = test::FreePort();
      const int target = std::stoi(log.substr(log.rfind(':') + 1));
      paths_.push_back(std::make_unique<test::FaultProxy>(port, target));
      test::ProxyFault thin;
      thin.bytes_per_second = options.entry_bytes_per_second;
      paths_.back()->SetFault(thin);
      path = Loopback(port);
    }
    WriteSettings(name,
                  EntrySettings(name, zone(i), fronts_.back(), readies_.back(),
                                path, options.link_mbps));
    processes_.push_back(StartProgram(name));
  }
  for (int i = 0; i < options.executors; ++i) {
    ExecutorOptions executor = options.executor;
    executor.id = absl::StrCat("i-", i);
    executor.service = "service";
    executor.zone = zone(i);
    executor.rack = absl::StrCat("r-", i % kRacks);
    executor.control_address = Loopback(test::FreePort());
    const std::string control = executor.control_address;
    executors_.push_back(std::make_unique<Executor>(std::move(executor)));
    const auto name = absl::StrCat("side-", i);
    WriteSettings(name, AgentSettings(name, zone(i), control,
                                      executors_.back()->address(), log));
    processes_.push_back(StartProgram(name));
  }
}

SmallDeployment::~SmallDeployment() {
  for (const pid_t process : processes_) {
    if (process > 0) {
      kill(process, SIGKILL);
      waitpid(process, nullptr, 0);
    }
  }
  executors_.clear();
  paths_.clear();
  store_.reset();
}

auto SmallDeployment::WriteSettings(const std::string& name,
                                    const std::string& settings) -> void {
  std::ofstream(absl::StrCat(folder_, "/", name, ".json")) << settings;
}

auto SmallDeployment::StartProgram(const std::string& name) -> pid_t {
  const std::string path = absl::StrCat(folder_, "/", name, ".json");
  const std::string output_path = absl::StrCat(folder_, "/", name, ".log");
  std::string boot = "RHUBARBHAVEN_BOOT=" + path;
  std::string program = program_;
  std::array<char*, 2> arguments = {program.data(), nullptr};
  std::array<char*, 2> environment = {boot.data(), nullptr};
  constexpr mode_t kMode = 0644;
  const int output = open(output_path.c_str(),
                          O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, kMode);
  const pid_t process = fork();
  if (process == 0) {
    // The kernel ends this process if the test that started it dies.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  close(output);
  return process;
}

auto SmallDeployment::RestartEntry(int entry) -> void {
  processes_.at(entry) = StartProgram(absl::StrCat("frontend-", entry));
}

auto SmallDeployment::WaitReady(Milliseconds limit) -> bool {
  HttpClient client;
  const TimePoint end = Clock::now() + limit;
  for (const auto& ready : readies_) {
    while (true) {
      HttpClientRequest request;
      request.url = absl::StrCat("http://", ready, "/rhubarbhaven/readiness");
      const auto answer = client.Call(request);
      if (answer.complete && answer.http.status() == 200) {
        break;
      }
      if (Clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(kPoll);
    }
  }
  return true;
}

auto SmallDeployment::Call(int entry,
                           const std::string& method,
                           const std::string& id,
                           std::string* body) -> int {
  HttpClient client;
  HttpClientRequest request;
  request.method = method;
  request.url = absl::StrCat("http://", fronts_.at(entry), "/jobs/", id);
  request.timeout = Milliseconds(3000);
  request.body = method == "POST" ? *body : "";
  for (const auto& [name, value] :
       {std::pair("Host", "queue.example"), std::pair("Deadline-Ms", "3000"),
        std::pair("Content-Type", "application/json")}) {
    schema::HttpHeader header;
    header.set_name(name);
    header.set_value(value);
    request.headers.push_back(header);
  }
  const auto answer = client.Call(request);
  *body = answer.http.body();
  return answer.complete ? static_cast<int>(answer.http.status()) : 0;
}

auto SmallDeployment::KillEntry(int entry) -> void {
  pid_t& process = processes_.at(entry);
  kill(process, SIGKILL);
  waitpid(process, nullptr, 0);
  process = 0;
}

auto SmallDeployment::TerminateEntry(int entry) -> void {
  kill(processes_.at(entry), SIGTERM);
}

auto SmallDeployment::EntryHasEnded(int entry) -> bool {
  pid_t& process = processes_.at(entry);
  if (process != 0 && waitpid(process, nullptr, WNOHANG) == process) {
    process = 0;
  }
  return process == 0;
}

auto SmallDeployment::AllRun() -> bool {
  for (const pid_t process : processes_) {
    if (process == 0) {
      continue;
    }
    siginfo_t ended{};
    waitid(P_PID, process, &ended, WEXITED | WNOHANG | WNOWAIT);
    if (ended.si_pid != 0) {
      return false;
    }
  }
  return true;
}

}  // namespace rhubarbhaven::review

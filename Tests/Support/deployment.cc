#include "Tests/Support/deployment.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <google/protobuf/util/json_util.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <utility>

namespace rhubarbhaven::test {
namespace {

constexpr int kAgentsPerRack = 3;
constexpr int kFailureDomains = 3;

auto Name(const char* kind, int index) -> std::string {
  return absl::StrCat(kind, "-", index);
}

auto ParseJsonInto(const std::string& text, google::protobuf::Message* message)
    -> void {
  static_cast<void>(google::protobuf::util::JsonStringToMessage(text, message));
}

}  // namespace

auto HeaderOf(const schema::HttpAnswer& answer, const std::string& name)
    -> std::string {
  for (const auto& header : answer.headers()) {
    if (header.name() == name) {
      return header.value();
    }
  }
  return "";
}

Deployment::Deployment(DeploymentOptions options)
    : options_(std::move(options)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "rhubarbhaven-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  ports_["log"] = FreePort();
  for (int i = 0; i < options_.entries; ++i) {
    ports_[Name("entry", i)] = FreePort();
    ports_[Name("link", i)] = FreePort();
  }
  for (int i = 0; i < options_.agents; ++i) {
    ports_[Name("agent", i)] = FreePort();
    ports_[Name("endpoint", i)] = FreePort();
    ports_[Name("worker", i)] = FreePort();
  }
  MakeSettings();
}

Deployment::~Deployment() {
  processes_.clear();
  if (std::getenv("RHUBARBHAVEN_KEEP_TEST_FOLDER") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

auto Deployment::MakeSettings() -> void {
  for (int i = 0; i < options_.entries; ++i) {
    settings_[Name("entry", i)] = EntrySettingsOf(i);
  }
  for (int i = 0; i < options_.agents; ++i) {
    settings_[Name("agent", i)] = AgentSettingsOf(i);
  }
  for (auto& [name, settings] : settings_) {
    if (options_.adjust) {
      options_.adjust(settings);
    }
  }
}

auto Deployment::EntrySettingsOf(int index) -> schema::DaemonSettings {
  schema::DaemonSettings settings;
  settings.set_role("entry");
  settings.set_id(Name("entry", index));
  settings.set_failure_domain(absl::StrCat("fd-", index % kFailureDomains));
  settings.set_log_url(Url("log"));
  auto* entry = settings.mutable_entry();
  entry->set_http_address("127.0.0.1");
  entry->set_http_port(static_cast<uint32_t>(ports_[settings.id()]));
  entry->set_link_endpoint(
      absl::StrCat("tcp://127.0.0.1:", ports_[Name("link", index)]));
  for (int peer = 0; peer < options_.entries; ++peer) {
    if (peer != index) {
      entry->add_peers(
          absl::StrCat("tcp://127.0.0.1:", ports_[Name("link", peer)]));
    }
  }
  entry->add_cells("cell-0");
  entry->set_append_interval_ms(20);
  entry->set_claim_timeout_ms(2000);
  entry->set_stop_grace_ms(500);
  return settings;
}

auto Deployment::AgentSettingsOf(int index) -> schema::DaemonSettings {
  schema::DaemonSettings settings;
  settings.set_role("agent");
  settings.set_id(Name("agent", index));
  settings.set_failure_domain(absl::StrCat("fd-", index % kFailureDomains));
  auto* agent = settings.mutable_agent();
  agent->set_instance(Name("instance", index));
  agent->set_rack(absl::StrCat("rack-", index / kAgentsPerRack));
  for (int entry = 0; entry < options_.entries; ++entry) {
    agent->add_entries(
        absl::StrCat("tcp://127.0.0.1:", ports_[Name("link", entry)]));
  }
  agent->set_partner("rufisque");
  agent->set_service("results");
  agent->set_endpoint_url(Url(Name("endpoint", index)));
  agent->set_slots(static_cast<uint32_t>(options_.endpoint_slots));
  if (options_.workers) {
    agent->set_worker_url(Url(Name("worker", index)));
  }
  agent->set_http_address("127.0.0.1");
  agent->set_http_port(static_cast<uint32_t>(ports_[settings.id()]));
  agent->set_lease_ttl_ms(2000);
  agent->set_worker_lease_ms(2000);
  return settings;
}

auto Deployment::PathOf(const std::string& file) const -> std::string {
  return folder_ + "/" + file;
}

auto Deployment::Url(const std::string& name) const -> std::string {
  return absl::StrCat("http://127.0.0.1:", ports_.at(name));
}

auto Deployment::CommandOf(const std::string& name)
    -> std::vector<std::string> {
  const std::string binaries = RHUBARBHAVEN_BINARIES;
  const std::string stand_ins = binaries + "/Tests/StandIns/";
  const std::string port = absl::StrCat("--port=", ports_.at(name));
  if (name == "log") {
    return {stand_ins + "Log/log_stand_in", port,
            absl::StrCat("--retention_records=", options_.retention_records)};
  }
  if (absl::StartsWith(name, "endpoint")) {
    return {stand_ins + "Endpoint/endpoint_stand_in", port, "--name=" + name,
            absl::StrCat("--slots=", options_.endpoint_slots)};
  }
  if (absl::StartsWith(name, "worker")) {
    std::vector<std::string> command = {stand_ins + "Worker/worker_stand_in",
                                        port};
    command.insert(command.end(), options_.worker_flags.begin(),
                   options_.worker_flags.end());
    return command;
  }
  std::string json;
  google::protobuf::util::JsonPrintOptions print;
  print.preserve_proto_field_names = true;
  static_cast<void>(google::protobuf::util::MessageToJsonString(
      settings_.at(name), &json, print));
  std::ofstream(PathOf(name + ".json")) << json;
  return {binaries + "/platform/rhubarbhavend",
          "--settings=" + PathOf(name + ".json")};
}

auto Deployment::Start(const std::string& name) -> void {
  processes_[name] =
      std::make_unique<ChildProcess>(CommandOf(name), PathOf(name + ".out"));
}

auto Deployment::process(const std::string& name) -> ChildProcess& {
  return *processes_.at(name);
}

auto Deployment::StartAll() -> bool {
  Start("log");
  for (int i = 0; i < options_.agents; ++i) {
    Start(Name("endpoint", i));
    if (options_.workers) {
      Start(Name("worker", i));
    }
  }
  for (int i = 0; i < options_.entries; ++i) {
    Start(Name("entry", i));
  }
  for (int i = 0; i < options_.agents; ++i) {
    Start(Name("agent", i));
  }
  const bool applied =
      WaitFor([this]() -> bool { return Apply({}) == 0; }, kTestTimeout);
  bool ready = applied;
  for (int i = 0; i < options_.entries; ++i) {
    ready = ready && WaitReady(i, options_.agents);
  }
  return ready;
}

auto Deployment::WaitReady(int entry, int agents) -> bool {
  const bool ready = WaitFor(
      [this, entry, agents]() -> bool {
        return EndpointsInState(entry, "ready") == agents;
      },
      kTestTimeout);
  if (!ready) {
    // The status distinguishes an entry that lacks an agent from one that does
    // not answer.
    std::cerr << Name("entry", entry) << " did not become ready; its status: "
              << Status(entry).ShortDebugString() << std::endl;
  }
  return ready;
}

auto Deployment::Apply(const std::vector<std::string>& jobs,
                       const std::vector<std::string>& flags,
                       std::string* output) -> int {
  std::vector<std::string> instances;
  instances.reserve(static_cast<std::size_t>(options_.agents));
  for (int i = 0; i < options_.agents; ++i) {
    instances.push_back(
        absl::StrCat(R"({"name":"instance-)", i,
                     R"(","capacity":{"millicores":16000,"memory_mb":60000,)",
                     R"("accelerators":1},"rack":"rack-)", i / kAgentsPerRack,
                     R"(","failure_domain":"fd-)", i % kFailureDomains,
                     R"(","cell":"cell-0"})"));
  }
  const std::string path = PathOf("register.json");
  std::ofstream(path)
      << R"({"partner":"rufisque","services":[{"name":"results",)"
      << R"("weight":1,"target_p99_ms":100}],"instances":[)"
      << absl::StrJoin(instances, ",") << R"(],"jobs":[)"
      << absl::StrJoin(jobs, ",") << "]}";
  std::vector<std::string> arguments = {"apply", path};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  return Client(arguments, output);
}

auto Deployment::Client(std::vector<std::string> arguments, std::string* output)
    -> int {
  static int runs = 0;
  arguments.insert(arguments.begin(), std::string(RHUBARBHAVEN_BINARIES) +
                                          "/Source/Client/rhubarbhaven");
  arguments.push_back("--log-url=" + Url("log"));
  for (int i = 0; i < options_.entries; ++i) {
    arguments.push_back("--entry=" + Url(Name("entry", i)));
  }
  ChildProcess client(arguments,
                      PathOf(absl::StrCat("client-", ++runs, ".out")));
  const auto code = client.WaitExit(kTestTimeout);
  if (output != nullptr) {
    *output += client.Output();
  }
  return code.value_or(-1);
}

auto Deployment::Call(int entry, HttpClientRequest request)
    -> HttpClientAnswer {
  request.url = Url(Name("entry", entry)) + request.url;
  request.timeout = kTestTimeout;
  HttpClient http;
  return http.Call(request);
}

auto Deployment::Get(int entry, const std::string& path) -> HttpClientAnswer {
  HttpClientRequest request;
  request.url = path;
  return Call(entry, std::move(request));
}

auto Deployment::Post(int entry,
                      const std::string& path,
                      const std::string& key) -> HttpClientAnswer {
  HttpClientRequest request;
  request.method = "POST";
  request.url = path;
  request.body = "amount=5";
  auto& header = request.headers.emplace_back();
  header.set_name("Idempotency-Key");
  header.set_value(key);
  return Call(entry, std::move(request));
}

auto Deployment::Metric(const std::string& name, const std::string& metric)
    -> double {
  HttpClientRequest request;
  request.url = Url(name) + "/metrics";
  HttpClient http;
  const std::string body = http.Call(request).http.body();
  for (const auto& line : absl::StrSplit(body, '\n')) {
    const std::string prefix = metric + " ";
    double value = 0;
    if (absl::StartsWith(line, prefix) &&
        absl::SimpleAtod(line.substr(prefix.size()), &value)) {
      return value;
    }
  }
  return 0;
}

auto Deployment::Status(int entry) -> schema::OperatorStatus {
  schema::OperatorStatus status;
  ParseJsonInto(Get(entry, "/operator/v1/status").http.body(), &status);
  return status;
}

auto Deployment::Tasks() -> std::vector<schema::TaskStatus> {
  for (int i = 0; i < options_.entries; ++i) {
    const auto answer = Get(i, "/operator/v1/tasks");
    constexpr uint32_t kOk = 200;
    schema::OperatorTasks tasks;
    ParseJsonInto(answer.http.body(), &tasks);
    if (answer.http.status() == kOk && tasks.tasks_size() > 0) {
      return {tasks.tasks().begin(), tasks.tasks().end()};
    }
  }
  return {};
}

auto Deployment::EndpointsInState(int entry, const std::string& state) -> int {
  int count = 0;
  const schema::OperatorStatus status = Status(entry);
  for (const auto& endpoint : status.endpoints()) {
    count += endpoint.state() == state ? 1 : 0;
  }
  return count;
}

auto Deployment::CountRuns(const std::string& key) -> int {
  int count = 0;
  for (int i = 0; i < options_.agents; ++i) {
    const std::string output = process(Name("endpoint", i)).Output();
    for (const auto& line : absl::StrSplit(output, '\n')) {
      count += absl::StrContains(line, "key=" + key + " ") ? 1 : 0;
    }
  }
  return count;
}

auto Deployment::WorkerEvents() -> std::string {
  std::string events;
  for (int i = 0; i < options_.agents; ++i) {
    events += process(Name("worker", i)).Output();
  }
  return events;
}

auto Deployment::PostFault(const std::string& name, const std::string& query)
    -> bool {
  HttpClientRequest request;
  request.method = "POST";
  const std::string path =
      absl::StartsWith(name, "endpoint") ? "/faults" : "/v1/faults";
  request.url = Url(name) + path + "?" + query;
  HttpClient http;
  return http.Call(request).complete;
}

}  // namespace rhubarbhaven::test

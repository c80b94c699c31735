#include "Tests/StandIns/Platform/platform_stand_in.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/wire_fields.h"

namespace rhubarbhaven::test {
namespace {

using Json = nlohmann::json;
using jobs::AppendOutcome;
using jobs::WorkerCallOutcome;

constexpr std::chrono::milliseconds kTickInterval{1};
constexpr std::chrono::milliseconds kHeartbeatInterval{500};
constexpr std::chrono::milliseconds kDefaultWorkTime{150};
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kMaxGarbageBytes = 300;

auto EncodeBigEndian(uint64_t value, std::size_t bytes) -> std::string {
  std::string text;
  for (std::size_t i = bytes; i > 0; --i) {
    text.push_back(static_cast<char>(value >> (kBitsPerByte * (i - 1))));
  }
  return text;
}

auto ReadBigEndian(const std::string& text, std::size_t at, std::size_t bytes)
    -> uint64_t {
  uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value = (value << kBitsPerByte) | static_cast<unsigned char>(text[at + i]);
  }
  return value;
}

auto ParseRecords(const std::string& body) -> std::vector<jobs::KeyedRecord> {
  std::vector<jobs::KeyedRecord> records;
  std::size_t at = 0;
  while (at + kLengthBytes < body.size()) {
    const std::size_t size = ReadBigEndian(body, at, kLengthBytes);
    at += kLengthBytes;
    const std::size_t key = static_cast<unsigned char>(body[at]);
    records.push_back({body.substr(at + 1, key),
                       body.substr(at + 1 + key, size - 1 - key), 0});
    at += size;
  }
  return records;
}

auto EncodeRecord(const jobs::KeyedRecord& record) -> std::string {
  return EncodeBigEndian(1 + record.key.size() + record.value.size(),
                         kLengthBytes) +
         EncodeBigEndian(record.key.size(), 1) + record.key + record.value;
}

auto QueryNumber(const HttpServerRequest& request, const std::string& name)
    -> uint64_t {
  const auto found = request.query.find(name);
  uint64_t value = 0;
  if (found != request.query.end()) {
    static_cast<void>(absl::SimpleAtoi(found->second, &value));
  }
  return value;
}

auto QueryText(const HttpServerRequest& request, const std::string& name)
    -> std::string {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

auto TopicOf(const HttpServerRequest& request) -> jobs::LogTopic {
  return QueryText(request, "Topic") == "keyed.op" ? jobs::LogTopic::kOperators
                                                   : jobs::LogTopic::kJobs;
}

auto JsonAnswer(unsigned status, const Json& body) -> HttpServerAnswer {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

auto AppendAnswer(const jobs::AppendResult& result) -> HttpServerAnswer {
  switch (result.outcome) {
    case AppendOutcome::kAppended:
      return JsonAnswer(200, {{"Offset", 0}, {"End", 0}});
    case AppendOutcome::kFenced:
      return JsonAnswer(409, {{"Reason", "fenced"}});
    case AppendOutcome::kOutOfOrder:
      return JsonAnswer(
          409, {{"Reason", "seq"}, {"Sequence", result.expected_sequence}});
    default:
      return JsonAnswer(503, Json::object());
  }
}

auto ReadAnswer(const jobs::ReadResult& result) -> HttpServerAnswer {
  if (result.outcome == jobs::ReadOutcome::kGone) {
    return JsonAnswer(410, {{"First", result.end}});
  }
  if (result.outcome == jobs::ReadOutcome::kFailed) {
    return JsonAnswer(503, Json::object());
  }
  std::string body = EncodeBigEndian(result.end, kOffsetBytes) +
                     EncodeBigEndian(0, kOffsetBytes);
  for (const auto& record : result.records) {
    body += EncodeRecord(record);
  }
  return {200, {}, body};
}

auto NewestAnswer(const jobs::NewestResult& result) -> HttpServerAnswer {
  if (!result.answered) {
    return JsonAnswer(503, Json::object());
  }
  Json items = Json::array();
  for (const auto& record : result.records) {
    items.push_back({{"Key", record.key},
                     {"Value", absl::Base64Escape(record.value)},
                     {"Offset", record.offset}});
  }
  return JsonAnswer(
      200, {{"items", items}, {"More", result.more}, {"End", result.end}});
}

auto Route(const std::string& name,
           const std::string& host,
           const std::string& path_prefix) -> Json {
  return {{"Name", name},
          {"Host", host},
          {"PathPrefix", path_prefix},
          {"Service", "service"},
          {"MaxAttempts", 4},
          {"Stretch", 2.0},
          {"Priority", 0},
          {"TargetLatencyMs", 1000}};
}

auto OrderAnswer(WorkerCallOutcome outcome) -> HttpServerAnswer {
  const auto rejected = [](const char* reason) -> HttpServerAnswer {
    return JsonAnswer(409, {{"Reason", reason}});
  };
  switch (outcome) {
    case WorkerCallOutcome::kDone:
      return JsonAnswer(200, {{"ClockMs", 0}});
    case WorkerCallOutcome::kNoRoom:
      return rejected("room");
    case WorkerCallOutcome::kRunOver:
      return rejected("old");
    case WorkerCallOutcome::kLate:
      return rejected("late");
    case WorkerCallOutcome::kFenced:
      return rejected("fence");
    case WorkerCallOutcome::kOtherWorkerId:
      return JsonAnswer(421, Json::object());
    default:
      return JsonAnswer(503, Json::object());
  }
}

auto EndName(jobs::RunEnd end) -> const char* {
  switch (end) {
    case jobs::RUN_DONE:
      return "done";
    case jobs::RUN_STOPPED:
      return "stopped";
    case jobs::RUN_FAILED:
      return "failed";
    default:
      return "lapsed";
  }
}

auto ListingAnswer(const jobs::WorkerListing& listing) -> HttpServerAnswer {
  if (!listing.answered) {
    return JsonAnswer(503, Json::object());
  }
  if (listing.other_worker_id) {
    return JsonAnswer(421, Json::object());
  }
  if (listing.fenced) {
    return JsonAnswer(409, {{"Reason", "fence"}});
  }
  Json running = Json::array();
  for (const auto& row : listing.running) {
    running.push_back({DescribeTask(row.task()), row.run(), row.checkpoint(),
                       row.percent(), 0});
  }
  Json ended = Json::array();
  for (const auto& row : listing.ended) {
    ended.push_back({row.number(), DescribeTask(row.task()), row.run(),
                     EndName(row.end()), row.checkpoint()});
  }
  return JsonAnswer(200, {{"ClockMs", listing.clock.count()},
                          {"Running", running},
                          {"Ended", ended}});
}

}  // namespace

PlatformStandIn::PlatformStandIn(std::vector<std::string> heartbeat_addresses,
                                 PlatformHooks hooks)
    : hooks_(std::move(hooks)) {
  log_port_ = log_.PortFor("caller", [] { return true; });
  log_server_ = MakeServer([this](const HttpServerRequest& request,
                                  const HttpResponder& respond) -> void {
    HandleLog(request, respond);
  });
  for (std::size_t i = 0; i < heartbeat_addresses.size(); ++i) {
    const int number = static_cast<int>(i);
    SimulatedWorker simulated_worker;
    simulated_worker.model = std::make_unique<jobs::VirtualWorker>(
        &time_, absl::StrCat("worker-", number), MakeWatch());
    simulated_worker.heartbeat_address = heartbeat_addresses[i];
    simulated_worker.server =
        MakeServer([this, number](const HttpServerRequest& request,
                                  const HttpResponder& respond) {
          HandleWorker(number, request, respond);
        });
    workers_.push_back(std::move(simulated_worker));
  }
  thread_ = std::thread([this]() -> void { Run(); });
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    const std::lock_guard lock(mutex_);
    SendHeartbeat(static_cast<int>(i));
  }
}

PlatformStandIn::~PlatformStandIn() {
  // Waiting reads are answered only while the clock of the models still runs.
  log_server_.reset();
  for (auto& simulated_worker : workers_) {
    simulated_worker.server.reset();
  }
  stop_ = true;
  thread_.join();
}

auto PlatformStandIn::log_address() const -> std::string {
  return absl::StrCat("127.0.0.1:", log_port());
}

auto PlatformStandIn::log_port() const -> int {
  return log_server_->port();
}

auto PlatformStandIn::worker_address(int number) const -> std::string {
  return absl::StrCat("127.0.0.1:", workers_.at(number).server->port());
}

auto PlatformStandIn::Configure(uint64_t version, int idle_queues) -> void {
  Json routes = Json::array({Route("queue", "queue.example", "/jobs/")});
  for (int number = 0; number < idle_queues; ++number) {
    routes.push_back(Route(absl::StrCat("idle-", number), "idle.example",
                           absl::StrCat("/idle", number, "/")));
  }
  const Json body = {
      {"Version", version},
      {"Routes", std::move(routes)},
      {"Services",
       Json::array({{{"Name", "service"}, {"RejectsOverload", true}}})}};
  const std::lock_guard lock(mutex_);
  log_.Put(jobs::LogTopic::kOperators, {"config", body.dump(), 0});
}

auto PlatformStandIn::SetLogMode(jobs::VirtualLog::Mode mode) -> void {
  const std::lock_guard lock(mutex_);
  log_.SetMode(mode);
}

auto PlatformStandIn::CompactLog() -> void {
  const std::lock_guard lock(mutex_);
  log_.Compact();
}

auto PlatformStandIn::CrashWorker(int number) -> void {
  const std::lock_guard lock(mutex_);
  workers_.at(number).model->Crash();
}

auto PlatformStandIn::SetGarbageAnswers(bool on) -> void {
  const std::lock_guard lock(mutex_);
  garbage_ = on;
}

auto PlatformStandIn::PublishInvalidConfiguration() -> void {
  const std::lock_guard lock(mutex_);
  log_.Put(jobs::LogTopic::kOperators, {"config", R"({"Version":"?",)", 0});
}

auto PlatformStandIn::TranslateEndpoint(const std::string& from,
                                        const std::string& to) -> void {
  const std::lock_guard lock(mutex_);
  translated_endpoints_[from] = to;
}

auto PlatformStandIn::MakeGarbageAnswer() -> HttpServerAnswer {
  std::string bytes(random_() % kMaxGarbageBytes, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(random_());
  }
  return {200, {}, bytes};
}

auto PlatformStandIn::problems() -> std::vector<std::string> {
  const std::lock_guard lock(mutex_);
  return problems_;
}

auto PlatformStandIn::starts() -> int {
  const std::lock_guard lock(mutex_);
  return starts_;
}

auto PlatformStandIn::ends() -> int {
  const std::lock_guard lock(mutex_);
  return ends_;
}

auto PlatformStandIn::Runs(const std::string& task) -> bool {
  const std::lock_guard lock(mutex_);
  return std::any_of(workers_.begin(), workers_.end(),
                     [&task](const auto& simulated_worker) {
                       return simulated_worker.model->Runs(task);
                     });
}

auto PlatformStandIn::HasRoom(const std::set<int>& excluded) -> bool {
  const std::lock_guard lock(mutex_);
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (!excluded.contains(static_cast<int>(i)) &&
        workers_[i].model->HasRoom()) {
      return true;
    }
  }
  return false;
}

auto PlatformStandIn::Run() -> void {
  const auto real = Clock::now();
  const auto model = time_.now();
  while (!stop_) {
    {
      const std::lock_guard lock(mutex_);
      const auto end = model + (Clock::now() - real);
      while (time_.Step(end)) {
      }
    }
    std::this_thread::sleep_for(kTickInterval);
  }
}

auto PlatformStandIn::SendHeartbeat(int number) -> void {
  auto& simulated_worker = workers_.at(number);
  const auto heartbeat = simulated_worker.model->Heartbeat();
  HttpClientRequest request;
  request.method = "POST";
  request.url =
      absl::StrCat("http://", simulated_worker.heartbeat_address,
                   "/rhubarbhaven/Instances.Heartbeat/", heartbeat.worker_id);
  request.body = Json{{"Service", heartbeat.service},
                      {"Address", simulated_worker.heartbeat_address},
                      {"Zone", "zone"},
                      {"State", "ready"},
                      {"Sequence", heartbeat.sequence},
                      {"Labels", heartbeat.labels},
                      {"Capacity",
                       {{"Cpu", heartbeat.capacity.millicores()},
                        {"MemMb", heartbeat.capacity.memory_mb()}}}}
                     .dump();
  heartbeats_.Start(std::move(request), [](const HttpClientAnswer&) {});
  time_.After(kHeartbeatInterval,
              [this, number]() -> void { SendHeartbeat(number); });
}

auto PlatformStandIn::MakeWatch() -> jobs::WorkerObserver {
  jobs::WorkerObserver hooks;
  hooks.on_start = [this](const std::string& worker, const jobs::TaskName& task,
                          uint64_t run) -> void {
    ++starts_;
    if (hooks_.on_start) {
      hooks_.on_start(worker, task, run);
    }
    const std::string name = DescribeTask(task);
    for (const auto& other : workers_) {
      if (other.model->name() != worker && other.model->Runs(name)) {
        AddProblem(absl::StrCat(name, " runs in two places: ",
                                other.model->name(), " and ", worker));
      }
    }
    if (done_.contains(name)) {
      AddProblem(name + " starts after its end");
    }
  };
  hooks.on_end = [this](const jobs::TaskName& task, jobs::RunEnd end,
                        bool noted) -> void {
    if (end == jobs::RUN_DONE && noted) {
      done_.insert(DescribeTask(task));
    }
  };
  hooks.on_done = [this](const jobs::TaskName&) -> void { ++ends_; };
  hooks.work = [this](const jobs::TaskName& task) {
    return hooks_.work ? hooks_.work(task) : kDefaultWorkTime;
  };
  hooks.fails = [this](const jobs::TaskName& task) {
    return hooks_.fails && hooks_.fails(task);
  };
  return hooks;
}

auto PlatformStandIn::AddProblem(const std::string& problem) -> void {
  problems_.push_back(problem);
  if (hooks_.on_problem) {
    hooks_.on_problem(problem);
  }
}

auto PlatformStandIn::MakeServer(
    std::function<auto(const HttpServerRequest&, const HttpResponder&)->void>
        handle) -> std::unique_ptr<HttpServer> {
  HttpServerOptions options;
  options.threads = 1;
  options.handler = std::move(handle);
  auto server = std::make_unique<HttpServer>(std::move(options));
  const auto status = server->Start();
  if (!status.ok()) {
    problems_.emplace_back(status.message());
  }
  return server;
}

auto PlatformStandIn::HandleLog(const HttpServerRequest& request,
                                const HttpResponder& respond) -> void {
  const std::lock_guard lock(mutex_);
  if (garbage_) {
    respond(MakeGarbageAnswer());
    return;
  }
  if (absl::EndsWith(request.path, "log-append")) {
    jobs::AppendCall call;
    call.producer = QueryText(request, "Producer");
    call.epoch = QueryNumber(request, "epoch");
    call.sequence = QueryNumber(request, "Sequence");
    call.records = ParseRecords(request.body);
    for (auto& record : call.records) {
      absl::StrReplaceAll(translated_endpoints_, &record.value);
    }
    call.timeout = std::chrono::seconds(30);
    log_port_.append(
        call, [respond](TimePoint, const jobs::AppendResult& result) -> void {
          respond(AppendAnswer(result));
        });
  } else if (absl::EndsWith(request.path, "log-read")) {
    const std::chrono::milliseconds wait(QueryNumber(request, "WaitMs"));
    const std::size_t max_bytes = QueryNumber(request, "MaxKb") << 10;
    log_port_.read(
        {TopicOf(request), QueryNumber(request, "From"), wait, max_bytes},
        [respond](TimePoint, const jobs::ReadResult& result) -> void {
          respond(ReadAnswer(result));
        });
  } else {
    log_port_.newest(
        {TopicOf(request), QueryText(request, "After")},
        [respond](TimePoint, const jobs::NewestResult& result) -> void {
          respond(NewestAnswer(result));
        });
  }
}

auto PlatformStandIn::HandleWorker(int number,
                                   const HttpServerRequest& request,
                                   const HttpResponder& respond) -> void {
  const std::lock_guard lock(mutex_);
  if (garbage_) {
    respond(MakeGarbageAnswer());
    return;
  }
  const Json body = Json::parse(request.body, nullptr, false);
  const auto id = request.headers.find("expected-instance");
  const std::string worker_id = id == request.headers.end() ? "" : id->second;
  auto port = workers_.at(number).model->PortFor([] { return true; });
  if (absl::EndsWith(request.path, "/hold")) {
    jobs::ListCall call;
    call.fence = body.value("FencingToken", uint64_t{0});
    call.forget_through = body.value("LastSeen", uint64_t{0});
    call.deadline = jobs::WorkerTime(body.value("DeadlineMs", int64_t{0}));
    call.wait = std::chrono::milliseconds(body.value("WaitMs", int64_t{0}));
    call.worker_id = worker_id;
    port.list(call,
              [respond](TimePoint, const jobs::WorkerListing& listing) -> void {
                respond(ListingAnswer(listing));
              });
    return;
  }
  const auto task = platform::ParseTaskName(body.value("Task", ""));
  if (!task.ok()) {
    respond(JsonAnswer(400, Json::object()));
    return;
  }
  const auto answer = [respond](TimePoint,
                                jobs::WorkerCallResult result) -> void {
    respond(OrderAnswer(result.outcome));
  };
  const auto run = body.value("Run", uint64_t{0});
  const auto fence = body.value("FencingToken", uint64_t{0});
  if (absl::EndsWith(request.path, "/run-start")) {
    jobs::StartCall call;
    call.task = *task;
    call.run = run;
    call.fence = fence;
    call.deadline = jobs::WorkerTime(body.value("DeadlineMs", int64_t{0}));
    call.worker_id = worker_id;
    port.start(call, answer);
  } else {
    port.stop({*task, run, fence, worker_id}, answer);
  }
}

}  // namespace rhubarbhaven::test

#include "review/stand_ins_3/executor.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "Tests/Support/free_port.h"

namespace rhubarbhaven::review {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds kTick{5};
constexpr Milliseconds kCheckpointInterval{500};
// The platform's `MaxHoldMs`.
constexpr int64_t kMaxHoldMs = 10000;
constexpr std::size_t kMaxListedEnds = 500;
constexpr int kAll = 100;

auto Answer(unsigned status, const Json& body) -> HttpServerAnswer {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

}  // namespace

Executor::Executor(ExecutorOptions options)
    : options_(std::move(options)), born_(Clock::now()) {
  HttpServerOptions server;
  server.threads = 1;
  server.handler = [this](const HttpServerRequest& request,
                          const HttpResponder& respond) -> void {
    Handle(request, respond);
  };
  server_ = std::make_unique<HttpServer>(std::move(server));
  static_cast<void>(server_->Start());
  port_ = test::FreePort();
  proxy_ = std::make_unique<test::FaultProxy>(port_, server_->port());
  thread_ = std::thread([this]() -> void {
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        if (stop_) {
          return;
        }
        Tick();
      }
      std::this_thread::sleep_for(kTick);
    }
  });
}

Executor::~Executor() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
    for (auto& waiting : waiting_) {
      waiting.respond(Listing());
    }
    waiting_.clear();
  }
  thread_.join();
  proxy_.reset();
  server_.reset();
}

auto Executor::address() const -> std::string {
  return absl::StrCat("127.0.0.1:", port_);
}

auto Executor::Id() const -> std::string {
  return absl::StrCat(options_.id, "-", life_);
}

auto Executor::ClockMs() const -> int64_t {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - born_)
             .count() +
         1;
}

auto Executor::FreeCpu() const -> int64_t {
  int64_t left = options_.cpu;
  for (const auto& [task, run] : runs_) {
    left -= run.plan.cpu;
  }
  return left;
}

auto Executor::FreeMemory() const -> int64_t {
  int64_t left = options_.memory_mb;
  for (const auto& [task, run] : runs_) {
    left -= run.plan.memory_mb;
  }
  return left;
}

auto Executor::free_cpu() -> int64_t {
  const std::lock_guard lock(mutex_);
  return FreeCpu();
}

auto Executor::Handle(const HttpServerRequest& request,
                      const HttpResponder& respond) -> void {
  const std::lock_guard lock(mutex_);
  const auto expected = request.headers.find("expected-instance");
  if (expected != request.headers.end() && expected->second != Id()) {
    respond(Answer(421, {{"ClockMs", ClockMs()}}));
    return;
  }
  try {
    if (absl::EndsWith(request.path, "/run-start")) {
      respond(Start(request.body));
    } else if (absl::EndsWith(request.path, "/run-stop")) {
      respond(Stop(request.body));
    } else if (absl::EndsWith(request.path, "/hold")) {
      Hold(request.body, respond);
    } else if (absl::EndsWith(request.path, "/pace")) {
      respond(Answer(200, {{"ClockMs", ClockMs()}}));
    } else {
      respond(Answer(404, Json::object()));
    }
  } catch (const Json::exception&) {
    respond(Answer(400, {{"ClockMs", ClockMs()}}));
  }
}

auto Executor::Start(const std::string& body) -> HttpServerAnswer {
  const Json call = Json::parse(body);
  const auto task = call.at("Task").get<std::string>();
  const auto number = call.at("Run").get<uint64_t>();
  const auto deadline = call.at("DeadlineMs").get<int64_t>();
  const uint64_t fence = call.value("FencingToken", uint64_t{0});
  const auto refuse = [this](const char* reason) -> HttpServerAnswer {
    return Answer(409, {{"ClockMs", ClockMs()}, {"Reason", reason}});
  };
  if (fence < fence_) {
    return refuse("fence");
  }
  fence_ = fence;
  if (ClockMs() >= deadline) {
    return refuse("late");
  }
  ExtendLease(deadline);
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.number == number) {
    return Answer(200, {{"ClockMs", ClockMs()}});
  }
  const auto over = over_.find(task);
  if ((over != over_.end() && number <= over->second) ||
      (known != runs_.end() && number < known->second.number)) {
    return refuse("old");
  }
  Run run;
  run.number = number;
  run.plan = options_.plan(task);
  if (options_.guards &&
      (run.plan.cpu > FreeCpu() || run.plan.memory_mb > FreeMemory())) {
    return refuse("room");
  }
  run.started = Clock::now();
  int64_t saved = 0;
  if (absl::SimpleAtoi(call.value("Checkpoint", std::string()), &saved)) {
    run.saved = Milliseconds(saved);
  }
  runs_[task] = run;
  options_.on_event(Id(), "start", task, number);
  return Answer(200, {{"ClockMs", ClockMs()}});
}

auto Executor::Stop(const std::string& body) -> HttpServerAnswer {
  const Json call = Json::parse(body);
  const auto task = call.at("Task").get<std::string>();
  const auto number = call.at("Run").get<uint64_t>();
  const uint64_t fence = call.value("FencingToken", uint64_t{0});
  if (fence < fence_) {
    return Answer(409, {{"ClockMs", ClockMs()}, {"Reason", "fence"}});
  }
  fence_ = fence;
  over_[task] = std::max(over_[task], number);
  const auto run = runs_.find(task);
  if (run != runs_.end() && run->second.number <= number) {
    run->second.stop_at =
        std::min(run->second.stop_at, Clock::now() + options_.stop_time);
  }
  return Answer(200, {{"ClockMs", ClockMs()}});
}

auto Executor::Hold(const std::string& body, const HttpResponder& respond)
    -> void {
  const Json call = Json::parse(body);
  const uint64_t fence = call.value("FencingToken", uint64_t{0});
  if (fence < fence_) {
    respond(Answer(409, {{"ClockMs", ClockMs()}, {"Reason", "fence"}}));
    return;
  }
  fence_ = fence;
  const uint64_t last_seen = call.value("LastSeen", uint64_t{0});
  while (!ends_.empty() && ends_.front().number <= last_seen) {
    ends_.pop_front();
  }
  ExtendLease(call.value("DeadlineMs", int64_t{0}));
  const Milliseconds wait(call.value("WaitMs", int64_t{0}));
  if (ends_.empty() && wait.count() > 0) {
    waiting_.push_back({Clock::now() + wait, respond});
    return;
  }
  respond(Listing());
}

auto Executor::WorkDone(const Run& run, TimePoint now) const -> Milliseconds {
  const auto worked =
      std::chrono::duration_cast<Milliseconds>(now - run.started);
  return std::min(run.plan.work, run.saved + worked);
}

auto Executor::Saved(const Run& run, TimePoint now) const -> std::string {
  if (!run.plan.checkpointing) {
    return "";
  }
  const auto done = WorkDone(run, now);
  return absl::StrCat((done - done % kCheckpointInterval).count());
}

auto Executor::Listing() -> HttpServerAnswer {
  const TimePoint now = Clock::now();
  Json running = Json::array();
  for (const auto& [task, run] : runs_) {
    const auto percent =
        run.plan.work.count() == 0
            ? int64_t{kAll}
            : kAll * WorkDone(run, now).count() / run.plan.work.count();
    running.push_back(
        {task, run.number, Saved(run, now), percent, run.plan.cpu});
  }
  Json ended = Json::array();
  for (const auto& end : ends_) {
    if (ended.size() == kMaxListedEnds) {
      break;
    }
    ended.push_back({end.number, end.task, end.run, end.how, end.saved});
  }
  return Answer(200, {{"ClockMs", ClockMs()},
                      {"Running", std::move(running)},
                      {"Ended", std::move(ended)}});
}

auto Executor::ExtendLease(int64_t deadline_ms) -> void {
  lease_until_ms_ =
      std::max(lease_until_ms_, std::min(deadline_ms, ClockMs() + kMaxHoldMs));
}

auto Executor::EndRun(const std::string& task,
                      const std::string& how,
                      TimePoint now) -> void {
  const auto run = runs_.find(task);
  const uint64_t number = run->second.number;
  ends_.push_back({++last_end_, task, number, how, Saved(run->second, now)});
  over_[task] = std::max(over_[task], number);
  runs_.erase(run);
  options_.on_event(Id(), how, task, number);
}

auto Executor::EndRuns(TimePoint now) -> void {
  std::vector<std::pair<std::string, std::string>> ending;
  for (const auto& [task, run] : runs_) {
    if (ClockMs() > lease_until_ms_) {
      ending.emplace_back(task, "lapsed");
    } else if (run.stop_at <= now) {
      ending.emplace_back(task, "stopped");
    } else if (run.plan.fails_after.count() > 0 &&
               now >= run.started + run.plan.fails_after) {
      ending.emplace_back(task, "failed");
    } else if (run.stop_at == TimePoint::max() && !run.plan.lasts &&
               WorkDone(run, now) >= run.plan.work) {
      ending.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : ending) {
    EndRun(task, how, now);
  }
}

auto Executor::Crash(TimePoint now) -> void {
  proxy_->SetPartitioned(true);
  proxy_->ResetOpenConnections();
  for (const auto& [task, run] : std::exchange(runs_, {})) {
    options_.on_event(Id(), "crashed", task, run.number);
  }
  // Nobody receives these answers.
  for (auto& hold : std::exchange(waiting_, {})) {
    hold.respond(Answer(503, Json::object()));
  }
  ++life_;
  fence_ = 0;
  lease_until_ms_ = 0;
  last_end_ = 0;
  sequence_ = 0;
  over_.clear();
  ends_.clear();
  back_at_ = now + options_.down;
}

auto Executor::Tick() -> void {
  const TimePoint now = Clock::now();
  if (back_at_ && now < *back_at_) {
    return;
  }
  if (back_at_) {
    back_at_.reset();
    born_ = now;
    next_heartbeat_ = now;
    proxy_->SetPartitioned(false);
  }
  for (const auto& [task, run] : runs_) {
    const auto after = run.plan.crashes_after;
    if (after.count() > 0 && now >= run.started + after) {
      Crash(now);
      return;
    }
  }
  EndRuns(now);
  std::vector<Waiting> waiting;
  for (auto& hold : std::exchange(waiting_, {})) {
    if (!ends_.empty() || hold.until <= now) {
      hold.respond(Listing());
    } else {
      waiting.push_back(std::move(hold));
    }
  }
  waiting_ = std::move(waiting);
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + options_.heartbeat;
    SendHeartbeat();
  }
}

auto Executor::SendHeartbeat() -> void {
  HttpClientRequest request;
  request.method = "POST";
  request.url = absl::StrCat("http://", options_.control_address,
                             "/rhubarbhaven/Instances.Heartbeat/", Id());
  request.body = Json{
      {"Service", options_.service},
      {"Address", address()},
      {"Zone", options_.zone},
      {"Version", "v1"},
      {"Slots", 8},
      {"State", "ready"},
      {"ColdRemainingMs", 0},
      {"Capacity",
       {{"Cpu", options_.cpu}, {"MemMb", options_.memory_mb}, {"Gpu", 0}}},
      {"Labels", {"a", options_.rack}},
      {"ClockMs", ClockMs()},
      {"Sequence",
       ++sequence_}}.dump();
  heartbeats_.Start(std::move(request), [](const HttpClientAnswer&) -> void {});
}

}  // namespace rhubarbhaven::review

#include "workers.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxHoldMs = 10000;
constexpr int64_t kStopMs = 100;
constexpr int64_t kGangTimeoutMs = 3000;
constexpr int64_t kCheckpointMs = 500;
constexpr int64_t kRestoreMs = 600;
constexpr int64_t kFailAfterMs = 10;
constexpr int64_t kHeartbeatMs = 1500;
constexpr std::size_t kMostEnds = 500;
constexpr int kWorkersPerRack = 3;

// The text of a checkpoint: milliseconds of work, then a part of the job's id.
auto CheckpointOf(const std::string& task, int64_t work_ms) -> std::string {
  char text[17];
  std::snprintf(text, sizeof(text), "%08llx%.8s",
                static_cast<unsigned long long>(work_ms),
                task.substr(4, 8).c_str());
  return text;
}

auto WorkOfCheckpoint(const std::string& checkpoint) -> int64_t {
  return checkpoint.empty() ? 0
                            : std::stoll(checkpoint.substr(0, 8), nullptr, 16);
}

auto EndsWith(const std::string& text, const std::string& end) -> bool {
  return text.size() >= end.size() &&
         text.compare(text.size() - end.size(), end.size(), end) == 0;
}

auto StepOf(const std::string& task) -> std::string {
  return task.substr(0, task.rfind('.'));
}

}  // namespace

Workers::Workers(World* world, WorkersOptions options, SpecOf spec_of)
    : world_(world),
      options_(std::move(options)),
      spec_of_(std::move(spec_of)) {
  for (int number = 0; number < options_.count; ++number) {
    auto worker = std::make_unique<Worker>();
    worker->id = "i-" + std::to_string(number) + "-1";
    worker->server = std::make_unique<HttpServer>(
        [this, number](const HttpRequest& request) -> HttpResponse {
          return Handle(number, request);
        });
    workers_.push_back(std::move(worker));
  }
}

Workers::~Workers() {
  stop_ = true;
  if (loop_.joinable()) {
    loop_.join();
  }
  for (auto& beat : beats_) {
    beat.join();
  }
}

auto Workers::port(int worker) const -> int {
  return workers_[worker]->server->port();
}

auto Workers::Begin(const std::vector<std::string>& heartbeat_addresses)
    -> void {
  for (int number = 0; number < options_.count; ++number) {
    workers_[number]->heartbeat_address = heartbeat_addresses[number];
    beats_.emplace_back([this, number]() -> void { Beat(number); });
  }
  loop_ = std::thread([this]() -> void { Loop(); });
}

auto Workers::SetFailing(int worker, bool on) -> void {
  const std::lock_guard lock(world_->mutex);
  workers_[worker]->failing = on;
  world_->Note("worker " + std::to_string(worker) +
               (on ? " fails all that it starts" : " is sound again"));
}

auto Workers::SetTicketsValid(int64_t ms) -> void {
  const std::lock_guard lock(world_->mutex);
  tickets_valid_ms_ = ms;
}

auto Workers::Grant(const std::string& step, const std::string& worker_id)
    -> std::string {
  const std::lock_guard lock(world_->mutex);
  const std::string ticket = step + "@" + worker_id;
  tickets_[ticket] = world_->Now();
  return ticket;
}

auto Workers::Crash(int number, int64_t down_ms) -> void {
  const std::lock_guard lock(world_->mutex);
  Worker& worker = *workers_[number];
  world_->Note("worker " + std::to_string(number) + " crashes, down for " +
               std::to_string(down_ms) + " ms");
  for (const auto& [task, run] : worker.runs) {
    if (run.spec.gang > 0) {
      broken_gangs_.insert({StepOf(task), run.run});
    }
  }
  worker.down = true;
  worker.up_at_ms = world_->Now() + down_ms;
  worker.runs.clear();
  worker.ended.clear();
  worker.over.clear();
  world_->changed.notify_all();
}

auto Workers::starts() -> std::vector<StartNote> {
  const std::lock_guard lock(world_->mutex);
  return starts_;
}

auto Workers::ends() -> std::vector<EndNote> {
  const std::lock_guard lock(world_->mutex);
  return ends_;
}

auto Workers::Runs(const std::string& task) -> bool {
  return PlaceOf(task) >= 0;
}

auto Workers::PlaceOf(const std::string& task) -> int {
  const std::lock_guard lock(world_->mutex);
  for (int number = 0; number < options_.count; ++number) {
    if (workers_[number]->runs.contains(task)) {
      return number;
    }
  }
  return -1;
}

auto Workers::WorkDone(const std::string& task) -> int64_t {
  const std::lock_guard lock(world_->mutex);
  for (const auto& worker : workers_) {
    const auto found = worker->runs.find(task);
    if (found != worker->runs.end()) {
      return WorkOf(found->second);
    }
  }
  return -1;
}

auto Workers::CpuInUse() -> int {
  const std::lock_guard lock(world_->mutex);
  int cpu = 0;
  for (const auto& worker : workers_) {
    for (const auto& [task, run] : worker->runs) {
      cpu += run.spec.fills ? 0 : run.spec.cpu;
    }
  }
  return cpu;
}

auto Workers::UnseenEnds() -> std::pair<std::size_t, std::size_t> {
  const std::lock_guard lock(world_->mutex);
  std::size_t unseen = 0;
  for (const auto& worker : workers_) {
    unseen += worker->ended.size();
  }
  return {unseen, all_ends_};
}

auto Workers::Handle(int number, const HttpRequest& request) -> HttpResponse {
  {
    const std::lock_guard lock(world_->mutex);
    const Worker& worker = *workers_[number];
    if (worker.down) {
      return {0, ""};
    }
    const auto expected = request.headers.find("expected-instance");
    if (expected != request.headers.end() && expected->second != worker.id) {
      return {421, "{}"};
    }
  }
  if (EndsWith(request.path, "/run-start")) {
    return Start(number, request.body);
  }
  if (EndsWith(request.path, "/run-stop")) {
    return Stop(number, request.body);
  }
  if (EndsWith(request.path, "/pace")) {
    return Pace(number, request.body);
  }
  if (EndsWith(request.path, "/hold")) {
    return Hold(number, request);
  }
  return {404, "{}"};
}

auto Workers::ClockOf(const Worker& worker) const -> int64_t {
  return world_->Now() - worker.born_ms + 1000;
}

auto Workers::Extend(Worker& worker, int64_t deadline_ms) -> void {
  worker.deadline_ms = std::max(
      worker.deadline_ms, std::min(deadline_ms, ClockOf(worker) + kMaxHoldMs));
}

auto Workers::Start(int number, const std::string& body) -> HttpResponse {
  const std::lock_guard lock(world_->mutex);
  Worker& worker = *workers_[number];
  const Json call = Json::parse(body, nullptr, false);
  const std::string task = call.value("Task", "");
  const uint64_t run = call.value("Run", uint64_t{0});
  const uint64_t fence = call.value("FencingToken", uint64_t{0});
  const int64_t clock = ClockOf(worker);
  const auto refuse = [clock](const char* reason) -> HttpResponse {
    return {409, Json{{"ClockMs", clock}, {"Reason", reason}}.dump()};
  };
  const auto spec = spec_of_(task);
  if (!spec) {
    world_->Note("start of an unknown task " + task);
    return {400, "{}"};
  }
  if (fence < worker.fence) {
    return refuse("fence");
  }
  worker.fence = fence;
  const int64_t deadline = call.value("DeadlineMs", int64_t{0});
  if (deadline <= clock) {
    return refuse("late");
  }
  Extend(worker, deadline);
  const auto known = worker.runs.find(task);
  if (known != worker.runs.end() && known->second.run == run) {
    return {200, Json{{"ClockMs", clock}}.dump()};
  }
  const auto over = worker.over.find(task);
  if (known != worker.runs.end() ||
      (over != worker.over.end() && run <= over->second)) {
    return refuse("old");
  }
  if (tickets_valid_ms_ > 0) {
    const std::string ticket = call.value("Ticket", "");
    const auto granted = tickets_.find(ticket);
    if (ticket != StepOf(task) + "@" + worker.id || granted == tickets_.end() ||
        world_->Now() - granted->second > tickets_valid_ms_) {
      return refuse("ticket");
    }
  }
  int cpu = spec->fills ? 0 : spec->cpu;
  int mem = spec->mem_mb;
  for (const auto& [other, held] : worker.runs) {
    cpu += held.spec.fills ? 0 : held.spec.cpu;
    mem += held.spec.mem_mb;
  }
  if (cpu > options_.cpu || mem > options_.mem_mb) {
    return refuse("room");
  }
  Run started;
  started.run = run;
  started.spec = *spec;
  started.checkpoint = call.value("Checkpoint", "");
  started.saved = started.checkpoint;
  started.base_ms = WorkOfCheckpoint(started.checkpoint);
  started.started_ms = world_->Now();
  if (spec->gang == 0) {
    started.begun_ms =
        started.started_ms + (started.checkpoint.empty() ? 0 : kRestoreMs);
  }
  starts_.push_back(
      {started.started_ms, number, task, run, started.checkpoint});
  world_->Note("worker " + std::to_string(number) + " starts " + task +
               " run " + std::to_string(run) + " checkpoint \"" +
               started.checkpoint + "\"");
  worker.runs[task] = std::move(started);
  world_->changed.notify_all();
  return {200, Json{{"ClockMs", clock}}.dump()};
}

auto Workers::Stop(int number, const std::string& body) -> HttpResponse {
  const std::lock_guard lock(world_->mutex);
  Worker& worker = *workers_[number];
  const Json call = Json::parse(body, nullptr, false);
  const std::string task = call.value("Task", "");
  const uint64_t run = call.value("Run", uint64_t{0});
  const uint64_t fence = call.value("FencingToken", uint64_t{0});
  const Json answer = {{"ClockMs", ClockOf(worker)}};
  if (fence < worker.fence) {
    return {409,
            Json{{"ClockMs", ClockOf(worker)}, {"Reason", "fence"}}.dump()};
  }
  worker.fence = fence;
  const auto known = worker.runs.find(task);
  if (known != worker.runs.end() && known->second.run <= run) {
    if (known->second.stop_at_ms < 0) {
      known->second.stop_at_ms = world_->Now() + kStopMs;
      world_->Note("worker " + std::to_string(number) + " is told to stop " +
                   task + " run " + std::to_string(run));
    }
  } else {
    auto& over = worker.over[task];
    over = std::max(over, run);
  }
  return {200, answer.dump()};
}

auto Workers::Pace(int number, const std::string& body) -> HttpResponse {
  const std::lock_guard lock(world_->mutex);
  Worker& worker = *workers_[number];
  const Json call = Json::parse(body, nullptr, false);
  const auto known = worker.runs.find(call.value("Task", ""));
  if (known != worker.runs.end() && known->second.begun_ms >= 0) {
    Run& run = known->second;
    run.base_ms = WorkOf(run);
    run.begun_ms = std::max(run.begun_ms, world_->Now());
    run.percent = call.value("Percent", 100);
  }
  return {200, Json{{"ClockMs", ClockOf(worker)}}.dump()};
}

auto Workers::Hold(int number, const HttpRequest& request) -> HttpResponse {
  std::unique_lock lock(world_->mutex);
  Worker& worker = *workers_[number];
  const Json call = Json::parse(request.body, nullptr, false);
  const uint64_t fence = call.value("FencingToken", uint64_t{0});
  if (fence < worker.fence) {
    return {409,
            Json{{"ClockMs", ClockOf(worker)}, {"Reason", "fence"}}.dump()};
  }
  worker.fence = fence;
  worker.last_seen =
      std::max(worker.last_seen, call.value("LastSeen", uint64_t{0}));
  while (!worker.ended.empty() &&
         worker.ended.front().number <= worker.last_seen) {
    worker.ended.pop_front();
  }
  if (call.contains("DeadlineMs")) {
    Extend(worker, call.value("DeadlineMs", int64_t{0}));
  }
  const int incarnation = worker.incarnation;
  world_->changed.wait_for(
      lock, milliseconds(call.value("WaitMs", int64_t{0})), [&]() -> bool {
        return worker.down || worker.incarnation != incarnation ||
               !worker.ended.empty();
      });
  if (worker.down || worker.incarnation != incarnation) {
    return {0, ""};
  }
  Json running = Json::array();
  for (const auto& [task, run] : worker.runs) {
    const int64_t done = WorkOf(run);
    const int64_t percent = std::min<int64_t>(
        99, 100 * done / std::max<int64_t>(1, run.spec.work_ms));
    running.push_back({task, run.run, run.saved, percent,
                       run.begun_ms < 0 ? 0 : run.spec.cpu});
  }
  Json ended = Json::array();
  for (const auto& end : worker.ended) {
    if (ended.size() >= kMostEnds) {
      break;
    }
    ended.push_back({end.number, end.task, end.run, end.how, end.saved});
  }
  return {
      200,
      Json{{"ClockMs", ClockOf(worker)}, {"Running", running}, {"Ended", ended}}
          .dump()};
}

auto Workers::WorkOf(const Run& run) const -> int64_t {
  const int64_t worked =
      run.begun_ms < 0 ? 0 : std::max<int64_t>(0, world_->Now() - run.begun_ms);
  return run.base_ms + worked * run.percent / 100;
}

auto Workers::EndRun(int number,
                     const std::string& task,
                     const std::string& how) -> void {
  Worker& worker = *workers_[number];
  const auto found = worker.runs.find(task);
  Run& run = found->second;
  if (how == "stopped" && run.spec.checkpointing && WorkOf(run) > 0) {
    run.saved = CheckpointOf(task, WorkOf(run));
  }
  if (run.spec.gang > 0 && how != "done") {
    broken_gangs_.insert({StepOf(task), run.run});
  }
  auto& over = worker.over[task];
  over = std::max(over, run.run);
  worker.ended.push_back({worker.next_end++, task, run.run, how, run.saved});
  ++all_ends_;
  ends_.push_back({world_->Now(), number, task, run.run, how});
  world_->Note("worker " + std::to_string(number) + " ends " + task + " run " +
               std::to_string(run.run) + " " + how + " saved \"" + run.saved +
               "\"");
  worker.runs.erase(found);
  world_->changed.notify_all();
}

auto Workers::Loop() -> void {
  while (!stop_) {
    std::this_thread::sleep_for(milliseconds(5));
    const std::lock_guard lock(world_->mutex);
    Step();
  }
}

auto Workers::Step() -> void {
  const int64_t now = world_->Now();
  for (int number = 0; number < options_.count; ++number) {
    Worker& worker = *workers_[number];
    if (worker.down) {
      if (now >= worker.up_at_ms) {
        worker.down = false;
        ++worker.incarnation;
        worker.id = "i-" + std::to_string(number) + "-" +
                    std::to_string(worker.incarnation);
        worker.born_ms = now;
        worker.deadline_ms = 0;
        worker.fence = 0;
        worker.next_end = 1;
        worker.last_seen = 0;
        worker.sequence = 0;
        worker.beat_at_ms = now;
        world_->Note("worker " + std::to_string(number) + " is back as " +
                     worker.id);
      }
      continue;
    }
    const bool lapsed = ClockOf(worker) > worker.deadline_ms;
    std::vector<std::pair<std::string, std::string>> over;
    for (auto& [task, run] : worker.runs) {
      const int64_t done = WorkOf(run);
      if (run.spec.checkpointing && run.begun_ms >= 0 &&
          done / kCheckpointMs > WorkOfCheckpoint(run.saved) / kCheckpointMs) {
        run.saved = CheckpointOf(task, done / kCheckpointMs * kCheckpointMs);
      }
      if (lapsed) {
        over.emplace_back(task, "lapsed");
      } else if (run.stop_at_ms >= 0 && now >= run.stop_at_ms) {
        over.emplace_back(task, "stopped");
      } else if (worker.failing && now >= run.started_ms + kFailAfterMs) {
        over.emplace_back(task, "failed");
      } else if (run.begun_ms >= 0 && run.spec.work_ms > 0 &&
                 done >= run.spec.work_ms) {
        over.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : over) {
      EndRun(number, task, how);
    }
  }
  StepGangs();
}

auto Workers::StepGangs() -> void {
  const int64_t now = world_->Now();
  // Members that are present, by gang and by the checkpoint that they carry.
  std::map<std::pair<GangKey, std::string>, std::vector<Run*>> present;
  std::vector<std::tuple<int, std::string, std::string>> over;
  for (int number = 0; number < options_.count; ++number) {
    for (auto& [task, run] : workers_[number]->runs) {
      if (run.spec.gang == 0) {
        continue;
      }
      const GangKey key{StepOf(task), run.run};
      const bool broken = broken_gangs_.contains(key);
      if (broken && !workers_[number]->failing) {
        over.emplace_back(number, task, "broken");
      } else if (run.begun_ms < 0 && now - run.started_ms >= kGangTimeoutMs) {
        over.emplace_back(number, task, "alone");
      } else {
        present[{key, run.checkpoint}].push_back(&run);
      }
    }
  }
  for (const auto& [key, members] : present) {
    if (static_cast<int>(members.size()) < members.front()->spec.gang ||
        members.front()->begun_ms >= 0) {
      continue;
    }
    world_->Note("gang " + key.first.first + " run " +
                 std::to_string(key.first.second) + " is complete");
    for (Run* member : members) {
      member->begun_ms = now + (member->checkpoint.empty() ? 0 : kRestoreMs);
    }
  }
  for (const auto& [number, task, how] : over) {
    EndRun(number, task, how);
  }
}

auto Workers::Beat(int number) -> void {
  while (!stop_) {
    std::string url;
    Json body;
    {
      const std::lock_guard lock(world_->mutex);
      Worker& worker = *workers_[number];
      if (!worker.down && world_->Now() >= worker.beat_at_ms) {
        worker.beat_at_ms = world_->Now() + kHeartbeatMs;
        url = "http://" + worker.heartbeat_address +
              "/rhubarbhaven/Instances.Heartbeat/" + worker.id;
        Json labels = {"a", "r1-" + std::to_string(number / kWorkersPerRack)};
        const auto kind = options_.kinds.find(number);
        if (kind != options_.kinds.end()) {
          labels[0] = kind->second;
        }
        body = {
            {"Service", "brume"},
            {"Address", "127.0.0.1:" + std::to_string(port(number))},
            {"Zone", "hall-" + std::to_string(number % 3)},
            {"Version", "v1"},
            {"Slots", 8},
            {"State", "ready"},
            {"ColdRemainingMs", 0},
            {"Capacity",
             {{"Cpu", options_.cpu}, {"MemMb", options_.mem_mb}, {"Gpu", 0}}},
            {"Labels", labels},
            {"ClockMs", ClockOf(worker)},
            {"Sequence", ++worker.sequence}};
      }
    }
    if (!url.empty() &&
        HttpCall("POST", url, body.dump(), {}, 1000).status != 200) {
      const std::lock_guard lock(world_->mutex);
      workers_[number]->beat_at_ms = world_->Now() + 200;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
}

}  // namespace review

#include "stand_ins/executors.h"

#include <absl/strings/match.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kTick{5};
constexpr std::size_t kMostEnds = 500;
constexpr int kHeartbeatTimeoutMs = 1000;
// The steady clocks of executors differ.
constexpr int64_t kClockApart = 100000;

auto Ok(int64_t clock) -> HttpAnswer {
  return {200, Json{{"ClockMs", clock}}.dump()};
}

auto Refuse(int64_t clock, const std::string& reason) -> HttpAnswer {
  return {409, Json{{"ClockMs", clock}, {"Reason", reason}}.dump()};
}

auto UnixMs() -> int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto Encode(int64_t progress, const std::string& job) -> std::string {
  return absl::StrFormat("%08x%s", progress, job.substr(8));
}

auto Progress(const std::string& checkpoint) -> int64_t {
  return checkpoint.empty() ? 0
                            : std::stoll(checkpoint.substr(0, 8), nullptr, 16);
}

// The task without its index: ID.K.STEP.
auto StepOf(const std::string& task) -> std::string {
  return task.substr(0, task.rfind('.'));
}

}  // namespace

Executors::Executors(ExecutorOptions options, Record* record)
    : options_(std::move(options)), record_(record) {}

Executors::~Executors() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (auto* thread : {&ticker_, &heartbeats_}) {
    if (thread->joinable()) {
      thread->join();
    }
  }
  for (auto& executor : executors_) {
    executor->server.reset();
  }
}

auto Executors::Add(int control_port) -> int {
  auto executor = std::make_unique<Executor>();
  executor->number = static_cast<int>(executors_.size());
  executor->control_port = control_port;
  executor->id = absl::StrFormat("i-%02x00life", executor->number);
  executor->clock_begins = -kClockApart * (executor->number + 1);
  executor->port = FreePort();
  executors_.push_back(std::move(executor));
  return executors_.back()->number;
}

auto Executors::Join(int executor) -> void {
  const std::lock_guard lock(mutex_);
  Executor& joining = *executors_.at(executor);
  joining.born_unix_ms = UnixMs();
  joining.up = true;
  joining.joined = true;
  Serve(&joining);
}

auto Executors::id(int executor) -> std::string {
  const std::lock_guard lock(mutex_);
  return executors_.at(executor)->id;
}

auto Executors::RequireTickets(CheckTicket check) -> void {
  const std::lock_guard lock(mutex_);
  check_ticket_ = std::move(check);
}

auto Executors::ComeBack(Executor* executor) -> void {
  ++executor->life;
  if (executor->restart == Restart::kNewId) {
    executor->id =
        absl::StrFormat("i-%02x%02xlife", executor->number, executor->life);
  }
  executor->sequence = 0;
  executor->next_heartbeat = NowMs();
  executor->clock_begins = NowMs();
  executor->born_unix_ms = UnixMs();
  Serve(executor);
  executor->up = true;
  record_->Write(absl::StrFormat("executor %d is back as %s", executor->number,
                                 executor->id));
}

auto Executors::Serve(Executor* executor) -> void {
  executor->server = std::make_unique<HttpServer>(
      executor->port, [this, executor](const HttpRequest& request) {
        return Handle(executor, request);
      });
}

auto Executors::address(int executor) const -> std::string {
  return "127.0.0.1:" + std::to_string(executors_.at(executor)->port);
}

auto Executors::executors() const -> int {
  return static_cast<int>(executors_.size());
}

auto Executors::Begin() -> void {
  ticker_ = std::thread([this]() -> void { Tick(); });
  heartbeats_ = std::thread([this]() -> void { SendHeartbeats(); });
}

auto Executors::AddJob(const std::string& id, const Json& body, Work work)
    -> void {
  const std::lock_guard lock(mutex_);
  jobs_[id] = {body, work};
}

auto Executors::Crash(int executor, int64_t down_ms, Restart restart) -> void {
  Executor& crashed = *executors_.at(executor);
  std::unique_ptr<HttpServer> server;
  {
    const std::lock_guard lock(mutex_);
    record_->Write(absl::StrFormat("executor %d (%s) crashes with %d runs",
                                   executor, crashed.id, crashed.runs.size()));
    crashed.up = false;
    std::vector<std::string> gangs;
    for (const auto& [task, run] : crashed.runs) {
      gangs.push_back(run.gang);
      ++ends_[run.job + " crashed"];
    }
    crashed.runs.clear();
    crashed.ends.clear();
    crashed.over.clear();
    crashed.fence = 0;
    crashed.last_end = 0;
    crashed.lease_until = 0;
    crashed.comes_back_at = NowMs() + down_ms;
    crashed.restart = restart;
    server = std::move(crashed.server);
    for (const auto& gang : gangs) {
      BreakGang(gang);
    }
  }
  changed_.notify_all();
  server.reset();
}

auto Executors::Running() -> std::vector<StartedRun> {
  const std::lock_guard lock(mutex_);
  std::vector<StartedRun> running;
  for (const auto& executor : executors_) {
    for (const auto& [task, run] : executor->runs) {
      running.push_back({executor->number, task, run.job, run.run});
    }
  }
  return running;
}

auto Executors::starts(const std::string& job) -> int {
  const std::lock_guard lock(mutex_);
  return starts_[job];
}

auto Executors::ends(const std::string& job, const std::string& how) -> int {
  const std::lock_guard lock(mutex_);
  return ends_[job + " " + how];
}

auto Executors::Clock(const Executor& executor) -> int64_t {
  return NowMs() - executor.clock_begins;
}

auto Executors::Handle(Executor* executor, const HttpRequest& request)
    -> HttpAnswer {
  std::unique_lock lock(mutex_);
  if (!executor->up || stopping_) {
    return {};
  }
  const Json call = Json::parse(request.body, nullptr, false);
  if (!call.is_object()) {
    return {400, "{}"};
  }
  if (!request.expected_instance.empty() &&
      request.expected_instance != executor->id) {
    return {421, Json{{"ClockMs", Clock(*executor)}}.dump()};
  }
  const uint64_t fence = call.value("FencingToken", uint64_t{0});
  if (fence < executor->fence) {
    return Refuse(Clock(*executor), "fence");
  }
  executor->fence = fence;
  if (absl::EndsWith(request.path, "/run-start")) {
    return Start(executor, call);
  }
  if (absl::EndsWith(request.path, "/run-stop")) {
    return Stop(executor, call);
  }
  if (absl::EndsWith(request.path, "/hold")) {
    return List(&lock, executor, call);
  }
  return absl::EndsWith(request.path, "/pace") ? Ok(Clock(*executor))
                                               : HttpAnswer{400, "{}"};
}

auto Executors::Extend(Executor* executor, const Json& call) -> void {
  const int64_t deadline = call.value("DeadlineMs", int64_t{0});
  executor->lease_until =
      std::max(executor->lease_until,
               std::min(deadline, Clock(*executor) + options_.max_hold_ms));
}

auto Executors::Start(Executor* executor, const Json& call) -> HttpAnswer {
  const int64_t clock = Clock(*executor);
  const std::string task = call.value("Task", "");
  const uint64_t number = call.value("Run", uint64_t{0});
  const std::vector<std::string> parts = absl::StrSplit(task, '.');
  if (parts.size() != 4) {
    return {400, "{}"};
  }
  if (call.value("DeadlineMs", int64_t{0}) <= clock) {
    return Refuse(clock, "late");
  }
  Extend(executor, call);
  const auto known = executor->runs.find(task);
  if (known != executor->runs.end() && known->second.run == number) {
    return Ok(clock);
  }
  const auto over = executor->over.find(task);
  if ((over != executor->over.end() && number <= over->second) ||
      known != executor->runs.end()) {
    return Refuse(clock, "old");
  }
  const auto job = jobs_.find(parts[0]);
  if (job == jobs_.end()) {
    record_->Break("UNASKED: " + task + " is of no job that a client sent");
    return {400, "{}"};
  }
  if (check_ticket_ &&
      !check_ticket_(StepOf(task), executor->id, call.value("Ticket", ""))) {
    record_->Write(absl::StrFormat("executor %d refuses %s run %d: ticket",
                                   executor->number, task, number));
    return Refuse(clock, "ticket");
  }
  Run run;
  run.task = task;
  run.job = parts[0];
  run.run = number;
  run.gang = StepOf(task) + " run " + std::to_string(number);
  run.step = job->second.body.at("Steps").at(std::stoul(parts[2]));
  run.work_ms = job->second.work.work_ms;
  run.checkpoint = call.value("Checkpoint", "");
  run.progress = Progress(run.checkpoint);
  run.began = NowMs();
  run.at_work = run.began + (run.checkpoint.empty() ? 0 : options_.restore_ms);
  int64_t cpu = run.step.value("Cpu", int64_t{0});
  int64_t memory = run.step.value("MemMb", int64_t{0});
  for (const auto& [name, other] : executor->runs) {
    cpu += other.step.value("Cpu", int64_t{0});
    memory += other.step.value("MemMb", int64_t{0});
  }
  const bool fits = cpu <= options_.cpu && memory <= options_.memory_mb;
  if (!fits && options_.guards) {
    record_->Write(absl::StrFormat("executor %d refuses %s run %d: no room",
                                   executor->number, task, number));
    return Refuse(clock, "room");
  }
  record_->Write(absl::StrFormat(
      "executor %d starts %s run %d fence %d checkpoint \"%s\"",
      executor->number, task, number, executor->fence, run.checkpoint));
  if (!fits) {
    record_->Break(absl::StrFormat(
        "LIMIT: the start of %s run %d brings executor %d to %d of %d "
        "thousandths of a core and %d of %d MB",
        task, number, executor->number, cpu, options_.cpu, memory,
        options_.memory_mb));
  }
  CheckStart(*executor, run, call);
  ++starts_[run.job];
  if (run.step.value("Gang", false)) {
    Gang& gang = gangs_[run.gang];
    gang.present.insert(task);
    if (gang.present.size() == run.step.at("Count").get<std::size_t>()) {
      gang.complete_at = NowMs();
      record_->Write("gang " + run.gang + " is complete");
    }
  }
  executor->runs[task] = std::move(run);
  return Ok(clock);
}

auto Executors::CheckStart(const Executor& executor,
                           const Run& run,
                           const Json& call) -> void {
  const std::string what = absl::StrFormat("%s run %d on executor %d", run.task,
                                           run.run, executor.number);
  if (call.value("Spec", "") != jobs_.at(run.job).body.value("Spec", "")) {
    record_->Break("UNASKED: " + what + " has another Spec");
  }
  const bool is_gang = run.step.value("Gang", false);
  const std::string owner = is_gang ? StepOf(run.task) : run.task;
  if (!run.checkpoint.empty() && !produced_[owner].contains(run.checkpoint)) {
    record_->Break("UNASKED: " + what + " carries \"" + run.checkpoint +
                   "\", which the task has never produced");
  }
  if (is_gang) {
    auto& carried = gangs_[run.gang].carried;
    carried[run.task] = run.checkpoint;
    for (const auto& [task, checkpoint] : carried) {
      if (checkpoint != run.checkpoint) {
        record_->Break("UNASKED: " + what + " carries \"" + run.checkpoint +
                       "\", and " + task + " of the same run of the gang \"" +
                       checkpoint + "\"");
        break;
      }
    }
  }
  for (const auto& other : executors_) {
    if (other->up && other->runs.contains(run.task)) {
      record_->Break(absl::StrFormat("TWICE: %s, and it runs on executor %d",
                                     what, other->number));
    }
  }
}

auto Executors::Stop(Executor* executor, const Json& call) -> HttpAnswer {
  const std::string task = call.value("Task", "");
  const uint64_t number = call.value("Run", uint64_t{0});
  auto& over = executor->over[task];
  over = std::max(over, number);
  const auto known = executor->runs.find(task);
  if (known != executor->runs.end() && known->second.run <= number &&
      known->second.stops_at < 0) {
    known->second.stops_at = NowMs() + options_.stop_ms;
    record_->Write(absl::StrFormat("executor %d is told to stop %s run %d",
                                   executor->number, task, number));
  }
  return Ok(Clock(*executor));
}

auto Executors::List(std::unique_lock<std::mutex>* lock,
                     Executor* executor,
                     const Json& call) -> HttpAnswer {
  const uint64_t seen = call.value("LastSeen", uint64_t{0});
  Extend(executor, call);
  while (!executor->ends.empty() && executor->ends.front().number <= seen) {
    executor->ends.pop_front();
  }
  const std::chrono::milliseconds wait(call.value("WaitMs", int64_t{0}));
  const auto is_gone = [this, executor, life = executor->life]() -> bool {
    return stopping_ || !executor->up || executor->life != life;
  };
  changed_.wait_for(*lock, wait, [executor, &is_gone]() -> bool {
    return is_gone() || !executor->ends.empty();
  });
  if (is_gone()) {
    return {};
  }
  Json running = Json::array();
  for (const auto& [task, run] : executor->runs) {
    const int64_t percent =
        run.step.value("LongRunning", false)
            ? (NowMs() >= run.began + options_.startup_ms ? 100 : 0)
            : 100 * run.progress / run.work_ms;
    running.push_back({task, run.run, run.checkpoint, percent,
                       run.step.value("Cpu", int64_t{0})});
  }
  Json ended = Json::array();
  for (const auto& end : executor->ends) {
    if (ended.size() == kMostEnds) {
      break;
    }
    ended.push_back({end.number, end.task, end.run, end.how, end.checkpoint});
  }
  Json lists = {
      {"ClockMs", Clock(*executor)}, {"Running", running}, {"Ended", ended}};
  if (options_.born) {
    lists["born"] = executor->born_unix_ms;
  }
  return {200, lists.dump()};
}

auto Executors::EndRun(Executor* executor,
                       const std::string& task,
                       const std::string& how) -> void {
  const auto found = executor->runs.find(task);
  if (found == executor->runs.end()) {
    // The end of another member has ended it.
    return;
  }
  const Run run = found->second;
  executor->runs.erase(found);
  executor->ends.push_back(
      {++executor->last_end, task, run.run, how, run.checkpoint});
  auto& over = executor->over[task];
  over = std::max(over, run.run);
  ++ends_[run.job + " " + how];
  record_->Write(absl::StrFormat("executor %d ends %s run %d %s saved \"%s\"",
                                 executor->number, task, run.run, how,
                                 run.checkpoint));
  if (how != "done") {
    BreakGang(run.gang);
  }
  changed_.notify_all();
}

auto Executors::BreakGang(const std::string& gang) -> void {
  const auto found = gangs_.find(gang);
  if (found == gangs_.end()) {
    return;
  }
  for (const auto& executor : executors_) {
    std::vector<std::string> members;
    for (const auto& [task, run] : executor->runs) {
      if (run.gang == gang) {
        members.push_back(task);
      }
    }
    for (const auto& task : members) {
      EndRun(executor.get(), task, "broken");
    }
  }
}

auto Executors::Advance(Executor* executor, int64_t passed) -> void {
  std::vector<std::pair<std::string, std::string>> ends;
  const int64_t now = NowMs();
  for (auto& [task, run] : executor->runs) {
    const bool is_gang = run.step.value("Gang", false);
    const int64_t complete_at = is_gang ? gangs_[run.gang].complete_at : now;
    const bool works = now >= run.at_work && complete_at >= 0;
    const bool checkpoints = run.step.value("Checkpointing", false);
    if (works && !run.step.value("LongRunning", false)) {
      run.progress += passed;
      const int64_t at =
          run.progress / options_.checkpoint_ms * options_.checkpoint_ms;
      if (checkpoints && at > Progress(run.checkpoint)) {
        run.checkpoint = Encode(at, run.job);
        produced_[is_gang ? StepOf(task) : task].insert(run.checkpoint);
      }
    }
    if (run.stops_at >= 0 && now >= run.stops_at) {
      if (checkpoints && run.progress > 0) {
        run.checkpoint = Encode(run.progress, run.job);
        produced_[is_gang ? StepOf(task) : task].insert(run.checkpoint);
      }
      ends.emplace_back(task, "stopped");
    } else if (run.progress >= run.work_ms) {
      ends.emplace_back(task, "done");
    } else if (complete_at < 0 && now >= run.began + options_.gang_timeout_ms) {
      ends.emplace_back(task, "alone");
    } else if (Clock(*executor) >= executor->lease_until) {
      ends.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : ends) {
    if (!executor->runs.contains(task)) {
      continue;
    }
    const Run run = executor->runs.at(task);
    EndRun(executor, task, how);
    if (how == "done" && run.step.value("Gang", false)) {
      // Its members end together.
      for (const auto& other : executors_) {
        std::vector<std::string> members;
        for (const auto& [name, member] : other->runs) {
          if (member.gang == run.gang) {
            members.push_back(name);
          }
        }
        for (const auto& member : members) {
          EndRun(other.get(), member, "done");
        }
      }
    }
  }
}

auto Executors::Tick() -> void {
  int64_t last = NowMs();
  while (true) {
    std::this_thread::sleep_for(kTick);
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    const int64_t now = NowMs();
    for (const auto& executor : executors_) {
      if (executor->up) {
        Advance(executor.get(), now - last);
      }
    }
    last = now;
  }
}

auto Executors::SendHeartbeats() -> void {
  while (true) {
    std::this_thread::sleep_for(kTick);
    for (const auto& executor : executors_) {
      std::string url;
      Json body;
      {
        const std::lock_guard lock(mutex_);
        if (stopping_) {
          return;
        }
        const int64_t now = NowMs();
        if (executor->joined && !executor->up &&
            now >= executor->comes_back_at) {
          ComeBack(executor.get());
        }
        if (!executor->up || now < executor->next_heartbeat) {
          continue;
        }
        executor->next_heartbeat = now + options_.heartbeat_ms;
        url = absl::StrFormat(
            "http://127.0.0.1:%d/rhubarbhaven/Instances.Heartbeat/%s",
            executor->control_port, executor->id);
        body = {
            {"Service", options_.service},
            {"Address", address(executor->number)},
            {"Zone", "zone-a"},
            {"Version", "v1"},
            {"Slots", 8},
            {"State", "ready"},
            {"ColdRemainingMs", 0},
            {"Capacity",
             {{"Cpu", options_.cpu},
              {"MemMb", options_.memory_mb},
              {"Gpu", 0}}},
            {"Labels", {"a", absl::StrFormat("r1-%d", executor->number / 3)}},
            {"ClockMs", Clock(*executor)},
            {"Sequence", ++executor->sequence}};
        if (options_.born) {
          body["born"] = executor->born_unix_ms;
        }
      }
      const auto answer =
          Call("POST", url, {{"Content-Type", "application/json"}}, body.dump(),
               kHeartbeatTimeoutMs);
      if (answer.status < 200 || answer.status > 299) {
        // Nobody else takes it; it is sent again soon.
        const std::lock_guard lock(mutex_);
        record_->Write(absl::StrFormat("heartbeat of executor %d answered %d",
                                       executor->number, answer.status));
        executor->next_heartbeat = NowMs() + kHeartbeatTimeoutMs / 2;
      }
    }
  }
}

}  // namespace review

// Case 9: a large configuration on thin links.
//
// large_config PROGRAM FOLDER RECORD TROUBLE
//
// The entries' links carry 2 Mbit/s. The configuration grows by 1,480 routes.
// Ten seconds later, with TROUBLE=1, the processes of all entries are killed
// and started again, and a second after that the operator changes the
// configuration once more, as with TROUBLE=0.
//
// Judged as LOST is written for tasks that last: from 6 s after its last run, a
// task of an accepted job doesn't run for 3 s, with capacity for it twice over
// and under half of the service's capacity in use. Only times count that begin
// later than 4 s after the last disruption. Exits with 1 if that was seen, 0 if
// not, and 2 if the case could not run.

#include <absl/strings/str_cat.h>

#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

#include "review/stand_ins_3/small_deployment.h"
#include "review/stand_ins_3/store.h"

namespace rhubarbhaven::review {
namespace {

using Json = nlohmann::json;

constexpr int kExecutors = 6;
constexpr int kLastingTasks = 6;
constexpr int kTaskCpu = 500;
// 2 Mbit/s.
constexpr std::size_t kBytesPerSecond = 250000;
// `idle_routes` of the site, and its `big_config`.
constexpr int kIdleRoutes = 240;
constexpr int kMoreRoutes = 1480;
constexpr Milliseconds kReadyLimit{15000};
// Traffic starts 14 s after the machines do.
constexpr Milliseconds kLead{14000};
constexpr Milliseconds kGrowAt{3000};
constexpr Milliseconds kKillAt{13000};
constexpr Milliseconds kDown{500};
constexpr Milliseconds kChangeAt{14500};
constexpr Milliseconds kRollGap{2000};
constexpr Milliseconds kRollChange{1000};
constexpr Milliseconds kEnd{60000};
constexpr Milliseconds kPoll{50};
constexpr Milliseconds kCalm{4000};
constexpr Milliseconds kAfterLastRun{6000};
constexpr Milliseconds kNothingRuns{3000};
constexpr Milliseconds kShortInterval{500};
constexpr Milliseconds kShortWork{640};
constexpr Milliseconds kStartup{300};
constexpr char kLastingJob[] = "ffffffffffffffff";

// The planned restart of an entry.
struct Restart {
  bool told = false;
  std::optional<TimePoint> started;
  bool changed = false;
};

struct LastingTask {
  bool runs = false;
  TimePoint ended_at;
  bool reported = false;
};

class Case {
 public:
  Case(const std::string& program,
       const std::string& folder,
       const std::string& record,
       const std::string& trouble)
      : record_(record), trouble_(trouble == "1"), rolls_(trouble == "roll") {
    Configure(kIdleRoutes);
    options_.program = program;
    options_.folder = folder;
    options_.executors = kExecutors;
    options_.store = store_.address();
    options_.entry_bytes_per_second = kBytesPerSecond;
    options_.link_mbps = 2.0;
    options_.executor.plan = [](const std::string& task) -> TaskPlan {
      const bool lasts = task.starts_with(kLastingJob);
      TaskPlan plan{lasts ? kStartup : kShortWork, kTaskCpu, 500};
      plan.lasts = lasts;
      return plan;
    };
    options_.executor.on_event =
        [this](const std::string& executor, const std::string& event,
               const std::string& task,
               uint64_t run) -> void { OnEvent(executor, event, task, run); };
  }

  auto Run() -> int {
    SmallDeployment deployment(options_);
    if (!deployment.WaitReady(kReadyLimit)) {
      record_.Write("the entries were not ready in time");
      return 2;
    }
    std::this_thread::sleep_for(kLead);
    begin_ = Clock::now();
    if (Submit(deployment, 0, kLastingJob) != 200) {
      return 2;
    }
    Play(deployment);
    for (int entry = 0; entry < deployment.entries(); ++entry) {
      std::string state;
      const int status = deployment.Call(entry, "GET", kLastingJob, &state);
      record_.Write(absl::StrCat(
          "entry ", entry, " says of the lasting job: ", status, " ", state));
    }
    if (!deployment.AllRun()) {
      record_.Write("a process of the system has ended");
      return 2;
    }
    record_.Write(absl::StrCat(broken_, " of ", kLastingTasks,
                               " lasting tasks down; of ", calls_after_,
                               " short jobs after the last disruption ",
                               accepted_after_, " were accepted"));
    return broken_ > 0 ? 1 : 0;
  }

 private:
  auto Play(SmallDeployment& deployment) -> void {
    TimePoint next_short = begin_;
    int number = 0;
    bool grown = false;
    bool killed = false;
    bool restarted = !trouble_;
    bool changed = false;
    for (TimePoint now = begin_; now < begin_ + kEnd; now = Clock::now()) {
      if (now >= next_short) {
        next_short += kShortInterval;
        SubmitShort(deployment, ++number);
      }
      if (!grown && now >= begin_ + kGrowAt) {
        grown = true;
        Configure(kIdleRoutes + kMoreRoutes);
      }
      if (trouble_ && !killed && now >= begin_ + kKillAt) {
        killed = true;
        record_.Write("kill all entries");
        for (int entry = 0; entry < deployment.entries(); ++entry) {
          deployment.KillEntry(entry);
        }
      }
      if (killed && !restarted && now >= begin_ + kKillAt + kDown) {
        restarted = true;
        record_.Write("start them again");
        for (int entry = 0; entry < deployment.entries(); ++entry) {
          deployment.RestartEntry(entry);
        }
      }
      if (rolls_ && now >= begin_ + kKillAt) {
        Roll(deployment, now);
      } else if (!changed && now >= begin_ + kChangeAt) {
        changed = true;
        Configure(kIdleRoutes + kMoreRoutes);
      }
      Judge(deployment, now);
      std::this_thread::sleep_for(kPoll);
    }
  }

  // One step of the planned restarts.
  auto Roll(SmallDeployment& deployment, TimePoint now) -> void {
    for (int entry = 0; entry < deployment.entries(); ++entry) {
      Restart& restart = restarts_[entry];
      if (!restart.told && now >= begin_ + kKillAt + entry * kRollGap) {
        restart.told = true;
        record_.Write(absl::StrCat("SIGTERM to entry ", entry));
        deployment.TerminateEntry(entry);
      } else if (restart.told && !restart.started &&
                 deployment.EntryHasEnded(entry)) {
        restart.started = now;
        record_.Write(absl::StrCat("entry ", entry, " starts again"));
        deployment.RestartEntry(entry);
      } else if (restart.started && !restart.changed &&
                 now >= *restart.started + kRollChange) {
        restart.changed = true;
        Configure(kIdleRoutes + kMoreRoutes);
        rolled_at_ = now;
      }
    }
  }

  auto Configure(int idle_routes) -> void {
    Json routes = Json::array();
    routes.push_back(Route("queue", "queue.example", "/jobs/"));
    for (int number = 0; number < idle_routes; ++number) {
      routes.push_back(Route(absl::StrCat("r-", 1000000 + number),
                             "nony24.example",
                             absl::StrCat("/lohu", 1000 + number, "/")));
    }
    const std::string text = Json{
        {"Version", ++version_},
        {"Routes", std::move(routes)},
        {"Services", Json::array({{{"Name", "service"},
                                   {"HealthCheckPath", "/health"},
                                   {"MaxConnections", 64},
                                   {"Protocol", "h1"},
                                   {"Tls", false},
                                   {"ColdStartS", 0.0},
                                   {"ColdPerS", 0.0},
                                   {"RejectsOverload", true},
                                   {"Standby", false}}})},
        {"Limits",
         {{"MaxHeaderBytes", 16384},
          {"MaxBodyBytes", 262144},
          {"HeaderTimeoutMs", 3000},
          {"IdleTimeoutMs",
           15000}}}}.dump();
    store_.PutByOperator("config", text);
    record_.Write(absl::StrCat("configuration ", version_, " of ", text.size(),
                               " bytes"));
  }

  // All fields that `fleetbench wire` shows.
  static auto Route(const std::string& name,
                    const std::string& host,
                    const std::string& prefix) -> Json {
    return {{"Name", name},         {"Host", host},
            {"PathPrefix", prefix}, {"Type", "unsafe"},
            {"TimeoutMs", 3000},    {"TargetLatencyMs", 1000},
            {"Priority", 0},        {"Service", "service"},
            {"MaxAttempts", 4},     {"Stretch", 2.0}};
  }

  auto Submit(SmallDeployment& deployment, int entry, const std::string& id)
      -> int {
    const bool lasts = id == kLastingJob;
    Json step = {{"Count", kLastingTasks},
                 {"Cpu", kTaskCpu},
                 {"MemMb", 500},
                 {"EstimatedMs", 640}};
    if (lasts) {
      step["LongRunning"] = true;
    }
    std::string body =
        Json{{"Spec", "text"}, {"Steps", Json::array({step})}}.dump();
    const int status = deployment.Call(entry, "POST", id, &body);
    record_.Write(absl::StrCat("job ", id, " answered ", status));
    return status;
  }

  auto SubmitShort(SmallDeployment& deployment, int number) -> void {
    const bool after = Clock::now() >= CalmFrom();
    const int status =
        Submit(deployment, number % deployment.entries(),
               absl::StrCat(absl::Hex(number, absl::kZeroPad16)));
    calls_after_ += after ? 1 : 0;
    accepted_after_ += after && status == 200 ? 1 : 0;
  }

  auto OnEvent(const std::string& executor,
               const std::string& event,
               const std::string& task,
               uint64_t run) -> void {
    record_.Write(
        absl::StrCat(event, " ", task, " run ", run, " on ", executor));
    if (!task.starts_with(kLastingJob)) {
      return;
    }
    const std::lock_guard lock(mutex_);
    LastingTask& known = tasks_[task];
    known.runs = event == "start";
    known.ended_at = Clock::now();
  }

  auto CalmFrom() const -> TimePoint {
    return std::max(begin_ + kChangeAt, rolled_at_) + kCalm;
  }

  auto Judge(SmallDeployment& deployment, TimePoint now) -> void {
    int64_t free = 0;
    int64_t capacity = 0;
    for (const auto& executor : deployment.executors()) {
      free += executor->free_cpu();
      capacity += executor->cpu();
    }
    const bool has_room = 2 * (capacity - free) < capacity;
    const std::lock_guard lock(mutex_);
    for (auto& [name, task] : tasks_) {
      const TimePoint from =
          std::max(CalmFrom(), task.ended_at + kAfterLastRun);
      if (!task.runs && has_room && !task.reported &&
          now >= from + kNothingRuns) {
        task.reported = true;
        ++broken_;
        record_.Write(absl::StrCat("LOST ", name, " doesn't run; ",
                                   capacity - free, " of ", capacity,
                                   " millicores are in use"));
      }
    }
  }

  Record record_;
  const bool trouble_;
  const bool rolls_;
  Store store_;
  DeploymentOptions options_;
  TimePoint begin_;
  std::mutex mutex_;
  std::map<std::string, LastingTask> tasks_;
  std::map<int, Restart> restarts_;
  TimePoint rolled_at_;
  int version_ = 0;
  int broken_ = 0;
  int calls_after_ = 0;
  int accepted_after_ = 0;
};

}  // namespace
}  // namespace rhubarbhaven::review

auto main(int argc, char** argv) -> int {
  if (argc != 5) {
    std::fprintf(stderr, "usage: large_config PROGRAM FOLDER RECORD TROUBLE\n");
    return 2;
  }
  rhubarbhaven::review::Case test(argv[1], argv[2], argv[3], argv[4]);
  return test.Run();
}

// Case 9: jobs with long tasks beside short ones, on sound executors.
//
// long_tasks PROGRAM FOLDER RECORD TROUBLE
//
// Short jobs come all the time. After some seconds come wide jobs, which with
// TROUBLE=1 take kLongFactor times as long. Nothing else happens: no process
// ends, no call is late, and every executor works at full speed.
//
// Judged as LOST is written: for 3 s, a job has nothing running while a task's
// turn has come, there is capacity for it twice over, and under half of the
// service's capacity is in use. Only times count of which the 4 s before are
// calm, that is, later than 4 s after the wide job was handed in. Exits with 1
// if that was seen, 0 if not, and 2 if the case could not run.

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <atomic>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "review/stand_ins_3/small_deployment.h"

namespace rhubarbhaven::review {
namespace {

using Json = nlohmann::json;

constexpr int kExecutors = 6;
constexpr Milliseconds kReadyLimit{15000};
// Traffic starts 10 s after the machines do.
constexpr Milliseconds kLead{10000};
constexpr Milliseconds kShortInterval{400};
constexpr Milliseconds kShortWork{640};
constexpr Milliseconds kWideWork{5000};
constexpr int kLongFactor = 60;
constexpr Milliseconds kWideAt{6000};
constexpr Milliseconds kTraffic{40000};
constexpr Milliseconds kSample{20};
constexpr Milliseconds kNothingRuns{3000};
constexpr Milliseconds kCalm{4000};
constexpr int kTaskCpu = 500;

struct JobState {
  int tasks = 0;
  Milliseconds work{0};
  bool accepted = false;
  std::set<std::string> done;
  std::map<std::string, int> running;
  int starts = 0;
  // Since when its turn has come, nothing runs and there is room.
  TimePoint nothing_since;
  bool reported = false;
};

class Case {
 public:
  Case(const std::string& program,
       const std::string& folder,
       const std::string& record,
       bool trouble)
      : record_(record), trouble_(trouble) {
    options_.program = program;
    options_.folder = folder;
    options_.executors = kExecutors;
    options_.executor.plan = [this](const std::string& task) -> TaskPlan {
      const std::lock_guard lock(mutex_);
      return {jobs_[JobOf(task)].work, kTaskCpu, 500, false};
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
    const TimePoint begin = Clock::now();
    TimePoint next_short = begin;
    bool wide_sent = false;
    while (Clock::now() < begin + kTraffic) {
      const TimePoint now = Clock::now();
      if (now >= next_short) {
        next_short += kShortInterval;
        Submit(deployment, 6, kShortWork, 0);
      }
      if (now >= begin + kWideAt && !wide_sent) {
        wide_sent = true;
        const int factor = trouble_ ? kLongFactor : 1;
        record_.Write(absl::StrCat("wide job, its tasks take ",
                                   (kWideWork * factor).count(), " ms"));
        Submit(deployment, kExecutors, kWideWork * factor, 1);
        calm_from_ = Clock::now() + kCalm;
      }
      Judge(deployment);
      std::this_thread::sleep_for(kSample);
    }
    if (!deployment.AllRun()) {
      record_.Write("a process of the system has ended");
      return 2;
    }
    Summarize();
    return broken_ > 0 ? 1 : 0;
  }

 private:
  static auto JobOf(const std::string& task) -> std::string {
    return task.substr(0, task.find('.'));
  }

  auto Submit(SmallDeployment& deployment,
              int tasks,
              Milliseconds work,
              int anti_affinity) -> void {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", ++last_id_);
    Json step = {{"Count", tasks},
                 {"Cpu", kTaskCpu},
                 {"MemMb", 500},
                 {"EstimatedMs", work.count()}};
    if (anti_affinity > 0) {
      step["AntiAffinity"] = anti_affinity;
    }
    {
      const std::lock_guard lock(mutex_);
      jobs_[id].tasks = tasks;
      jobs_[id].work = work;
    }
    std::string body =
        Json{{"Spec", "text"}, {"Steps", Json::array({step})}}.dump();
    const int status =
        deployment.Call(last_id_ % deployment.entries(), "POST", id, &body);
    record_.Write(absl::StrCat("job ", id, " answered ", status));
    const std::lock_guard lock(mutex_);
    jobs_[id].accepted = status == 200;
    jobs_[id].nothing_since = Clock::now();
  }

  auto OnEvent(const std::string& executor,
               const std::string& event,
               const std::string& task,
               uint64_t run) -> void {
    const std::lock_guard lock(mutex_);
    record_.Write(
        absl::StrCat(event, " ", task, " run ", run, " on ", executor));
    JobState& job = jobs_[JobOf(task)];
    if (event == "start") {
      ++job.running[task];
      ++job.starts;
      return;
    }
    if (--job.running[task] == 0) {
      job.running.erase(task);
    }
    if (event == "done") {
      job.done.insert(task);
    }
    job.nothing_since = Clock::now();
  }

  auto Judge(SmallDeployment& deployment) -> void {
    int64_t free = 0;
    int64_t capacity = 0;
    int places = 0;
    for (const auto& executor : deployment.executors()) {
      const int64_t left = executor->free_cpu();
      free += left;
      capacity += executor->cpu();
      places += static_cast<int>(left / kTaskCpu);
    }
    const bool under_half = 2 * (capacity - free) < capacity;
    const TimePoint now = Clock::now();
    const std::lock_guard lock(mutex_);
    for (auto& [id, job] : jobs_) {
      const int open = job.tasks - static_cast<int>(job.done.size());
      const bool waits = calm_from_ <= now && job.accepted && open > 0 &&
                         job.running.empty() && under_half &&
                         places >= 2 * open;
      if (!waits) {
        job.nothing_since = now;
      } else if (now - job.nothing_since >= kNothingRuns && !job.reported) {
        job.reported = true;
        ++broken_;
        record_.Write(absl::StrCat(
            "LOST job ", id, " has nothing running for 3 s; ", capacity - free,
            " of ", capacity, " millicores are in use"));
      }
    }
  }

  auto Summarize() -> void {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, job] : jobs_) {
      if (job.starts > 2 * job.tasks) {
        record_.Write(absl::StrCat("job ", id, ": ", job.tasks, " tasks, ",
                                   job.starts, " starts, ", job.done.size(),
                                   " done"));
      }
    }
    record_.Write(absl::StrCat(broken_, " of ", jobs_.size(),
                               " jobs with nothing running for 3 s"));
  }

  Record record_;
  const bool trouble_;
  DeploymentOptions options_;
  std::mutex mutex_;
  std::map<std::string, JobState> jobs_;
  TimePoint calm_from_ = TimePoint::max();
  int last_id_ = 0;
  int broken_ = 0;
};

}  // namespace
}  // namespace rhubarbhaven::review

auto main(int argc, char** argv) -> int {
  if (argc != 5) {
    std::fprintf(stderr, "usage: long_tasks PROGRAM FOLDER RECORD TROUBLE\n");
    return 2;
  }
  rhubarbhaven::review::Case test(argv[1], argv[2], argv[3],
                                  std::string(argv[4]) != "0");
  return test.Run();
}

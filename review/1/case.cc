// An executor crashes and starts again under the id that it had.

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <thread>

#include "stand_ins/deployment.h"

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int kEntries = 2;
// One of eight executors, 0.125, is less than the share that may crash, 0.14.
constexpr int kExecutors = 8;
constexpr int64_t kDownMs = 2000;
// The span that has to be calm before, and how long a job may have nothing
// running then; for a task that lasts, counted from 6 s after its last run.
constexpr int64_t kCalmMs = 4000;
constexpr int64_t kStandsMs = 3000;
constexpr int64_t kLastingMs = 6000;
constexpr int64_t kTrafficMs = 10000;
constexpr int64_t kFinishMs = 14000;
constexpr int64_t kBatchWorkMs = 6000;
constexpr int64_t kQuickWorkMs = 300;
constexpr std::chrono::milliseconds kStep{50};

auto Sleep(int64_t milliseconds) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

auto OneTask(int64_t cpu, int64_t estimated_ms) -> Json {
  return {{"Spec", "work"},
          {"Steps",
           {{{"Count", 1},
             {"Cpu", cpu},
             {"MemMb", 500},
             {"EstimatedMs", estimated_ms}}}}};
}

auto Lasting() -> Json {
  return {{"Spec", "watch"},
          {"Steps",
           {{{"Count", kExecutors},
             {"Cpu", 2000},
             {"MemMb", 1000},
             {"EstimatedMs", 500},
             {"AntiAffinity", 1},
             {"LongRunning", true}}}}};
}

// Watches which jobs have nothing running.
class Watch {
 public:
  Watch(Executors* executors, Record* record)
      : executors_(executors), record_(record) {}

  auto AddBatch(const std::string& id) -> void { batch_[id] = NowMs(); }
  auto AddLasting(const std::string& id) -> void {
    for (int i = 0; i < kExecutors; ++i) {
      lasting_[id + ".0.0." + std::to_string(i)] = NowMs();
    }
  }
  // Spans before `calm_at` don't count.
  auto Look(int64_t calm_at) -> void {
    const int64_t now = NowMs();
    std::set<std::string> at_work;
    for (const auto& run : executors_->Running()) {
      at_work.insert(run.task);
      at_work.insert(run.job);
    }
    for (auto& [job, since] : batch_) {
      if (at_work.contains(job) || executors_->ends(job, "done") > 0) {
        since = now;
      }
      if (now - std::max(since, calm_at) >= kStandsMs) {
        Report(job, "the accepted job " + job +
                        " has had nothing running for 3 s, without an end "
                        "done, while there is room for it");
      }
    }
    for (auto& [task, since] : lasting_) {
      if (at_work.contains(task)) {
        since = now;
      }
      if (now - std::max(since + kLastingMs, calm_at) >= kStandsMs) {
        Report(task, "the task " + task +
                         " that lasts has not run for 3 s, from 6 s after its "
                         "last run, while there is room for it");
      }
    }
  }

 private:
  auto Report(const std::string& name, const std::string& what) -> void {
    if (reported_.insert(name).second) {
      record_->Break("LOST: " + what);
    }
  }

  Executors* executors_;
  Record* record_;
  std::map<std::string, int64_t> batch_;
  std::map<std::string, int64_t> lasting_;
  std::set<std::string> reported_;
};

auto RunCase(const CasePaths& paths,
             Record* record,
             bool trouble,
             Restart restart) -> int {
  ExecutorOptions options;
  options.born = true;
  options.stop_ms = 300;
  options.restore_ms = 100;
  Deployment deployment(paths, kEntries, kExecutors, options, record);
  auto& executors = deployment.executors();
  if (!deployment.Begin()) {
    record->Write("the entries did not get ready");
    return 2;
  }
  Sleep(kCalmMs);

  Watch watch(&executors, record);
  int number = 0;
  std::vector<std::string> jobs;
  const auto submit = [&](const Json& body, int64_t work_ms) -> bool {
    const std::string id = JobId(++number);
    if (!deployment.Submit(number % kEntries, id, body, {work_ms})) {
      return false;
    }
    jobs.push_back(id);
    watch.AddBatch(id);
    return true;
  };

  // Each executor has some ends that are taken note of: one such task fills
  // more than half of it.
  constexpr int64_t kLarge = 9000;
  constexpr int kRounds = 4;
  for (int i = 0; i < kRounds * kExecutors; ++i) {
    submit(OneTask(kLarge, kQuickWorkMs), kQuickWorkMs);
  }
  Sleep(kCalmMs);
  const std::string lasting = JobId(++number);
  if (!deployment.Submit(0, lasting, Lasting(), {kQuickWorkMs})) {
    return 2;
  }
  watch.AddLasting(lasting);
  constexpr int64_t kBatchCpu = 4000;
  for (int i = 0; i < kExecutors; ++i) {
    submit(OneTask(kBatchCpu, kBatchWorkMs), kBatchWorkMs);
  }
  Sleep(kCalmMs / 2);
  const std::string last_batch = jobs.back();
  int crashed = -1;
  int lasting_runs = 0;
  for (const auto& run : executors.Running()) {
    lasting_runs += run.job == lasting ? 1 : 0;
    crashed = run.job == last_batch ? run.executor : crashed;
  }
  if (crashed < 0 || lasting_runs != kExecutors) {
    record->Write("the jobs did not start in time");
    return 2;
  }

  int64_t calm_at = NowMs();
  if (trouble) {
    executors.Crash(crashed, kDownMs, restart);
    calm_at = NowMs() + kDownMs + kCalmMs;
  }
  const int64_t traffic_ends = NowMs() + kTrafficMs;
  const int64_t ends = traffic_ends + kFinishMs;
  constexpr int64_t kGapMs = 200;
  int64_t next = NowMs();
  while (NowMs() < ends) {
    if (NowMs() >= next && NowMs() < traffic_ends) {
      next += kGapMs;
      submit(OneTask(kBatchCpu, kQuickWorkMs), kQuickWorkMs);
    }
    watch.Look(calm_at);
    std::this_thread::sleep_for(kStep);
  }
  for (const auto& id : jobs) {
    const std::string state = deployment.StateOf(0, id);
    if (state != "completed") {
      record->Break("LOST: the accepted job " + id + " is shown as \"" + state +
                    "\" 14 s after the end of the traffic; its task "
                    "has ended done " +
                    std::to_string(executors.ends(id, "done")) + " times");
    }
  }
  return record->breaks() > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  if (argc != 4) {
    std::cerr << "usage: case PROGRAM FOLDER RECORD\n";
    return 2;
  }
  // "0": no crash; "new-id", for comparison: the same crash, and the executor
  // starts again under a new id.
  const char* variable = std::getenv("TROUBLE");
  const std::string trouble = variable == nullptr ? "" : variable;
  review::Record record(argv[3]);
  try {
    return review::RunCase({argv[1], argv[2]}, &record, trouble != "0",
                           trouble == "new-id" ? review::Restart::kNewId
                                               : review::Restart::kSameId);
  } catch (const std::exception& error) {
    record.Write(std::string("the case could not run: ") + error.what());
    return 2;
  }
}

// Usage: cases CASE FOLDER RECORD TROUBLE
// Plays one case of the review against daemons that the case's script starts.
// Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>

#include "deployment.h"

namespace review {
namespace {

using Json = nlohmann::json;
using Specs = std::map<std::string, std::vector<TaskSpec>>;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

struct CaseInput {
  World* world;
  std::string folder;
  bool trouble;
};

auto Sleep(int64_t ms) -> void {
  std::this_thread::sleep_for(milliseconds(ms));
}

auto Note(World* world, const std::string& line) -> void {
  const std::lock_guard lock(world->mutex);
  world->Note(line);
  std::printf("%s\n", line.c_str());
}

auto LookUp(const Specs& specs) -> Workers::SpecOf {
  return [specs](const std::string& task) -> std::optional<TaskSpec> {
    const auto job = specs.find(task.substr(0, task.find('.')));
    if (job == specs.end()) {
      return std::nullopt;
    }
    const auto last = task.rfind('.');
    const auto before = task.rfind('.', last - 1);
    const auto step = std::stoul(task.substr(before + 1, last - before - 1));
    return step < job->second.size() ? std::optional(job->second[step])
                                     : std::nullopt;
  };
}

// Lasts until the process exits: threads of its servers may still answer.
auto Deploy(const CaseInput& input, const DeploymentOptions& options)
    -> Deployment& {
  return *new Deployment(input.world, input.folder, options);
}

// Waits until the job has one of the states, at most `ms` milliseconds, and
// returns its last known state.
auto AwaitState(Deployment& deployment,
                const std::string& id,
                const std::set<std::string>& states,
                int64_t ms) -> std::string {
  const auto until = Clock::now() + milliseconds(ms);
  std::string state;
  while (Clock::now() < until) {
    state = deployment.StateOf(0, id);
    if (states.contains(state)) {
      return state;
    }
    Sleep(300);
  }
  return state;
}

// A gang whose members are on a worker that fails all that it starts.
auto GangFailures(const CaseInput& input) -> int {
  const std::string id = "5c0e7a21d94b36f8";
  constexpr int kMembers = 4;
  DeploymentOptions options;
  options.attempts = 4;
  options.workers.count = 12;
  options.spec_of =
      LookUp({{id, {TaskSpec{500, 256, 1500, kMembers, false, false}}}});
  Deployment& deployment = Deploy(input, options);
  if (!deployment.WaitReady()) {
    return kNotRun;
  }
  Sleep(4000);
  if (input.trouble) {
    deployment.workers().SetFailing(0, true);
  }
  const Json job = {{"Spec", "rate"},
                    {"Steps", Json::array({{{"Count", kMembers},
                                            {"Cpu", 500},
                                            {"MemMb", 256},
                                            {"EstimatedMs", 1500},
                                            {"Gang", true}}})}};
  if (!deployment.Submit(id, job.dump())) {
    return kNotRun;
  }
  const std::string state =
      AwaitState(deployment, id, {"failed", "completed"}, 40000);
  deployment.workers().SetFailing(0, false);
  std::set<uint64_t> failed_runs;
  for (const auto& end : deployment.workers().ends()) {
    if (end.how == "failed") {
      failed_runs.insert(end.run);
    }
  }
  Note(input.world, "the job is " + state + "; its gang has failed " +
                        std::to_string(failed_runs.size()) +
                        " times, MaxAttempts is " +
                        std::to_string(options.attempts));
  if (state.empty()) {
    return kNotRun;
  }
  return state == "failed" &&
                 static_cast<int>(failed_runs.size()) < options.attempts
             ? kBroken
             : kHeld;
}

// A gang that saves its work, one worker of which crashes once.
auto GangCheckpoints(const CaseInput& input) -> int {
  const std::string id = "5c0e7a21d94b36f8";
  constexpr int kMembers = 2;
  constexpr int kCpu = 6000;
  DeploymentOptions options;
  options.workers.count = 8;
  // Two members do not fit one worker's memory.
  options.spec_of =
      LookUp({{id, {TaskSpec{kCpu, 40000, 8000, kMembers, true, true}}}});
  Deployment& deployment = Deploy(input, options);
  if (!deployment.WaitReady()) {
    return kNotRun;
  }
  Sleep(4000);
  const Json job = {{"Spec", "rate"},
                    {"Steps", Json::array({{{"Count", kMembers},
                                            {"Cpu", kCpu},
                                            {"MemMb", 40000},
                                            {"EstimatedMs", 8000},
                                            {"Gang", true},
                                            {"Fills", true},
                                            {"Checkpointing", true}}})}};
  if (!deployment.Submit(id, job.dump())) {
    return kNotRun;
  }
  const std::string first = id + ".0.0.0";
  int64_t crashed_at = 0;
  if (input.trouble) {
    const auto until = Clock::now() + std::chrono::seconds(10);
    while (deployment.workers().WorkDone(first) < 3520 &&
           Clock::now() < until) {
      Sleep(5);
    }
    const int place = deployment.workers().PlaceOf(first);
    if (place < 0) {
      return kNotRun;
    }
    crashed_at = input.world->Now();
    deployment.workers().Crash(place, 4500);
  }
  const std::string state = AwaitState(deployment, id, {"completed"}, 45000);
  std::map<uint64_t, std::set<std::string>> checkpoints;
  for (const auto& start : deployment.workers().starts()) {
    checkpoints[start.run].insert(start.checkpoint);
  }
  int mixed = 0;
  for (const auto& [run, values] : checkpoints) {
    mixed += values.size() > 1 ? 1 : 0;
  }
  int alone = 0;
  for (const auto& end : deployment.workers().ends()) {
    // The crash lasts 4.5 s; `ContactMs` is 3 s.
    alone += end.how == "alone" && end.at_ms > crashed_at + 4500 + 2 * 3000;
  }
  Note(input.world, "the job is " + state + "; of " +
                        std::to_string(checkpoints.size()) + " runs " +
                        std::to_string(mixed) +
                        " were started with different checkpoints; ends "
                        "`alone` later than 6 s after the crash was over: " +
                        std::to_string(alone));
  if (state.empty()) {
    return kNotRun;
  }
  return alone > 0 ? kBroken : kHeld;
}

// A job of a queue with a policy whose tickets are short-lived.
auto ShortTickets(const CaseInput& input) -> int {
  const std::string id = "5c0e7a21d94b36f8";
  constexpr int kCpu = 500;
  constexpr int64_t kFinishMs = 14000;
  constexpr int64_t kIdleMs = 3000;
  DeploymentOptions options;
  options.workers.count = 11;
  options.advice = {50, 50, input.trouble ? 1000 : 3000};
  options.spec_of = LookUp({{id, {TaskSpec{kCpu, 256, 800, 0, false, false}}}});
  Deployment& deployment = Deploy(input, options);
  if (!deployment.WaitReady()) {
    return kNotRun;
  }
  Sleep(4000);
  const Json job = {{"Spec", "rate"},
                    {"Steps", Json::array({{{"Count", 4},
                                            {"Cpu", kCpu},
                                            {"MemMb", 256},
                                            {"EstimatedMs", 800}}})}};
  if (!deployment.Submit(id, job.dump())) {
    return kNotRun;
  }
  const std::string state =
      AwaitState(deployment, id, {"completed"}, kFinishMs + 2 * kIdleMs);
  const std::size_t starts = deployment.workers().starts().size();
  Note(input.world, "the job is " + state + " with " + std::to_string(starts) +
                        " starts; finish_s and 6 s after the traffic");
  if (state.empty()) {
    return kNotRun;
  }
  return state != "completed" && starts == 0 ? kBroken : kHeld;
}

// A job whose one task takes much longer than estimated, on the only worker of
// the kind that it needs.
auto LongTask(const CaseInput& input) -> int {
  const std::string id = "5c0e7a21d94b36f8";
  constexpr int kCpu = 1000;
  constexpr int64_t kUsualMs = 15000;
  constexpr int64_t kLongMs = 300000;
  constexpr int64_t kFinishMs = 14000;
  constexpr int64_t kIdleMs = 3000;
  DeploymentOptions options;
  options.workers.count = 4;
  options.workers.kinds = {{2, "gpu"}};
  options.spec_of =
      LookUp({{id,
               {TaskSpec{kCpu, 512, input.trouble ? kLongMs : kUsualMs, 0,
                         false, false}}}});
  Deployment& deployment = Deploy(input, options);
  if (!deployment.WaitReady()) {
    return kNotRun;
  }
  Sleep(4000);
  const Json job = {{"Spec", "compact"},
                    {"Steps", Json::array({{{"Count", 1},
                                            {"Cpu", kCpu},
                                            {"MemMb", 512},
                                            {"EstimatedMs", kUsualMs},
                                            {"RequiredLabels", "gpu"}}})}};
  if (!deployment.Submit(id, job.dump())) {
    return kNotRun;
  }
  const int64_t traffic_over = input.world->Now();
  const std::string task = id + ".0.0.0";
  int64_t idle_since = -1;
  int64_t longest_idle = 0;
  bool done = false;
  while (!done && input.world->Now() < traffic_over + 75000) {
    Sleep(20);
    const int64_t now = input.world->Now();
    for (const auto& end : deployment.workers().ends()) {
      done = done || end.how == "done";
    }
    const bool counts = !done && now >= traffic_over + kFinishMs &&
                        2 * deployment.workers().CpuInUse() <
                            options.workers.count * options.workers.cpu;
    if (!counts || deployment.workers().Runs(task)) {
      idle_since = -1;
      continue;
    }
    idle_since = idle_since < 0 ? now : idle_since;
    longest_idle = std::max(longest_idle, now - idle_since);
  }
  const std::string state = deployment.StateOf(0, id);
  Note(input.world,
       "the job is " + state + " after " +
           std::to_string(input.world->Now() - traffic_over) + " ms and " +
           std::to_string(deployment.workers().starts().size()) +
           " starts; longest time without a run, later than finish_s after "
           "the traffic: " +
           std::to_string(longest_idle) + " ms");
  if (state.empty()) {
    return kNotRun;
  }
  return longest_idle >= kIdleMs ? kBroken : kHeld;
}

// A scheduled job with many occurrences, beside usual jobs.
auto ManyOccurrences(const CaseInput& input) -> int {
  const std::string scheduled = "7b1e7a21d94b36f8";
  const int occurrences = input.trouble ? 30000 : 300;
  constexpr int kUsualJobs = 10;
  Specs specs = {{scheduled, {TaskSpec{100, 16, 200, 0, false, false}}}};
  std::vector<std::string> usual;
  for (int i = 0; i < kUsualJobs; ++i) {
    usual.push_back("5c0e7a21d94b36f" + std::to_string(i));
    specs[usual.back()] = {TaskSpec{500, 256, 800, 0, false, false}};
  }
  DeploymentOptions options;
  options.workers.count = 8;
  options.spec_of = LookUp(specs);
  Deployment& deployment = Deploy(input, options);
  if (!deployment.WaitReady()) {
    return kNotRun;
  }
  Sleep(4000);
  const auto unix_ms = std::chrono::duration_cast<milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  const Json job = {{"Spec", "read"},
                    {"Steps", Json::array({{{"Count", 1},
                                            {"Cpu", 100},
                                            {"MemMb", 16},
                                            {"EstimatedMs", 200}}})},
                    {"RepeatCount", occurrences},
                    {"StartAtMs", unix_ms - int64_t{1000} * occurrences},
                    {"IntervalMs", 1000}};
  if (!deployment.Submit(scheduled, job.dump())) {
    return kNotRun;
  }
  Sleep(3000);
  const Json plain = {{"Spec", "rate"},
                      {"Steps", Json::array({{{"Count", 4},
                                              {"Cpu", 500},
                                              {"MemMb", 256},
                                              {"EstimatedMs", 800}}})}};
  for (const auto& id : usual) {
    if (!deployment.Submit(id, plain.dump())) {
      return kNotRun;
    }
    Sleep(200);
  }
  const int64_t traffic_over = input.world->Now();
  constexpr int64_t kFinishMs = 14000;
  constexpr int64_t kIdleMs = 3000;
  Sleep(kFinishMs);
  // Jobs of which no task has ever started, while less than half of the
  // service's capacity is in use.
  int64_t idle_since = -1;
  int64_t longest_idle = 0;
  std::size_t waiting = 0;
  while (input.world->Now() < traffic_over + 45000) {
    Sleep(20);
    std::set<std::string> idle(usual.begin(), usual.end());
    for (const auto& start : deployment.workers().starts()) {
      idle.erase(start.task.substr(0, start.task.find('.')));
    }
    const bool room = 2 * deployment.workers().CpuInUse() <
                      options.workers.count * options.workers.cpu;
    const int64_t now = input.world->Now();
    if (idle.empty() || !room) {
      idle_since = -1;
      continue;
    }
    idle_since = idle_since < 0 ? now : idle_since;
    longest_idle = std::max(longest_idle, now - idle_since);
    waiting = idle.size();
  }
  int completed = 0;
  for (const auto& id : usual) {
    completed += deployment.StateOf(0, id) == "completed" ? 1 : 0;
  }
  const auto [unseen, all] = deployment.workers().UnseenEnds();
  Note(input.world,
       std::to_string(completed) + " of " + std::to_string(kUsualJobs) +
           " usual jobs are shown as completed 45 s after the traffic, " +
           std::to_string(waiting) +
           " of them without a start; longest time with such a job and with "
           "room, later than finish_s after the traffic: " +
           std::to_string(longest_idle) + " ms; ends listed " +
           std::to_string(all) + ", not taken note of " +
           std::to_string(unseen) +
           "; calls that the store answered with 400: " +
           std::to_string(deployment.log().oversized()));
  return longest_idle >= kIdleMs ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  const std::map<std::string, std::function<int(const review::CaseInput&)>>
      cases = {{"gang-failures", review::GangFailures},
               {"gang-checkpoints", review::GangCheckpoints},
               {"long-task", review::LongTask},
               {"short-tickets", review::ShortTickets},
               {"many-occurrences", review::ManyOccurrences}};
  if (argc != 5 || !cases.contains(argv[1])) {
    std::fprintf(stderr, "usage: cases CASE FOLDER RECORD TROUBLE\n");
    return 2;
  }
  // Before any thread makes a call.
  curl_global_init(CURL_GLOBAL_DEFAULT);
  review::World world(argv[3]);
  const int code =
      cases.at(argv[1])({&world, argv[2], std::string(argv[4]) != "0"});
  {
    const std::lock_guard lock(world.mutex);
    world.Note("exit " + std::to_string(code));
  }
  std::fflush(nullptr);
  // Threads of connections still wait for the world.
  std::_Exit(code);
}

// Executors are added to a service of which a queue's policy allows a few.

#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "stand_ins/deployment.h"

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int kEntries = 2;
// Of 96 executors eight are allowed, by the order of their machines' names the
// last ones. Fourteen more come, which is a share of 0.15.
constexpr int kExecutors = 96;
constexpr int kAdded = 14;
constexpr int kAllowed = 8;
constexpr int64_t kDecideMs = 50;
constexpr int64_t kEachMs = 2;
constexpr int64_t kValidMs = 3000;
constexpr int64_t kCalmMs = 4000;
constexpr int64_t kStandsMs = 3000;
constexpr int64_t kWorkMs = 500;
constexpr int64_t kGapMs = 1000;
constexpr int64_t kFirstTrafficMs = 8000;
constexpr int64_t kTrafficMs = 25000;
constexpr int64_t kFinishMs = 14000;
constexpr std::chrono::milliseconds kStep{50};

auto Sleep(int64_t milliseconds) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

auto Names() -> std::vector<std::string> {
  std::vector<std::string> names;
  for (int i = 0; i < kExecutors; ++i) {
    names.push_back(absl::StrFormat("side-b-%03d", i + 1));
  }
  for (int i = 0; i < kAdded; ++i) {
    names.push_back(absl::StrFormat("side-a-%03d", i + 1));
  }
  return names;
}

auto OneTask() -> Json {
  return {{"Spec", "work"},
          {"Steps",
           {{{"Count", 1},
             {"Cpu", 1000},
             {"MemMb", 500},
             {"EstimatedMs", kWorkMs}}}}};
}

// The policy service: a step may run on the allowed executors. It handles one
// call at a time.
class Policy {
 public:
  explicit Policy(Record* record)
      : record_(record),
        port_(FreePort()),
        server_(port_, [this](const HttpRequest& request) -> HttpAnswer {
          return Answer(request);
        }) {}

  auto Allow(const std::string& executor) -> void {
    const std::lock_guard lock(mutex_);
    allowed_.insert(executor);
  }
  auto address() const -> std::string {
    return absl::StrFormat("127.0.0.1:%d", port_);
  }
  auto Accepts(const std::string& step,
               const std::string& executor,
               const std::string& ticket) -> bool {
    const std::lock_guard lock(mutex_);
    const auto issued = issued_.find(ticket);
    return ticket == TicketOf(step, executor) && issued != issued_.end() &&
           NowMs() < issued->second + kValidMs;
  }

 private:
  static auto TicketOf(const std::string& step, const std::string& executor)
      -> std::string {
    return step + "-" + executor;
  }

  auto Answer(const HttpRequest& request) -> HttpAnswer {
    const std::lock_guard call(calls_);
    const Json body = Json::parse(request.body, nullptr, false);
    const std::string step = body.value("Step", "");
    const auto workers = body.value("Workers", std::vector<std::string>());
    Sleep(kDecideMs + kEachMs * static_cast<int64_t>(workers.size()));
    const std::lock_guard lock(mutex_);
    Json granted = Json::array();
    for (const auto& worker : workers) {
      if (allowed_.contains(worker)) {
        const std::string ticket = TicketOf(step, worker);
        issued_[ticket] = NowMs();
        granted.push_back({worker, ticket});
      }
    }
    record_->Write(absl::StrFormat(
        "advice for %s names %d executors, %d of the allowed ones among them",
        step, workers.size(), granted.size()));
    return {200, Json{{"Granted", granted}, {"ValidMs", kValidMs}}.dump()};
  }

  Record* record_;
  std::mutex calls_;
  std::mutex mutex_;
  std::set<std::string> allowed_;
  std::map<std::string, int64_t> issued_;
  int port_;
  HttpServer server_;
};

auto RunCase(const CasePaths& paths, Record* record, bool trouble) -> int {
  Policy policy(record);
  ExecutorOptions options;
  options.stop_ms = 150;
  Deployment deployment(
      paths, kEntries, Names(), policy.address(),
      {{"DecideMs", kDecideMs}, {"EachMs", kEachMs}, {"ValidMs", kValidMs}},
      options, record);
  auto& executors = deployment.executors();
  for (int i = kExecutors - kAllowed; i < kExecutors; ++i) {
    policy.Allow(executors.id(i));
  }
  executors.RequireTickets([&policy](const std::string& step,
                                     const std::string& executor,
                                     const std::string& ticket) -> bool {
    return policy.Accepts(step, executor, ticket);
  });
  if (!deployment.Begin(kExecutors)) {
    record->Write("the entries did not get ready");
    return 2;
  }
  Sleep(kCalmMs);

  // When each job's wait with nothing running began.
  std::map<std::string, int64_t> waits;
  std::set<std::string> reported;
  int number = 0;
  int64_t calm_at = NowMs();
  const auto look = [&]() -> void {
    const int64_t now = NowMs();
    std::set<std::string> at_work;
    for (const auto& run : executors.Running()) {
      at_work.insert(run.job);
    }
    for (auto& [job, since] : waits) {
      if (at_work.contains(job) || executors.ends(job, "done") > 0) {
        since = now;
      }
      if (now - std::max(since, calm_at) >= kStandsMs &&
          reported.insert(job).second) {
        record->Break("LOST: the accepted job " + job +
                      " has had nothing running for 3 s; the eight executors "
                      "that it may run on are up and idle");
      }
    }
  };
  const auto play = [&](int64_t span, bool traffic) -> void {
    const int64_t until = NowMs() + span;
    int64_t next = NowMs();
    while (NowMs() < until) {
      if (traffic && NowMs() >= next) {
        next += kGapMs;
        const std::string id = JobId(++number);
        if (deployment.Submit(number % kEntries, id, OneTask(), {kWorkMs})) {
          waits[id] = NowMs();
        }
      }
      look();
      std::this_thread::sleep_for(kStep);
    }
  };

  play(kFirstTrafficMs, true);
  if (reported.size() + waits.size() == 0 || !reported.empty()) {
    record->Write("the jobs did not run before the disruption");
    return 2;
  }
  if (trouble) {
    record->Write("fourteen executors are added");
    for (int i = 0; i < kAdded; ++i) {
      deployment.AddMachine(kExecutors + i);
    }
    calm_at = NowMs() + kCalmMs;
  }
  play(kTrafficMs, true);
  play(kFinishMs, false);
  int open = 0;
  for (const auto& [id, since] : waits) {
    const std::string state = deployment.StateOf(0, id);
    open += state == "completed" ? 0 : 1;
    record->Write(id + " is " + state);
  }
  record->Write(absl::StrFormat("%d of %d accepted jobs are not completed",
                                open, waits.size()));
  return record->breaks() > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  if (argc != 4) {
    std::cerr << "usage: case PROGRAM FOLDER RECORD\n";
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  review::Record record(argv[3]);
  try {
    return review::RunCase({argv[1], argv[2]}, &record,
                           trouble == nullptr || std::string(trouble) != "0");
  } catch (const std::exception& error) {
    record.Write(std::string("the case could not run: ") + error.what());
    return 2;
  }
}

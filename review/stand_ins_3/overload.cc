// Case 12: a new owner and executors that don't guard their capacity.
//
// overload PROGRAM FOLDER RECORD TROUBLE
//
// The service has `RejectsOverload` false. A first job fills all executors; a
// second one waits for room. The client cancels the first job. With TROUBLE=1
// the entry that last wrote to the store under a condition (as "owner") is
// killed before, so that another one takes over meanwhile.
//
// Judged as LIMIT is written: a start brings an executor that doesn't guard its
// `Capacity` over it; what is being stopped still counts. Exits with 1 if that
// was seen, 0 if not, and 2 if the case could not run.

#include <absl/strings/str_cat.h>

#include <cstdio>
#include <nlohmann/json.hpp>

#include "review/stand_ins_3/small_deployment.h"
#include "review/stand_ins_3/store.h"

namespace rhubarbhaven::review {
namespace {

using Json = nlohmann::json;

constexpr int kExecutors = 4;
constexpr int kTasks = 8;
constexpr int64_t kTaskCpu = 8000;
constexpr Milliseconds kReadyLimit{15000};
// Traffic starts 10 s after the machines do.
constexpr Milliseconds kLead{10000};
constexpr Milliseconds kFirstWork{60000};
constexpr Milliseconds kSecondWork{1700};
constexpr Milliseconds kBeforeKill{5000};
constexpr Milliseconds kBeforeCancel{500};
constexpr Milliseconds kCancelRetry{200};
constexpr Milliseconds kAfterCancel{15000};
constexpr char kFirst[] = "00000000000000a1";
constexpr char kSecond[] = "00000000000000b2";
constexpr char kClaimKey[] = "o/";

class Case {
 public:
  Case(const std::string& program,
       const std::string& folder,
       const std::string& record,
       bool trouble)
      : record_(record), trouble_(trouble) {
    store_.PutByOperator("config", Configuration());
    options_.program = program;
    options_.folder = folder;
    options_.executors = kExecutors;
    options_.store = store_.address();
    options_.executor.guards = false;
    // The platform allows a stop up to `StopTimeoutMs`, 400 ms.
    options_.executor.stop_time = Milliseconds(300);
    options_.executor.plan = [](const std::string& task) -> TaskPlan {
      return {task.starts_with(kFirst) ? kFirstWork : kSecondWork, kTaskCpu,
              500};
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
    const int owner = Owner(deployment);
    if (owner < 0) {
      record_.Write("no entry has written as the owner");
      return 2;
    }
    const int other = (owner + 1) % deployment.entries();
    Submit(deployment, other, kFirst);
    std::this_thread::sleep_for(kBeforeKill / 2);
    Submit(deployment, other, kSecond);
    std::this_thread::sleep_for(kBeforeKill / 2);
    if (trouble_) {
      record_.Write(absl::StrCat("kill entry ", owner));
      deployment.KillEntry(owner);
      std::this_thread::sleep_for(kBeforeCancel);
    }
    int status = 0;
    while (status != 200) {
      std::string body;
      status = deployment.Call(other, "DELETE", kFirst, &body);
      record_.Write(absl::StrCat("cancel of ", kFirst, " answered ", status));
      std::this_thread::sleep_for(kCancelRetry);
    }
    std::this_thread::sleep_for(kAfterCancel);
    std::string state;
    deployment.Call(other, "GET", kSecond, &state);
    record_.Write(absl::StrCat("second job: ", state));
    if (!deployment.AllRun()) {
      record_.Write("a process of the system has ended");
      return 2;
    }
    const std::lock_guard lock(mutex_);
    record_.Write(
        absl::StrCat(over_, " starts brought an executor over its capacity"));
    return over_ > 0 ? 1 : 0;
  }

 private:
  static auto Configuration() -> std::string {
    const Json route = {{"Name", "queue"},        {"Host", "queue.example"},
                        {"PathPrefix", "/jobs/"}, {"Service", "service"},
                        {"MaxAttempts", 4},       {"Stretch", 2.0},
                        {"Priority", 0},          {"TargetLatencyMs", 1000}};
    return Json{
        {"Version", 1},
        {"Routes", Json::array({route})},
        {"Services",
         Json::array({{{"Name", "service"}, {"RejectsOverload", false}}})}}
        .dump();
  }

  // The entry that the newest record of the system's owner names.
  auto Owner(const SmallDeployment& deployment) -> int {
    const std::string claim = store_.Newest("keyed.jobs", kClaimKey);
    for (int entry = 0; entry < deployment.entries(); ++entry) {
      if (claim.find(absl::StrCat("frontend-", entry)) != std::string::npos) {
        return entry;
      }
    }
    return -1;
  }

  auto Submit(SmallDeployment& deployment, int entry, const std::string& id)
      -> void {
    std::string body = Json{{"Spec", "text"},
                            {"Steps", Json::array({{{"Count", kTasks},
                                                    {"Cpu", kTaskCpu},
                                                    {"MemMb", 500},
                                                    {"EstimatedMs", 2000}}})}}
                           .dump();
    const int status = deployment.Call(entry, "POST", id, &body);
    record_.Write(absl::StrCat("job ", id, " answered ", status));
  }

  auto OnEvent(const std::string& executor,
               const std::string& event,
               const std::string& task,
               uint64_t run) -> void {
    const std::lock_guard lock(mutex_);
    record_.Write(
        absl::StrCat(event, " ", task, " run ", run, " on ", executor));
    int64_t& used = used_[executor];
    used += event == "start" ? kTaskCpu : -kTaskCpu;
    if (event == "start" && used > options_.executor.cpu) {
      ++over_;
      record_.Write(absl::StrCat("LIMIT ", executor, " has ", used, " of ",
                                 options_.executor.cpu,
                                 " millicores in use after this start"));
    }
  }

  Record record_;
  const bool trouble_;
  Store store_;
  DeploymentOptions options_;
  std::mutex mutex_;
  std::map<std::string, int64_t> used_;
  int over_ = 0;
};

}  // namespace
}  // namespace rhubarbhaven::review

auto main(int argc, char** argv) -> int {
  if (argc != 5) {
    std::fprintf(stderr, "usage: overload PROGRAM FOLDER RECORD TROUBLE\n");
    return 2;
  }
  rhubarbhaven::review::Case test(argv[1], argv[2], argv[3],
                                  std::string(argv[4]) != "0");
  return test.Run();
}

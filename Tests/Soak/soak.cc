// Runs real daemons under load and injected faults, and checks the guarantees
// that they give. See docs/manual/soak.md.

#include <absl/strings/str_cat.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <thread>
#include <utility>

#include "Tests/Soak/checks.h"
#include "Tests/Soak/clients.h"
#include "Tests/Soak/fault_injector.h"
#include "Tests/Soak/job_plan.h"
#include "Tests/Soak/lag_meter.h"
#include "Tests/Soak/link_rates.h"
#include "Tests/Soak/processes.h"
#include "Tests/Soak/report.h"
#include "Tests/Soak/schedule.h"
#include "Tests/Soak/soak_options.h"

namespace rhubarbhaven::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStepInterval{5};
constexpr milliseconds kCheckInterval{200};
constexpr milliseconds kQueryInterval{100};
// From the last submission, which follows the last fault, to the end of the
// last job that ends by itself.
constexpr seconds kCompletionTimeout{20};
// Time within which a running entry must answer.
constexpr seconds kAnswerTimeout{5};
// With a longer scheduling delay the machine counts as overloaded.
constexpr seconds kMaxLag{1};

constexpr int kPassed = 0;
constexpr int kViolated = 1;
constexpr int kLagged = 2;
constexpr int kUsageError = 3;
constexpr int kInterrupted = 4;

volatile std::sig_atomic_t g_interrupted = 0;

auto Interrupt(int) -> void {
  g_interrupted = 1;
}

class Soak {
 public:
  Soak(const SoakOptions& options,
       std::vector<Fault> schedule,
       const std::string& folder)
      : options_(options),
        start_(Clock::now()),
        checks_(start_, &fault_free_),
        processes_(options, folder, MakeWatch()),
        injector_(std::move(schedule), start_, &processes_, &fault_free_) {}

  auto Run() -> void {
    {
      Clients clients(options_, processes_.callers_addresses(), &checks_);
      RunFor(options_.load, &clients);
      clients.StopSubmitting();
      WaitForOpenJobs();
    }
    QueryEveryEntry();
  }

  auto checks() const -> const Checks& { return checks_; }
  auto lag() const -> milliseconds { return lag_.longest(); }

 private:
  auto MakeWatch() -> test::PlatformHooks {
    test::PlatformHooks watch;
    watch.work = RunDuration;
    watch.fails = RunFails;
    watch.on_start = [this](const std::string& worker,
                            const jobs::TaskName& task, uint64_t run) -> void {
      checks_.Started(worker, task, run);
    };
    watch.on_problem = [this](const std::string& problem) -> void {
      checks_.DuplicateRunSeen(problem);
    };
    return watch;
  }

  // While only the owner is slow, the clients cancel what it is to start.
  auto RunFor(milliseconds span, Clients* clients = nullptr) -> void {
    const TimePoint end = Clock::now() + span;
    while (!g_interrupted && Clock::now() < end) {
      if (clients != nullptr) {
        clients->SetCancelsSoon(fault_free_.owner_is_slow());
      }
      Step();
      std::this_thread::sleep_for(kStepInterval);
    }
  }

  auto Step() -> void {
    const TimePoint now = Clock::now();
    injector_.Step(now);
    if (now < next_check_) {
      return;
    }
    next_check_ = now + kCheckInterval;
    checks_.CheckLongRunning(&processes_.platform(),
                             injector_.unreachable_workers());
    for (const auto& name : processes_.Ended()) {
      if (!injector_.IsDown(name) && ended_.insert(name).second) {
        checks_.DaemonEnded(name);
      }
    }
  }

  auto Query(int entry, const std::string& job) -> unsigned {
    const TimePoint sent_at = Clock::now();
    const CallerAnswer answer = caller_.Query(entry, job);
    checks_.StateAnswered(job, entry, sent_at, answer.status, answer.body);
    return answer.status;
  }

  auto WaitForOpenJobs() -> void {
    const TimePoint end = Clock::now() + kCompletionTimeout;
    int entry = 0;
    while (!g_interrupted && Clock::now() < end &&
           !checks_.OpenJobs().empty()) {
      for (const auto& job : checks_.OpenJobs()) {
        entry = (entry + 1) % options_.entries;
        Query(entry, job);
      }
      RunFor(kQueryInterval);
    }
    for (const auto& job : checks_.AcceptedJobs()) {
      if (!g_interrupted && KindOf(job) != JobKind::kLongRunning) {
        checks_.ExpectOver(job);
      }
    }
  }

  auto QueryEveryEntry() -> void {
    for (int entry = 0; entry < options_.entries; ++entry) {
      QueryAllJobs(entry);
    }
  }

  // Does not wait any more for an entry that has failed to answer in time once.
  auto QueryAllJobs(int entry) -> void {
    milliseconds timeout = kAnswerTimeout;
    unsigned status = 0;
    for (const auto& job : checks_.AcceptedJobs()) {
      if (g_interrupted) {
        return;
      }
      const bool known = test::WaitFor(
          [this, entry, &job, &status]() -> bool {
            status = Query(entry, job);
            return status == 200;
          },
          timeout);
      checks_.ExpectKnown(job, entry, known);
      if (!known) {
        timeout = milliseconds(0);
      }
      if (status == 0) {
        return;
      }
    }
  }

  SoakOptions options_;
  TimePoint start_;
  TimePoint next_check_;
  FaultFreePeriods fault_free_;
  Checks checks_;
  SchedulingLagMeter lag_;
  Processes processes_;
  FaultInjector injector_;
  EntryCaller caller_{processes_.callers_addresses()};
  std::set<std::string> ended_;
};

auto MakeFolder(const SoakOptions& options) -> std::string {
  if (!options.keep_logs.empty()) {
    std::filesystem::create_directories(options.keep_logs);
    return options.keep_logs;
  }
  std::string pattern =
      (std::filesystem::temp_directory_path() / "rhubarbhaven-soak-XXXXXX")
          .string();
  return mkdtemp(pattern.data());
}

auto MakeVerdict(const Soak& soak) -> std::pair<int, std::string> {
  const std::string lag = absl::StrCat(soak.lag().count(), " ms");
  const bool violated = !soak.checks().violations().empty();
  if (g_interrupted) {
    return {kInterrupted, "INTERRUPTED, judged as far as it came"};
  }
  if (soak.lag() > kMaxLag) {
    return {kLagged, absl::StrCat("LAG: this machine is overloaded, the rig "
                                  "itself was late by ",
                                  lag, "; nothing is shown either way")};
  }
  if (soak.checks().AcceptedJobs().empty()) {
    return {kViolated, "BROKEN: no job was accepted"};
  }
  return violated ? std::pair(kViolated, "BROKEN, lag " + lag)
                  : std::pair(kPassed, "kept, lag " + lag);
}

auto RunSoak(const SoakOptions& options) -> int {
  const auto schedule = MakeSchedule(options);
  const std::string title =
      absl::StrCat("seed ", options.seed, ", ", options.load.count(), " s, ",
                   options.entries, " entries, ", options.agents, " agents\n",
                   DescribeLinkRates(options));
  std::cout << title << ScheduleText(schedule) << std::flush;
  if (options.list) {
    return kPassed;
  }
  const std::string folder = MakeFolder(options);
  std::ofstream(folder + "/schedule.txt") << title << ScheduleText(schedule);
  int code = kPassed;
  {
    Soak soak(options, schedule, folder);
    soak.Run();
    const auto [result, verdict] = MakeVerdict(soak);
    code = result;
    const std::string text =
        absl::StrCat(VerdictText(soak.checks(), folder), verdict, "\n");
    std::ofstream(folder + "/verdict.txt") << title << text;
    std::ofstream(folder + "/cases.txt") << CasesText(soak.checks());
    std::cout << text;
  }
  if (code != kPassed || !options.keep_logs.empty()) {
    std::cout << "logs: " << folder << "\n";
  } else {
    std::filesystem::remove_all(folder);
  }
  return code;
}

auto Main(int argc, char** argv) -> int {
  std::signal(SIGINT, Interrupt);
  std::signal(SIGTERM, Interrupt);
  const auto options = ParseOptions(argc, argv);
  if (options.ok() && std::filesystem::exists(options->keep_logs)) {
    std::cerr << "soak: the folder of logs exists already\n";
    return kUsageError;
  }
  if (!options.ok()) {
    std::cerr << "soak: " << options.status().message() << "\n";
    return kUsageError;
  }
  return RunSoak(*options);
}

}  // namespace
}  // namespace rhubarbhaven::soak

auto main(int argc, char** argv) -> int {
  return rhubarbhaven::soak::Main(argc, argv);
}

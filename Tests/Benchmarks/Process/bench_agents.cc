// What the control of many agents costs on real processes: bytes, processor
// time and memory of each agent, entry and stream as the number of agents
// grows, the time until a change is in force everywhere, and the start rate.
// Prints tables for docs/CAPACITY.md; bounds are on ratios between sizes.

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "Tests/Support/deployment.h"

namespace rhubarbhaven::test {
namespace {

constexpr std::chrono::seconds kIdleTime{10};
constexpr int kTasksPerAgent = 4;
// An idle agent may cost this much more among many agents than among few.
constexpr double kGrowthBound = 2.0;

struct Usage {
  double cpu_s = 0;
  double memory_mb = 0;
  double bytes = 0;
  TimePoint at;
};

auto UsageOf(Deployment& deployment, const std::string& name) -> Usage {
  Usage usage;
  usage.at = Clock::now();
  const auto pid = std::to_string(deployment.process(name).pid());
  std::ifstream stat("/proc/" + pid + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  // utime and stime are fields 14 and 15 of proc(5), 12 and 13 from here.
  constexpr int kBeforeUtime = 11;
  for (int i = 0; i < kBeforeUtime; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  usage.cpu_s = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream statm("/proc/" + pid + "/statm");
  double pages = 0;
  statm >> pages >> pages;
  usage.memory_mb =
      pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
  usage.bytes =
      deployment.Metric(name, "rhubarbhaven_link_bytes{direction=\"sent\"}") +
      deployment.Metric(name,
                        "rhubarbhaven_link_bytes{direction=\"received\"}");
  return usage;
}

struct Rates {
  double cpu_percent = 0;
  double memory_mb = 0;
  double bytes_per_s = 0;
};

// Mean over the processes of a kind, between two looks.
class Watch {
 public:
  Watch(Deployment* deployment, const std::string& kind, int count)
      : deployment_(deployment) {
    for (int i = 0; i < count; ++i) {
      names_.push_back(kind + "-" + std::to_string(i));
    }
    before_ = Look();
  }
  auto Finish() -> Rates {
    const auto after = Look();
    Rates mean;
    for (std::size_t i = 0; i < names_.size(); ++i) {
      const double seconds =
          std::chrono::duration<double>(after[i].at - before_[i].at).count();
      mean.cpu_percent += 100 * (after[i].cpu_s - before_[i].cpu_s) / seconds;
      mean.bytes_per_s += (after[i].bytes - before_[i].bytes) / seconds;
      mean.memory_mb += after[i].memory_mb;
    }
    const auto count = static_cast<double>(names_.size());
    return {mean.cpu_percent / count, mean.memory_mb / count,
            mean.bytes_per_s / count};
  }

 private:
  auto Look() -> std::vector<Usage> {
    std::vector<Usage> usages;
    for (const auto& name : names_) {
      usages.push_back(UsageOf(*deployment_, name));
    }
    return usages;
  }

  Deployment* deployment_;
  std::vector<std::string> names_;
  std::vector<Usage> before_;
};

auto Print(int agents, const char* what, const Rates& rates) -> void {
  std::printf("%6d  %-14s %8.2f %% core %8.1f MB %9.0f bytes/s\n", agents, what,
              rates.cpu_percent, rates.memory_mb, rates.bytes_per_s);
}

auto AppendsOf(Deployment& deployment) -> double {
  HttpClient http;
  HttpClientRequest request;
  request.url = deployment.Url("log") + "/v1/stats";
  const std::string body = http.Call(request).http.body();
  double total = 0;
  const std::string key = "\"appends\":";
  for (std::size_t at = body.find(key); at != std::string::npos;
       at = body.find(key, at + 1)) {
    total += std::stod(body.substr(at + key.size()));
  }
  return total;
}

auto MeasureConfig(Deployment& deployment, int agents) -> void {
  const TimePoint begun = Clock::now();
  const int code = deployment.Apply({}, {"--wait"});
  const std::string job = R"({"name":"marker","tasks":1,"command":"run 1",)"
                          R"("need":{"millicores":1,"memory_mb":1}})";
  const TimePoint changed = Clock::now();
  const int marked = deployment.Apply({job}, {"--wait"});
  std::printf(
      "%6d  change in force everywhere in %.2f s (exit %d/%d, first "
      "wait %.2f s)\n",
      agents, std::chrono::duration<double>(Clock::now() - changed).count(),
      code, marked, std::chrono::duration<double>(changed - begun).count());
}

auto CountState(Deployment& deployment, const std::string& state) -> int {
  int count = 0;
  for (const auto& task : deployment.Tasks()) {
    count += task.state() == state && task.job() == "burst" ? 1 : 0;
  }
  return count;
}

auto MeasureStarts(Deployment& deployment, int agents) -> void {
  const int tasks = agents * kTasksPerAgent;
  const std::string job =
      R"({"name":"burst","tasks":)" + std::to_string(tasks) +
      R"(,"command":"run 20000","need":{"millicores":1000,"memory_mb":100}})";
  const double appends = AppendsOf(deployment);
  const TimePoint begun = Clock::now();
  deployment.Apply({job});
  const bool all = WaitFor(
      [&deployment, tasks]() -> bool {
        return CountState(deployment, "running") >= tasks;
      },
      kPatience);
  const double seconds =
      std::chrono::duration<double>(Clock::now() - begun).count();
  std::printf(
      "%6d  %d tasks running after %.2f s%s, %.0f starts/s, %.0f "
      "appends\n",
      agents, tasks, seconds, all ? "" : " (NOT ALL)", tasks / seconds,
      AppendsOf(deployment) - appends);
}

auto MeasureSize(int agents, bool workers) -> std::optional<Rates> {
  Deployment deployment(
      {.entries = 2,
       .agents = agents,
       .workers = workers,
       .worker_flags = {"--millicores=16000", "--memory_mb=60000"}});
  if (!deployment.StartAll()) {
    std::printf("%6d  the deployment did not start\n", agents);
    return std::nullopt;
  }
  const double appends = AppendsOf(deployment);
  Watch agent(&deployment, "agent", agents);
  Watch entry(&deployment, "entry", 2);
  std::this_thread::sleep_for(kIdleTime);
  const Rates rates = agent.Finish();
  Print(agents, "agent, idle", rates);
  Print(agents, "entry, idle", entry.Finish());
  std::printf("%6d  %.1f appends/s\n", agents,
              (AppendsOf(deployment) - appends) /
                  static_cast<double>(kIdleTime.count()));
  MeasureConfig(deployment, agents);
  if (workers) {
    MeasureStarts(deployment, agents);
    Watch busy(&deployment, "agent", agents);
    Watch owner(&deployment, "entry", 2);
    constexpr std::chrono::seconds kBusyTime{5};
    std::this_thread::sleep_for(kBusyTime);
    Print(agents, "agent, 4 tasks", busy.Finish());
    Print(agents, "entry, owning", owner.Finish());
  }
  return rates;
}

auto RunBench() -> int {
  const auto few = MeasureSize(11, true);
  const auto some = MeasureSize(50, true);
  const auto many = MeasureSize(100, false);
  if (!few || !some || !many) {
    return 1;
  }
  const double growth = many->bytes_per_s / few->bytes_per_s;
  std::printf(
      "bytes of an idle agent, 100 to 11 agents: ratio %.2f, bound "
      "%.2f\n",
      growth, kGrowthBound);
  return growth <= kGrowthBound ? 0 : 1;
}

}  // namespace
}  // namespace rhubarbhaven::test

auto main() -> int {
  return rhubarbhaven::test::RunBench();
}

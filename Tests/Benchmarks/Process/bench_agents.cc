// Measures the cost of controlling many agents with real processes: bytes,
// processor time and memory of each agent and entry, and appends to the log, as
// the number of agents grows; the time until a change is applied everywhere;
// and the rate of task starts. Prints tables for docs/CAPACITY.md. The bounds
// apply to ratios between sizes.

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "Tests/Support/deployment.h"

namespace rhubarbhaven::test {
namespace {

constexpr std::chrono::seconds kIdleTime{10};
constexpr int kTasksPerAgent = 4;
// Bound on the ratio of the bytes of an idle agent with 100 agents to those
// with 11 agents.
constexpr double kGrowthBound = 2.0;

struct Usage {
  double cpu_s = 0;
  double memory_mb = 0;
  double bytes = 0;
  TimePoint at;
};

auto ReadUsage(Deployment& deployment, const std::string& name) -> Usage {
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

// Computes the mean rates of the processes of a kind between two samples.
class UsageSampler {
 public:
  UsageSampler(Deployment* deployment, const std::string& kind, int count)
      : deployment_(deployment) {
    for (int i = 0; i < count; ++i) {
      names_.push_back(kind + "-" + std::to_string(i));
    }
    before_ = SampleUsage();
  }
  auto Finish() -> Rates {
    const auto after = SampleUsage();
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
  auto SampleUsage() -> std::vector<Usage> {
    std::vector<Usage> usages;
    for (const auto& name : names_) {
      usages.push_back(ReadUsage(*deployment_, name));
    }
    return usages;
  }

  Deployment* deployment_;
  std::vector<std::string> names_;
  std::vector<Usage> before_;
};

auto Print(int agents, const char* description, const Rates& rates) -> void {
  std::printf("%6d  %-14s %8.2f %% core %8.1f MB %9.0f bytes/s\n", agents,
              description, rates.cpu_percent, rates.memory_mb,
              rates.bytes_per_s);
}

auto CountAppends(Deployment& deployment) -> double {
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
  const TimePoint started_at = Clock::now();
  const int code = deployment.Apply({}, {"--wait"});
  const std::string job = R"({"name":"marker","tasks":1,"command":"run 1",)"
                          R"("need":{"millicores":1,"memory_mb":1}})";
  const TimePoint changed_at = Clock::now();
  const int marker_code = deployment.Apply({job}, {"--wait"});
  std::printf(
      "%6d  change in force everywhere in %.2f s (exit %d/%d, first "
      "wait %.2f s)\n",
      agents, std::chrono::duration<double>(Clock::now() - changed_at).count(),
      code, marker_code,
      std::chrono::duration<double>(changed_at - started_at).count());
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
  const double appends = CountAppends(deployment);
  const TimePoint started_at = Clock::now();
  deployment.Apply({job});
  const bool all = WaitFor(
      [&deployment, tasks]() -> bool {
        return CountState(deployment, "running") >= tasks;
      },
      kTestTimeout);
  const double seconds =
      std::chrono::duration<double>(Clock::now() - started_at).count();
  std::printf(
      "%6d  %d tasks running after %.2f s%s, %.0f starts/s, %.0f "
      "appends\n",
      agents, tasks, seconds, all ? "" : " (NOT ALL)", tasks / seconds,
      CountAppends(deployment) - appends);
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
  const double appends = CountAppends(deployment);
  UsageSampler agent(&deployment, "agent", agents);
  UsageSampler entry(&deployment, "entry", 2);
  std::this_thread::sleep_for(kIdleTime);
  const Rates rates = agent.Finish();
  Print(agents, "agent, idle", rates);
  Print(agents, "entry, idle", entry.Finish());
  std::printf("%6d  %.1f appends/s\n", agents,
              (CountAppends(deployment) - appends) /
                  static_cast<double>(kIdleTime.count()));
  MeasureConfig(deployment, agents);
  if (workers) {
    MeasureStarts(deployment, agents);
    UsageSampler busy(&deployment, "agent", agents);
    UsageSampler owner(&deployment, "entry", 2);
    constexpr std::chrono::seconds kBusyTime{5};
    std::this_thread::sleep_for(kBusyTime);
    Print(agents, "agent, 4 tasks", busy.Finish());
    Print(agents, "entry, owning", owner.Finish());
  }
  return rates;
}

auto RunBench() -> int {
  const auto small = MeasureSize(11, true);
  const auto medium = MeasureSize(50, true);
  const auto large = MeasureSize(100, false);
  if (!small || !medium || !large) {
    return 1;
  }
  const double growth = large->bytes_per_s / small->bytes_per_s;
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

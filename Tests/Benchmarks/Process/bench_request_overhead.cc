// Measures the overhead that entry and agent add to a request, with real
// processes. The same request is sent alternately to the endpoint stand-in
// directly and through an entry, so that both are measured under the same load
// of the machine. The bounds apply to ratios within one run.

#include <algorithm>
#include <cstdio>
#include <thread>

#include "Tests/Support/deployment.h"

namespace rhubarbhaven::test {
namespace {

constexpr int kWarmUp = 200;
constexpr int kSamples = 4000;
constexpr int kCallers = 16;
constexpr std::chrono::seconds kThroughputTime{3};
// The service time of 5 ms is close to that of a fast query of the partners.
constexpr char kPath[] = "/coupon?ms=5";
// Bounds on the ratio of the latency through an entry to the direct latency,
// for a service time of 5 ms.
constexpr double kMedianBound = 1.5;
constexpr double kTailBound = 3.0;

using Samples = std::vector<double>;

auto TimeOne(HttpClient& http, const std::string& url, Samples& samples)
    -> bool {
  HttpClientRequest request;
  request.url = url;
  request.timeout = kTestTimeout;
  const TimePoint started_at = Clock::now();
  const bool complete = http.Call(request).complete;
  samples.push_back(
      std::chrono::duration<double, std::milli>(Clock::now() - started_at)
          .count());
  return complete;
}

auto Quantile(Samples samples, double quantile) -> double {
  std::sort(samples.begin(), samples.end());
  return samples[static_cast<std::size_t>(
      quantile * static_cast<double>(samples.size() - 1))];
}

auto Compare(Deployment& deployment) -> bool {
  HttpClient direct_client;
  HttpClient entry_client;
  const std::string direct_url = deployment.Url("endpoint-0") + kPath;
  const std::string entry_url =
      deployment.Url("entry-0") + "/call/rufisque/results" + kPath;
  Samples direct;
  Samples entry;
  for (int i = 0; i < kWarmUp + kSamples; ++i) {
    if (i == kWarmUp) {
      direct.clear();
      entry.clear();
    }
    if (!TimeOne(direct_client, direct_url, direct) ||
        !TimeOne(entry_client, entry_url, entry)) {
      std::printf("request %d was not answered\n", i);
      return false;
    }
  }
  bool within = true;
  std::printf("%-8s %12s %12s %8s %8s\n", "", "direct ms", "entry ms", "ratio",
              "bound");
  for (const auto& [name, quantile, bound] :
       {std::tuple("p50", 0.50, kMedianBound),
        std::tuple("p99", 0.99, kTailBound)}) {
    const double a = Quantile(direct, quantile);
    const double b = Quantile(entry, quantile);
    std::printf("%-8s %12.3f %12.3f %8.2f %8.2f\n", name, a, b, b / a, bound);
    within = within && b / a <= bound;
  }
  return within;
}

// Measures requests per second through one entry with endpoints that answer
// immediately.
auto MeasureThroughput(Deployment& deployment) -> void {
  std::atomic<int> answered = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  const TimePoint end = Clock::now() + kThroughputTime;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&deployment, &answered, end]() -> void {
      HttpClient http;
      HttpClientRequest request;
      request.url = deployment.Url("entry-0") + "/call/rufisque/results/quick";
      while (Clock::now() < end) {
        const auto answer = http.Call(request);
        answered += HeaderOf(answer.http, "rhubarbhaven-verdict") == "answered";
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  std::printf("requests a second through one entry, %d callers: %.0f\n",
              kCallers,
              static_cast<double>(answered) /
                  static_cast<double>(kThroughputTime.count()));
}

auto RunBench() -> int {
  Deployment deployment({.entries = 1, .agents = 3, .workers = false});
  if (!deployment.StartAll()) {
    std::printf("the deployment did not start\n");
    return 1;
  }
  const bool within = Compare(deployment);
  MeasureThroughput(deployment);
  return within ? 0 : 1;
}

}  // namespace
}  // namespace rhubarbhaven::test

auto main() -> int {
  return rhubarbhaven::test::RunBench();
}

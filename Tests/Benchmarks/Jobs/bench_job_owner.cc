// Measures the time that the owner of jobs spends on one message, for cells of
// increasing size.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <new>
#include <string>

#include "Tests/Benchmarks/Jobs/owner_simulation.h"

namespace {

std::atomic<uint64_t> allocations = 0;

}  // namespace

// If these were inlined, the compiler would report a mismatch of allocation and
// deallocation for each pair.
[[gnu::noinline]] auto operator new(std::size_t size) -> void* {
  allocations.fetch_add(1, std::memory_order_relaxed);
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

[[gnu::noinline]] auto operator delete(void* memory) noexcept -> void {
  std::free(memory);
}

[[gnu::noinline]] auto operator delete(void* memory, std::size_t) noexcept
    -> void {
  std::free(memory);
}

namespace rhubarbhaven::jobs {
namespace {

// Bounds that the documentation of capacity states: microseconds of processor
// time, and the ratio of growth.
constexpr double kMaxPerEndUs = 40.0;
constexpr double kMaxPerEmptyReportUs = 5.0;
constexpr double kMaxGrowth = 1.5;

auto HeapBytes() -> double {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

// Times `action`. `prepare` before it and `after` after it are not timed.
template <typename Prepare, typename Action, typename After>
auto Measure(benchmark::State& state,
             const Prepare& prepare,
             const Action& action,
             const After& after) -> void {
  uint64_t allocated = 0;
  for (auto _ : state) {
    prepare();
    const uint64_t before = allocations;
    const TimePoint begin = Clock::now();
    action();
    const std::chrono::duration<double> spent = Clock::now() - begin;
    allocated += allocations - before;
    state.SetIterationTime(spent.count());
    after();
  }
  state.counters["allocations"] = benchmark::Counter(
      static_cast<double>(allocated), benchmark::Counter::kAvgIterations);
}

auto GetLoad(const benchmark::State& state) -> Load {
  return static_cast<Load>(state.range(1));
}

auto ReportWithEnd(benchmark::State& state) -> void {
  const double before = HeapBytes();
  OwnerSimulation simulation(static_cast<int>(state.range(0)), GetLoad(state));
  state.counters["bytes/worker"] =
      (HeapBytes() - before) / static_cast<double>(state.range(0));
  Measure(
      state, [&simulation]() -> void { simulation.ReportWithEnd(); },
      [&simulation]() -> void { simulation.Deliver(); },
      [&simulation]() -> void { simulation.StoreRecords(); });
}

auto ReportWithoutEnd(benchmark::State& state) -> void {
  OwnerSimulation simulation(static_cast<int>(state.range(0)), GetLoad(state));
  Measure(
      state, [&simulation]() -> void { simulation.ReportWithoutEnd(); },
      [&simulation]() -> void { simulation.Deliver(); }, []() -> void {});
}

auto UrgentJobOf100(benchmark::State& state) -> void {
  OwnerSimulation simulation(static_cast<int>(state.range(0)), GetLoad(state));
  constexpr uint32_t kTasks = 100;
  Measure(
      state, []() -> void {},
      [&simulation]() -> void { simulation.AddUrgentJob(kTasks); },
      [&simulation]() -> void {
        for (uint32_t ended = 0; ended < kTasks; ++ended) {
          simulation.ReportWithEnd();
          simulation.Deliver();
        }
        simulation.StoreRecords();
      });
}

auto Sizes(benchmark::internal::Benchmark* bench, int iterations) -> void {
  bench->ArgNames({"workers", "load"});
  for (const auto load : {Load::kPlain, Load::kOpportunistic, Load::kMixed}) {
    for (const int workers : {20, 80, 320, 1280, 2500}) {
      bench->Args({workers, static_cast<int64_t>(load)});
    }
  }
  bench->Iterations(iterations)->UseManualTime();
  bench->Unit(benchmark::kMicrosecond);
}

constexpr int kReports = 3000;
constexpr int kJobs = 20;

BENCHMARK(ReportWithEnd)->Apply([](auto* bench) { Sizes(bench, kReports); });
BENCHMARK(ReportWithoutEnd)->Apply([](auto* bench) { Sizes(bench, kReports); });
BENCHMARK(UrgentJobOf100)->Apply([](auto* bench) { Sizes(bench, kJobs); });

// Prints to the console and records the times, which are compared with the
// bounds.
class RecordingReporter : public benchmark::ConsoleReporter {
 public:
  auto ReportRuns(const std::vector<Run>& runs) -> void override {
    for (const auto& run : runs) {
      times_[run.benchmark_name()] = run.GetAdjustedRealTime();
    }
    ConsoleReporter::ReportRuns(runs);
  }
  auto Time(const std::string& bench, int workers, Load load) const -> double {
    const auto found =
        times_.find(bench + "/workers:" + std::to_string(workers) +
                    "/load:" + std::to_string(static_cast<int>(load)) +
                    "/iterations:" + std::to_string(kReports) + "/manual_time");
    return found == times_.end() ? 0.0 : found->second;
  }

 private:
  std::map<std::string, double> times_;
};

auto CheckBound(const char* description, double value, double bound) -> bool {
  if (value <= bound) {
    return true;
  }
  std::fprintf(stderr, "%s: %.2f, at most %.2f\n", description, value, bound);
  return false;
}

auto CheckBounds(const RecordingReporter& times) -> bool {
  bool within_bounds = true;
  for (const auto load : {Load::kPlain, Load::kOpportunistic}) {
    const double small = times.Time("ReportWithEnd", 80, load);
    const double large = times.Time("ReportWithEnd", 1280, load);
    within_bounds &=
        CheckBound("an end with its replacement, us", large, kMaxPerEndUs);
    within_bounds &= CheckBound("its growth from 80 to 1,280 workers", large,
                                kMaxGrowth * small);
    within_bounds &= CheckBound("a report without an end, us",
                                times.Time("ReportWithoutEnd", 1280, load),
                                kMaxPerEmptyReportUs);
  }
  return within_bounds;
}

}  // namespace
}  // namespace rhubarbhaven::jobs

auto main(int argc, char** argv) -> int {
  benchmark::Initialize(&argc, argv);
  rhubarbhaven::jobs::RecordingReporter reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  return rhubarbhaven::jobs::CheckBounds(reporter) ? EXIT_SUCCESS
                                                   : EXIT_FAILURE;
}

// What the owner of jobs spends on one message, at growing sizes of its cell.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <new>
#include <string>

#include "Tests/Benchmarks/Jobs/owner_world.h"

namespace {

std::atomic<uint64_t> allocations = 0;

}  // namespace

// Inlined, each pair would be taken for a mismatch by the compiler.
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

// The bounds of the page on capacity, in microseconds of processor time.
constexpr double kMostPerEndUs = 40.0;
constexpr double kMostPerEmptyReportUs = 5.0;
constexpr double kMostGrowth = 1.5;

auto HeapBytes() -> double {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

// Times what `act` does, after `prepare`, which is not timed.
template <typename Prepare, typename Act, typename After>
auto Measure(benchmark::State& state,
             const Prepare& prepare,
             const Act& act,
             const After& after) -> void {
  uint64_t allocated = 0;
  for (auto _ : state) {
    prepare();
    const uint64_t before = allocations;
    const TimePoint begin = Clock::now();
    act();
    const std::chrono::duration<double> spent = Clock::now() - begin;
    allocated += allocations - before;
    state.SetIterationTime(spent.count());
    after();
  }
  state.counters["allocations"] = benchmark::Counter(
      static_cast<double>(allocated), benchmark::Counter::kAvgIterations);
}

auto LoadOf(const benchmark::State& state) -> Load {
  return static_cast<Load>(state.range(1));
}

auto ReportWithEnd(benchmark::State& state) -> void {
  const double before = HeapBytes();
  OwnerWorld world(static_cast<int>(state.range(0)), LoadOf(state));
  state.counters["bytes/worker"] =
      (HeapBytes() - before) / static_cast<double>(state.range(0));
  Measure(
      state, [&world]() -> void { world.ReportWithEnd(); },
      [&world]() -> void { world.Deliver(); },
      [&world]() -> void { world.Settle(); });
}

auto ReportWithoutEnd(benchmark::State& state) -> void {
  OwnerWorld world(static_cast<int>(state.range(0)), LoadOf(state));
  Measure(
      state, [&world]() -> void { world.ReportWithoutEnd(); },
      [&world]() -> void { world.Deliver(); }, []() -> void {});
}

auto UrgentJobOf100(benchmark::State& state) -> void {
  OwnerWorld world(static_cast<int>(state.range(0)), LoadOf(state));
  constexpr uint32_t kTasks = 100;
  Measure(
      state, []() -> void {},
      [&world]() -> void { world.AddUrgentJob(kTasks); },
      [&world]() -> void {
        for (uint32_t ended = 0; ended < kTasks; ++ended) {
          world.ReportWithEnd();
          world.Deliver();
        }
        world.Settle();
      });
}

auto Sizes(benchmark::internal::Benchmark* bench, int iterations) -> void {
  bench->ArgNames({"workers", "load"});
  for (const auto load : {Load::kPlain, Load::kFillers, Load::kMixed}) {
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

// Prints as usual, and keeps the times for the bounds.
class KeepingReporter : public benchmark::ConsoleReporter {
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

auto Hold(const char* what, double figure, double most) -> bool {
  if (figure <= most) {
    return true;
  }
  std::fprintf(stderr, "%s: %.2f, at most %.2f\n", what, figure, most);
  return false;
}

auto BoundsHold(const KeepingReporter& times) -> bool {
  bool hold = true;
  for (const auto load : {Load::kPlain, Load::kFillers}) {
    const double small = times.Time("ReportWithEnd", 80, load);
    const double large = times.Time("ReportWithEnd", 1280, load);
    hold &= Hold("an end with its replacement, us", large, kMostPerEndUs);
    hold &=
        Hold("its growth from 80 to 1,280 workers", large, kMostGrowth * small);
    hold &=
        Hold("a report without an end, us",
             times.Time("ReportWithoutEnd", 1280, load), kMostPerEmptyReportUs);
  }
  return hold;
}

}  // namespace
}  // namespace rhubarbhaven::jobs

auto main(int argc, char** argv) -> int {
  benchmark::Initialize(&argc, argv);
  rhubarbhaven::jobs::KeepingReporter reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  return rhubarbhaven::jobs::BoundsHold(reporter) ? EXIT_SUCCESS : EXIT_FAILURE;
}

// Measures the time of decisions and the memory use of the placer for cells of
// increasing size.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <deque>
#include <random>

#include "Placement/placement.h"

namespace rhubarbhaven {
namespace {

constexpr uint32_t kTasks = 80000;
constexpr uint32_t kTasksPerJob = 100;
constexpr uint32_t kBatch = 64;

auto Amount(uint32_t millicores, uint64_t memory_mb) -> schema::Resources {
  schema::Resources amount;
  amount.set_millicores(millicores);
  amount.set_memory_mb(memory_mb);
  return amount;
}

auto HeapBytes() -> double {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

// A cell with workers of 16 cores and 60 GB, three to a rack.
class Cell {
 public:
  explicit Cell(uint32_t workers) : placer_(PlacerOptions{}) {
    for (uint32_t number = 0; number < workers; ++number) {
      WorkerState worker;
      worker.instance = "w" + std::to_string(number);
      worker.partner = "coop";
      worker.rack = "r" + std::to_string(number / 3);
      worker.failure_domain = "d" + std::to_string(number % 3);
      worker.capacity = Amount(16000, 60000);
      worker.accepting = true;
      placer_.SetWorker(worker);
    }
  }

  auto Submit(uint32_t count) -> void {
    for (uint32_t added = 0; added < count; ++added) {
      const uint32_t job = submitted_ / kTasksPerJob;
      PendingTask task;
      task.task.set_partner("coop");
      task.task.set_job("j" + std::to_string(job));
      task.task.set_index(submitted_ % kTasksPerJob);
      task.team = "t" + std::to_string(job % 64);
      task.need = Amount(300 + job * 37 % 700, 1000 + job * 101 % 3000);
      task.priority = job % 3;
      task.waiting_since = now_;
      placer_.AddPending(task);
      ++submitted_;
    }
  }

  // Places tasks until none fits.
  auto Fill() -> void {
    while (Decide(4096) > 0) {
    }
  }

  auto Decide(std::size_t limit) -> std::size_t {
    now_ += std::chrono::milliseconds(10);
    const PlacerRound round = placer_.Decide(now_, limit);
    for (const PlaceDecision& decision : round.placements) {
      running_.push_back(decision.task);
    }
    return round.placements.size();
  }

  auto Finish(uint32_t count) -> void {
    for (uint32_t ended = 0; ended < count && !running_.empty(); ++ended) {
      const std::size_t picked = random_() % running_.size();
      std::swap(running_[picked], running_.back());
      placer_.RemovePlaced(running_.back());
      running_.pop_back();
    }
  }

  auto placer() -> Placer& { return placer_; }

 private:
  Placer placer_;
  TimePoint now_{std::chrono::hours(1)};
  uint32_t submitted_ = 0;
  std::vector<schema::TaskId> running_;
  std::mt19937 random_{1};
};

// A busy cell in which ended tasks are replaced from a backlog, with 80,000
// tasks in total. Only the time of decisions is measured.
auto BusyCell(benchmark::State& state) -> void {
  Cell cell(static_cast<uint32_t>(state.range(0)));
  const auto batch = static_cast<uint32_t>(state.range(1));
  cell.Submit(kTasks);
  cell.Fill();
  std::size_t placed = 0;
  Duration spent{0};
  while (state.KeepRunning()) {
    cell.Finish(batch);
    cell.Submit(batch);
    const TimePoint begun = Clock::now();
    placed += cell.Decide(batch);
    const Duration took = Clock::now() - begun;
    spent += took;
    state.SetIterationTime(std::chrono::duration<double>(took).count());
  }
  state.counters["us_per_placement"] =
      std::chrono::duration<double, std::micro>(spent).count() /
      static_cast<double>(std::max<std::size_t>(placed, 1));
  state.counters["placed"] = static_cast<double>(cell.placer().placed());
  state.counters["waiting"] = static_cast<double>(cell.placer().pending());
}
BENCHMARK(BusyCell)
    ->ArgNames({"workers", "batch"})
    ->ArgsProduct({{11, 250, 2500}, {1, kBatch}})
    ->UseManualTime()
    ->Iterations(200)
    ->Unit(benchmark::kMicrosecond);

// Measures a round that places nothing: no worker has room and a backlog waits.
auto FullCell(benchmark::State& state) -> void {
  Cell cell(static_cast<uint32_t>(state.range(0)));
  cell.Submit(kTasks);
  cell.Fill();
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(cell.Decide(kBatch));
  }
}
BENCHMARK(FullCell)
    ->ArgName("workers")
    ->Arg(11)
    ->Arg(250)
    ->Arg(2500)
    ->Iterations(200)
    ->Unit(benchmark::kMicrosecond);

// Measures the cancellation of a job with the given number of waiting tasks.
auto CancelJob(benchmark::State& state) -> void {
  const auto tasks = static_cast<uint32_t>(state.range(0));
  while (state.KeepRunning()) {
    Cell cell(11);
    PendingTask task;
    task.task.set_partner("coop");
    task.task.set_job("cancelled");
    for (uint32_t index = 0; index < tasks; ++index) {
      task.task.set_index(index);
      cell.placer().AddPending(task);
    }
    const TimePoint begun = Clock::now();
    cell.placer().RemoveJob("coop", "cancelled");
    state.SetIterationTime(
        std::chrono::duration<double>(Clock::now() - begun).count());
  }
}
BENCHMARK(CancelJob)
    ->ArgName("tasks")
    ->Arg(100)
    ->Arg(10000)
    ->Arg(100000)
    ->UseManualTime()
    ->Iterations(10)
    ->Unit(benchmark::kMicrosecond);

// Measures the heap bytes per worker and per task, waiting and placed.
auto Memory(benchmark::State& state) -> void {
  const auto workers = static_cast<uint32_t>(state.range(0));
  const auto tasks = static_cast<uint32_t>(state.range(1));
  while (state.KeepRunning()) {
    const double before = HeapBytes();
    auto cell = std::make_unique<Cell>(workers);
    const double with_workers = HeapBytes();
    cell->Submit(tasks);
    const double with_tasks = HeapBytes();
    state.counters["bytes_per_worker"] = (with_workers - before) / workers;
    state.counters["bytes_per_task"] = (with_tasks - with_workers) / tasks;
    while (!cell->placer().Decide(TimePoint{}, 4096).placements.empty()) {
    }
    state.counters["bytes_all"] = HeapBytes() - before;
    state.counters["placed"] = static_cast<double>(cell->placer().placed());
  }
}
BENCHMARK(Memory)
    ->ArgNames({"workers", "tasks"})
    ->Args({11, 1000})
    ->Args({250, 8000})
    ->Args({2500, 20000})
    ->Args({2500, 40000})
    ->Args({2500, 80000})
    ->Iterations(1);

}  // namespace
}  // namespace rhubarbhaven

BENCHMARK_MAIN();

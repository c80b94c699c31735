// Measures the cost of the configuration fold by number of objects, and the
// appends that are needed for given rates of entries. The bounds apply to
// sizes, to ratios within one run and to virtual time. The program exits with 1
// if a bound is exceeded.

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Journal/journal.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kChunkBytes = 256 << 10;
// Maximum snapshot bytes per object, and the maximum growth of the cost of a
// record and of the heap per object from the smallest fold to the largest,
// which is 40 times as large.
constexpr double kMaxSnapshotBytes = 200;
constexpr double kMaxCostGrowth = 6;
constexpr double kMaxHeapGrowth = 1.2;

auto JobName(uint64_t number) -> std::string {
  return "job-" + std::to_string(1000000 + number);
}

// Record that creates one job or, given its current version, changes it.
auto JobRecord(uint64_t number, uint64_t version, uint32_t priority)
    -> schema::LogRecord {
  schema::LogRecord record;
  record.set_writer("client");
  record.set_incarnation(number);
  record.set_sequence(version + 1);
  auto* change = record.add_entries()->mutable_config_change();
  change->set_change_id(JobName(number) + "." + std::to_string(version));
  change->set_partner("rufisque");
  auto* item = change->add_changes();
  item->mutable_key()->set_partner("rufisque");
  item->mutable_key()->set_kind(kJobKind);
  item->mutable_key()->set_name(JobName(number));
  item->set_expected_version(version);
  auto* job = item->mutable_object()->mutable_job();
  job->set_name(JobName(number));
  job->set_tasks(20);
  job->mutable_need()->set_millicores(1500);
  job->mutable_need()->set_memory_mb(4096);
  job->set_expected_s(600);
  job->set_priority(priority);
  job->set_command("rate --batch 2026-12-02");
  return record;
}

struct FoldCost {
  double record_us = 0;
  double adopt_ms = 0;
  double object_bytes = 0;
  double snapshot_bytes = 0;
  std::size_t chunks = 0;
};

auto Microseconds(Duration duration) -> double {
  return std::chrono::duration<double, std::micro>(duration).count();
}

auto HeapBytes() -> std::size_t {
  return mallinfo2().uordblks;
}

// Median of three runs, because the machine may be busy.
auto ChangeCost(ConfigFold* fold, uint64_t objects) -> double {
  constexpr uint64_t kChanges = 1000;
  std::vector<double> runs;
  uint64_t offset = fold->applied();
  for (uint32_t run = 1; run <= 3; ++run) {
    std::vector<schema::LogRecord> records;
    for (uint64_t i = 0; i < kChanges; ++i) {
      const uint64_t number = i * (objects / kChanges);
      schema::ObjectKey key;
      key.set_partner("rufisque");
      key.set_kind(kJobKind);
      key.set_name(JobName(number));
      records.push_back(JobRecord(number, fold->Find(key)->version(), run));
    }
    const TimePoint start = Clock::now();
    for (const auto& record : records) {
      fold->Apply(++offset, record);
    }
    runs.push_back(Microseconds(Clock::now() - start) / kChanges);
  }
  std::sort(runs.begin(), runs.end());
  return runs[1];
}

auto Measure(uint64_t objects) -> FoldCost {
  FoldCost cost;
  const std::size_t before = HeapBytes();
  auto fold = std::make_unique<ConfigFold>();
  for (uint64_t i = 0; i < objects; ++i) {
    fold->Apply(i + 1, JobRecord(i, 0, 0));
  }
  const auto count = static_cast<double>(objects);
  cost.object_bytes = static_cast<double>(HeapBytes() - before) / count;
  cost.record_us = ChangeCost(fold.get(), objects);
  const std::string state = fold->Export().SerializeAsString();
  cost.snapshot_bytes = static_cast<double>(state.size()) / count;
  cost.chunks = SplitSnapshot(1, state, kChunkBytes).size();
  const TimePoint start = Clock::now();
  schema::ConfigState parsed;
  parsed.ParseFromString(state);
  ConfigFold adopted;
  adopted.Adopt(parsed);
  cost.adopt_ms = Microseconds(Clock::now() - start) / 1000;
  return cost;
}

struct AppendRate {
  double appends_per_s = 0;
  double wait_p99_ms = 0;
};

// Simulates one writer in virtual time, with random arrivals of entries.
auto Simulate(double entries_per_s, milliseconds interval) -> AppendRate {
  constexpr seconds kRun{600};
  AppendQueueOptions options;
  options.interval = interval;
  AppendQueue queue(options);
  std::mt19937 random(42);
  std::exponential_distribution<double> gap(entries_per_s);
  const auto next_gap = [&]() -> Duration {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
  };
  TimePoint arrival = TimePoint() + next_gap();
  std::vector<TimePoint> waiting;
  std::vector<double> waits;
  int appends = 0;
  for (TimePoint now; now < TimePoint(kRun);
       now = std::min(arrival, queue.next_wake())) {
    if (arrival <= now) {
      queue.Enqueue(schema::LogEntry(), now);
      waiting.push_back(now);
      arrival += next_gap();
    }
    const auto record = queue.NextRecord(now);
    if (record.has_value()) {
      for (int i = 0; i < record->entries_size(); ++i) {
        waits.push_back(Microseconds(now - waiting[i]) / 1000);
      }
      waiting.erase(waiting.begin(), waiting.begin() + record->entries_size());
      queue.OnAppended(now);
      ++appends;
    }
  }
  std::sort(waits.begin(), waits.end());
  return {appends / static_cast<double>(kRun.count()),
          waits[waits.size() * 99 / 100]};
}

auto Check(bool holds, const char* bound) -> int {
  if (!holds) {
    std::printf("bound exceeded: %s\n", bound);
  }
  return holds ? 0 : 1;
}

auto Run() -> int {
  std::vector<FoldCost> costs;
  std::printf("%8s %12s %14s %16s %8s %10s\n", "objects", "us/record",
              "heap B/object", "snapshot B/obj", "chunks", "adopt ms");
  for (const uint64_t objects : {1000, 5000, 40000}) {
    costs.push_back(Measure(objects));
    const auto& cost = costs.back();
    std::printf("%8lu %12.2f %14.0f %16.1f %8zu %10.2f\n", objects,
                cost.record_us, cost.object_bytes, cost.snapshot_bytes,
                cost.chunks, cost.adopt_ms);
  }
  std::printf("\n%14s %12s %12s %12s\n", "entries/s", "interval ms",
              "appends/s", "p99 wait ms");
  int exceeded = 0;
  for (const double rate : {0.06, 1.0, 9.0, 100.0, 450.0}) {
    for (const int interval : {100, 250, 1000}) {
      const auto result = Simulate(rate, milliseconds(interval));
      std::printf("%14.2f %12d %12.2f %12.1f\n", rate, interval,
                  result.appends_per_s, result.wait_p99_ms);
      exceeded += Check(result.appends_per_s <= 1000.0 / interval + 0.01,
                        "at most one append per interval");
      // At a rate that exceeds the capacity of full records, the queue grows
      // until it is full.
      const auto max_entries =
          static_cast<double>(AppendQueueOptions().max_entries_per_record);
      const bool within_capacity = rate * interval / 1000 < max_entries;
      exceeded += Check(!within_capacity || result.wait_p99_ms <= interval,
                        "an entry waits at most one interval");
    }
  }
  const auto& small = costs.front();
  const auto& large = costs.back();
  exceeded += Check(large.record_us <= kMaxCostGrowth * small.record_us,
                    "growth of the cost of a record");
  exceeded += Check(large.snapshot_bytes <= kMaxSnapshotBytes,
                    "snapshot bytes per object");
  exceeded += Check(large.object_bytes <= kMaxHeapGrowth * small.object_bytes,
                    "growth of heap bytes per object");
  return exceeded == 0 ? 0 : 1;
}

}  // namespace
}  // namespace rhubarbhaven

auto main() -> int {
  return rhubarbhaven::Run();
}

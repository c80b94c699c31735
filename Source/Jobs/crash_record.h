#ifndef RHUBARBHAVEN_JOBS_CRASH_RECORD_H_
#define RHUBARBHAVEN_JOBS_CRASH_RECORD_H_

#include <cstdint>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// A run that has lasted this long did not crash its worker by starting.
constexpr std::chrono::milliseconds kCrashFreeAfter{1000};

// Crashes of workers during runs of one task, which may have caused them or
// only have run at the same time.
struct CrashRecord {
  // Crashes soon after a run's start, since the last run that lasted
  // `kCrashFreeAfter`.
  uint32_t in_row = 0;
  uint32_t in_all = 0;
  // The latest counted runs; agents report each run many times.
  std::vector<uint64_t> runs;
  // A run was lost with an unresponsive worker and may have crashed it.
  bool unconfirmed = false;

  // Records a crash of the worker during the run, which had lasted `ran`.
  // Returns false if it was already recorded.
  auto Record(uint64_t run, Duration ran) -> bool;
  // Called when a run of the task has lasted long enough.
  auto Clear() -> void;
  // Whether the task may have caused the latest crash of its worker.
  auto suspected() const -> bool { return in_row > 0 || unconfirmed; }
  // Whether one more crash may identify the task as the cause.
  auto on_last_attempt() const -> bool;
  // Whether there are enough crashes to treat the task as their cause if no
  // other task is equally suspect.
  auto likely_cause() const -> bool;
  // Whether there are enough crashes regardless of the other tasks.
  auto certain_cause(bool long_running) const -> bool;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_CRASH_RECORD_H_

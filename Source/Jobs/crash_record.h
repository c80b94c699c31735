#ifndef RHUBARBHAVEN_JOBS_CRASH_RECORD_H_
#define RHUBARBHAVEN_JOBS_CRASH_RECORD_H_

#include <cstdint>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// A run that has gone on for this long did not crash its worker by its start.
constexpr std::chrono::milliseconds kSoundAfter{1000};

// The crashes of workers under the runs of one task, which may be the cause of
// them or only have run beside it.
struct CrashRecord {
  // Crashes soon after a run's start, since a run of the task was sound.
  uint32_t in_row = 0;
  uint32_t in_all = 0;
  // The latest of the runs that are counted; agents tell of each many times.
  std::vector<uint64_t> runs;
  // A run was lost with a worker that is silent, and may have crashed it.
  bool unclear = false;

  // The worker has crashed under the run, which had gone on for `ran`. False if
  // that was known.
  auto Note(uint64_t run, Duration ran) -> bool;
  // A run of the task has gone on for long enough.
  auto Clear() -> void;
  // Whether the task may be what crashed its latest worker.
  auto suspected() const -> bool { return in_row > 0 || unclear; }
  // Whether one more crash may show the task to be the cause.
  auto on_last_try() const -> bool;
  // Whether the crashes are enough to hold the task to be their cause, if no
  // other task is as suspect.
  auto likely_cause() const -> bool;
  // Whether they are enough whatever else was there.
  auto certain_cause(bool long_running) const -> bool;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_CRASH_RECORD_H_

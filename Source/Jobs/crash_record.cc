#include "Jobs/crash_record.h"

#include <algorithm>

namespace rhubarbhaven::jobs {
namespace {

constexpr uint32_t kCrashesOfLikelyCause = 3;
constexpr uint32_t kCrashesOfCertainCause = 5;
// More than agents report repeatedly at one time.
constexpr std::size_t kMaxRecordedRuns = 8;

}  // namespace

auto CrashRecord::Record(uint64_t run, Duration ran) -> bool {
  if (std::find(runs.begin(), runs.end(), run) != runs.end()) {
    return false;
  }
  if (runs.size() >= kMaxRecordedRuns) {
    runs.erase(runs.begin());
  }
  runs.push_back(run);
  ++in_all;
  in_row = ran < kCrashFreeAfter ? in_row + 1 : 0;
  unconfirmed = false;
  return true;
}

auto CrashRecord::Clear() -> void {
  in_row = 0;
  unconfirmed = false;
}

auto CrashRecord::on_last_attempt() const -> bool {
  return in_row + (unconfirmed ? 1 : 0) + 1 >= kCrashesOfLikelyCause;
}

auto CrashRecord::likely_cause() const -> bool {
  return in_row >= kCrashesOfLikelyCause;
}

auto CrashRecord::certain_cause(bool long_running) const -> bool {
  // A long-running task is present at this many unrelated crashes in time.
  return in_row >= kCrashesOfCertainCause ||
         (!long_running && in_all >= kCrashesOfCertainCause);
}

}  // namespace rhubarbhaven::jobs

#include "Jobs/crash_record.h"

#include <algorithm>

namespace rhubarbhaven::jobs {
namespace {

constexpr uint32_t kCrashesOfLikelyCause = 3;
constexpr uint32_t kCrashesOfCertainCause = 5;
// More than are told again by agents at once.
constexpr std::size_t kMostRuns = 8;

}  // namespace

auto CrashRecord::Note(uint64_t run, Duration ran) -> bool {
  if (std::find(runs.begin(), runs.end(), run) != runs.end()) {
    return false;
  }
  if (runs.size() >= kMostRuns) {
    runs.erase(runs.begin());
  }
  runs.push_back(run);
  ++in_all;
  in_row = ran < kSoundAfter ? in_row + 1 : 0;
  unclear = false;
  return true;
}

auto CrashRecord::Clear() -> void {
  in_row = 0;
  unclear = false;
}

auto CrashRecord::on_last_try() const -> bool {
  return in_row + (unclear ? 1 : 0) + 1 >= kCrashesOfLikelyCause;
}

auto CrashRecord::likely_cause() const -> bool {
  return in_row >= kCrashesOfLikelyCause;
}

auto CrashRecord::certain_cause(bool long_running) const -> bool {
  // What lasts meets as many crashes of others in time.
  return in_row >= kCrashesOfCertainCause ||
         (!long_running && in_all >= kCrashesOfCertainCause);
}

}  // namespace rhubarbhaven::jobs

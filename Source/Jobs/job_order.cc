#include "Jobs/job_order.h"

#include <algorithm>
#include <vector>

namespace rhubarbhaven::jobs {
namespace {

// A job that exceeds its target by more than this factor is worthless to its
// caller.
constexpr int kTooLateFactor = 3;
// A long-running job has no end; it should be running within this time.
constexpr std::chrono::milliseconds kLongRunningStart{5000};
constexpr std::chrono::milliseconds kNever =
    std::chrono::milliseconds::max() - std::chrono::milliseconds(1);

auto Target(const JobWork& work) -> std::chrono::milliseconds {
  const auto chain = LongestChain(work, /*whole=*/true);
  const double stretch = std::max(1.0, work.rules.stretch());
  return std::chrono::duration_cast<std::chrono::milliseconds>(chain *
                                                               stretch) +
         std::chrono::milliseconds(work.rules.target_latency_ms());
}

auto IsLongRunning(const JobWork& work) -> bool {
  const auto& steps = work.job().steps();
  return std::any_of(
      steps.begin(), steps.end(),
      [](const JobStep& step) -> bool { return step.long_running(); });
}

// When the job, or its first unfinished occurrence, was due to begin.
auto DueStart(const JobWork& work) -> std::chrono::milliseconds {
  if (work.job().occurrences() == 0) {
    return std::chrono::milliseconds(work.job().received_unix_ms());
  }
  uint32_t first = work.opened > 0 ? work.opened - 1 : 0;
  for (const auto& [number, occurrence] : work.occurrences) {
    first = number;
    if (!occurrence.complete()) {
      break;
    }
  }
  return std::chrono::milliseconds(work.job().first_due_unix_ms() +
                                   first * work.job().interval_ms());
}

}  // namespace

auto LongestChain(const JobWork& work, bool whole)
    -> std::chrono::milliseconds {
  const OccurrenceWork* open = nullptr;
  for (const auto& [number, occurrence] : work.occurrences) {
    if (!occurrence.complete()) {
      open = &occurrence;
      break;
    }
  }
  std::vector<std::chrono::milliseconds> ends;
  std::chrono::milliseconds longest{0};
  for (int number = 0; number < work.job().steps_size(); ++number) {
    const auto& step = work.job().steps(number);
    std::chrono::milliseconds end{0};
    for (const uint32_t earlier : step.after()) {
      end = std::max(end, ends[earlier]);
    }
    const StepWork* state =
        open == nullptr ? nullptr
                        : &open->steps[static_cast<std::size_t>(number)];
    const bool done = !whole && state != nullptr && state->complete();
    if (!done) {
      end += state == nullptr ? std::chrono::milliseconds(step.estimated_ms())
                              : ExpectedRunTime(step, *state);
    }
    ends.push_back(end);
    longest = std::max(longest, end);
  }
  return longest;
}

auto JobTimes::has_due_time() const -> bool {
  return in_time_until != kNever;
}

auto JobTimes::OutlookAt(std::chrono::milliseconds now) const -> JobOutlook {
  if (now > of_use_until) {
    return JobOutlook::kTooLate;
  }
  return now > in_time_until ? JobOutlook::kLate : JobOutlook::kInTime;
}

auto JobTimes::NextWorse(std::chrono::milliseconds now) const
    -> std::chrono::milliseconds {
  constexpr std::chrono::milliseconds kNext{1};
  switch (OutlookAt(now)) {
    case JobOutlook::kInTime:
      // A job without a target reaches both at once.
      return std::min(in_time_until, of_use_until) + kNext;
    case JobOutlook::kLate:
      return of_use_until + kNext;
    case JobOutlook::kTooLate:
      break;
  }
  return std::chrono::milliseconds::max();
}

auto TimesOf(const JobWork& work) -> JobTimes {
  JobTimes times;
  const auto began = DueStart(work);
  if (IsLongRunning(work)) {
    times.due = began + kLongRunningStart;
    times.in_time_until = kNever;
    times.of_use_until = kNever;
    return times;
  }
  const auto target = Target(work);
  const auto left = LongestChain(work, /*whole=*/false);
  times.due = began + target;
  times.in_time_until = times.due - left;
  times.of_use_until = began + kTooLateFactor * target - left;
  return times;
}

auto RankOf(const JobWork& work,
            const JobTimes& times,
            const OverloadPosition& position) -> JobRank {
  return {work.rules.priority(), position, times.due, work.entry->accepted_at};
}

}  // namespace rhubarbhaven::jobs

#include "Jobs/job_order.h"

#include <algorithm>
#include <vector>

namespace rhubarbhaven::jobs {
namespace {

// Beyond this many times its target, a job is worth nothing to its caller.
constexpr int kTooLateFactor = 3;
// A job that lasts has no end; it should be at work this soon.
constexpr std::chrono::milliseconds kLastingStart{5000};

auto Target(const JobWork& work) -> std::chrono::milliseconds {
  const auto chain = LongestChain(work, /*whole=*/true);
  const double stretch = std::max(1.0, work.rules.stretch());
  return std::chrono::duration_cast<std::chrono::milliseconds>(chain *
                                                               stretch) +
         std::chrono::milliseconds(work.rules.target_latency_ms());
}

auto Lasts(const JobWork& work) -> bool {
  const auto& steps = work.job().steps();
  return std::any_of(
      steps.begin(), steps.end(),
      [](const JobStep& step) -> bool { return step.long_running(); });
}

// When the job, or its first occurrence that is not done, was due to begin.
auto Began(const JobWork& work) -> std::chrono::milliseconds {
  if (work.job().occurrences() == 0) {
    return std::chrono::milliseconds(work.job().received_unix_ms());
  }
  uint32_t first = 0;
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
    const bool done = !whole && open != nullptr &&
                      open->steps[static_cast<std::size_t>(number)].complete();
    if (!done) {
      end += std::chrono::milliseconds(step.estimated_ms());
    }
    ends.push_back(end);
    longest = std::max(longest, end);
  }
  return longest;
}

auto RankOf(const JobWork& work, std::chrono::milliseconds now) -> JobRank {
  JobRank rank;
  rank.priority = work.rules.priority();
  rank.accepted_at = work.entry->accepted_at;
  const auto began = Began(work);
  if (Lasts(work)) {
    rank.due = began + kLastingStart;
    return rank;
  }
  const auto target = Target(work);
  rank.due = began + target;
  const auto earliest = now + LongestChain(work, /*whole=*/false);
  if (earliest > began + kTooLateFactor * target) {
    rank.outlook = JobOutlook::kTooLate;
  } else if (earliest > rank.due) {
    rank.outlook = JobOutlook::kLate;
  }
  return rank;
}

}  // namespace rhubarbhaven::jobs

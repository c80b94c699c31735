#ifndef RHUBARBHAVEN_JOBS_JOB_ORDER_H_
#define RHUBARBHAVEN_JOBS_JOB_ORDER_H_

#include <chrono>
#include <cstdint>
#include <tuple>

#include "Jobs/job_work.h"

namespace rhubarbhaven::jobs {

// Place of a job in the order in which jobs are served; the smallest is first.
// The queue's priority decides, then whether the job can still be in time:
// under overload, serving the oldest first would make every job late.
struct JobRank {
  uint32_t priority = 0;
  JobOutlook outlook = JobOutlook::kInTime;
  std::chrono::milliseconds due{0};
  uint64_t accepted_at = 0;

  auto operator<(const JobRank& other) const -> bool {
    return std::tie(priority, outlook, due, accepted_at) <
           std::tie(other.priority, other.outlook, other.due,
                    other.accepted_at);
  }
};

// The longest chain of work of a job's steps that is not done, by the caller's
// estimates. All of it if `whole`.
auto LongestChain(const JobWork& work, bool whole) -> std::chrono::milliseconds;

// What a job's place in the order depends on beside the clock. It changes with
// the job's progress and its queue's rules. Times since 1970.
struct JobTimes {
  std::chrono::milliseconds due{0};
  // The last moments at which the rest of its work could begin for the job to
  // be in time, and to be of some use.
  std::chrono::milliseconds in_time_until{0};
  std::chrono::milliseconds of_use_until{0};

  auto OutlookAt(std::chrono::milliseconds now) const -> JobOutlook;
  // When the outlook changes next.
  auto NextWorse(std::chrono::milliseconds now) const
      -> std::chrono::milliseconds;
};

auto TimesOf(const JobWork& work) -> JobTimes;

// `now` is the time since 1970.
auto RankOf(const JobWork& work,
            const JobTimes& times,
            std::chrono::milliseconds now) -> JobRank;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_ORDER_H_

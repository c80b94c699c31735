#ifndef RHUBARBHAVEN_JOBS_JOB_ORDER_H_
#define RHUBARBHAVEN_JOBS_JOB_ORDER_H_

#include <chrono>
#include <cstdint>
#include <tuple>

#include "Jobs/job_work.h"
#include "Jobs/overload_order.h"

namespace rhubarbhaven::jobs {

// Where the order under overload puts a job.
struct OverloadPosition {
  OverloadClass overload_class = OverloadClass::kInTime;
  // Grows with the work that is left. Zero if that does not matter, as for jobs
  // in time.
  int work_level = 0;

  auto operator==(const OverloadPosition&) const -> bool = default;
};

// Rank of a job in the order in which jobs are served; the smallest is first.
// The queue's priority decides, then whether the job can still be in time:
// under overload, serving the oldest first would make every job late.
struct JobRank {
  uint32_t priority = 0;
  OverloadPosition position;
  std::chrono::milliseconds due{0};
  uint64_t accepted_at = 0;

  auto operator<(const JobRank& other) const -> bool {
    return std::tie(priority, position.overload_class, position.work_level, due,
                    accepted_at) <
           std::tie(other.priority, other.position.overload_class,
                    other.position.work_level, other.due, other.accepted_at);
  }
};

// The longest chain of unfinished work among a job's steps, by the expected run
// times. Includes finished work if `whole`.
auto LongestChain(const JobWork& work, bool whole) -> std::chrono::milliseconds;

// What a job's rank depends on besides the clock. It changes with the job's
// progress and its queue's rules. Times are since the Unix epoch.
struct JobTimes {
  std::chrono::milliseconds due{0};
  // The latest times at which the remaining work can start for the job to be in
  // time, and to be of some use.
  std::chrono::milliseconds in_time_until{0};
  std::chrono::milliseconds of_use_until{0};

  // The longest chain of unfinished work.
  auto chain_left() const -> std::chrono::milliseconds {
    return due - in_time_until;
  }
  // Whether the job has a time at which it is due.
  auto has_due_time() const -> bool;
  auto OutlookAt(std::chrono::milliseconds now) const -> JobOutlook;
  // When the outlook next gets worse.
  auto NextWorse(std::chrono::milliseconds now) const
      -> std::chrono::milliseconds;
};

auto TimesOf(const JobWork& work) -> JobTimes;

// The rank of a job at the position that its outlook or the order under
// overload gives it.
auto RankOf(const JobWork& work,
            const JobTimes& times,
            const OverloadPosition& position) -> JobRank;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_ORDER_H_

#ifndef RHUBARBHAVEN_JOBS_OVERLOAD_ORDER_H_
#define RHUBARBHAVEN_JOBS_OVERLOAD_ORDER_H_

#include <chrono>
#include <vector>

#include "Jobs/job_work.h"

namespace rhubarbhaven::jobs {

// Processor time: seconds of one processor.
using CoreSeconds = std::chrono::duration<double>;

// Number of processors that the cell gives to jobs: to tasks that reserve them,
// and to opportunistic ones.
struct CellRates {
  double reserved_cores = 0;
  double opportunistic_cores = 0;
};

// Processor time of a job's unfinished tasks at full speed.
struct WorkLeft {
  // Of tasks without a run.
  CoreSeconds waiting{0};
  // Of tasks with a run. It takes processors whatever the order is.
  CoreSeconds running{0};

  auto total() const -> CoreSeconds { return waiting + running; }
};

auto WorkLeftOf(const JobWork& work) -> WorkLeft;

// What the order under overload depends on, for one job with a due time.
struct OverloadJob {
  WorkLeft work_left;
  // Time until completion if nothing of it waits.
  std::chrono::milliseconds chain_left{0};
  // Since the Unix epoch.
  std::chrono::milliseconds due{0};
  JobOutlook outlook = JobOutlook::kInTime;
};

// Classes of the jobs of one priority, in the order in which they are served.
enum class OverloadClass {
  // Late, with so little work left that finishing it first makes no other job
  // late.
  kFinishFirst,
  kInTime,
  // Late, or displaced: it cannot be in time unless others are late for it.
  kLate,
  // Waiting longer loses nothing.
  kTooLate,
};

// The class of a job by its outlook alone, as without overload.
auto ClassOf(JobOutlook outlook) -> OverloadClass;

// Divides jobs of one priority into classes, by the number of processors that
// serve them and the work that is served before all of them. As many jobs as
// possible are in time: of those that cannot all be, the ones with the most
// work waiting are displaced (the Moore-Hodgson rule). `now` is since the Unix
// epoch. Returns the classes in the order of `jobs`.
auto ClassifyJobs(const std::vector<OverloadJob>& jobs,
                  double cores,
                  CoreSeconds work_before,
                  std::chrono::milliseconds now) -> std::vector<OverloadClass>;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_OVERLOAD_ORDER_H_

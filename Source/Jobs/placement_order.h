#ifndef RHUBARBHAVEN_JOBS_PLACEMENT_ORDER_H_
#define RHUBARBHAVEN_JOBS_PLACEMENT_ORDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "Jobs/job_order.h"
#include "Jobs/overload_order.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace rhubarbhaven::jobs {

// What the last check for overload found, over all jobs with a target.
struct OverloadState {
  // Jobs that can be in time, and jobs that others displace.
  std::size_t in_time = 0;
  std::size_t displaced = 0;
  CoreSeconds work_left{0};
  CellRates rates;
};

// The ready steps of open jobs that have tasks without a run, in the order in
// which they are served. Updated incrementally: a job is ranked again only if
// it has changed or time has made it late.
class PlacementOrder {
 public:
  struct WaitingStep {
    JobRank rank;
    // The step's first task.
    TaskPlace place;
    const JobStep* spec = nullptr;
    StepWork* state = nullptr;

    // Steps of one job are adjacent, ordered by their numbers.
    auto operator<(const WaitingStep& other) const -> bool;
  };
  using Steps = absl::btree_set<WaitingStep>;
  using OnOutlook = std::function<auto(JobWork&, JobOutlook)->void>;

  // Marks a job as new or changed, to be ranked in the next `Update`.
  auto MarkChanged(JobWork& work) -> void { changed_jobs_.insert(&work); }
  auto Forget(JobWork& work) -> void;
  auto Clear() -> void;
  // Ranks the jobs that were marked as changed or have become late. `wall` is
  // the time since the Unix epoch. Calls `on_outlook` for each job whose
  // outlook changes.
  auto Update(std::chrono::milliseconds wall, const OnOutlook& on_outlook)
      -> void;
  // Whether the order under overload should be computed again: tasks wait, and
  // it is older than its interval.
  auto IsOverloadCheckDue(std::chrono::milliseconds wall) const -> bool;
  // Computes which jobs can be in time at these rates and ranks jobs again that
  // others displace or that should be finished first.
  auto CheckOverload(std::chrono::milliseconds wall,
                     const CellRates& rates,
                     const OnOutlook& on_outlook) -> OverloadState;
  // As of the last `Update` or `CheckOverload`.
  auto steps() const -> const Steps& { return steps_; }

 private:
  using OutlookTime = std::pair<std::chrono::milliseconds, JobWork*>;
  // Position of an open job in the order.
  struct Entry {
    std::vector<WaitingStep> steps;
    JobTimes times;
    // When its outlook next gets worse.
    std::chrono::milliseconds worse_at{0};
  };
  // Jobs that compete for the same processors.
  struct Competitors {
    std::vector<JobWork*> works;
    std::vector<OverloadJob> jobs;
    // Of all these jobs that are not too late.
    CoreSeconds work_left{0};
  };
  // By whether the jobs are opportunistic, then by priority.
  using CompetitorsByKind = std::map<bool, std::map<uint32_t, Competitors>>;

  auto MarkLateChanged(std::chrono::milliseconds wall) -> void;
  auto Remove(JobWork& work) -> void;
  auto FindCompetitors(std::chrono::milliseconds wall) const
      -> CompetitorsByKind;
  auto PositionOf(JobWork& work, JobOutlook outlook) const -> OverloadPosition;
  // Ranks the job again if its position has changed.
  auto SetPosition(JobWork& work,
                   const OverloadPosition& position,
                   std::chrono::milliseconds wall,
                   const OnOutlook& on_outlook) -> void;
  auto Rank(JobWork& work,
            std::chrono::milliseconds wall,
            const OnOutlook& on_outlook) -> void;
  auto AddSteps(JobWork& work, const JobRank& rank, Entry* entry) -> void;

  absl::flat_hash_set<JobWork*> changed_jobs_;
  absl::flat_hash_map<JobWork*, Entry> entries_;
  // Positions that differ from those by the jobs' outlook alone.
  absl::flat_hash_map<JobWork*, OverloadPosition> positions_;
  Steps steps_;
  std::set<OutlookTime> worse_at_;
  std::chrono::milliseconds updated_at_{0};
  std::chrono::milliseconds checked_at_{0};
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_PLACEMENT_ORDER_H_

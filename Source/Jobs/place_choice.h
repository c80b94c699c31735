#ifndef RHUBARBHAVEN_JOBS_PLACE_CHOICE_H_
#define RHUBARBHAVEN_JOBS_PLACE_CHOICE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Base/base.h"
#include "Jobs/image_interference.h"
#include "Jobs/worker_changes.h"
#include "Jobs/worker_view.h"

namespace rhubarbhaven::jobs {

// Tickets for one step, by worker id.
using StepTickets = std::map<std::string, std::string>;

using WorkerViews = std::map<std::string, std::unique_ptr<WorkerView>>;

// Restrictions on the choice of a worker besides the step's own rules.
struct PlaceLimits {
  // Tickets of the workers that may run the step; null if it needs none.
  const StepTickets* tickets = nullptr;
  // Empty for any rack.
  std::string rack;
  // Whether an opportunistic task may start where it is slowed down, even to a
  // halt.
  bool any_speed = false;
  // Number of members of the same gang that are assigned to a worker and not
  // started yet.
  std::map<const WorkerView*, uint32_t> planned;
};

// Why a worker does not accept a task; the first reason that applies.
enum class PlacementRejection {
  kNone,
  // Its agent has not listed its runs, or has not reported recently.
  kNotReporting,
  kDraining,
  // Operators have evacuated its failure domain.
  kEvacuated,
  kUnresponsive,
  // It recently failed or rejected runs.
  kQuarantined,
  kOtherService,
  kOtherRack,
  kNoTicket,
  kNoLabel,
  kNoRoom,
  // The step's maximum number of tasks per worker runs there.
  kStepLimit,
  // The task is on its last attempt and other suspected tasks run there: after
  // one more crash the cause could not be determined.
  kSuspectedTasks,
  // An opportunistic task would run too slowly there, for the sake of serving
  // tasks.
  kInterference,
};

// Describes how many workers reject the task for each reason, for the log:
// "draining 1, no room 4". Distinguishes a full cell from one whose workers the
// owner does not know.
auto DescribeRejections(TimePoint now,
                        const WorkerViews& workers,
                        const TaskPlace& place,
                        const ImageInterference& interference,
                        const PlaceLimits& limits) -> std::string;

// Until when the task waits for a worker without other suspected tasks; in the
// past if it need not wait.
auto IsolationEnd(const TaskPlace& place) -> TimePoint;

// Returns the cost of the task on the worker, for comparison with other
// workers; none if it may not start there now.
auto CostOf(TimePoint now,
            WorkerView& worker,
            const TaskPlace& place,
            const ImageInterference& interference,
            const PlaceLimits& limits) -> std::optional<double>;

// Returns the worker on which a task should start, or null if none may accept
// it now. Of workers with equal cost it returns the first by agent name.
auto ChoosePlace(TimePoint now,
                 const WorkerChanges::Changed& workers,
                 const TaskPlace& place,
                 const ImageInterference& interference,
                 const PlaceLimits& limits = {}) -> WorkerView*;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_PLACE_CHOICE_H_

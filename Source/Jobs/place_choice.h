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

// Tickets of one step by the ids of workers.
using StepTickets = std::map<std::string, std::string>;

using WorkerViews = std::map<std::string, std::unique_ptr<WorkerView>>;

// What narrows the choice of a place beside the step's own rules.
struct PlaceLimits {
  // Workers that may run the step; null if it needs no ticket.
  const StepTickets* tickets = nullptr;
  // Empty for any rack.
  std::string rack;
  // Whether a filler may start where it is slowed, to nothing if need be.
  bool any_speed = false;
  // Members of the same gang that have a place there and are not started yet.
  std::map<const WorkerView*, uint32_t> planned;
};

// Why a worker does not take a task, the first reason that holds.
enum class PlaceRefusal {
  kNone,
  // Its agent has not listed its runs, or has not reported lately.
  kNotHeard,
  kDraining,
  // Operators empty its failure domain.
  kEvacuated,
  kSilent,
  // It failed or refused runs a moment ago.
  kSetAside,
  kOtherService,
  kOtherRack,
  kNoTicket,
  kNoLabel,
  kNoRoom,
  // Enough tasks of the step run there.
  kStepLimit,
  // One more crash shows the task to be the cause, unless another one is.
  kSuspects,
  // A filler would work too slowly there, for the sake of what serves.
  kDisturbing,
};

// How many workers refuse the task, by reason, for the log: "draining 1, no
// room 4". Tells a cell that is full from one whose workers the owner does not
// know.
auto DescribeRefusals(TimePoint now,
                      const WorkerViews& workers,
                      const TaskPlace& place,
                      const ImageInterference& interference,
                      const PlaceLimits& limits) -> std::string;

// Until when the task waits for a worker on which no other suspect runs; in the
// past if it need not.
auto ApartUntil(const TaskPlace& place) -> TimePoint;

// What the task costs on the worker, to be compared with other workers; none if
// it may not start there now.
auto CostOf(TimePoint now,
            WorkerView& worker,
            const TaskPlace& place,
            const ImageInterference& interference,
            const PlaceLimits& limits) -> std::optional<double>;

// The worker on which a task should start, or null if none of them may take it
// now. Of equals the first by the agents' names.
auto ChoosePlace(TimePoint now,
                 const WorkerChanges::Changed& workers,
                 const TaskPlace& place,
                 const ImageInterference& interference,
                 const PlaceLimits& limits = {}) -> WorkerView*;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_PLACE_CHOICE_H_

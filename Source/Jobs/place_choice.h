#ifndef RHUBARBHAVEN_JOBS_PLACE_CHOICE_H_
#define RHUBARBHAVEN_JOBS_PLACE_CHOICE_H_

#include <map>
#include <memory>
#include <string>

#include "Base/base.h"
#include "Jobs/image_interference.h"
#include "Jobs/worker_view.h"

namespace rhubarbhaven::jobs {

// Tickets of one step by the ids of workers.
using StepTickets = std::map<std::string, std::string>;

using WorkerViews = std::map<std::string, std::unique_ptr<WorkerView>>;

// The worker on which a task should start, or null if none may take it now.
// `rack` narrows the choice to one rack, empty for any; `tickets` to the
// workers that it names, null for any.
auto ChoosePlace(TimePoint now,
                 const WorkerViews& workers,
                 const TaskPlace& place,
                 const ImageInterference& interference,
                 const StepTickets* tickets = nullptr,
                 const std::string& rack = "") -> WorkerView*;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_PLACE_CHOICE_H_

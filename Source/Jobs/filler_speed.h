#ifndef RHUBARBHAVEN_JOBS_FILLER_SPEED_H_
#define RHUBARBHAVEN_JOBS_FILLER_SPEED_H_

#include "Jobs/image_interference.h"
#include "Jobs/worker_view.h"

namespace rhubarbhaven::jobs {

// The share of its full speed, 0 to 1, at which one more run like the task's
// would work on the worker's spare processors: as far as there are unused ones,
// and as its agent would pace it for the runs that serve there.
auto FillerSpeed(WorkerView& worker,
                 const TaskPlace& place,
                 const ImageInterference& interference) -> double;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_FILLER_SPEED_H_

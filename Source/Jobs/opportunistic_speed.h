#ifndef RHUBARBHAVEN_JOBS_OPPORTUNISTIC_SPEED_H_
#define RHUBARBHAVEN_JOBS_OPPORTUNISTIC_SPEED_H_

#include "Jobs/image_interference.h"
#include "Jobs/worker_view.h"

namespace rhubarbhaven::jobs {

// The share of its full speed, 0 to 1, at which one more run like the task's
// would work on the worker's spare processors. It is limited by the unused
// processors and by the pacing that the worker's agent would apply for the runs
// that serve there.
auto OpportunisticSpeed(WorkerView& worker,
                        const TaskPlace& place,
                        const ImageInterference& interference) -> double;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_OPPORTUNISTIC_SPEED_H_

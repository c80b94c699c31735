#ifndef RHUBARBHAVEN_PLACEMENT_PLACEMENT_H_
#define RHUBARBHAVEN_PLACEMENT_PLACEMENT_H_

// Public interface of the placement package: placement of tasks, preemption,
// interference control and worker health. The package performs no I/O, takes no
// locks, reads no clock and starts no threads.

#include "Placement/interference.h"
#include "Placement/placer.h"
#include "Placement/worker_health.h"

#endif  // RHUBARBHAVEN_PLACEMENT_PLACEMENT_H_

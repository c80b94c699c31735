#ifndef RHUBARBHAVEN_PLACEMENT_PLACEMENT_H_
#define RHUBARBHAVEN_PLACEMENT_PLACEMENT_H_

// Where tasks go, which give way, and what cannot run. No I/O, no locks, no
// clock, no threads.

#include "Placement/interference.h"
#include "Placement/placer.h"
#include "Placement/worker_health.h"

#endif  // RHUBARBHAVEN_PLACEMENT_PLACEMENT_H_

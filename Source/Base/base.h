#ifndef RHUBARBHAVEN_BASE_BASE_H_
#define RHUBARBHAVEN_BASE_BASE_H_

// Utilities that all other packages use: time, ring buffers, metrics, logging
// and settings.

#include "Base/bounded_ring.h"
#include "Base/event_log.h"
#include "Base/hashing.h"
#include "Base/json_file.h"
#include "Base/logging.h"
#include "Base/metrics.h"
#include "Base/settings_check.h"
#include "Base/stall_detector.h"
#include "Base/time.h"
#include "Base/timer_queue.h"

#endif  // RHUBARBHAVEN_BASE_BASE_H_

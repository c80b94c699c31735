#ifndef RHUBARBHAVEN_JOBS_JOBS_H_
#define RHUBARBHAVEN_JOBS_JOBS_H_

// Jobs that callers submit: their state in the platform's keyed log, the
// election of the owner that decides about them, the placement of their tasks,
// and the agents' part. No I/O, locks, clocks or threads.

#include "Jobs/Log/append_batcher.h"
#include "Jobs/Log/keyed_log.h"
#include "Jobs/Log/keyed_log_follower.h"
#include "Jobs/agent_registration.h"
#include "Jobs/agent_stops.h"
#include "Jobs/crash_record.h"
#include "Jobs/diagnostic_limiter.h"
#include "Jobs/entry_decisions.h"
#include "Jobs/heartbeat_check.h"
#include "Jobs/image_interference.h"
#include "Jobs/job_check.h"
#include "Jobs/job_fold.h"
#include "Jobs/job_owner.h"
#include "Jobs/job_progress.h"
#include "Jobs/job_records.h"
#include "Jobs/job_requests.h"
#include "Jobs/job_work.h"
#include "Jobs/lag_monitor.h"
#include "Jobs/opportunistic_pacing.h"
#include "Jobs/order_basis.h"
#include "Jobs/order_window.h"
#include "Jobs/owner_election.h"
#include "Jobs/queue_directory.h"
#include "Jobs/run_tracker.h"
#include "Jobs/start_check.h"
#include "Jobs/task_agent.h"
#include "Jobs/ticket_cache.h"
#include "Jobs/worker_id.h"
#include "Jobs/worker_port.h"

#endif  // RHUBARBHAVEN_JOBS_JOBS_H_

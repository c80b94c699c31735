#ifndef RHUBARBHAVEN_DAEMON_DAEMON_H_
#define RHUBARBHAVEN_DAEMON_DAEMON_H_

// The daemon as a library; the program is a thin front end.

#include "Daemon/job_agent.h"
#include "Daemon/job_service.h"
#include "Daemon/run_daemon.h"

#endif  // RHUBARBHAVEN_DAEMON_DAEMON_H_

#ifndef RHUBARBHAVEN_DAEMON_METRICS_PAGE_H_
#define RHUBARBHAVEN_DAEMON_METRICS_PAGE_H_

#include "Base/base.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// The metrics page of a daemon, with the traffic of its link.
auto AnswerMetrics(Metrics& metrics, const Link& link) -> HttpServerAnswer;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_METRICS_PAGE_H_

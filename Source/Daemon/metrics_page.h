#ifndef RHUBARBHAVEN_DAEMON_METRICS_PAGE_H_
#define RHUBARBHAVEN_DAEMON_METRICS_PAGE_H_

#include "Base/base.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// Renders the metrics of a daemon, including the traffic of its link in bytes.
auto AnswerMetrics(Metrics& metrics, const Link& link) -> HttpServerAnswer;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_METRICS_PAGE_H_

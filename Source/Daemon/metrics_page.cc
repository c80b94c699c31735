#include "Daemon/metrics_page.h"

namespace rhubarbhaven {

auto AnswerMetrics(Metrics& metrics, const Link& link) -> HttpServerAnswer {
  metrics.SetGauge("rhubarbhaven_link_bytes{direction=\"sent\"}",
                   static_cast<double>(link.bytes_sent()));
  metrics.SetGauge("rhubarbhaven_link_bytes{direction=\"received\"}",
                   static_cast<double>(link.bytes_received()));
  return {200,
          {{"Content-Type", "text/plain; version=0.0.4"}},
          metrics.Exposition()};
}

}  // namespace rhubarbhaven

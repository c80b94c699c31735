#ifndef RHUBARBHAVEN_DAEMON_HEALTH_PROBE_H_
#define RHUBARBHAVEN_DAEMON_HEALTH_PROBE_H_

#include <functional>
#include <string>

#include "Daemon/event_loop_thread.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// The thread that probes the health of an agent's endpoint.
class HealthProbe {
 public:
  // `on_change` runs on the probe's thread, with the first result and whenever
  // the result changes.
  HealthProbe(std::string url,
              std::function<auto(bool healthy)->void> on_change);

  auto Start() -> void { thread_.Start(); }
  auto Stop() -> void { thread_.Stop(); }

 private:
  auto Probe(TimePoint now) -> void;
  auto Report(bool healthy) -> void;

  std::string url_;
  std::function<auto(bool healthy)->void> on_change_;
  HttpClient http_;
  int failures_ = 0;
  bool reported_ = false;
  bool healthy_ = false;
  TimePoint next_probe_;
  EventLoopThread thread_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_HEALTH_PROBE_H_

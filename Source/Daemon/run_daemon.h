#ifndef RHUBARBHAVEN_DAEMON_RUN_DAEMON_H_
#define RHUBARBHAVEN_DAEMON_RUN_DAEMON_H_

#include <string>

namespace rhubarbhaven {

// Exit codes of the daemon.
enum class DaemonExit {
  kStopped = 0,
  // Something failed while it ran.
  kFailed = 1,
  // The settings are wrong, or an address cannot be listened on.
  kSettings = 2
};

// Runs the daemon with a settings file until SIGTERM or SIGINT, then stops
// as planned. With `check_only`, says whether the settings are right.
auto RunDaemon(const std::string& settings_path, bool check_only) -> DaemonExit;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_RUN_DAEMON_H_

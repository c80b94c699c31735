#ifndef RHUBARBHAVEN_DAEMON_RUN_DAEMON_H_
#define RHUBARBHAVEN_DAEMON_RUN_DAEMON_H_

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven {

// Exit codes of the daemon.
enum class DaemonExit {
  kStopped = 0,
  // The daemon failed while it ran.
  kFailed = 1,
  // The settings are invalid, or the daemon cannot listen on an address.
  kSettings = 2
};

// The role of a daemon process, such as entry or agent, with its start and its
// planned stop.
class DaemonRole {
 public:
  DaemonRole() = default;
  DaemonRole(const DaemonRole&) = delete;
  auto operator=(const DaemonRole&) -> DaemonRole& = delete;
  virtual ~DaemonRole() = default;
  virtual auto Start() -> absl::Status = 0;
  virtual auto Stop() -> void = 0;
};

// Creates the role of a process whose settings have the section `platform`.
using MakePlatformRole = std::function<
    auto(const schema::DaemonSettings&)->std::unique_ptr<DaemonRole>>;

// Runs the daemon with a settings file until SIGTERM or SIGINT, followed by a
// planned stop. With `check_only`, only validates the settings. SIGHUP or a
// change of the file reloads the settings that can change while the process
// runs: the level and format of its logs.
auto RunDaemon(const std::string& settings_path,
               bool check_only,
               const MakePlatformRole& make_platform_role) -> DaemonExit;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_RUN_DAEMON_H_

#include "Daemon/run_daemon.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>

#include "Daemon/agent_daemon.h"
#include "Daemon/entry_daemon.h"

namespace rhubarbhaven {
namespace {

// Interval at which the settings file is checked for changes without a signal.
constexpr std::chrono::seconds kSettingsPollInterval{5};

auto StopSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

// A role without interfaces of a platform.
template <typename Daemon>
class StandaloneRole : public DaemonRole {
 public:
  explicit StandaloneRole(const schema::DaemonSettings& settings)
      : daemon_(settings) {}
  auto Start() -> absl::Status override { return daemon_.Start(); }
  auto Stop() -> void override { daemon_.Stop(); }

 private:
  Daemon daemon_;
};

auto MakeRole(const schema::DaemonSettings& settings,
              const MakePlatformRole& make_platform_role)
    -> std::unique_ptr<DaemonRole> {
  if (settings.has_platform()) {
    return make_platform_role(settings);
  }
  if (settings.role() == "entry") {
    return std::make_unique<StandaloneRole<EntryDaemon>>(settings);
  }
  return std::make_unique<StandaloneRole<AgentDaemon>>(settings);
}

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

// Applies the settings that can change while the process runs. If the new
// settings are invalid, the old ones remain in effect.
auto Reload(const std::string& path, EventLog& log) -> void {
  const auto settings = LoadDaemonSettings(path);
  if (!settings.ok()) {
    log.Write("reload_refused",
              {{"why", std::string(settings.status().message())}});
    return;
  }
  ConfigureLogging(settings->logging(), settings->id());
  log.Write("reload", {{"path", path}});
}

// Waits for SIGTERM or SIGINT, and reloads the settings in the meantime.
auto WaitForStop(const sigset_t& signals, const std::string& path) -> void {
  EventLog log("daemon");
  std::string text = ReadFile(path);
  const timespec interval{kSettingsPollInterval.count(), 0};
  while (true) {
    const int signal = sigtimedwait(&signals, nullptr, &interval);
    if (signal == SIGTERM || signal == SIGINT) {
      return;
    }
    const std::string now = ReadFile(path);
    if (signal == SIGHUP || now != text) {
      Reload(path, log);
    }
    text = now;
  }
}

// Runs one role from its start to its planned stop.
auto RunRole(const schema::DaemonSettings& settings,
             const std::string& path,
             const MakePlatformRole& make_platform_role) -> DaemonExit {
  const sigset_t signals = StopSignals();
  // Blocked before any thread starts, so that only `sigtimedwait` receives
  // them.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const auto role = MakeRole(settings, make_platform_role);
  const auto status = role->Start();
  if (!status.ok()) {
    std::cerr << "rhubarbhavend: " << status.message() << "\n";
    return DaemonExit::kSettings;
  }
  WaitForStop(signals, path);
  role->Stop();
  return DaemonExit::kStopped;
}

}  // namespace

auto RunDaemon(const std::string& settings_path,
               bool check_only,
               const MakePlatformRole& make_platform_role) -> DaemonExit {
  const auto settings = LoadDaemonSettings(settings_path);
  if (!settings.ok()) {
    std::cerr << "rhubarbhavend: " << settings.status().message() << "\n";
    return DaemonExit::kSettings;
  }
  if (check_only) {
    std::cout << settings_path << ": settings of " << settings->role() << " "
              << settings->id() << " are valid\n";
    return DaemonExit::kStopped;
  }
  ConfigureLogging(settings->logging(), settings->id());
  return RunRole(*settings, settings_path, make_platform_role);
}

}  // namespace rhubarbhaven

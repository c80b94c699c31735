#include "Daemon/run_daemon.h"

#include <csignal>
#include <iostream>
#include <memory>

#include "Base/base.h"
#include "Daemon/agent_daemon.h"
#include "Daemon/entry_daemon.h"

namespace rhubarbhaven {
namespace {

auto StopSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Runs one role: start, wait for a signal, planned stop.
template <typename Role>
auto RunRole(const schema::DaemonSettings& settings) -> DaemonExit {
  const sigset_t signals = StopSignals();
  // Blocked before any thread starts, so that only `sigwait` takes them.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Role role(settings);
  const auto status = role.Start();
  if (!status.ok()) {
    std::cerr << "rhubarbhavend: " << status.message() << "\n";
    return DaemonExit::kSettings;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  role.Stop();
  return DaemonExit::kStopped;
}

}  // namespace

auto RunDaemon(const std::string& settings_path, bool check_only)
    -> DaemonExit {
  const auto settings = LoadDaemonSettings(settings_path);
  if (!settings.ok()) {
    std::cerr << "rhubarbhavend: " << settings.status().message() << "\n";
    return DaemonExit::kSettings;
  }
  if (check_only) {
    std::cout << settings_path << ": settings of " << settings->role() << " "
              << settings->id() << " are right\n";
    return DaemonExit::kStopped;
  }
  ConfigureLogging(settings->logging(), settings->id());
  return settings->role() == "entry" ? RunRole<EntryDaemon>(*settings)
                                     : RunRole<AgentDaemon>(*settings);
}

}  // namespace rhubarbhaven

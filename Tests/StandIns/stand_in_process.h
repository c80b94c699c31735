#ifndef RHUBARBHAVEN_TESTS_STANDINS_STAND_IN_PROCESS_H_
#define RHUBARBHAVEN_TESTS_STANDINS_STAND_IN_PROCESS_H_

#include <csignal>
#include <cstdio>
#include <string>

namespace rhubarbhaven {

inline auto StopSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// To be called before any thread starts, so that only ServeUntilStopped
// receives these signals.
inline auto BlockStopSignals() -> void {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Starts the server, prints event=listening port=N, and waits for SIGTERM or
// SIGINT. Returns the exit code: 1 if the server cannot listen, otherwise 0.
template <typename Server>
auto ServeUntilStopped(const char* name, Server& server) -> int {
  const auto status = server.Start();
  if (!status.ok()) {
    std::fprintf(stderr, "%s: %s\n", name,
                 std::string(status.message()).c_str());
    return 1;
  }
  std::printf("event=listening port=%d\n", server.port());
  std::fflush(stdout);
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TESTS_STANDINS_STAND_IN_PROCESS_H_

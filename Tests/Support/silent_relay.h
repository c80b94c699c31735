#ifndef RHUBARBHAVEN_TESTS_SUPPORT_SILENT_RELAY_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_SILENT_RELAY_H_

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace rhubarbhaven::test {

// Stands between two ends of TCP connections and passes bytes on. On command
// it loses track of the connections that are open: their bytes vanish both
// ways without a reset, while new connections work.
class SilentRelay {
 public:
  // Listens on a loopback port and passes on to another.
  SilentRelay(int listen_port, int target_port);
  SilentRelay(const SilentRelay&) = delete;
  auto operator=(const SilentRelay&) -> SilentRelay& = delete;
  ~SilentRelay();

  auto SilenceOpenConnections() -> void;
  // Refuses new connections and silences the open ones: a cut.
  auto Cut(bool cut) -> void;
  // Passes on the next request that begins with `start`. In place of its
  // answer it resets all open connections, and refuses new ones until
  // `ListenAgain`.
  auto ResetOnAnswerTo(const std::string& start) -> void;
  auto ListenAgain() -> void;
  auto accepted() const -> int { return accepted_; }

 private:
  struct Connection {
    int near = -1;
    int far = -1;
    std::atomic<bool> silent = false;
    std::atomic<bool> reset = false;
    // Only its pump uses it.
    bool resets_on_answer = false;
    std::thread thread;
  };

  auto Run() -> void;
  auto Accept() -> void;
  auto Pump(Connection* connection) -> void;
  // Whether the bytes begin the request that was waited for.
  auto TakeAwaited(const char* data, std::size_t size) -> bool;
  auto ResetAll() -> void;

  int target_port_;
  int listener_ = -1;
  std::atomic<bool> stop_ = false;
  std::atomic<bool> cut_ = false;
  std::atomic<int> accepted_ = 0;
  std::mutex mutex_;
  std::list<Connection> connections_;
  // Start of the request whose answer is cut off; empty for none.
  std::string awaited_;
  std::thread thread_;
};

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_SUPPORT_SILENT_RELAY_H_

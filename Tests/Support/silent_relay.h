#ifndef RHUBARBHAVEN_TESTS_SUPPORT_SILENT_RELAY_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_SILENT_RELAY_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace rhubarbhaven::test {

// What a relay does to connections while it lasts.
struct RelayFault {
  std::chrono::milliseconds request_delay{0};
  std::chrono::milliseconds answer_delay{0};
  // Requests pass, answers vanish. A connection that has lost bytes of an
  // answer loses all that follow, also after the fault.
  bool drops_answers = false;
  // Of the answers of each connection; zero without limit.
  std::size_t bytes_per_second = 0;
  // Only connections whose last request begins with this; empty for all.
  std::string only;
};

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
  auto ResetOpenConnections() -> void;
  auto SetFault(const RelayFault& fault) -> void;
  // Refuses new connections and silences the open ones: a cut.
  auto Cut(bool cut) -> void;
  // Passes on the next request that begins with `start`. In place of its
  // answer it resets all open connections, and refuses new ones until
  // `ListenAgain`.
  auto ResetOnAnswerTo(const std::string& start) -> void;
  auto ListenAgain() -> void;
  auto accepted() const -> int { return accepted_; }

 private:
  struct Chunk {
    std::chrono::steady_clock::time_point read_at;
    std::string bytes;
  };
  // Bytes under way in one direction.
  struct Lane {
    std::deque<Chunk> chunks;
    std::size_t size = 0;
    std::chrono::steady_clock::time_point free_at;
    bool ended = false;
  };
  struct Connection {
    int near = -1;
    int far = -1;
    std::atomic<bool> silent = false;
    std::atomic<bool> reset = false;
    // Only its pump uses these.
    bool resets_on_answer = false;
    bool answers_lost = false;
    std::string request;
    Lane requests;
    Lane answers;
    std::thread thread;
  };

  auto Run() -> void;
  auto Accept() -> void;
  auto Pump(Connection* connection) -> void;
  // Reads what an end has sent; false if the connection is over.
  auto Take(Connection* connection, bool is_answer) -> bool;
  auto TakeRequest(Connection* connection, const char* data, std::size_t size)
      -> void;
  // Passes on what is due; false if the connection is over.
  static auto Pass(int target,
                   Lane* lane,
                   std::chrono::milliseconds delay,
                   std::size_t bytes_per_second) -> bool;
  auto FaultOf(const Connection& connection) -> RelayFault;
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
  RelayFault fault_;
  std::thread thread_;
};

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_SUPPORT_SILENT_RELAY_H_

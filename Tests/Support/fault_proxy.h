#ifndef RHUBARBHAVEN_TESTS_SUPPORT_FAULT_PROXY_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_FAULT_PROXY_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace rhubarbhaven::test {

// Fault that a proxy applies to its connections while it is set.
struct ProxyFault {
  std::chrono::milliseconds request_delay{0};
  std::chrono::milliseconds answer_delay{0};
  // Forwards requests and discards answers. A connection that has lost bytes of
  // an answer loses all later ones too, also after the fault is cleared.
  bool drops_answers = false;
  // Rate limit on the answers of each connection; zero for no limit.
  std::size_t bytes_per_second = 0;
  // The fault applies only to connections whose last request begins with this;
  // empty for all connections.
  std::string request_prefix;
};

// TCP proxy that injects network faults. It can blackhole the connections that
// are open: their bytes are discarded in both directions without a reset, while
// new connections work.
class FaultProxy {
 public:
  // Listens on one loopback port and forwards to another.
  FaultProxy(int listen_port, int target_port);
  FaultProxy(const FaultProxy&) = delete;
  auto operator=(const FaultProxy&) -> FaultProxy& = delete;
  ~FaultProxy();

  auto BlackholeOpenConnections() -> void;
  auto ResetOpenConnections() -> void;
  auto SetFault(const ProxyFault& fault) -> void;
  // Simulates a network partition: refuses new connections and blackholes the
  // open ones. False allows new connections again.
  auto SetPartitioned(bool partitioned) -> void;
  // Forwards the next request that begins with `prefix`. Instead of forwarding
  // its answer, resets all open connections and refuses new ones until
  // `ResumeListening` is called.
  auto ResetOnAnswerTo(const std::string& prefix) -> void;
  auto ResumeListening() -> void;
  auto accepted() const -> int { return accepted_; }

 private:
  struct Chunk {
    std::chrono::steady_clock::time_point read_at;
    std::string bytes;
  };
  // Bytes in transit in one direction.
  struct ByteQueue {
    std::deque<Chunk> chunks;
    std::size_t size = 0;
    std::chrono::steady_clock::time_point next_send_at;
    bool end_of_stream = false;
  };
  struct Connection {
    int client_socket = -1;
    int server_socket = -1;
    std::atomic<bool> blackholed = false;
    std::atomic<bool> reset = false;
    // Used only by the thread of this connection.
    bool resets_on_answer = false;
    bool discards_answers = false;
    std::string request;
    ByteQueue requests;
    ByteQueue answers;
    std::thread thread;
  };

  auto Run() -> void;
  auto Accept() -> void;
  auto Pump(Connection* connection) -> void;
  // Reads and queues what one side has sent. Returns false if the connection is
  // to be closed.
  auto ReadAvailable(Connection* connection, bool is_answer) -> bool;
  auto InspectRequest(Connection* connection,
                      const char* data,
                      std::size_t size) -> void;
  // Sends the queued bytes that are due to `target`. Returns false if the
  // connection is to be closed.
  static auto Forward(int target,
                      ByteQueue* queue,
                      std::chrono::milliseconds delay,
                      std::size_t bytes_per_second) -> bool;
  auto FaultFor(const Connection& connection) -> ProxyFault;
  // Returns whether the bytes begin with the awaited request; if so, stops
  // waiting for it.
  auto MatchAwaitedRequest(const char* data, std::size_t size) -> bool;
  auto ResetAll() -> void;

  int target_port_;
  int listener_ = -1;
  std::atomic<bool> stop_ = false;
  std::atomic<bool> partitioned_ = false;
  std::atomic<int> accepted_ = 0;
  std::mutex mutex_;
  std::list<Connection> connections_;
  // Prefix of the request whose answer is replaced by a reset; empty for none.
  std::string awaited_request_;
  ProxyFault fault_;
  std::thread thread_;
};

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_SUPPORT_FAULT_PROXY_H_

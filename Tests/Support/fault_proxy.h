#ifndef RHUBARBHAVEN_TESTS_SUPPORT_FAULT_PROXY_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_FAULT_PROXY_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "Tests/Support/shared_rate.h"

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

// How the connections of one source are cut off.
enum class CutOff {
  kNone,
  // Their bytes are discarded in both directions, without a reset.
  kBlackholed,
  kReset,
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
  // Cuts off the connections of the ZeroMQ peer with this routing id, also
  // those that it opens later; the connections of other peers work. With
  // `kNone` its blackholed connections are reset, and new ones work.
  auto SetCutOff(const std::string& source, CutOff cut_off) -> void;
  // Limits the requests of the ZeroMQ peer with this routing id, or of all
  // connections that state none, to what the rate admits.
  auto SetRequestRate(const std::string& source,
                      std::shared_ptr<SharedRate> rate) -> void;
  // Limits the answers of all connections together to what the rate admits.
  auto SetAnswerRate(std::shared_ptr<SharedRate> rate) -> void;
  // Forwards the next request that begins with `prefix`. Instead of forwarding
  // its answer, resets all open connections and refuses new ones until
  // `ResumeListening` is called.
  auto ResetOnAnswerTo(const std::string& prefix) -> void;
  auto ResumeListening() -> void;
  auto accepted() const -> int { return accepted_; }

 private:
  struct Chunk {
    // When it was read or, behind a shared rate, when it has passed the link.
    std::chrono::steady_clock::time_point ready_at;
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
    // Routing id of a ZeroMQ peer; empty while unknown. Guarded by the proxy's
    // lock.
    std::string source;
    // Used only by the thread of this connection.
    bool resets_on_answer = false;
    bool discards_answers = false;
    std::string request;
    // First bytes of the requests, until they have told the source.
    std::string greeting;
    std::shared_ptr<SharedRate> request_rate;
    std::shared_ptr<SharedRate> answer_rate;
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
  // Learns the source from the first bytes of the connection.
  auto InspectGreeting(Connection* connection,
                       const char* data,
                       std::size_t size) -> void;
  // Applies to a connection what is set for its source. To be called under the
  // lock.
  auto ApplySource(Connection* connection) -> void;
  // To be called under the lock.
  auto RateOf(const std::string& source) const -> std::shared_ptr<SharedRate>;
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
  // By source.
  std::map<std::string, CutOff> cut_offs_;
  std::map<std::string, std::shared_ptr<SharedRate>> request_rates_;
  std::shared_ptr<SharedRate> answer_rate_;
  std::thread thread_;
};

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_SUPPORT_FAULT_PROXY_H_

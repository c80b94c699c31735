#ifndef RHUBARBHAVEN_TRANSPORT_SOCKET_POLLER_H_
#define RHUBARBHAVEN_TRANSPORT_SOCKET_POLLER_H_

#include <chrono>
#include <vector>
#include <zmq.hpp>

namespace rhubarbhaven {

// Waits for ZeroMQ sockets. A wait costs by what has happened, not by how many
// sockets there are; `zmq::poll` asks each of them, several system calls each.
//
// A socket is named once for several things that happened, and what a send
// takes in on the way is not named at all: receive until nothing is left, also
// after each send.
class SocketPoller {
 public:
  SocketPoller();
  SocketPoller(const SocketPoller&) = delete;
  auto operator=(const SocketPoller&) -> SocketPoller& = delete;
  ~SocketPoller();

  // A descriptor that ends a wait and is not named by it.
  auto AddWake(int descriptor) -> void;
  // `name` comes back from `Wait`.
  auto Add(zmq::socket_t& socket, void* name) -> void;
  // Before the socket is closed.
  auto Remove(zmq::socket_t& socket) -> void;
  // Names of sockets at which something has happened.
  auto Wait(std::chrono::milliseconds limit) -> std::vector<void*>;

 private:
  int epoll_ = -1;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TRANSPORT_SOCKET_POLLER_H_

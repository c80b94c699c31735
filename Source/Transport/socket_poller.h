#ifndef RHUBARBHAVEN_TRANSPORT_SOCKET_POLLER_H_
#define RHUBARBHAVEN_TRANSPORT_SOCKET_POLLER_H_

#include <chrono>
#include <vector>
#include <zmq.hpp>

namespace rhubarbhaven {

// Waits for events on ZeroMQ sockets. The cost of a wait depends on the number
// of events, not on the number of sockets; `zmq::poll` makes several system
// calls for each socket.
//
// A socket is reported once for several events, and messages that ZeroMQ reads
// during a send are not reported at all. Therefore a socket must be read until
// no message is left, also after each send.
class SocketPoller {
 public:
  SocketPoller();
  SocketPoller(const SocketPoller&) = delete;
  auto operator=(const SocketPoller&) -> SocketPoller& = delete;
  ~SocketPoller();

  // Adds a descriptor that ends a wait and is not reported by it.
  auto AddWakeDescriptor(int descriptor) -> void;
  // `tag` is returned by `Wait`.
  auto Add(zmq::socket_t& socket, void* tag) -> void;
  // Must be called before the socket is closed.
  auto Remove(zmq::socket_t& socket) -> void;
  // Tags of the sockets that have events.
  auto Wait(std::chrono::milliseconds limit) -> std::vector<void*>;

 private:
  int epoll_ = -1;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TRANSPORT_SOCKET_POLLER_H_

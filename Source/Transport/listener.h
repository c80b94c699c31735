#ifndef RHUBARBHAVEN_TRANSPORT_LISTENER_H_
#define RHUBARBHAVEN_TRANSPORT_LISTENER_H_

#include <netinet/in.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>

namespace rhubarbhaven {

// A listening TCP socket and the thread that accepts its connections.
class Listener {
 public:
  // Takes over the connection's descriptor.
  using OnConnection = std::function<auto(int, const sockaddr_in&)->void>;

  Listener();
  Listener(const Listener&) = delete;
  auto operator=(const Listener&) -> Listener& = delete;
  ~Listener();

  // False if the address cannot be listened on. Port zero takes any free one.
  auto Open(const sockaddr_in& address) -> bool;
  auto Start(OnConnection on_connection) -> void;
  // Accepts what waits already, then closes the socket. May be called twice.
  auto Stop() -> void;
  auto port() const -> uint16_t { return port_; }

 private:
  auto Run() -> void;
  auto AcceptWaiting() -> void;

  // Turns readable at a stop.
  const int wake_;
  int socket_ = -1;
  uint16_t port_ = 0;
  OnConnection on_connection_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TRANSPORT_LISTENER_H_

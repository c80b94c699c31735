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
  // Called for each connection; takes ownership of the file descriptor.
  using OnConnection = std::function<auto(int, const sockaddr_in&)->void>;

  Listener();
  Listener(const Listener&) = delete;
  auto operator=(const Listener&) -> Listener& = delete;
  ~Listener();

  // Returns false if listening on the address fails. Port zero selects a free
  // port.
  auto Open(const sockaddr_in& address) -> bool;
  auto Start(OnConnection on_connection) -> void;
  // Accepts the pending connections, then closes the socket. May be called
  // twice.
  auto Stop() -> void;
  auto port() const -> uint16_t { return port_; }

 private:
  auto Run() -> void;
  auto AcceptPending() -> void;

  // Becomes readable when the listener is stopped.
  const int wake_fd_;
  int socket_ = -1;
  uint16_t port_ = 0;
  OnConnection on_connection_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TRANSPORT_LISTENER_H_

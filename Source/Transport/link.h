#ifndef RHUBARBHAVEN_TRANSPORT_LINK_H_
#define RHUBARBHAVEN_TRANSPORT_LINK_H_

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// Version of the protocol between the processes of the system.
inline constexpr uint32_t kWireVersion = 1;

struct LinkOptions {
  // Id and incarnation of this process, as sent to peers.
  std::string id;
  uint64_t incarnation = 0;
  // Endpoint to listen on ("tcp://IP:PORT"); empty for a process that only
  // connects.
  std::string bind;
  // Endpoints to connect to.
  std::vector<std::string> connect;
  // Whether `Send` also connects to any endpoint ("tcp://...") that is passed
  // to it. Such a connection is closed when nothing was sent on it for
  // `idle_limit`.
  bool connect_on_send = false;
  std::chrono::milliseconds idle_limit{10000};
  std::size_t max_message_bytes = 8 << 20;
  std::size_t ring_capacity = 8192;
  // ZeroMQ heartbeats. A connection on which nothing is received for
  // `heartbeat_timeout` is replaced.
  std::chrono::milliseconds heartbeat_interval{500};
  std::chrono::milliseconds heartbeat_timeout{1500};
  // Called on the link's thread for each well-formed message; must not block.
  // `peer` is the id of the sender, or the endpoint if the message was received
  // on a connection that this process opened (see `Send`).
  std::function<auto(const std::string& peer, schema::Envelope)->void>
      on_message;
  // A message was dropped: malformed, wrong version or too large.
  std::function<auto(schema::Reason)->void> on_dropped;
  // Called on the link's thread if a message was not passed to any connection.
  std::function<auto(const std::string& peer, const schema::Envelope&)->void>
      on_unsent;
};

// Whether the endpoint has the form "tcp://HOST:PORT", to which a link can
// connect.
auto IsTcpEndpoint(const std::string& endpoint) -> bool;
// The same, with an IP address as the host. The thread of a link waits while
// the name of a host is looked up.
auto IsNumericTcpEndpoint(const std::string& endpoint) -> bool;

// ZeroMQ connections between the processes of the system, on one thread that
// owns all sockets. The listening side addresses a peer by its id, the
// connecting side by the endpoint that it connected to.
class Link {
 public:
  explicit Link(LinkOptions options);
  Link(const Link&) = delete;
  auto operator=(const Link&) -> Link& = delete;
  ~Link();

  auto Start() -> absl::Status;
  // May be called from any thread. Fills in version, sender and incarnation.
  // Returns false if the ring is full; the message is then certainly not sent.
  auto Send(const std::string& peer, schema::Envelope message) -> bool;
  // Bytes of messages since the start, without the framing of ZeroMQ.
  auto bytes_sent() const -> uint64_t;
  auto bytes_received() const -> uint64_t;
  // Sends the queued messages, for at most `limit`, then closes the sockets.
  auto Stop(std::chrono::milliseconds limit) -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TRANSPORT_LINK_H_

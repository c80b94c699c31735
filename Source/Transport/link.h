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

// Version of the protocol between the system's own processes.
inline constexpr uint32_t kWireVersion = 1;

struct LinkOptions {
  // Identity towards peers, and this process's incarnation.
  std::string id;
  uint64_t incarnation = 0;
  // Where to listen ("tcp://IP:PORT"); empty for a process that only connects.
  std::string bind;
  // Whom to connect to.
  std::vector<std::string> connect;
  // Also connect to any endpoint ("tcp://...") that `Send` names, and let go
  // of it when nothing was sent there for `idle_limit`.
  bool connect_on_send = false;
  std::chrono::milliseconds idle_limit{10000};
  std::size_t max_message_bytes = 8 << 20;
  std::size_t ring_capacity = 8192;
  // Protocol heartbeats: a connection that is silent this long is replaced.
  std::chrono::milliseconds heartbeat_interval{500};
  std::chrono::milliseconds heartbeat_timeout{1500};
  // Runs on the link's thread for each well-formed message; must not block.
  // `peer` is the sender's id, or the endpoint for a message that came over a
  // connection made by this process (see `Send`).
  std::function<auto(const std::string& peer, schema::Envelope)->void>
      on_message;
  // A message was dropped: malformed, wrong version or too large.
  std::function<auto(schema::Reason)->void> on_dropped;
  // Runs on the link's thread: the message was not handed to any connection.
  std::function<auto(const std::string& peer, const schema::Envelope&)->void>
      on_unsent;
};

// Whether a link can be made to an endpoint of this form: "tcp://HOST:PORT".
auto IsTcpEndpoint(const std::string& endpoint) -> bool;

// ZeroMQ between the system's processes, on one thread that owns all sockets.
// The listening side addresses a peer by its id, the connecting side by the
// endpoint that it connected to.
class Link {
 public:
  explicit Link(LinkOptions options);
  Link(const Link&) = delete;
  auto operator=(const Link&) -> Link& = delete;
  ~Link();

  auto Start() -> absl::Status;
  // From any thread. False if the ring is full: certainly not sent.
  // Version, sender and incarnation are filled in.
  auto Send(const std::string& peer, schema::Envelope message) -> bool;
  // Bytes of messages since the start, without the protocol's framing.
  auto bytes_sent() const -> uint64_t;
  auto bytes_received() const -> uint64_t;
  // Sends what is queued, for at most `limit`, then closes.
  auto Stop(std::chrono::milliseconds limit) -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TRANSPORT_LINK_H_

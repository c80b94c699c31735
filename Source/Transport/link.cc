#include "Transport/link.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>
#include <zmq.hpp>

namespace rhubarbhaven {
namespace {

constexpr char kTcp[] = "tcp://";
constexpr int kLargestPort = 65535;
constexpr int kQueuedMessages = 1000;
constexpr std::chrono::milliseconds kReconnect{100};
constexpr std::chrono::milliseconds kReconnectLongest{1000};
constexpr std::chrono::milliseconds kPollLimit{500};
// Sockets are served in turns, so that one busy peer starves no other.
constexpr int kMessagesPerTurn = 64;

auto Milliseconds(std::chrono::milliseconds time) -> int {
  return static_cast<int>(time.count());
}

// In names of hosts, and in addresses of either family.
auto IsHostByte(unsigned char c) -> bool {
  return absl::ascii_isalnum(c) || c == '.' || c == '-' || c == '_' ||
         c == ':' || c == '[' || c == ']';
}

}  // namespace

class Link::Impl {
 public:
  explicit Impl(LinkOptions options)
      : options_(std::move(options)), ring_(options_.ring_capacity) {}
  Impl(const Impl&) = delete;
  auto operator=(const Impl&) -> Impl& = delete;
  ~Impl() { Stop(std::chrono::milliseconds(0)); }

  auto Start() -> absl::Status {
    try {
      OpenSockets();
    } catch (const zmq::error_t& error) {
      return absl::UnavailableError(
          absl::StrCat("cannot open link at ", options_.bind, ": ",
                       error.what(), "; check address and port"));
    }
    thread_ = std::thread([this]() -> void { Run(); });
    return absl::OkStatus();
  }

  auto Send(const std::string& peer, schema::Envelope message) -> bool {
    message.set_version(kWireVersion);
    message.set_sender(options_.id);
    message.set_sender_incarnation(options_.incarnation);
    return ring_.Push({peer, std::move(message)});
  }

  auto bytes_sent() const -> uint64_t { return bytes_sent_; }
  auto bytes_received() const -> uint64_t { return bytes_received_; }

  auto Stop(std::chrono::milliseconds limit) -> void {
    if (!thread_.joinable()) {
      return;
    }
    linger_ = limit;
    stop_ = true;
    const uint64_t one = 1;
    static_cast<void>(!write(ring_.wake_fd(), &one, sizeof(one)));
    thread_.join();
  }

 private:
  struct Outgoing {
    std::string peer;
    schema::Envelope message;
  };

  auto SetCommonOptions(zmq::socket_t& socket) -> void {
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, kQueuedMessages);
    socket.set(zmq::sockopt::rcvhwm, kQueuedMessages);
    socket.set(zmq::sockopt::maxmsgsize,
               static_cast<int64_t>(options_.max_message_bytes));
    // A device between two ends may lose track of a connection: bytes vanish
    // both ways without a reset. Without heartbeats both ends would wait for
    // minutes; with them the connection is dropped and made anew.
    socket.set(zmq::sockopt::heartbeat_ivl,
               Milliseconds(options_.heartbeat_interval));
    socket.set(zmq::sockopt::heartbeat_timeout,
               Milliseconds(options_.heartbeat_timeout));
    socket.set(zmq::sockopt::heartbeat_ttl,
               Milliseconds(options_.heartbeat_timeout));
  }

  auto OpenSockets() -> void {
    if (!options_.bind.empty()) {
      listener_ = zmq::socket_t(context_, zmq::socket_type::router);
      SetCommonOptions(listener_);
      // A send to a peer that is not connected fails instead of vanishing.
      listener_.set(zmq::sockopt::router_mandatory, true);
      // A peer that comes back takes over its name from its silent old
      // connection.
      listener_.set(zmq::sockopt::router_handover, true);
      listener_.bind(options_.bind);
    }
    for (const auto& endpoint : options_.connect) {
      Connect(endpoint);
    }
  }

  auto Connect(const std::string& endpoint) -> void {
    auto& socket = connected_[endpoint];
    socket = zmq::socket_t(context_, zmq::socket_type::dealer);
    SetCommonOptions(socket);
    socket.set(zmq::sockopt::routing_id, options_.id);
    // Queue for made connections only: nothing stale is sent later.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, Milliseconds(kReconnect));
    socket.set(zmq::sockopt::reconnect_ivl_max,
               Milliseconds(kReconnectLongest));
    socket.set(zmq::sockopt::connect_timeout, Milliseconds(kReconnectLongest));
    socket.connect(endpoint);
  }

  // Peers that this process no longer speaks to, as after it stopped being
  // the owner; their connections would cost heartbeats for good.
  auto LetGoOfIdle() -> void {
    const TimePoint now = Clock::now();
    for (auto used = used_at_.begin(); used != used_at_.end();) {
      if (now - used->second < options_.idle_limit) {
        ++used;
        continue;
      }
      connected_.erase(used->first);
      used = used_at_.erase(used);
    }
  }

  auto Run() -> void {
    while (!stop_) {
      Poll();
      SendQueued();
      ReceiveAll();
      LetGoOfIdle();
    }
    SendQueued();
    const int linger = Milliseconds(linger_);
    if (listener_) {
      listener_.set(zmq::sockopt::linger, linger);
      listener_.close();
    }
    for (auto& [endpoint, socket] : connected_) {
      socket.set(zmq::sockopt::linger, linger);
      socket.close();
    }
    context_.close();
  }

  auto Poll() -> void {
    std::vector<zmq::pollitem_t> items;
    items.push_back({nullptr, ring_.wake_fd(), ZMQ_POLLIN, 0});
    if (listener_) {
      items.push_back({listener_.handle(), 0, ZMQ_POLLIN, 0});
    }
    for (auto& [endpoint, socket] : connected_) {
      items.push_back({socket.handle(), 0, ZMQ_POLLIN, 0});
    }
    try {
      zmq::poll(items, kPollLimit);
    } catch (const zmq::error_t&) {
      // Interrupted by a signal; the loop looks again.
    }
  }

  auto SendQueued() -> void {
    ring_.ClearWake();
    while (auto outgoing = ring_.Pop()) {
      if (!SendOne(*outgoing) && options_.on_unsent) {
        options_.on_unsent(outgoing->peer, outgoing->message);
      }
    }
  }

  auto SendOne(const Outgoing& outgoing) -> bool {
    std::string bytes;
    outgoing.message.SerializeToString(&bytes);
    bytes_sent_ += bytes.size();
    try {
      if (options_.connect_on_send && outgoing.peer.starts_with(kTcp)) {
        if (!connected_.contains(outgoing.peer)) {
          Connect(outgoing.peer);
        }
        used_at_[outgoing.peer] = Clock::now();
      }
      const auto found = connected_.find(outgoing.peer);
      if (found != connected_.end()) {
        return found->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
            .has_value();
      }
      return SendToListenerPeer(outgoing.peer, bytes);
    } catch (const zmq::error_t&) {
      return false;
    }
  }

  auto SendToListenerPeer(const std::string& peer, const std::string& bytes)
      -> bool {
    if (!listener_) {
      return false;
    }
    const auto flags = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
    if (!listener_.send(zmq::buffer(peer), flags).has_value()) {
      return false;
    }
    return listener_.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
  }

  auto ReceiveAll() -> void {
    if (listener_) {
      for (int i = 0; i < kMessagesPerTurn && ReceiveFromPeer(); ++i) {
      }
    }
    for (auto& [endpoint, socket] : connected_) {
      for (int i = 0; i < kMessagesPerTurn; ++i) {
        zmq::message_t bytes;
        if (!socket.recv(bytes, zmq::recv_flags::dontwait).has_value()) {
          break;
        }
        Deliver(endpoint, "", bytes);
      }
    }
  }

  auto ReceiveFromPeer() -> bool {
    zmq::message_t name;
    if (!listener_.recv(name, zmq::recv_flags::dontwait).has_value()) {
      return false;
    }
    zmq::message_t bytes;
    bool more = name.more();
    int parts = 0;
    while (more) {
      static_cast<void>(listener_.recv(bytes, zmq::recv_flags::dontwait));
      more = bytes.more();
      ++parts;
    }
    if (parts != 1) {
      Drop(schema::MESSAGE_MALFORMED);
      return true;
    }
    Deliver(name.to_string(), name.to_string(), bytes);
    return true;
  }

  // `expected_sender` is the name under which the peer connected, if known.
  auto Deliver(const std::string& peer,
               const std::string& expected_sender,
               const zmq::message_t& bytes) -> void {
    bytes_received_ += bytes.size();
    schema::Envelope message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        message.body_case() == schema::Envelope::BODY_NOT_SET) {
      Drop(schema::MESSAGE_MALFORMED);
      return;
    }
    if (message.version() != kWireVersion) {
      Drop(schema::MESSAGE_WRONG_VERSION);
      return;
    }
    if (!expected_sender.empty() && message.sender() != expected_sender) {
      Drop(schema::MESSAGE_MALFORMED);
      return;
    }
    options_.on_message(peer, std::move(message));
  }

  auto Drop(schema::Reason reason) -> void {
    if (options_.on_dropped) {
      options_.on_dropped(reason);
    }
  }

  LinkOptions options_;
  zmq::context_t context_;
  zmq::socket_t listener_;
  std::map<std::string, zmq::socket_t> connected_;
  // Peers to which `Send` connected, and when something was last sent there.
  std::map<std::string, TimePoint> used_at_;
  BoundedRing<Outgoing> ring_;
  std::atomic<uint64_t> bytes_sent_ = 0;
  std::atomic<uint64_t> bytes_received_ = 0;
  std::atomic<bool> stop_ = false;
  std::atomic<std::chrono::milliseconds> linger_ = std::chrono::milliseconds(0);
  std::thread thread_;
};

auto IsTcpEndpoint(const std::string& endpoint) -> bool {
  absl::string_view rest(endpoint);
  const bool is_tcp = absl::ConsumePrefix(&rest, kTcp);
  const auto colon = rest.rfind(':');
  if (!is_tcp || colon == absl::string_view::npos || colon == 0) {
    return false;
  }
  const auto host = rest.substr(0, colon);
  const auto digits = rest.substr(colon + 1);
  int port = 0;
  return std::all_of(host.begin(), host.end(), IsHostByte) &&
         std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit) &&
         absl::SimpleAtoi(digits, &port) && port > 0 && port <= kLargestPort;
}

Link::Link(LinkOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
Link::~Link() = default;
auto Link::Start() -> absl::Status {
  return impl_->Start();
}
auto Link::Send(const std::string& peer, schema::Envelope message) -> bool {
  return impl_->Send(peer, std::move(message));
}
auto Link::bytes_sent() const -> uint64_t {
  return impl_->bytes_sent();
}
auto Link::bytes_received() const -> uint64_t {
  return impl_->bytes_received();
}
auto Link::Stop(std::chrono::milliseconds limit) -> void {
  impl_->Stop(limit);
}

}  // namespace rhubarbhaven

#include "Transport/link.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <arpa/inet.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "Transport/socket_poller.h"

namespace rhubarbhaven {
namespace {

constexpr char kTcp[] = "tcp://";
constexpr int kMaxPort = 65535;
constexpr int kQueuedMessages = 1000;
constexpr std::chrono::milliseconds kReconnectInterval{100};
constexpr std::chrono::milliseconds kMaxReconnectInterval{1000};
constexpr std::chrono::milliseconds kPollLimit{500};
// Messages that are received from one socket before the next one is served, so
// that a busy peer does not starve the others.
constexpr int kMessagesPerTurn = 64;

auto Milliseconds(std::chrono::milliseconds time) -> int {
  return static_cast<int>(time.count());
}

auto IsIpAddress(const std::string& host) -> bool {
  in_addr address{};
  in6_addr address6{};
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  return bracketed
             ? inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(),
                         &address6) == 1
             : inet_pton(AF_INET, host.c_str(), &address) == 1;
}

// Whether the byte may occur in a host name or in an IPv4 or IPv6 address.
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
  // A socket and the state of its use.
  struct Channel {
    // Endpoint to which it is connected; empty for the listener.
    std::string endpoint;
    zmq::socket_t socket;
    // Time of the latest send, if `Send` opened the connection.
    TimePoint used_at = TimePoint::max();
    // Whether messages may be ready to be received.
    bool maybe_readable = false;
  };

  auto SetCommonOptions(zmq::socket_t& socket) -> void {
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, kQueuedMessages);
    socket.set(zmq::sockopt::rcvhwm, kQueuedMessages);
    socket.set(zmq::sockopt::maxmsgsize,
               static_cast<int64_t>(options_.max_message_bytes));
    // A device between the two processes may lose the state of a connection, so
    // that bytes are lost in both directions without a reset. Without
    // heartbeats both sides would wait for minutes; with heartbeats the
    // connection is closed and opened again.
    socket.set(zmq::sockopt::heartbeat_ivl,
               Milliseconds(options_.heartbeat_interval));
    socket.set(zmq::sockopt::heartbeat_timeout,
               Milliseconds(options_.heartbeat_timeout));
    socket.set(zmq::sockopt::heartbeat_ttl,
               Milliseconds(options_.heartbeat_timeout));
  }

  auto OpenSockets() -> void {
    if (!options_.bind.empty()) {
      auto& socket = listener_.socket;
      socket = zmq::socket_t(context_, zmq::socket_type::router);
      SetCommonOptions(socket);
      // A send to a peer that is not connected fails instead of being ignored.
      socket.set(zmq::sockopt::router_mandatory, true);
      // A peer that reconnects takes over its routing id from its previous
      // connection, which may be unresponsive.
      socket.set(zmq::sockopt::router_handover, true);
      socket.bind(options_.bind);
      Watch(listener_);
    }
    for (const auto& endpoint : options_.connect) {
      Connect(endpoint);
    }
  }

  auto Connect(const std::string& endpoint) -> Channel& {
    Channel& channel = connected_[endpoint];
    channel.endpoint = endpoint;
    auto& socket = channel.socket;
    socket = zmq::socket_t(context_, zmq::socket_type::dealer);
    SetCommonOptions(socket);
    socket.set(zmq::sockopt::routing_id, options_.id);
    // Messages are queued only for completed connections, so that no outdated
    // message is sent later.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, Milliseconds(kReconnectInterval));
    socket.set(zmq::sockopt::reconnect_ivl_max,
               Milliseconds(kMaxReconnectInterval));
    socket.set(zmq::sockopt::connect_timeout,
               Milliseconds(kMaxReconnectInterval));
    socket.connect(endpoint);
    Watch(channel);
    return channel;
  }

  auto Watch(Channel& channel) -> void {
    poller_.Add(channel.socket, &channel);
    MarkReadable(channel);
  }

  auto MarkReadable(Channel& channel) -> void {
    if (!std::exchange(channel.maybe_readable, true)) {
      readable_.push_back(&channel);
    }
  }

  // Closes connections to peers to which this process no longer sends, for
  // instance because it is no longer the owner. They would otherwise cost
  // heartbeats indefinitely.
  auto CloseIdleConnections() -> void {
    const TimePoint now = Clock::now();
    if (now < next_idle_check_) {
      return;
    }
    next_idle_check_ = now + kPollLimit;
    for (auto item = connected_.begin(); item != connected_.end();) {
      Channel& channel = item->second;
      if (channel.used_at == TimePoint::max() ||
          now - channel.used_at < options_.idle_limit) {
        ++item;
        continue;
      }
      poller_.Remove(channel.socket);
      std::erase(readable_, &channel);
      item = connected_.erase(item);
    }
  }

  auto Run() -> void {
    poller_.AddWakeDescriptor(ring_.wake_fd());
    while (!stop_) {
      Wait();
      SendQueued();
      ReceiveReadable();
      CloseIdleConnections();
    }
    SendQueued();
    const int linger = Milliseconds(linger_);
    if (listener_.socket) {
      Close(listener_, linger);
    }
    for (auto& [endpoint, channel] : connected_) {
      Close(channel, linger);
    }
    context_.close();
  }

  auto Close(Channel& channel, int linger) -> void {
    poller_.Remove(channel.socket);
    channel.socket.set(zmq::sockopt::linger, linger);
    channel.socket.close();
  }

  auto Wait() -> void {
    const auto limit =
        readable_.empty() ? kPollLimit : std::chrono::milliseconds(0);
    for (void* name : poller_.Wait(limit)) {
      MarkReadable(*static_cast<Channel*>(name));
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
      Channel* channel = ChannelTo(outgoing.peer);
      return channel != nullptr ? SendBytes(*channel, bytes)
                                : SendToListenerPeer(outgoing.peer, bytes);
    } catch (const zmq::error_t&) {
      return false;
    }
  }

  // Null if the peer is connected to the listener or not connected at all.
  auto ChannelTo(const std::string& peer) -> Channel* {
    const auto found = connected_.find(peer);
    const bool may_connect = options_.connect_on_send && peer.starts_with(kTcp);
    if (found == connected_.end() && !may_connect) {
      return nullptr;
    }
    Channel& channel =
        found == connected_.end() ? Connect(peer) : found->second;
    if (may_connect) {
      channel.used_at = Clock::now();
    }
    return &channel;
  }

  auto SendBytes(Channel& channel, const std::string& bytes) -> bool {
    MarkReadable(channel);
    return channel.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
  }

  auto SendToListenerPeer(const std::string& peer, const std::string& bytes)
      -> bool {
    if (!listener_.socket) {
      return false;
    }
    MarkReadable(listener_);
    const auto flags = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
    if (!listener_.socket.send(zmq::buffer(peer), flags).has_value()) {
      return false;
    }
    return listener_.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
  }

  auto ReceiveReadable() -> void {
    for (Channel* channel : std::exchange(readable_, {})) {
      channel->maybe_readable = false;
      int received = 0;
      while (received < kMessagesPerTurn && Receive(*channel)) {
        ++received;
      }
      if (received == kMessagesPerTurn) {
        MarkReadable(*channel);
      }
    }
  }

  // Returns false if there is no message to receive.
  auto Receive(Channel& channel) -> bool {
    if (channel.endpoint.empty()) {
      return ReceiveFromPeer(channel.socket);
    }
    zmq::message_t bytes;
    if (!channel.socket.recv(bytes, zmq::recv_flags::dontwait).has_value()) {
      return false;
    }
    Deliver(channel.endpoint, "", bytes);
    return true;
  }

  auto ReceiveFromPeer(zmq::socket_t& listener) -> bool {
    zmq::message_t name;
    if (!listener.recv(name, zmq::recv_flags::dontwait).has_value()) {
      return false;
    }
    zmq::message_t bytes;
    bool more = name.more();
    int parts = 0;
    while (more) {
      static_cast<void>(listener.recv(bytes, zmq::recv_flags::dontwait));
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

  // `expected_sender` is the id with which the peer connected, if known.
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
  SocketPoller poller_;
  Channel listener_;
  // Connections that this process opened, by endpoint.
  std::map<std::string, Channel> connected_;
  std::vector<Channel*> readable_;
  TimePoint next_idle_check_;
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
         absl::SimpleAtoi(digits, &port) && port > 0 && port <= kMaxPort;
}

auto IsNumericTcpEndpoint(const std::string& endpoint) -> bool {
  if (!IsTcpEndpoint(endpoint)) {
    return false;
  }
  const std::size_t begin = std::string_view(kTcp).size();
  return IsIpAddress(endpoint.substr(begin, endpoint.rfind(':') - begin));
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

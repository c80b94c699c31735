#include "Tests/Support/fault_proxy.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "Tests/Support/zmtp_identity.h"

namespace rhubarbhaven::test {
namespace {

constexpr int kPollMs = 20;
constexpr int kDelayedPollMs = 2;
constexpr std::size_t kBufferBytes = 64 << 10;
// Limit on queued bytes in one direction; beyond it the proxy stops reading, so
// that the sender has to wait.
constexpr std::size_t kMaxQueuedBytes = 1 << 20;
constexpr std::size_t kSlowChunkBytes = 1 << 10;
// Small, so that the connections that share a rate get equal parts of it.
constexpr std::size_t kRatedReadBytes = 4 << 10;
// Exceeds the greeting and the READY command of a ZeroMQ peer.
constexpr std::size_t kMaxGreetingBytes = 1 << 10;

auto Loopback(int port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

auto Open() -> int {
  return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

auto IsFull(const std::shared_ptr<SharedRate>& rate) -> bool {
  return rate && rate->IsFull(std::chrono::steady_clock::now());
}

auto WriteAll(int socket, const char* data, ssize_t size) -> bool {
  while (size > 0) {
    const ssize_t written = send(socket, data, size, MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    data += written;
    size -= written;
  }
  return true;
}

}  // namespace

FaultProxy::FaultProxy(int listen_port, int target_port)
    : target_port_(target_port), listener_(Open()) {
  const int yes = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address = Loopback(listen_port);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    perror("fault proxy: cannot bind the listening socket");
  }
  listen(listener_, SOMAXCONN);
  thread_ = std::thread([this]() -> void { Run(); });
}

FaultProxy::~FaultProxy() {
  stop_ = true;
  thread_.join();
  for (auto& connection : connections_) {
    connection.thread.join();
  }
  close(listener_);
}

auto FaultProxy::BlackholeOpenConnections() -> void {
  const std::lock_guard lock(mutex_);
  for (auto& connection : connections_) {
    connection.blackholed = true;
  }
}

auto FaultProxy::SetPartitioned(bool partitioned) -> void {
  partitioned_ = partitioned;
  if (partitioned) {
    BlackholeOpenConnections();
  }
}

auto FaultProxy::SetCutOff(const std::string& source, CutOff cut_off) -> void {
  const std::lock_guard lock(mutex_);
  cut_offs_[source] = cut_off;
  for (auto& connection : connections_) {
    if (connection.source != source) {
      continue;
    }
    if (cut_off == CutOff::kNone) {
      connection.reset = connection.reset || connection.blackholed;
    } else {
      ApplySource(&connection);
    }
  }
}

auto FaultProxy::SetRequestRate(const std::string& source,
                                std::shared_ptr<SharedRate> rate) -> void {
  const std::lock_guard lock(mutex_);
  request_rates_[source] = std::move(rate);
}

auto FaultProxy::SetAnswerRate(std::shared_ptr<SharedRate> rate) -> void {
  const std::lock_guard lock(mutex_);
  answer_rate_ = std::move(rate);
}

auto FaultProxy::ApplySource(Connection* connection) -> void {
  const auto cut_off = cut_offs_.find(connection->source);
  if (cut_off == cut_offs_.end()) {
    return;
  }
  connection->blackholed =
      connection->blackholed || cut_off->second == CutOff::kBlackholed;
  connection->reset = connection->reset || cut_off->second == CutOff::kReset;
}

auto FaultProxy::ResetOnAnswerTo(const std::string& prefix) -> void {
  const std::lock_guard lock(mutex_);
  awaited_request_ = prefix;
}

auto FaultProxy::ResumeListening() -> void {
  listen(listener_, SOMAXCONN);
}

auto FaultProxy::MatchAwaitedRequest(const char* data, std::size_t size)
    -> bool {
  const std::lock_guard lock(mutex_);
  const std::string_view bytes(data, size);
  if (awaited_request_.empty() ||
      bytes.substr(0, awaited_request_.size()) != awaited_request_) {
    return false;
  }
  awaited_request_.clear();
  return true;
}

auto FaultProxy::ResetOpenConnections() -> void {
  const std::lock_guard lock(mutex_);
  for (auto& connection : connections_) {
    connection.reset = true;
  }
}

auto FaultProxy::ResetAll() -> void {
  // The socket remains bound, and connections to it are refused.
  shutdown(listener_, SHUT_RD);
  ResetOpenConnections();
}

auto FaultProxy::SetFault(const ProxyFault& fault) -> void {
  const std::lock_guard lock(mutex_);
  fault_ = fault;
}

auto FaultProxy::FaultFor(const Connection& connection) -> ProxyFault {
  const std::lock_guard lock(mutex_);
  const bool applies = connection.request.starts_with(fault_.request_prefix);
  return applies ? fault_ : ProxyFault();
}

auto FaultProxy::Run() -> void {
  while (!stop_) {
    pollfd waiting{listener_, POLLIN, 0};
    if (poll(&waiting, 1, kPollMs) > 0) {
      Accept();
    }
  }
}

auto FaultProxy::Accept() -> void {
  const int client_socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
  if (client_socket < 0) {
    usleep(kPollMs * 1000);
    return;
  }
  const int server_socket = Open();
  sockaddr_in address = Loopback(target_port_);
  if (partitioned_ ||
      connect(server_socket, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(client_socket);
    close(server_socket);
    return;
  }
  ++accepted_;
  const std::lock_guard lock(mutex_);
  Connection& connection = connections_.emplace_back();
  connection.client_socket = client_socket;
  connection.server_socket = server_socket;
  connection.request_rate = RateOf("");
  connection.answer_rate = answer_rate_;
  connection.thread =
      std::thread([this, &connection]() -> void { Pump(&connection); });
}

auto FaultProxy::Pump(Connection* connection) -> void {
  bool open = true;
  while (open && !connection->reset && !stop_) {
    const ProxyFault fault = FaultFor(*connection);
    auto& requests = connection->requests;
    auto& answers = connection->answers;
    const bool requests_wait = IsFull(connection->request_rate);
    const bool answers_wait = IsFull(connection->answer_rate);
    const bool has_queued = !requests.chunks.empty() ||
                            !answers.chunks.empty() || requests_wait ||
                            answers_wait;
    std::array<pollfd, 2> polled = {
        pollfd{requests.end_of_stream || requests.size > kMaxQueuedBytes ||
                       requests_wait
                   ? -1
                   : connection->client_socket,
               POLLIN, 0},
        pollfd{answers.end_of_stream || answers.size > kMaxQueuedBytes ||
                       answers_wait
                   ? -1
                   : connection->server_socket,
               POLLIN, 0}};
    poll(polled.data(), polled.size(), has_queued ? kDelayedPollMs : kPollMs);
    for (std::size_t i = 0; i < polled.size() && open; ++i) {
      if (polled[i].revents != 0) {
        open = ReadAvailable(connection, /*is_answer=*/i == 1);
      }
    }
    if (connection->reset) {
      // What was read together with the bytes that tell the source must not be
      // forwarded.
      break;
    }
    if (connection->blackholed) {
      // Neither side may see that the other has closed the connection.
      continue;
    }
    open =
        open &&
        Forward(connection->server_socket, &requests, fault.request_delay, 0) &&
        Forward(connection->client_socket, &answers, fault.answer_delay,
                fault.bytes_per_second);
  }
  if (connection->reset) {
    const linger abortive{1, 0};
    setsockopt(connection->client_socket, SOL_SOCKET, SO_LINGER, &abortive,
               sizeof(abortive));
  }
  close(connection->client_socket);
  close(connection->server_socket);
}

// A blackholed connection is read and its bytes are discarded, so that neither
// side sees a full window, a reset or an end of stream.
auto FaultProxy::ReadAvailable(Connection* connection, bool is_answer) -> bool {
  std::array<char, kBufferBytes> buffer;
  ByteQueue& queue = is_answer ? connection->answers : connection->requests;
  const int source =
      is_answer ? connection->server_socket : connection->client_socket;
  const auto rate =
      is_answer ? connection->answer_rate : connection->request_rate;
  const ssize_t size =
      read(source, buffer.data(), rate ? kRatedReadBytes : buffer.size());
  if (size <= 0) {
    queue.end_of_stream = true;
    return true;
  }
  if (is_answer && connection->resets_on_answer) {
    ResetAll();
    return false;
  }
  if (!is_answer) {
    InspectGreeting(connection, buffer.data(), size);
  }
  if (connection->blackholed) {
    return true;
  }
  if (!is_answer) {
    InspectRequest(connection, buffer.data(), size);
  } else if (FaultFor(*connection).drops_answers) {
    connection->discards_answers = true;
  }
  if (is_answer && connection->discards_answers) {
    return true;
  }
  const auto now = std::chrono::steady_clock::now();
  for (ssize_t at = 0; at < size; at += kSlowChunkBytes) {
    const auto part =
        std::min<ssize_t>(size - at, static_cast<ssize_t>(kSlowChunkBytes));
    const auto ready_at = rate ? rate->Reserve(part, now) : now;
    queue.chunks.push_back({ready_at, std::string(buffer.data() + at, part)});
  }
  queue.size += size;
  return true;
}

auto FaultProxy::InspectGreeting(Connection* connection,
                                 const char* data,
                                 std::size_t size) -> void {
  auto& greeting = connection->greeting;
  if (greeting.size() >= kMaxGreetingBytes) {
    return;
  }
  greeting.append(data, std::min(size, kMaxGreetingBytes - greeting.size()));
  auto source = ZmtpIdentity(greeting);
  if (!source) {
    return;
  }
  greeting.resize(kMaxGreetingBytes);
  const std::lock_guard lock(mutex_);
  connection->source = *std::move(source);
  connection->request_rate = RateOf(connection->source);
  ApplySource(connection);
}

auto FaultProxy::RateOf(const std::string& source) const
    -> std::shared_ptr<SharedRate> {
  const auto found = request_rates_.find(source);
  return found == request_rates_.end() ? nullptr : found->second;
}

auto FaultProxy::InspectRequest(Connection* connection,
                                const char* data,
                                std::size_t size) -> void {
  const std::string_view bytes(data, size);
  if (bytes.starts_with("GET ") || bytes.starts_with("POST ")) {
    connection->request = bytes.substr(0, bytes.find('\r'));
  }
  connection->resets_on_answer =
      connection->resets_on_answer || MatchAwaitedRequest(data, size);
}

auto FaultProxy::Forward(int target,
                         ByteQueue* queue,
                         std::chrono::milliseconds delay,
                         std::size_t bytes_per_second) -> bool {
  const auto now = std::chrono::steady_clock::now();
  while (!queue->chunks.empty() &&
         queue->chunks.front().ready_at + delay <= now &&
         (bytes_per_second == 0 || queue->next_send_at <= now)) {
    const std::string bytes = std::move(queue->chunks.front().bytes);
    queue->chunks.pop_front();
    queue->size -= bytes.size();
    if (bytes_per_second > 0) {
      queue->next_send_at = now + std::chrono::milliseconds(
                                      bytes.size() * 1000 / bytes_per_second);
    }
    if (!WriteAll(target, bytes.data(), static_cast<ssize_t>(bytes.size()))) {
      return false;
    }
  }
  return !queue->end_of_stream || !queue->chunks.empty();
}

}  // namespace rhubarbhaven::test

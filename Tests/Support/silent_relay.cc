#include "Tests/Support/silent_relay.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace rhubarbhaven::test {
namespace {

constexpr int kPollMs = 20;
constexpr int kDelayedPollMs = 2;
constexpr std::size_t kBufferBytes = 64 << 10;
// Bytes held back in one direction; beyond that the sender has to wait.
constexpr std::size_t kMostHeldBytes = 1 << 20;
constexpr std::size_t kSlowChunkBytes = 1 << 10;

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

SilentRelay::SilentRelay(int listen_port, int target_port)
    : target_port_(target_port), listener_(Open()) {
  const int yes = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address = Loopback(listen_port);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    perror("silent relay: bind");
  }
  listen(listener_, SOMAXCONN);
  thread_ = std::thread([this]() -> void { Run(); });
}

SilentRelay::~SilentRelay() {
  stop_ = true;
  thread_.join();
  for (auto& connection : connections_) {
    connection.thread.join();
  }
  close(listener_);
}

auto SilentRelay::SilenceOpenConnections() -> void {
  const std::lock_guard lock(mutex_);
  for (auto& connection : connections_) {
    connection.silent = true;
  }
}

auto SilentRelay::Cut(bool cut) -> void {
  cut_ = cut;
  if (cut) {
    SilenceOpenConnections();
  }
}

auto SilentRelay::ResetOnAnswerTo(const std::string& start) -> void {
  const std::lock_guard lock(mutex_);
  awaited_ = start;
}

auto SilentRelay::ListenAgain() -> void {
  listen(listener_, SOMAXCONN);
}

auto SilentRelay::TakeAwaited(const char* data, std::size_t size) -> bool {
  const std::lock_guard lock(mutex_);
  const std::string_view bytes(data, size);
  if (awaited_.empty() || bytes.substr(0, awaited_.size()) != awaited_) {
    return false;
  }
  awaited_.clear();
  return true;
}

auto SilentRelay::ResetOpenConnections() -> void {
  const std::lock_guard lock(mutex_);
  for (auto& connection : connections_) {
    connection.reset = true;
  }
}

auto SilentRelay::ResetAll() -> void {
  // The socket stays bound, and connections to it are refused.
  shutdown(listener_, SHUT_RD);
  ResetOpenConnections();
}

auto SilentRelay::SetFault(const RelayFault& fault) -> void {
  const std::lock_guard lock(mutex_);
  fault_ = fault;
}

auto SilentRelay::FaultOf(const Connection& connection) -> RelayFault {
  const std::lock_guard lock(mutex_);
  const bool meant = connection.request.starts_with(fault_.only);
  return meant ? fault_ : RelayFault();
}

auto SilentRelay::Run() -> void {
  while (!stop_) {
    pollfd waiting{listener_, POLLIN, 0};
    if (poll(&waiting, 1, kPollMs) > 0) {
      Accept();
    }
  }
}

auto SilentRelay::Accept() -> void {
  const int near = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
  if (near < 0) {
    usleep(kPollMs * 1000);
    return;
  }
  const int far = Open();
  sockaddr_in address = Loopback(target_port_);
  if (cut_ || connect(far, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)) != 0) {
    close(near);
    close(far);
    return;
  }
  ++accepted_;
  const std::lock_guard lock(mutex_);
  Connection& connection = connections_.emplace_back();
  connection.near = near;
  connection.far = far;
  connection.thread =
      std::thread([this, &connection]() -> void { Pump(&connection); });
}

auto SilentRelay::Pump(Connection* connection) -> void {
  bool open = true;
  while (open && !connection->reset && !stop_) {
    const RelayFault fault = FaultOf(*connection);
    auto& requests = connection->requests;
    auto& answers = connection->answers;
    const bool holds = !requests.chunks.empty() || !answers.chunks.empty();
    std::array<pollfd, 2> ends = {
        pollfd{requests.ended || requests.size > kMostHeldBytes
                   ? -1
                   : connection->near,
               POLLIN, 0},
        pollfd{answers.ended || answers.size > kMostHeldBytes ? -1
                                                              : connection->far,
               POLLIN, 0}};
    poll(ends.data(), ends.size(), holds ? kDelayedPollMs : kPollMs);
    for (std::size_t i = 0; i < ends.size() && open; ++i) {
      if (ends[i].revents != 0) {
        open = Take(connection, /*is_answer=*/i == 1);
      }
    }
    if (connection->silent) {
      // Nobody sees its end.
      continue;
    }
    open = open && Pass(connection->far, &requests, fault.request_delay, 0) &&
           Pass(connection->near, &answers, fault.answer_delay,
                fault.bytes_per_second);
  }
  if (connection->reset) {
    const linger at_once{1, 0};
    setsockopt(connection->near, SOL_SOCKET, SO_LINGER, &at_once,
               sizeof(at_once));
  }
  close(connection->near);
  close(connection->far);
}

// A silent connection is read and its bytes are dropped, so that neither end
// sees a full window, a reset or an end.
auto SilentRelay::Take(Connection* connection, bool is_answer) -> bool {
  std::array<char, kBufferBytes> buffer;
  Lane& lane = is_answer ? connection->answers : connection->requests;
  const int source = is_answer ? connection->far : connection->near;
  const ssize_t size = read(source, buffer.data(), buffer.size());
  if (size <= 0) {
    lane.ended = true;
    return true;
  }
  if (is_answer && connection->resets_on_answer) {
    ResetAll();
    return false;
  }
  if (connection->silent) {
    return true;
  }
  if (!is_answer) {
    TakeRequest(connection, buffer.data(), size);
  } else if (FaultOf(*connection).drops_answers) {
    connection->answers_lost = true;
  }
  if (is_answer && connection->answers_lost) {
    return true;
  }
  const auto now = std::chrono::steady_clock::now();
  for (ssize_t at = 0; at < size; at += kSlowChunkBytes) {
    const auto part =
        std::min<ssize_t>(size - at, static_cast<ssize_t>(kSlowChunkBytes));
    lane.chunks.push_back({now, std::string(buffer.data() + at, part)});
  }
  lane.size += size;
  return true;
}

auto SilentRelay::TakeRequest(Connection* connection,
                              const char* data,
                              std::size_t size) -> void {
  const std::string_view bytes(data, size);
  if (bytes.starts_with("GET ") || bytes.starts_with("POST ")) {
    connection->request = bytes.substr(0, bytes.find('\r'));
  }
  connection->resets_on_answer =
      connection->resets_on_answer || TakeAwaited(data, size);
}

auto SilentRelay::Pass(int target,
                       Lane* lane,
                       std::chrono::milliseconds delay,
                       std::size_t bytes_per_second) -> bool {
  const auto now = std::chrono::steady_clock::now();
  while (!lane->chunks.empty() && lane->chunks.front().read_at + delay <= now &&
         (bytes_per_second == 0 || lane->free_at <= now)) {
    const std::string bytes = std::move(lane->chunks.front().bytes);
    lane->chunks.pop_front();
    lane->size -= bytes.size();
    if (bytes_per_second > 0) {
      lane->free_at = now + std::chrono::milliseconds(bytes.size() * 1000 /
                                                      bytes_per_second);
    }
    if (!WriteAll(target, bytes.data(), static_cast<ssize_t>(bytes.size()))) {
      return false;
    }
  }
  return !lane->ended || !lane->chunks.empty();
}

}  // namespace rhubarbhaven::test

#include "Tests/Support/silent_relay.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string_view>

namespace rhubarbhaven::test {
namespace {

constexpr int kPollMs = 20;
constexpr std::size_t kBufferBytes = 64 << 10;

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

auto SilentRelay::ResetAll() -> void {
  // The socket stays bound, and connections to it are refused.
  shutdown(listener_, SHUT_RD);
  const std::lock_guard lock(mutex_);
  for (auto& connection : connections_) {
    connection.reset = true;
  }
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

// A silent connection is read and its bytes are dropped, so that neither end
// sees a full window, a reset or an end.
auto SilentRelay::Pump(Connection* connection) -> void {
  std::array<char, kBufferBytes> buffer;
  bool open = true;
  while (open && !connection->reset && !stop_) {
    std::array<pollfd, 2> ends = {pollfd{connection->near, POLLIN, 0},
                                  pollfd{connection->far, POLLIN, 0}};
    poll(ends.data(), ends.size(), kPollMs);
    for (std::size_t i = 0; i < ends.size() && open; ++i) {
      if ((ends[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) {
        continue;
      }
      const ssize_t size = read(ends[i].fd, buffer.data(), buffer.size());
      if (size <= 0) {
        open = connection->silent;
        ends[i].fd = -1;
        if (connection->silent) {
          usleep(kPollMs * 1000);
        }
      } else if (i == 1 && connection->resets_on_answer) {
        ResetAll();
        open = false;
      } else if (!connection->silent) {
        connection->resets_on_answer =
            connection->resets_on_answer ||
            (i == 0 && TakeAwaited(buffer.data(), size));
        open = WriteAll(ends[1 - i].fd, buffer.data(), size);
      }
    }
  }
  if (connection->reset) {
    const linger at_once{1, 0};
    setsockopt(connection->near, SOL_SOCKET, SO_LINGER, &at_once,
               sizeof(at_once));
  }
  close(connection->near);
  close(connection->far);
}

}  // namespace rhubarbhaven::test

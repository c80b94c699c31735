#include "Transport/listener.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace rhubarbhaven {
namespace {

// Delay after a failure, such as a lack of file descriptors, to avoid a busy
// loop.
constexpr std::chrono::milliseconds kAcceptRetryDelay{10};

}  // namespace

Listener::Listener() : wake_fd_(eventfd(0, EFD_CLOEXEC)) {}

Listener::~Listener() {
  Stop();
  close(wake_fd_);
}

auto Listener::Open(const sockaddr_in& address) -> bool {
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int yes = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in bound = address;
  socklen_t size = sizeof(bound);
  if (bind(socket_, reinterpret_cast<sockaddr*>(&bound), size) != 0 ||
      listen(socket_, SOMAXCONN) != 0) {
    return false;
  }
  getsockname(socket_, reinterpret_cast<sockaddr*>(&bound), &size);
  port_ = ntohs(bound.sin_port);
  return true;
}

auto Listener::Start(OnConnection on_connection) -> void {
  on_connection_ = std::move(on_connection);
  thread_ = std::thread([this]() -> void { Run(); });
}

auto Listener::Stop() -> void {
  stop_ = true;
  const uint64_t one = 1;
  static_cast<void>(!write(wake_fd_, &one, sizeof(one)));
  if (thread_.joinable()) {
    thread_.join();
  }
  if (socket_ >= 0) {
    close(std::exchange(socket_, -1));
  }
}

auto Listener::Run() -> void {
  while (!stop_) {
    constexpr int kNoTimeout = -1;
    std::array<pollfd, 2> events = {pollfd{socket_, POLLIN, 0},
                                    pollfd{wake_fd_, POLLIN, 0}};
    poll(events.data(), events.size(), kNoTimeout);
    AcceptPending();
  }
  AcceptPending();
}

auto Listener::AcceptPending() -> void {
  while (true) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int connection = accept4(socket_, reinterpret_cast<sockaddr*>(&peer),
                                   &size, SOCK_CLOEXEC);
    if (connection >= 0) {
      on_connection_(connection, peer);
      continue;
    }
    if (errno != EAGAIN && errno != ECONNABORTED && errno != EINTR) {
      std::this_thread::sleep_for(kAcceptRetryDelay);
    }
    return;
  }
}

}  // namespace rhubarbhaven

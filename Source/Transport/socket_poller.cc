#include "Transport/socket_poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace rhubarbhaven {
namespace {

// Of one wait; the rest comes with the next.
constexpr int kMostEvents = 64;

auto Register(int epoll, int descriptor, void* name) -> void {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.ptr = name;
  epoll_ctl(epoll, EPOLL_CTL_ADD, descriptor, &event);
}

}  // namespace

SocketPoller::SocketPoller() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {}

SocketPoller::~SocketPoller() {
  close(epoll_);
}

auto SocketPoller::AddWake(int descriptor) -> void {
  Register(epoll_, descriptor, nullptr);
}

auto SocketPoller::Add(zmq::socket_t& socket, void* name) -> void {
  Register(epoll_, socket.get(zmq::sockopt::fd), name);
}

auto SocketPoller::Remove(zmq::socket_t& socket) -> void {
  epoll_ctl(epoll_, EPOLL_CTL_DEL, socket.get(zmq::sockopt::fd), nullptr);
}

auto SocketPoller::Wait(std::chrono::milliseconds limit) -> std::vector<void*> {
  std::array<epoll_event, kMostEvents> events{};
  const int count = epoll_wait(epoll_, events.data(), kMostEvents,
                               static_cast<int>(limit.count()));
  std::vector<void*> names;
  for (int number = 0; number < count; ++number) {
    void* name = events[static_cast<std::size_t>(number)].data.ptr;
    if (name != nullptr) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace rhubarbhaven

#include "Transport/socket_poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace rhubarbhaven {
namespace {

// Maximum number of events of one wait; the next wait returns the others.
constexpr int kMaxEvents = 64;

auto Register(int epoll, int descriptor, void* tag) -> void {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.ptr = tag;
  epoll_ctl(epoll, EPOLL_CTL_ADD, descriptor, &event);
}

}  // namespace

SocketPoller::SocketPoller() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {}

SocketPoller::~SocketPoller() {
  close(epoll_);
}

auto SocketPoller::AddWakeDescriptor(int descriptor) -> void {
  Register(epoll_, descriptor, nullptr);
}

auto SocketPoller::Add(zmq::socket_t& socket, void* tag) -> void {
  Register(epoll_, socket.get(zmq::sockopt::fd), tag);
}

auto SocketPoller::Remove(zmq::socket_t& socket) -> void {
  epoll_ctl(epoll_, EPOLL_CTL_DEL, socket.get(zmq::sockopt::fd), nullptr);
}

auto SocketPoller::Wait(std::chrono::milliseconds limit) -> std::vector<void*> {
  std::array<epoll_event, kMaxEvents> events{};
  const int count = epoll_wait(epoll_, events.data(), kMaxEvents,
                               static_cast<int>(limit.count()));
  std::vector<void*> tags;
  for (int index = 0; index < count; ++index) {
    void* tag = events[static_cast<std::size_t>(index)].data.ptr;
    if (tag != nullptr) {
      tags.push_back(tag);
    }
  }
  return tags;
}

}  // namespace rhubarbhaven

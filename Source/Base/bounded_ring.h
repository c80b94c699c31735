#ifndef RHUBARBHAVEN_BASE_BOUNDED_RING_H_
#define RHUBARBHAVEN_BASE_BOUNDED_RING_H_

#include <sys/eventfd.h>
#include <unistd.h>

#include <boost/lockfree/queue.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace rhubarbhaven {

// A bounded queue between threads, with any number of producers and consumers.
// `wake_fd` becomes readable when an item is pushed, so that a consumer can
// poll it together with its sockets.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity)
      : ring_(capacity), wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}
  BoundedRing(const BoundedRing&) = delete;
  auto operator=(const BoundedRing&) -> BoundedRing& = delete;
  ~BoundedRing() {
    while (Pop().has_value()) {
    }
    close(wake_fd_);
  }

  // Returns false if the ring is full. The item is then discarded, and the
  // caller must count it.
  auto Push(T item) -> bool {
    auto owned = std::make_unique<T>(std::move(item));
    if (!ring_.bounded_push(owned.get())) {
      return false;
    }
    static_cast<void>(owned.release());
    const uint64_t one = 1;
    static_cast<void>(!write(wake_fd_, &one, sizeof(one)));
    return true;
  }

  auto Pop() -> std::optional<T> {
    T* item = nullptr;
    if (!ring_.pop(item)) {
      return std::nullopt;
    }
    const std::unique_ptr<T> owned(item);
    return std::move(*owned);
  }

  // Must be called before popping until the ring is empty, so that a later push
  // makes `wake_fd` readable again.
  auto ClearWake() -> void {
    uint64_t count = 0;
    static_cast<void>(!read(wake_fd_, &count, sizeof(count)));
  }

  auto wake_fd() const -> int { return wake_fd_; }

 private:
  boost::lockfree::queue<T*, boost::lockfree::fixed_sized<true>> ring_;
  const int wake_fd_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_BOUNDED_RING_H_

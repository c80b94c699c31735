#ifndef RHUBARBHAVEN_BASE_TIMER_QUEUE_H_
#define RHUBARBHAVEN_BASE_TIMER_QUEUE_H_

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "Base/time.h"

namespace rhubarbhaven {

// One timer for each key. Timers fire in order of time, and in order of key if
// their times are equal, so that equal sequences of events give equal results.
template <typename Key>
class TimerQueue {
 public:
  // Replaces the key's timer if there is one.
  auto Set(const Key& key, TimePoint at) -> void {
    Cancel(key);
    due_.emplace(at, key);
    times_.emplace(key, at);
  }

  auto Cancel(const Key& key) -> void {
    const auto found = times_.find(key);
    if (found == times_.end()) {
      return;
    }
    due_.erase({found->second, key});
    times_.erase(found);
  }

  // Removes the first timer that is due at `now` and returns its key.
  auto PopDue(TimePoint now) -> std::optional<Key> {
    if (due_.empty() || due_.begin()->first > now) {
      return std::nullopt;
    }
    const Key key = due_.begin()->second;
    Cancel(key);
    return key;
  }

  auto next() const -> TimePoint {
    return due_.empty() ? TimePoint::max() : due_.begin()->first;
  }

 private:
  std::set<std::pair<TimePoint, Key>> due_;
  std::map<Key, TimePoint> times_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_TIMER_QUEUE_H_

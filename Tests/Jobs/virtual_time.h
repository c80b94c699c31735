#ifndef RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_TIME_H_
#define RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// Event queue of the simulation, ordered by time, with its only source of
// randomness, which is seeded.
class VirtualTime {
 public:
  using Event = std::function<auto()->void>;

  explicit VirtualTime(uint64_t seed) : random_(seed) {}

  auto now() const -> TimePoint { return now_; }
  auto At(TimePoint when, Event event) -> void {
    events_.emplace(std::pair(std::max(when, now_), ++order_),
                    std::move(event));
  }
  auto After(Duration wait, Event event) -> void {
    At(now_ + wait, std::move(event));
  }
  // Runs the next event. Returns false if none is left before `end`.
  auto Step(TimePoint end) -> bool {
    if (events_.empty() || events_.begin()->first.first > end) {
      now_ = end;
      return false;
    }
    now_ = events_.begin()->first.first;
    const Event event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
    return true;
  }

  auto Chance(double share) -> bool {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  auto Pick(int64_t low, int64_t high) -> int64_t {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }
  auto Milliseconds(int64_t low, int64_t high) -> std::chrono::milliseconds {
    return std::chrono::milliseconds(Pick(low, high));
  }

 private:
  TimePoint now_{std::chrono::seconds(1000)};
  uint64_t order_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, Event> events_;
  std::mt19937_64 random_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_TIME_H_

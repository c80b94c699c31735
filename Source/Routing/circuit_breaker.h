#ifndef RHUBARBHAVEN_ROUTING_CIRCUIT_BREAKER_H_
#define RHUBARBHAVEN_ROUTING_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "Base/base.h"

namespace rhubarbhaven {

// Keeps work from an endpoint that fails. An endpoint that fails fast looks
// idle and would draw ever more requests; one would notice a share of failures
// far above its share of endpoints. While open it gets nothing, then one
// request at a time until several succeeded.
class CircuitBreaker {
 public:
  enum class State { kClosed, kOpen, kProbing };

  // True if the endpoint has failed so often that the circuit should open.
  auto OnFailure(TimePoint now) -> bool;
  auto OnSuccess() -> void;
  auto Open(TimePoint now) -> void;
  // Forgets the failures, where the circuit may not open.
  auto Forgive() -> void;
  // Goes from open to probing when it is time.
  auto Update(TimePoint now) -> void;

  auto state() const -> State { return state_; }
  // When an open circuit starts to probe.
  auto probe_at() const -> TimePoint { return probe_at_; }

 private:
  State state_ = State::kClosed;
  // One bit for each of the latest outcomes, set for a failure.
  uint32_t outcomes_ = 0;
  int successes_ = 0;
  std::chrono::milliseconds pause_{0};
  TimePoint probe_at_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_CIRCUIT_BREAKER_H_

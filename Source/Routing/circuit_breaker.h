#ifndef RHUBARBHAVEN_ROUTING_CIRCUIT_BREAKER_H_
#define RHUBARBHAVEN_ROUTING_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "Base/base.h"

namespace rhubarbhaven {

// Stops requests to an endpoint that fails. Such an endpoint may fail fast,
// look idle and attract more and more requests, so that the share of failed
// requests far exceeds its share of the endpoints. While the circuit is open,
// the endpoint receives nothing; while it is probing, one request at a time
// until several have succeeded.
class CircuitBreaker {
 public:
  enum class State { kClosed, kOpen, kProbing };

  // Returns true if the endpoint has failed so often that the circuit should
  // open.
  auto OnFailure(TimePoint now) -> bool;
  auto OnSuccess() -> void;
  auto Open(TimePoint now) -> void;
  // Clears the recorded failures if the circuit may not be opened.
  auto ResetFailures() -> void;
  // Changes the state from open to probing once the probe delay has passed.
  auto Update(TimePoint now) -> void;

  auto state() const -> State { return state_; }
  // Time at which an open circuit changes to probing.
  auto probe_at() const -> TimePoint { return probe_at_; }

 private:
  State state_ = State::kClosed;
  // One bit for each recent outcome, newest in bit 0; a set bit is a failure.
  uint32_t outcomes_ = 0;
  int successes_ = 0;
  std::chrono::milliseconds probe_delay_{0};
  TimePoint probe_at_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_CIRCUIT_BREAKER_H_

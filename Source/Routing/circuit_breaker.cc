#include "Routing/circuit_breaker.h"

#include <algorithm>
#include <bit>

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

// The circuit opens after this many consecutive failures, or when half of the
// 32 recorded outcomes are failures.
constexpr uint32_t kConsecutiveFailures = 5;
constexpr uint32_t kConsecutiveFailuresMask = (1U << kConsecutiveFailures) - 1;
constexpr int kFailuresInHistory = 16;
constexpr int kSuccessesToClose = 3;
constexpr milliseconds kMinProbeDelay{1000};
constexpr milliseconds kMaxProbeDelay{8000};

}  // namespace

auto CircuitBreaker::OnFailure(TimePoint now) -> bool {
  if (state_ == State::kProbing) {
    Open(now);
    return false;
  }
  outcomes_ = (outcomes_ << 1U) | 1U;
  return state_ == State::kClosed &&
         ((outcomes_ & kConsecutiveFailuresMask) == kConsecutiveFailuresMask ||
          std::popcount(outcomes_) >= kFailuresInHistory);
}

auto CircuitBreaker::OnSuccess() -> void {
  outcomes_ <<= 1U;
  if (state_ != State::kProbing) {
    return;
  }
  ++successes_;
  if (successes_ >= kSuccessesToClose) {
    state_ = State::kClosed;
    outcomes_ = 0;
    probe_delay_ = milliseconds(0);
  }
}

auto CircuitBreaker::Open(TimePoint now) -> void {
  state_ = State::kOpen;
  successes_ = 0;
  probe_delay_ = std::clamp(2 * probe_delay_, kMinProbeDelay, kMaxProbeDelay);
  probe_at_ = now + probe_delay_;
}

auto CircuitBreaker::ResetFailures() -> void {
  outcomes_ = 0;
}

auto CircuitBreaker::Update(TimePoint now) -> void {
  if (state_ == State::kOpen && now >= probe_at_) {
    state_ = State::kProbing;
  }
}

}  // namespace rhubarbhaven

#include "Routing/circuit_breaker.h"

#include <algorithm>
#include <bit>

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

// The circuit opens on this many failures in a row, or on half of the
// remembered outcomes.
constexpr uint32_t kFailuresInRow = 5;
constexpr uint32_t kInRowMask = (1U << kFailuresInRow) - 1;
constexpr int kFailuresRemembered = 16;
constexpr int kSuccessesToClose = 3;
constexpr milliseconds kFirstPause{1000};
constexpr milliseconds kLongestPause{8000};

}  // namespace

auto CircuitBreaker::OnFailure(TimePoint now) -> bool {
  if (state_ == State::kProbing) {
    Open(now);
    return false;
  }
  outcomes_ = (outcomes_ << 1U) | 1U;
  return state_ == State::kClosed &&
         ((outcomes_ & kInRowMask) == kInRowMask ||
          std::popcount(outcomes_) >= kFailuresRemembered);
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
    pause_ = milliseconds(0);
  }
}

auto CircuitBreaker::Open(TimePoint now) -> void {
  state_ = State::kOpen;
  successes_ = 0;
  pause_ = std::clamp(2 * pause_, kFirstPause, kLongestPause);
  probe_at_ = now + pause_;
}

auto CircuitBreaker::Forgive() -> void {
  outcomes_ = 0;
}

auto CircuitBreaker::Update(TimePoint now) -> void {
  if (state_ == State::kOpen && now >= probe_at_) {
    state_ = State::kProbing;
  }
}

}  // namespace rhubarbhaven

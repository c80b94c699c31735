#include "Jobs/heartbeat_sequence.h"

namespace rhubarbhaven::jobs {
namespace {

// A worker sends a heartbeat every one to two seconds.
constexpr int kMinLowerHeartbeats = 4;
constexpr std::chrono::milliseconds kMinLowerTime{4000};

}  // namespace

auto HeartbeatSequence::Reset(uint64_t sequence) -> void {
  newest_ = sequence;
  lower_count_ = 0;
  lower_newest_ = 0;
}

auto HeartbeatSequence::Accept(TimePoint now, uint64_t sequence) -> bool {
  if (sequence > newest_) {
    Reset(sequence);
    return true;
  }
  if (sequence <= lower_newest_) {
    return false;
  }
  lower_newest_ = sequence;
  if (++lower_count_ == 1) {
    lower_since_ = now;
  }
  if (lower_count_ < kMinLowerHeartbeats ||
      now - lower_since_ < kMinLowerTime) {
    return false;
  }
  Reset(sequence);
  return true;
}

}  // namespace rhubarbhaven::jobs

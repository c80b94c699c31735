#ifndef RHUBARBHAVEN_JOBS_HEARTBEAT_SEQUENCE_H_
#define RHUBARBHAVEN_JOBS_HEARTBEAT_SEQUENCE_H_

#include <cstdint>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// Tells late heartbeats of a worker from new ones by their sequence numbers,
// which increase with each call.
//
// Another writer may send one number that is far too high. A worker whose own
// heartbeats then all counted as late would neither drain nor shrink any more.
// If heartbeats with ascending lower numbers keep arriving for longer than any
// are late, the high number was not the worker's.
class HeartbeatSequence {
 public:
  // Starts anew with the first heartbeat of a worker process.
  auto Reset(uint64_t sequence) -> void;
  // Returns whether a heartbeat of the process is newer than those before.
  auto Accept(TimePoint now, uint64_t sequence) -> bool;

 private:
  uint64_t newest_ = 0;
  // Heartbeats below `newest_` since it was accepted: their number, the highest
  // sequence number among them, and when the first one arrived.
  int lower_count_ = 0;
  uint64_t lower_newest_ = 0;
  TimePoint lower_since_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_HEARTBEAT_SEQUENCE_H_

#ifndef RHUBARBHAVEN_JOURNAL_SNAPSHOT_POLICY_H_
#define RHUBARBHAVEN_JOURNAL_SNAPSHOT_POLICY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "Base/base.h"

namespace rhubarbhaven {

struct SnapshotPolicyOptions {
  // Name of this process; spreads the processes' turns.
  std::string writer;
  // Most records that are appended before the next snapshot.
  uint64_t max_records = 5000;
  // A log that has never dropped a record gets no snapshot for fewer records
  // than this, unless they are older than `max_age`.
  uint64_t min_records = 200;
  // Oldest that a record grows before a snapshot covers it. Must be well
  // below the time for which the log keeps a record.
  std::chrono::milliseconds max_age{60000};
  // A snapshot is written again after this time even if nothing was appended:
  // a log that drops records by age would drop the snapshot itself. Must be at
  // most a third of the time for which the log keeps a record.
  std::chrono::milliseconds refresh_after{200000};
  // A process waits up to this long after a snapshot has become due, each for
  // its own time, so that usually one writes and the others see it.
  std::chrono::milliseconds spread{4000};
  // A snapshot of our own that was not read back within this time is
  // written again.
  std::chrono::milliseconds rewrite_after{15000};
};

// Says when a process should write a snapshot of one stream: so early that
// the latest whole snapshot covers the older half of what the log keeps,
// whether the log drops records by number or by age. Pure. Only a process that
// has read the stream to its end, without a gap, may write one.
class SnapshotPolicy {
 public:
  explicit SnapshotPolicy(SnapshotPolicyOptions options);

  // Forwarded from the stream's follower.
  auto OnExtent(TimePoint now, uint64_t first_kept, uint64_t next) -> void;
  auto OnRecord(TimePoint now, uint64_t offset, const schema::LogRecord& record)
      -> void;

  // True if this process is to write a snapshot now.
  auto Due(TimePoint now) const -> bool;
  // True if a snapshot up to this offset would help a reader. False for the
  // state of a process that is itself in a gap, or behind the latest snapshot:
  // its chunks would only use up the log.
  auto Helps(uint64_t covers) const -> bool;
  // The process began to write one.
  auto OnWritten(TimePoint now) -> void;

  // Offset that the latest whole snapshot in the log covers; zero for none.
  auto covered() const -> uint64_t;

 private:
  struct Partial {
    std::set<uint32_t> chunks;
    TimePoint latest;
  };

  auto OnChunk(TimePoint now,
               uint64_t offset,
               const schema::SnapshotChunk& chunk) -> void;
  // True if the number of records alone asks for a snapshot.
  auto NeededByCount() const -> bool;
  auto Update(TimePoint now) -> void;
  // When a snapshot became due, for whichever process writes it.
  auto needed_at() const -> TimePoint;
  // How long this process leaves it to the others.
  auto turn() const -> std::chrono::milliseconds;

  const SnapshotPolicyOptions options_;
  uint64_t first_kept_ = 1;
  uint64_t next_ = 1;
  uint64_t covered_ = 0;
  // Records with anything but snapshot chunks that no snapshot covers.
  std::deque<std::pair<uint64_t, TimePoint>> uncovered_;
  TimePoint needed_by_count_at_ = TimePoint::max();
  std::optional<TimePoint> written_at_;
  // When the latest whole snapshot was read.
  std::optional<TimePoint> whole_at_;
  // By (covers, state hash).
  std::map<std::pair<uint64_t, uint64_t>, Partial> partials_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_SNAPSHOT_POLICY_H_

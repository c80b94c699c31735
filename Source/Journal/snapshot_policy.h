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
  // Name of this process; determines its delay within `spread`.
  std::string writer;
  // Maximum number of records that are appended before the next snapshot.
  uint64_t max_records = 5000;
  // While the log has not expired any record, no snapshot is written for fewer
  // records than this, unless a record is older than `max_age`.
  uint64_t min_records = 200;
  // Maximum age of a record that no snapshot covers. Must be well below the
  // retention time of the log.
  std::chrono::milliseconds max_age{60000};
  // A snapshot is written again after this time even if nothing was appended,
  // because a log with a retention time expires the snapshot itself. Must be at
  // most a third of the retention time.
  std::chrono::milliseconds refresh_after{200000};
  // Maximum delay of a process after a snapshot has become due. The delays of
  // the processes differ, so that usually one process writes the snapshot and
  // the others read it before their own delays end.
  std::chrono::milliseconds spread{4000};
  // A snapshot that this process wrote and did not read back within this time
  // is written again.
  std::chrono::milliseconds rewrite_after{15000};
};

// Decides when a process writes a snapshot of one stream: early enough that the
// latest complete snapshot covers the older half of the records in the log,
// whether the log limits their number or their age. Performs no I/O. Only a
// process that has read the stream to its end, without a gap, may write one.
class SnapshotPolicy {
 public:
  explicit SnapshotPolicy(SnapshotPolicyOptions options);

  // Forwarded from the stream's follower.
  auto OnExtent(TimePoint now, uint64_t first_kept, uint64_t next) -> void;
  auto OnRecord(TimePoint now, uint64_t offset, const schema::LogRecord& record)
      -> void;

  // True if this process should write a snapshot now.
  auto Due(TimePoint now) const -> bool;
  // True if a reader could use a snapshot up to this offset. False for the
  // state of a process that is itself in a gap or behind the latest snapshot,
  // whose chunks would only take up space in the log.
  auto IsUseful(uint64_t covers) const -> bool;
  // This process began to write a snapshot.
  auto OnWritten(TimePoint now) -> void;

  // Offset that the latest complete snapshot in the log covers; zero if there
  // is none.
  auto covered() const -> uint64_t;

 private:
  struct Partial {
    std::set<uint32_t> chunks;
    TimePoint latest;
  };

  auto OnChunk(TimePoint now,
               uint64_t offset,
               const schema::SnapshotChunk& chunk) -> void;
  // True if the number of records alone requires a snapshot.
  auto NeededByCount() const -> bool;
  auto Update(TimePoint now) -> void;
  // When a snapshot became due, before the delay of any process.
  auto needed_at() const -> TimePoint;
  // How long this process waits for another one to write a due snapshot.
  auto write_delay() const -> std::chrono::milliseconds;

  const SnapshotPolicyOptions options_;
  uint64_t first_kept_ = 1;
  uint64_t next_ = 1;
  uint64_t covered_ = 0;
  // Offset and time of the records that no snapshot covers, except those that
  // hold only snapshot chunks.
  std::deque<std::pair<uint64_t, TimePoint>> uncovered_;
  TimePoint needed_by_count_at_ = TimePoint::max();
  std::optional<TimePoint> written_at_;
  // When the latest complete snapshot was read.
  std::optional<TimePoint> completed_at_;
  // By (covers, state hash).
  std::map<std::pair<uint64_t, uint64_t>, Partial> partials_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_SNAPSHOT_POLICY_H_

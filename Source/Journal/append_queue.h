#ifndef RHUBARBHAVEN_JOURNAL_APPEND_QUEUE_H_
#define RHUBARBHAVEN_JOURNAL_APPEND_QUEUE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

struct AppendQueueOptions {
  std::string writer;
  uint64_t incarnation = 0;
  // Shortest time between two appends.
  std::chrono::milliseconds interval{100};
  std::size_t max_entries = 10000;
  std::size_t max_entries_per_record = 256;
  std::size_t max_record_bytes = 512 << 10;
  std::chrono::milliseconds first_backoff{100};
  std::chrono::milliseconds longest_backoff{5000};
};

// Decides what one writer appends to one stream and when: entries are batched
// into numbered records, one record is under way at a time, and a record
// whose answer was lost is looked for before it is sent again. Pure: no I/O.
class AppendQueue {
 public:
  explicit AppendQueue(AppendQueueOptions options);

  // False if the queue is full: nothing was taken. `now` is the time from
  // which `TakeUnsentBefore` counts.
  auto Enqueue(schema::LogEntry entry, TimePoint now = TimePoint()) -> bool;
  // Entries that are not in a record under way are taken out and returned,
  // for instance because their makers would rather refuse than wait.
  auto TakeUnsent() -> std::vector<schema::LogEntry>;
  // The same for those that were enqueued at `limit` or before.
  auto TakeUnsentBefore(TimePoint limit) -> std::vector<schema::LogEntry>;
  // When the oldest entry that is not under way was enqueued.
  auto oldest_unsent() const -> std::optional<TimePoint>;

  // The record to send now, if any. The caller reports its fate by one of the
  // three calls below.
  auto NextRecord(TimePoint now) -> std::optional<schema::LogRecord>;
  auto OnAppended(TimePoint now) -> void;
  auto OnRefused(TimePoint now) -> void;
  auto OnUnknown(TimePoint now) -> void;
  // A record of this writer was read back from the stream.
  auto OnRead(TimePoint now, const schema::LogRecord& record) -> void;
  // The stream was read to its end by a read that was sent at `asked`. A
  // record of unknown fate that was sent before and not read is sent again.
  auto OnCaughtUp(TimePoint now, TimePoint asked) -> void;

  // `TimePoint::max()` if nothing is to be sent.
  auto next_wake() const -> TimePoint;
  auto size() const -> std::size_t;
  // True while a record's fate is unknown.
  auto unsure() const -> bool;

 private:
  enum class Flight { kNone, kSent, kUnknown };
  struct Waiting {
    schema::LogEntry entry;
    TimePoint since;
  };

  auto FillRecord() -> void;
  auto Settle() -> void;
  auto BackOff(TimePoint now) -> void;

  AppendQueueOptions options_;
  std::deque<Waiting> waiting_;
  std::optional<schema::LogRecord> record_;
  // When each entry of `record_` was enqueued.
  std::vector<TimePoint> record_since_;
  Flight flight_ = Flight::kNone;
  // True once a try of `record_` may have reached the log.
  bool maybe_appended_ = false;
  // Number of the latest settled record.
  uint64_t sequence_ = 0;
  TimePoint sent_at_;
  TimePoint not_before_;
  std::chrono::milliseconds backoff_{0};
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_APPEND_QUEUE_H_

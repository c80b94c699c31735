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
  // Minimum time between two appends.
  std::chrono::milliseconds interval{100};
  std::size_t max_entries = 10000;
  std::size_t max_entries_per_record = 256;
  std::size_t max_record_bytes = 512 << 10;
  std::chrono::milliseconds first_backoff{100};
  std::chrono::milliseconds longest_backoff{5000};
};

// Decides what one writer appends to one stream and when. Entries are batched
// into numbered records, and at most one record is in flight. If the response
// to an append is lost, the stream is read to find out whether it contains the
// record before the record is sent again. Performs no I/O.
class AppendQueue {
 public:
  explicit AppendQueue(AppendQueueOptions options);

  // Returns false, without queuing the entry, if the queue is full. `now` is
  // the enqueue time that `TakeUnsentBefore` compares with its limit.
  auto Enqueue(schema::LogEntry entry, TimePoint now = TimePoint()) -> bool;
  // Removes and returns the entries that are not part of the record in flight,
  // for instance because their callers reject a request rather than wait.
  auto TakeUnsent() -> std::vector<schema::LogEntry>;
  // Like `TakeUnsent`, for entries that were enqueued at or before `limit`.
  auto TakeUnsentBefore(TimePoint limit) -> std::vector<schema::LogEntry>;
  // Enqueue time of the oldest entry that is not part of the record in flight.
  auto oldest_unsent() const -> std::optional<TimePoint>;

  // The record to send now, if any. The caller reports the outcome by one of
  // the next three functions.
  auto NextRecord(TimePoint now) -> std::optional<schema::LogRecord>;
  auto OnAppended(TimePoint now) -> void;
  auto OnRejected(TimePoint now) -> void;
  auto OnUnknown(TimePoint now) -> void;
  // A record of this writer was read back from the stream.
  auto OnRead(TimePoint now, const schema::LogRecord& record) -> void;
  // A read that was sent at `read_sent_at` reached the end of the stream. A
  // record whose outcome is unknown is sent again if it was sent before that
  // read and the read did not return it.
  auto OnCaughtUp(TimePoint now, TimePoint read_sent_at) -> void;

  // When `NextRecord` may return a record; `TimePoint::max()` if there is
  // nothing to send.
  auto next_wake() const -> TimePoint;
  auto size() const -> std::size_t;
  // True while it is unknown whether the latest record was appended.
  auto outcome_unknown() const -> bool;

 private:
  enum class SendState { kNone, kSent, kUnknown };
  struct PendingEntry {
    schema::LogEntry entry;
    TimePoint enqueued_at;
  };

  auto FillRecord() -> void;
  auto ConfirmRecord() -> void;
  auto BackOff(TimePoint now) -> void;

  AppendQueueOptions options_;
  std::deque<PendingEntry> pending_;
  std::optional<schema::LogRecord> record_;
  // Enqueue time of each entry of `record_`.
  std::vector<TimePoint> record_enqueued_at_;
  SendState send_state_ = SendState::kNone;
  // True once an attempt to append `record_` may have reached the log.
  bool maybe_appended_ = false;
  // Sequence number of the latest record that is known to be in the log.
  uint64_t sequence_ = 0;
  TimePoint sent_at_;
  TimePoint not_before_;
  std::chrono::milliseconds backoff_{0};
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_APPEND_QUEUE_H_

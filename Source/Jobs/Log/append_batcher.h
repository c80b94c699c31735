#ifndef RHUBARBHAVEN_JOBS_LOG_APPEND_BATCHER_H_
#define RHUBARBHAVEN_JOBS_LOG_APPEND_BATCHER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Jobs/job_records.h"

namespace rhubarbhaven::jobs {

// One append request. The log discards a repeat of the same sequence number.
struct AppendCall {
  std::string producer;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::vector<KeyedRecord> records;
  std::chrono::milliseconds timeout{0};
};

enum class AppendOutcome {
  kAppended,
  // The append was not carried out and will not be.
  kRejected,
  // The same, and every repeat of these records will be rejected as well.
  kInvalid,
  // The append may have been carried out, or may still be carried out later.
  kUnknown,
  // A later epoch of the producer is in force.
  kFenced,
  // The log expects another sequence number.
  kOutOfOrder,
};

struct AppendResult {
  AppendOutcome outcome = AppendOutcome::kUnknown;
  // With kOutOfOrder.
  uint64_t expected_sequence = 0;
};

// The final outcome of an entry, identified by the ticket under which it was
// enqueued.
enum class EntryOutcome {
  kStored,
  // The entry is not stored and will not be stored later.
  kNotStored,
  // The log does not accept some of the entry's records, whose keys are listed.
  // The others are stored.
  kInvalid,
};

struct SettledEntry {
  uint64_t ticket = 0;
  EntryOutcome outcome = EntryOutcome::kStored;
  std::vector<std::string> invalid_keys = {};
};

struct AppendBatcherOptions {
  std::string producer;
  uint64_t epoch = 1;
  uint64_t first_sequence = 1;
  // If true, the entries of a rejected batch are settled at once as not stored;
  // each must have one record. If false, the batch is retried until it is
  // stored.
  bool settle_rejected = false;
  // Limits on one request: the size of its records in the log, and their
  // number.
  std::size_t max_bytes = 1 << 20;
  std::size_t max_records = 512;
  // Bandwidth of the link to the log; zero if it is unknown. A request has at
  // most what the link carries in `max_link_time`, unless that is less than one
  // record: other calls over the link wait behind it.
  std::size_t link_bytes_per_second = 0;
  std::chrono::milliseconds max_link_time{250};
  // The timeout of a request is four times the smoothed response time, within
  // these bounds, and doubles after each failure. A shorter timeout detects a
  // lost response sooner, but a log that is merely slow must not receive each
  // request twice. The time that the request takes on the link is added.
  std::chrono::milliseconds min_timeout{150};
  std::chrono::milliseconds max_timeout{2000};
  // Lower limit on the timeout while the link is busy. A repeated request opens
  // a connection and so waits longer than the one that it replaces.
  std::chrono::milliseconds busy_timeout{1200};
  // Pause after a rejection or a lost response. It doubles up to the maximum.
  std::chrono::milliseconds initial_backoff{20};
  std::chrono::milliseconds max_backoff{300};
};

// Decides what one producer appends and when. Records are sent in batches, with
// one batch in flight at a time; the records of an entry may be in several. A
// batch whose response was lost is sent again under its sequence number until
// its outcome is known. A batch that the log does not accept is divided until
// the records at fault are found; these are discarded. Performs no I/O.
class AppendBatcher {
 public:
  explicit AppendBatcher(AppendBatcherOptions options);

  auto Enqueue(uint64_t ticket, std::vector<KeyedRecord> records) -> void;
  // The same for an entry that is sent before all others that wait. It must not
  // depend on them.
  auto EnqueueFirst(uint64_t ticket, std::vector<KeyedRecord> records) -> void;
  // The batch to send now, if any. `OnResult` reports its outcome. `link_busy`:
  // a large response of the log is arriving over the same link.
  auto Next(TimePoint now, bool link_busy = false) -> std::optional<AppendCall>;
  auto OnResult(TimePoint now, const AppendResult& result)
      -> std::vector<SettledEntry>;
  // Removes the entries that are not in flight and returns them as not stored.
  auto TakeWaiting() -> std::vector<SettledEntry>;

  auto next_wake() const -> TimePoint;
  auto idle() const -> bool { return entries_.empty() && urgent_.empty(); }
  // Size in the log of the records that are not settled.
  auto pending_bytes() const -> std::size_t { return pending_bytes_; }
  // True while the log counts as unavailable: the latest attempt was rejected,
  // or several in a row got no response. A single lost response is no outage.
  auto failing() const -> bool {
    return rejected_ || failures_ >= kUnansweredToBeFailing;
  }
  // Whether an entry that is enqueued now will be sent soon. While the log is
  // unavailable, one entry at a time is sent to detect its recovery.
  auto accepts(TimePoint now) const -> bool {
    return !failing() || (idle() && now >= not_before_);
  }
  // When the batch in flight, or the latest one, was first sent.
  auto first_sent() const -> TimePoint { return first_sent_; }

 private:
  static constexpr int kUnansweredToBeFailing = 3;

  struct Entry {
    uint64_t ticket = 0;
    std::vector<KeyedRecord> records;
    // Number of its first records that are settled, and the keys of those among
    // them that the log does not accept.
    std::size_t settled = 0;
    std::vector<std::string> invalid_keys;
  };

  // Chooses the records of the next batch, which are the first unsettled ones.
  auto FillBatch(TimePoint now) -> void;
  auto RecordsOfBatch() const -> std::vector<KeyedRecord>;
  auto OnStored() -> std::vector<SettledEntry>;
  auto OnInvalid(TimePoint now) -> std::vector<SettledEntry>;
  // Settles the records of the batch, and returns the entries that are thereby
  // settled as a whole.
  auto SettleBatch(bool invalid) -> std::vector<SettledEntry>;
  auto SettleBatchAsNotStored() -> std::vector<SettledEntry>;
  auto BackOff(TimePoint now) -> void;
  auto Timeout() const -> std::chrono::milliseconds;
  auto MaxBatchBytes() const -> std::size_t;
  // How long the current batch occupies the link.
  auto LinkTime() const -> Duration;

  AppendBatcherOptions options_;
  // Entries that are not settled, in the order in which they are sent.
  std::deque<Entry> entries_;
  // Entries that precede them in the next batch.
  std::deque<Entry> urgent_;
  std::size_t pending_bytes_ = 0;
  // Number of records in the current batch; zero if there is none. They belong
  // to the first `batch_entries_` entries.
  std::size_t batch_records_ = 0;
  std::size_t batch_entries_ = 0;
  std::size_t batch_bytes_ = 0;
  // Limit on the next batch, reduced while the log does not accept all records.
  std::size_t max_records_;
  uint64_t sequence_;
  bool in_flight_ = false;
  // An attempt to send the batch may have reached the log.
  bool maybe_stored_ = false;
  bool fenced_ = false;
  int failures_ = 0;
  bool rejected_ = false;
  TimePoint sent_at_;
  TimePoint first_sent_;
  TimePoint not_before_;
  Duration smoothed_latency_ = std::chrono::milliseconds(10);
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_LOG_APPEND_BATCHER_H_

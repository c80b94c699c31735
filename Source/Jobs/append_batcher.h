#ifndef RHUBARBHAVEN_JOBS_APPEND_BATCHER_H_
#define RHUBARBHAVEN_JOBS_APPEND_BATCHER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Jobs/job_records.h"

namespace rhubarbhaven::jobs {

// One append as it is sent. The log drops a repeat of the same sequence.
struct AppendCall {
  std::string producer;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::vector<KeyedRecord> records;
  std::chrono::milliseconds timeout{0};
};

enum class AppendOutcome {
  kAppended,
  // Nothing was done, and nothing will be.
  kRefused,
  // Done, or not, or later.
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

// What became of an entry, by the ticket under which it was enqueued.
enum class AppendFate {
  kStored,
  // Certainly not stored, now or later.
  kNotStored,
};

struct SettledEntry {
  uint64_t ticket = 0;
  AppendFate fate = AppendFate::kStored;
};

struct AppendBatcherOptions {
  std::string producer;
  uint64_t epoch = 1;
  uint64_t first_sequence = 1;
  // True gives a refused batch back at once as not stored; false sends it
  // again until it is stored.
  bool give_back_refused = false;
  std::size_t most_bytes = 1 << 20;
  std::size_t most_entries = 512;
  // The wait for an answer is four times the usual one, within these bounds,
  // and twice as long after each failure. The shorter, the sooner a lost answer
  // is asked for again; a log that is merely slow must not be asked twice each
  // time.
  std::chrono::milliseconds shortest_timeout{150};
  std::chrono::milliseconds longest_timeout{2000};
  // Pause after a refusal or a lost answer; doubles up to the longest.
  std::chrono::milliseconds first_backoff{20};
  std::chrono::milliseconds longest_backoff{300};
};

// Decides what one producer appends and when: entries are sent in batches, one
// batch is under way at a time, and a batch whose answer was lost is sent again
// under its sequence number until its fate is known. Pure: no I/O.
class AppendBatcher {
 public:
  explicit AppendBatcher(AppendBatcherOptions options);

  auto Enqueue(uint64_t ticket, std::vector<KeyedRecord> records) -> void;
  // The batch to send now, if any. Its fate is reported by `OnResult`.
  auto Next(TimePoint now) -> std::optional<AppendCall>;
  auto OnResult(TimePoint now, const AppendResult& result)
      -> std::vector<SettledEntry>;
  // Entries that are not under way, given back as not stored.
  auto TakeWaiting() -> std::vector<SettledEntry>;

  auto next_wake() const -> TimePoint;
  auto idle() const -> bool { return batch_.empty() && waiting_.empty(); }
  // True while the log is taken to be away: the latest try was refused, or
  // several in a row got no answer. A single lost answer is no outage.
  auto failing() const -> bool {
    return refused_ || failures_ >= kUnansweredToFail;
  }
  // Whether an entry that is enqueued now is sent soon. While the log is away,
  // one at a time is, to find out when it is back.
  auto accepts(TimePoint now) const -> bool {
    return !failing() || (idle() && now >= not_before_);
  }
  // When the batch under way, or the latest one, was first sent.
  auto first_sent() const -> TimePoint { return first_sent_; }

 private:
  static constexpr int kUnansweredToFail = 3;

  struct Entry {
    uint64_t ticket = 0;
    std::vector<KeyedRecord> records;
    std::size_t bytes = 0;
  };

  auto FillBatch(TimePoint now) -> void;
  auto Settle(AppendFate fate) -> std::vector<SettledEntry>;
  auto BackOff(TimePoint now) -> void;
  auto Timeout() const -> std::chrono::milliseconds;

  AppendBatcherOptions options_;
  std::deque<Entry> waiting_;
  std::vector<Entry> batch_;
  uint64_t sequence_;
  bool in_flight_ = false;
  // A try of the batch may have reached the log.
  bool maybe_stored_ = false;
  bool fenced_ = false;
  int failures_ = 0;
  bool refused_ = false;
  TimePoint sent_at_;
  TimePoint first_sent_;
  TimePoint not_before_;
  Duration usual_answer_ = std::chrono::milliseconds(10);
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_APPEND_BATCHER_H_

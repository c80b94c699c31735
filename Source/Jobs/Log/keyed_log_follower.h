#ifndef RHUBARBHAVEN_JOBS_LOG_KEYED_LOG_FOLLOWER_H_
#define RHUBARBHAVEN_JOBS_LOG_KEYED_LOG_FOLLOWER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Jobs/Log/keyed_log.h"

namespace rhubarbhaven::jobs {

struct KeyedLogFollowerOptions {
  LogTopic topic = LogTopic::kJobs;
  // How long one read waits for a record. Each response confirms that the local
  // copy is current.
  std::chrono::milliseconds read_wait{1000};
  // Only the newest record of each key matters. If several records are waiting,
  // the newest records are requested where they are the smaller transfer, and
  // those between them are skipped.
  bool newest_only = false;
  // Bounds of the number of bytes that one read requests. The number is halved
  // after each read that timed out, so that responses arrive in time over a
  // slow path, and grows slowly after each other read.
  std::size_t min_bytes = 16 << 10;
  std::size_t max_bytes = 1 << 20;
  // The limit on the whole of a transfer doubles, up to `max_total`, after each
  // one that exceeded it while bytes arrived: neither a single record nor a
  // page of newest records can be requested in parts.
  TransferLimits read_limits{};
  TransferLimits page_limits{.response = std::chrono::milliseconds(2000)};
  std::chrono::milliseconds max_total{120000};
  // Pause after a failure.
  std::chrono::milliseconds initial_backoff{50};
  std::chrono::milliseconds max_backoff{400};
};

// One call of a follower to the log, as it ended.
struct FollowerCall {
  // A page of newest records was requested, not the records from an offset on.
  bool newest = false;
  TimePoint requested_at;
  // How long the log was asked to wait for a record.
  std::chrono::milliseconds wait{0};
  // Offset from which records were requested. Zero for newest records.
  uint64_t from = 0;
  std::size_t records = 0;
  // Size of what has arrived of the response.
  std::size_t bytes = 0;
  // When its first byte was seen; none if there was none.
  std::optional<TimePoint> response_began_at;
  // Offset after the last record of the log, as the response has it.
  uint64_t end = 0;
  // Empty if the call was answered.
  std::string error;
  // The call before this one failed, or there was none.
  bool after_failure = false;
};

// A response to a follower that is arriving.
struct FollowerTransfer {
  // See `FollowerCall`.
  bool newest = false;
  TimePoint began_at;
  std::size_t bytes = 0;
};

struct KeyedLogFollowerHooks {
  // Schedules a function for that time, on the thread to which the follower
  // belongs.
  std::function<auto(TimePoint, std::function<auto(TimePoint)->void>)->void>
      schedule;
  std::function<auto(TimePoint, const KeyedRecord&)->void> on_record;
  // The key is no longer in the log, and its deletion was not read.
  std::function<auto(TimePoint, const std::string& key)->void> on_key_removed;
  // The follower re-reads the newest records. Until `on_caught_up`, records
  // arrive in the order of their keys, and the state of some keys may be older
  // than that of others.
  std::function<auto()->void> on_restart;
  // Everything up to the log's end was read. The copy reflects the log at
  // `as_of` or later, since a response may arrive long after it was generated.
  std::function<auto(TimePoint now, TimePoint as_of)->void> on_caught_up;
  // All newest records of the log at `as_of` have been delivered. Unlike a
  // read, this proves that the log had nothing newer, see `ReadBarrier`.
  // Precedes `on_caught_up`; only with `newest_only`. May be null.
  std::function<auto(TimePoint as_of)->void> on_newest_complete;
  // How long the next read waits for a record, given the wait from the options
  // as the maximum. If null, the maximum is used.
  std::function<auto(std::chrono::milliseconds)->std::chrono::milliseconds>
      read_wait;
  // How long to wait before the next read after a response with records, so
  // that one read returns several new records. If null, there is no wait.
  std::function<auto()->std::chrono::milliseconds> pause;
  // A call to the log has ended. If null, calls are not reported.
  std::function<auto(TimePoint, const FollowerCall&)->void> on_call;
  // The log became unreachable (with the error) or reachable again (empty).
  std::function<auto(const std::string& error)->void> on_reachable;
};

// Follows one keyed log: reads the newest record of each key, then reads
// incrementally from there, and restarts when the history that it needs has
// been compacted. One call is in flight at a time. All of its state belongs to
// one thread, on which the calls to the log call back.
class KeyedLogFollower {
 public:
  KeyedLogFollower(KeyedLogFollowerOptions options,
                   KeyedLogPort port,
                   KeyedLogFollowerHooks hooks);
  KeyedLogFollower(const KeyedLogFollower&) = delete;
  auto operator=(const KeyedLogFollower&) -> KeyedLogFollower& = delete;

  auto Start(TimePoint now) -> void;
  // Ends a pause between two reads.
  auto ResumeReading(TimePoint now) -> void;
  auto reachable() const -> bool { return reachable_; }
  // When a read that reached the end of the log was last answered.
  auto caught_up_at() const -> TimePoint { return caught_up_at_; }
  // Whether `caught_up_at` is less than `gap` ago.
  auto CaughtUpWithin(TimePoint now, std::chrono::milliseconds gap) const
      -> bool {
    return caught_up_at_ != TimePoint() && now - caught_up_at_ < gap;
  }
  // The response that is arriving; none if none is.
  auto transfer() const -> const std::optional<FollowerTransfer>& {
    return transfer_;
  }
  // Offset after the last record that was read; none while the newest records
  // are being re-read.
  auto read_to() const -> std::optional<uint64_t> {
    return current_ ? std::optional(next_) : std::nullopt;
  }

 private:
  // Re-reads the newest records, since the copy may lack deletions or be of
  // another log.
  auto Restart(TimePoint now) -> void;
  // Requests the newest records in place of those that are waiting.
  auto SkipToNewest(TimePoint now) -> void;
  // Whether to request the newest records, after a response with a part of the
  // records that are waiting: they are a smaller transfer than the rest, or
  // than all that was read without reaching the end, as in a log that is
  // changed during each read.
  auto ShouldSkip(const ReadResult& result) -> bool;
  auto RequestNewest(TimePoint now) -> void;
  auto OnNewest(TimePoint now, const NewestResult& result) -> void;
  // Everything up to the end of the newest records has been read.
  auto OnNewestComplete(TimePoint now) -> void;
  auto RemoveMissingKeys(TimePoint now) -> void;
  // Sets the size of the newest record of a key; zero if it has none.
  auto SetSize(const std::string& key, std::size_t bytes) -> void;
  auto Read(TimePoint now) -> void;
  auto OnRead(TimePoint now, const ReadResult& result) -> void;
  auto GrowReadSize() -> void;
  // Begins a call to the log. Returns the function that it notifies of
  // progress.
  auto BeginCall(TimePoint now, bool newest) -> OnTransferProgress;
  auto EndCall() -> void;
  // Increases the limit on a whole transfer if one was incomplete for it.
  auto AdjustTotal(bool timed_out, std::size_t bytes) -> void;
  auto ResponseBeganAt() const -> std::optional<TimePoint>;
  auto ReportPage(TimePoint now, const NewestResult& result) const -> void;
  auto ReportRead(TimePoint now, const ReadResult& result) const -> void;
  auto Deliver(TimePoint now, const KeyedRecord& record) -> void;
  auto PauseOrRead(TimePoint now, bool may_pause) -> void;
  auto OnFailure(TimePoint now, const std::string& error, bool read_on) -> void;
  auto OnSuccess() -> void;

  KeyedLogFollowerOptions options_;
  KeyedLogPort port_;
  KeyedLogFollowerHooks hooks_;
  std::string after_;
  bool first_page_ = true;
  // The newest records are requested although the copy is in order.
  bool skipping_ = false;
  // All newest records were in one page.
  bool single_page_ = false;
  uint64_t next_ = 0;
  // Size in the log of the newest record of each key, and of all of them.
  std::map<std::string, std::size_t> sizes_;
  std::size_t total_size_ = 0;
  // Size of the records that reads which did not reach the end have returned
  // since the end was last reached.
  std::size_t behind_bytes_ = 0;
  std::set<std::string> keys_of_pages_;
  bool reachable_ = false;
  bool reachability_reported_ = false;
  // The end of the log was reached since the newest records were last
  // requested.
  bool current_ = false;
  TimePoint caught_up_at_;
  // Start time of the call in flight, and wait of the read.
  TimePoint requested_at_;
  std::chrono::milliseconds requested_wait_{0};
  std::optional<FollowerTransfer> transfer_;
  // Number of calls so far; distinguishes the call in flight from earlier ones.
  uint64_t calls_ = 0;
  std::chrono::milliseconds backoff_{0};
  std::size_t read_bytes_;
  // Limit on a whole transfer; none before one has exceeded the usual limit.
  std::optional<std::chrono::milliseconds> total_;
  bool pausing_ = false;
  // Number of pauses so far; distinguishes a pause from earlier ones.
  uint64_t pauses_ = 0;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_LOG_KEYED_LOG_FOLLOWER_H_

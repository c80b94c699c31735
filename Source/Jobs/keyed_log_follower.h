#ifndef RHUBARBHAVEN_JOBS_KEYED_LOG_FOLLOWER_H_
#define RHUBARBHAVEN_JOBS_KEYED_LOG_FOLLOWER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Jobs/keyed_log.h"

namespace rhubarbhaven::jobs {

struct KeyedLogFollowerOptions {
  LogTopic topic = LogTopic::kJobs;
  // How long one read waits for a record; each answer shows that what was read
  // is current.
  std::chrono::milliseconds read_wait{1000};
  // Bytes that one read asks for, between these: half as many after each that
  // ran out of time, so that a slow path brings them in time, and slowly more
  // after each other one.
  std::size_t fewest_bytes = 16 << 10;
  std::size_t most_bytes = 1 << 20;
  // How long a page of newest records may take, between these; twice as long
  // after each failure, since no smaller one can be asked for.
  std::chrono::milliseconds shortest_page_timeout{2000};
  std::chrono::milliseconds longest_page_timeout{16000};
  // Pause after a failure.
  std::chrono::milliseconds first_backoff{50};
  std::chrono::milliseconds longest_backoff{400};
};

struct KeyedLogFollowerHooks {
  // Runs something at that time, on the thread to which the follower belongs.
  std::function<auto(TimePoint, std::function<auto(TimePoint)->void>)->void> at;
  std::function<auto(TimePoint, const KeyedRecord&)->void> on_record;
  // The key is no longer in the log: its deletion was not read.
  std::function<auto(TimePoint, const std::string& key)->void> on_key_gone;
  // The newest records are read anew: until `on_caught_up`, records come in the
  // order of their keys, and what was read of some may be older than of others.
  std::function<auto()->void> on_begin_anew;
  // Everything up to the log's end was read, as it was at `shown` at least: an
  // answer may come long after it was given.
  std::function<auto(TimePoint now, TimePoint shown)->void> on_caught_up;
  // How long the next read waits for a record; the options' wait at most. Null
  // if always that.
  std::function<auto(std::chrono::milliseconds)->std::chrono::milliseconds>
      read_wait;
  // How long to wait before reading on after an answer with records, for more
  // of them to come with the next one. Null if not at all.
  std::function<auto()->std::chrono::milliseconds> pause;
  // The log was lost (with the error), or found again (empty).
  std::function<auto(const std::string& error)->void> on_reachable;
};

// Follows one keyed log: takes the newest record of each key, then reads on
// from there, and begins anew when the history that it needs is gone. All of
// its state belongs to one thread, on which the calls to the log are answered.
class KeyedLogFollower {
 public:
  KeyedLogFollower(KeyedLogFollowerOptions options,
                   KeyedLogPort port,
                   KeyedLogFollowerHooks hooks);
  KeyedLogFollower(const KeyedLogFollower&) = delete;
  auto operator=(const KeyedLogFollower&) -> KeyedLogFollower& = delete;

  auto Start() -> void;
  // Ends a pause.
  auto ReadOn(TimePoint now) -> void;
  auto reachable() const -> bool { return reachable_; }
  // When a read that reached the end was last answered.
  auto caught_up_at() const -> TimePoint { return caught_up_at_; }
  // Whether that is less than this ago.
  auto CaughtUpWithin(TimePoint now, std::chrono::milliseconds gap) const
      -> bool {
    return caught_up_at_ != TimePoint() && now - caught_up_at_ < gap;
  }
  // Place behind the last record that was read; none while the newest records
  // are being read anew.
  auto read_to() const -> std::optional<uint64_t> {
    return current_ ? std::optional(next_) : std::nullopt;
  }

 private:
  auto AskNewest() -> void;
  auto OnNewest(TimePoint now, const NewestResult& result) -> void;
  auto ForgetMissingKeys(TimePoint now) -> void;
  auto Read(TimePoint now) -> void;
  auto OnRead(TimePoint now, const ReadResult& result) -> void;
  auto AskForMore() -> void;
  auto Deliver(TimePoint now, const KeyedRecord& record) -> void;
  auto PauseOrRead(TimePoint now, bool may_pause) -> void;
  auto Failed(TimePoint now, const std::string& error, bool read_on) -> void;
  auto Succeeded() -> void;

  KeyedLogFollowerOptions options_;
  KeyedLogPort port_;
  KeyedLogFollowerHooks hooks_;
  std::string after_;
  bool first_page_ = true;
  uint64_t next_ = 0;
  std::set<std::string> keys_;
  std::set<std::string> keys_of_pages_;
  bool reachable_ = false;
  bool ever_reached_ = false;
  // The end was reached since the newest records were last asked for.
  bool current_ = false;
  TimePoint caught_up_at_;
  // Of the read under way: when it was asked for, and its wait.
  TimePoint asked_at_;
  std::chrono::milliseconds asked_wait_{0};
  std::chrono::milliseconds backoff_{0};
  std::size_t read_bytes_;
  std::chrono::milliseconds page_timeout_;
  bool pausing_ = false;
  // Tells a pause from those that were ended before.
  uint64_t pauses_ = 0;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_KEYED_LOG_FOLLOWER_H_

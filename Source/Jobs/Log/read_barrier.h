#ifndef RHUBARBHAVEN_JOBS_LOG_READ_BARRIER_H_
#define RHUBARBHAVEN_JOBS_LOG_READ_BARRIER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "Jobs/Log/keyed_log.h"

namespace rhubarbhaven::jobs {

struct ReadBarrierHooks {
  LogTopic topic = LogTopic::kJobs;
  std::function<auto(const NewestCall&, KeyedLogPort::OnNewest)->void> newest;
  // Offset after the last record of the log that was read; none while the
  // newest records are being re-read.
  std::function<auto()->std::optional<uint64_t>> read_to;
  // Ends a pause between two reads.
  std::function<auto(TimePoint)->void> resume_reading;
};

// Reports when the local copy of the log contains everything that the log
// contained at the time of a request. Only then can the absence of a record be
// confirmed. All state belongs to one thread, on which reads call back.
//
// The end of the log is taken from a request for newest records. A read of
// records may report an earlier end: while an append to the log is in progress,
// it does not return records behind that one, although they are acknowledged.
class ReadBarrier {
 public:
  // `passed` is false if this could not be determined in time.
  using OnPassed = std::function<auto(TimePoint, bool passed)->void>;

  explicit ReadBarrier(ReadBarrierHooks hooks);
  ReadBarrier(const ReadBarrier&) = delete;
  auto operator=(const ReadBarrier&) -> ReadBarrier& = delete;

  // Calls `on_passed` exactly once, at `expires_at` at the latest if `Tick` is
  // called by then.
  auto Await(TimePoint now, TimePoint expires_at, OnPassed on_passed) -> void;
  // More of the log has been read.
  auto OnReadTo(TimePoint now) -> void;
  auto Tick(TimePoint now) -> void;
  auto next_wake() const -> TimePoint;

 private:
  struct Waiter {
    TimePoint expires_at;
    OnPassed on_passed;
    // The request in flight began after this waiter was added.
    bool requested = false;
    // The log's end, as reported by a request that began after this waiter was
    // added.
    std::optional<uint64_t> end;
  };

  auto RequestEnd(TimePoint now) -> void;
  auto OnEnd(TimePoint now, const NewestResult& result) -> void;
  // Whether a waiter needs a request that has not begun.
  auto NeedsRequest() const -> bool;
  // Removes the waiters for which `done` is true and calls them back.
  auto Settle(TimePoint now,
              bool passed,
              const std::function<auto(const Waiter&)->bool>& done) -> void;

  ReadBarrierHooks hooks_;
  std::vector<Waiter> waiters_;
  bool request_in_flight_ = false;
  // What had been read when the request in flight was sent.
  uint64_t read_before_request_ = 0;
  // The earliest start of the next request.
  TimePoint next_request_at_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_LOG_READ_BARRIER_H_

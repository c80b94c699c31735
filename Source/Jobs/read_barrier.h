#ifndef RHUBARBHAVEN_JOBS_READ_BARRIER_H_
#define RHUBARBHAVEN_JOBS_READ_BARRIER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "Jobs/keyed_log.h"

namespace rhubarbhaven::jobs {

struct ReadBarrierHooks {
  std::function<auto(const ReadCall&, KeyedLogPort::OnRead)->void> read;
  // Place behind the last record of the log that was read; none while the
  // newest records are being read anew.
  std::function<auto()->std::optional<uint64_t>> read_to;
  // Ends a pause between two reads.
  std::function<auto(TimePoint)->void> read_on;
};

// Tells when a copy of the log holds all that the log held when somebody asked.
// Only then it may be said that something is not there. All of its state
// belongs to one thread, on which reads are answered.
class ReadBarrier {
 public:
  // `passed` is false if that could not be found out in time.
  using OnPassed = std::function<auto(TimePoint, bool passed)->void>;

  explicit ReadBarrier(ReadBarrierHooks hooks);
  ReadBarrier(const ReadBarrier&) = delete;
  auto operator=(const ReadBarrier&) -> ReadBarrier& = delete;

  // Answers once, by `give_up_at` at the latest if it is ticked by then.
  auto Await(TimePoint now, TimePoint give_up_at, OnPassed on_passed) -> void;
  // More of the log has been read.
  auto OnReadTo(TimePoint now) -> void;
  auto Tick(TimePoint now) -> void;
  auto next_wake() const -> TimePoint;

 private:
  struct Waiter {
    TimePoint give_up_at;
    OnPassed on_passed;
    // The read under way began after it came.
    bool asked = false;
    // The log's end, as a read that began after it came has shown it.
    std::optional<uint64_t> end;
  };

  auto AskEnd(TimePoint now) -> void;
  auto OnEnd(TimePoint now, const ReadResult& result) -> void;
  // Whether somebody waits for a read that has not begun.
  auto ReadIsWanted() const -> bool;
  // Takes out those that `done` names and answers them.
  auto Settle(TimePoint now,
              bool passed,
              const std::function<auto(const Waiter&)->bool>& done) -> void;

  ReadBarrierHooks hooks_;
  std::vector<Waiter> waiters_;
  bool asking_ = false;
  // The next read begins no sooner.
  TimePoint ask_at_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_READ_BARRIER_H_

#ifndef RHUBARBHAVEN_JOBS_START_CHECK_H_
#define RHUBARBHAVEN_JOBS_START_CHECK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "Base/base.h"
#include "Jobs/Log/keyed_log.h"
#include "Jobs/job_fold.h"

namespace rhubarbhaven::jobs {

struct StartCheckOptions {
  // What was read is used for this long after the read was requested. The limit
  // is longer than `patience`, or a slow log would be read again and again.
  std::chrono::milliseconds result_age{1000};
  // A log that has answered no read for this long counts as unreachable. A
  // single read may fail because the log limits its callers or a connection
  // breaks.
  std::chrono::milliseconds patience{600};
  // Pause after a failed read, and the same once the log is unreachable.
  std::chrono::milliseconds retry_pause{50};
  std::chrono::milliseconds unreachable_retry_pause{500};
  // What was read, and that the log is unreachable, is kept for this long after
  // the last check.
  std::chrono::milliseconds keep{3000};
};

// A start that rests on an outdated copy of the log.
struct CheckedStart {
  std::string job;
  uint64_t fence = 0;
  // Offset after the last record that the owner had read.
  uint64_t read_to = 0;
};

// An agent's check whether a start still stands, by what the log contains
// beyond the records that the owner had read. It tells an owner that alone
// cannot read the log from a log that nobody can read. It reads only while
// starts are checked.
class StartCheck {
 public:
  enum class Verdict {
    kStands,
    // The job is over.
    kOver,
    // The owner was replaced, or the log no longer has all records that the
    // owner had not read.
    kUncertain,
    // The log is being read; to be checked again soon.
    kPending,
    kUnreachable,
  };
  struct Result {
    Verdict verdict = Verdict::kPending;
    // With the first three verdicts: all records that the log had at this time
    // were taken into account.
    TimePoint as_of;
  };
  using ReadLog =
      std::function<auto(const ReadCall&, KeyedLogPort::OnRead)->void>;

  explicit StartCheck(ReadLog read, StartCheckOptions options = {})
      : options_(options), read_(std::move(read)) {}
  StartCheck(const StartCheck&) = delete;
  auto operator=(const StartCheck&) -> StartCheck& = delete;

  auto Check(TimePoint now, const CheckedStart& start) -> Result;
  // Frees what was read once nothing was checked for some time.
  auto Tick(TimePoint now) -> void;

 private:
  // Discards what was read, and responses to reads in flight.
  auto Clear() -> void;
  auto Read(TimePoint now) -> void;
  auto OnRead(TimePoint asked, TimePoint now, const ReadResult& result) -> void;
  auto IsUnreachable(TimePoint now) const -> bool;
  // Whether the log has deleted records that the owner of the start had not
  // read.
  auto LacksRecords(TimePoint now, const CheckedStart& start) const -> bool;
  auto Judge(const CheckedStart& start) const -> Verdict;

  StartCheckOptions options_;
  ReadLog read_;
  // Records from `from_` on, up to `next_`, have been applied to `fold_`.
  std::optional<uint64_t> from_;
  uint64_t next_ = 0;
  JobFold fold_;
  // All records that the log had at this time have been read.
  std::optional<TimePoint> read_as_of_;
  // A read found that records from this offset on had been deleted, and when it
  // was requested.
  uint64_t deleted_from_ = 0;
  std::optional<TimePoint> deleted_at_;
  bool reading_ = false;
  // When the oldest read was requested that follows the last answer.
  std::optional<TimePoint> unanswered_since_;
  TimePoint retry_at_;
  TimePoint checked_at_;
  // Identifies responses to reads from before the last `Clear`.
  uint64_t generation_ = 0;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_START_CHECK_H_

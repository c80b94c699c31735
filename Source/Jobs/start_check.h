#ifndef RHUBARBHAVEN_JOBS_START_CHECK_H_
#define RHUBARBHAVEN_JOBS_START_CHECK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Base/base.h"
#include "Jobs/job_fold.h"
#include "Jobs/keyed_log.h"

namespace rhubarbhaven::jobs {

struct StartCheckOptions {
  // What was read is used for this long after the read was requested. The limit
  // is longer than `patience`, or a slow log would be read again and again.
  std::chrono::milliseconds result_age{1000};
  // A log that has not answered for this long counts as unreachable.
  std::chrono::milliseconds patience{600};
  // Pause after a failed read.
  std::chrono::milliseconds retry_pause{500};
  // The log counts as unreachable for this long after it was last found so.
  std::chrono::milliseconds unreachable_for{2000};
  // Records that were read are kept for this long after the last check.
  std::chrono::milliseconds keep{10000};
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
    // The job is over, the owner was replaced, or the log no longer has the
    // records from which that would follow.
    kVoid,
    // The log is being read; to be checked again soon.
    kPending,
    // The log cannot be read.
    kUnreachable,
  };
  using ReadLog =
      std::function<auto(const ReadCall&, KeyedLogPort::OnRead)->void>;

  explicit StartCheck(ReadLog read, StartCheckOptions options = {})
      : options_(options), read_(std::move(read)) {}
  StartCheck(const StartCheck&) = delete;
  auto operator=(const StartCheck&) -> StartCheck& = delete;

  auto Check(TimePoint now, const CheckedStart& start) -> Verdict;

 private:
  // Begins anew at this offset.
  auto Restart(uint64_t from) -> void;
  auto Read(TimePoint now) -> void;
  auto OnRead(TimePoint asked, TimePoint now, const ReadResult& result) -> void;
  auto NoteUnreachable(TimePoint now) -> void;
  auto IsUnreachable(TimePoint now) const -> bool;
  auto Judge(const CheckedStart& start) const -> Verdict;

  StartCheckOptions options_;
  ReadLog read_;
  // Records from `from_` on, up to `next_`, have been applied to `fold_`.
  std::optional<uint64_t> from_;
  uint64_t next_ = 0;
  JobFold fold_;
  // Records from `from_` on have been deleted.
  bool gone_ = false;
  // All records that the log had at this time have been read.
  std::optional<TimePoint> read_as_of_;
  // Since when the end of the log is being read; none while it is not.
  std::optional<TimePoint> reading_since_;
  TimePoint retry_at_;
  std::optional<TimePoint> unreachable_at_;
  TimePoint checked_at_;
  // Identifies responses to reads from before the last restart.
  uint64_t generation_ = 0;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_START_CHECK_H_

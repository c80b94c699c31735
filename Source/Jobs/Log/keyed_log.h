#ifndef RHUBARBHAVEN_JOBS_LOG_KEYED_LOG_H_
#define RHUBARBHAVEN_JOBS_LOG_KEYED_LOG_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Jobs/Log/append_batcher.h"
#include "Jobs/job_records.h"

namespace rhubarbhaven::jobs {

// The platform's logs that keep the newest record of each key.
enum class LogTopic {
  // Jobs, agents and claims, written by this system.
  kJobs,
  // The operators' configuration.
  kOperators,
};

// Limits on a response of the log. Its size, and with a thin link the duration
// of its transfer, is determined by those who write the records, so the limits
// are on silence. A transfer that makes progress is not given up: the log
// cannot continue it, and the next one would be as long.
struct TransferLimits {
  // Until the first byte, in addition to the wait that was requested.
  std::chrono::milliseconds response{1200};
  // From then on, at least `min_bytes` must arrive within each `interval`.
  std::chrono::milliseconds interval{1200};
  std::size_t min_bytes = 4096;
  // Of the whole call, in addition to the wait. Limits the harm of a log that
  // sends little for ever.
  std::chrono::milliseconds total{30000};
};

// Called with the number of bytes of a response that have arrived.
using OnTransferProgress = std::function<auto(TimePoint, std::size_t)->void>;

struct ReadCall {
  LogTopic topic = LogTopic::kJobs;
  // Offset of the first record to read.
  uint64_t from = 0;
  // How long the response may wait for a record.
  std::chrono::milliseconds wait{0};
  // Approximate limit on the size of the records in the response. At least one
  // record is returned.
  std::size_t max_bytes = 1 << 20;
  TransferLimits limits{};
  // May be null.
  OnTransferProgress on_progress = nullptr;
};

enum class ReadOutcome {
  kRecords,
  // The requested records have been deleted by compaction. The newest record of
  // each key remains.
  kGone,
  kFailed,
};

struct ReadResult {
  ReadOutcome outcome = ReadOutcome::kFailed;
  std::vector<KeyedRecord> records;
  // Offset after the last record of the log.
  uint64_t end = 0;
  // With kFailed: the error, for log lines.
  std::string error;
  // With kFailed: no complete response arrived in time.
  bool timed_out = false;
  // Size of what has arrived of the response.
  std::size_t bytes = 0;
};

// Sorts after every key.
inline constexpr char kAfterAllKeys[] = "\x7f";

struct NewestCall {
  LogTopic topic = LogTopic::kJobs;
  // Lists the keys after this one. Empty for the first page.
  std::string after;
  TransferLimits limits{};
  // May be null.
  OnTransferProgress on_progress = nullptr;
};

// One page of the newest records of each key. The pages are not a consistent
// snapshot: records from the `end` of the first page on must be read as well.
struct NewestResult {
  bool answered = false;
  std::vector<KeyedRecord> records;
  bool more = false;
  uint64_t end = 0;
  // If not answered: the error, for log lines.
  std::string error;
  // If not answered: no complete response arrived in time.
  bool timed_out = false;
  // Size of what has arrived of the response.
  std::size_t bytes = 0;
};

// Calls to the log. Each calls back exactly once, also when the log is
// unresponsive.
struct KeyedLogPort {
  using OnAppend = std::function<auto(TimePoint, AppendResult)->void>;
  using OnRead = std::function<auto(TimePoint, ReadResult)->void>;
  using OnNewest = std::function<auto(TimePoint, NewestResult)->void>;
  std::function<auto(const AppendCall&, OnAppend)->void> append;
  std::function<auto(const ReadCall&, OnRead)->void> read;
  std::function<auto(const NewestCall&, OnNewest)->void> newest;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_LOG_KEYED_LOG_H_

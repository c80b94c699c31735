#ifndef RHUBARBHAVEN_JOBS_KEYED_LOG_H_
#define RHUBARBHAVEN_JOBS_KEYED_LOG_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Jobs/append_batcher.h"
#include "Jobs/job_records.h"

namespace rhubarbhaven::jobs {

// Logs of the platform that keep the newest record of each key.
enum class LogTopic {
  // Jobs, agents and claims; written by this system.
  kJobs,
  // The operators' configuration.
  kOperators,
};

struct ReadCall {
  LogTopic topic = LogTopic::kJobs;
  // Place of the first record that is wanted.
  uint64_t from = 0;
  // How long the answer may wait for a record.
  std::chrono::milliseconds wait{0};
  // The answer holds about so many bytes of records at most, but one record.
  std::size_t most_bytes = 1 << 20;
};

enum class ReadOutcome {
  kRecords,
  // The records asked for have been deleted; the newest of each key remain.
  kGone,
  kFailed,
};

struct ReadResult {
  ReadOutcome outcome = ReadOutcome::kFailed;
  std::vector<KeyedRecord> records;
  // Place behind the log's last record.
  uint64_t end = 0;
  // With kFailed: what went wrong, for the log.
  std::string error;
  // With kFailed: no whole answer came in time.
  bool timed_out = false;
};

struct NewestCall {
  LogTopic topic = LogTopic::kJobs;
  // Keys behind this one; empty for the first page.
  std::string after;
  std::chrono::milliseconds timeout{2000};
};

// One page of the newest records of each key. Pages are no snapshot: records
// behind `end` of the first page must be read as well.
struct NewestResult {
  bool answered = false;
  std::vector<KeyedRecord> records;
  bool more = false;
  uint64_t end = 0;
  std::string error;
};

// Calls to the log. Each answers once, also when the log is silent.
struct KeyedLogPort {
  using OnAppend = std::function<auto(TimePoint, AppendResult)->void>;
  using OnRead = std::function<auto(TimePoint, ReadResult)->void>;
  using OnNewest = std::function<auto(TimePoint, NewestResult)->void>;
  std::function<auto(const AppendCall&, OnAppend)->void> append;
  std::function<auto(const ReadCall&, OnRead)->void> read;
  std::function<auto(const NewestCall&, OnNewest)->void> newest;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_KEYED_LOG_H_

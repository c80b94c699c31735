#ifndef RHUBARBHAVEN_JOBS_JOB_RECORDS_H_
#define RHUBARBHAVEN_JOBS_JOB_RECORDS_H_

#include <cstdint>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// One record of a log that keeps the newest record of each key indefinitely. An
// empty value removes the key.
struct KeyedRecord {
  std::string key;
  std::string value;
  // Offset in the log; set on records that were read.
  uint64_t offset = 0;
};

// What the log accepts, in bytes as counted by `SizeInLog`.
struct LogLimits {
  std::size_t record_bytes = 256 << 10;
  // All records of one append.
  std::size_t call_bytes = 2 << 20;
};

enum class RecordKind {
  kJob,
  kProgress,
  kCancellation,
  kAgent,
  kAgentGrants,
  kWorkerEnds,
  kClaim,
  kResignation,
  kPressures,
  kRunLengths,
  kUnknown,
};

struct RecordKey {
  RecordKind kind = RecordKind::kUnknown;
  // Job id, name of an agent or entry, or worker id; empty for the claim.
  std::string name;
};

auto MakeKey(RecordKind kind, const std::string& name = "") -> std::string;
auto ParseKey(const std::string& key) -> RecordKey;

// Size of the record in an append: its length and its key's length precede the
// key and the value.
auto SizeInLog(const KeyedRecord& record) -> std::size_t;

// A record whose value is `message`.
auto MakeRecord(RecordKind kind,
                const std::string& name,
                const google::protobuf::Message& message) -> KeyedRecord;
// A cancellation record. It needs no content, but an empty value would remove
// the key.
auto MakeCancellation(const std::string& job) -> KeyedRecord;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_RECORDS_H_

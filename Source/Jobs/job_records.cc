#include "Jobs/job_records.h"

#include <array>

namespace rhubarbhaven::jobs {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kKeyLengthBytes = 1;

struct KeyPrefix {
  RecordKind kind;
  char letter;
};

constexpr std::array<KeyPrefix, 10> kPrefixes = {{
    {RecordKind::kJob, 'j'},
    {RecordKind::kProgress, 'p'},
    {RecordKind::kCancellation, 'c'},
    {RecordKind::kAgent, 'a'},
    {RecordKind::kAgentGrants, 'g'},
    {RecordKind::kWorkerEnds, 'e'},
    {RecordKind::kClaim, 'o'},
    {RecordKind::kResignation, 'r'},
    {RecordKind::kPressures, 'i'},
    {RecordKind::kRunLengths, 'l'},
}};

}  // namespace

auto MakeKey(RecordKind kind, const std::string& name) -> std::string {
  for (const auto& prefix : kPrefixes) {
    if (prefix.kind == kind) {
      return std::string(1, prefix.letter) + "/" + name;
    }
  }
  return "";
}

auto ParseKey(const std::string& key) -> RecordKey {
  if (key.size() < 2 || key[1] != '/') {
    return {};
  }
  for (const auto& prefix : kPrefixes) {
    if (prefix.letter == key[0]) {
      return {prefix.kind, key.substr(2)};
    }
  }
  return {};
}

auto SizeInLog(const KeyedRecord& record) -> std::size_t {
  return kLengthBytes + kKeyLengthBytes + record.key.size() +
         record.value.size();
}

auto MakeRecord(RecordKind kind,
                const std::string& name,
                const google::protobuf::Message& message) -> KeyedRecord {
  return {MakeKey(kind, name), message.SerializeAsString(), 0};
}

auto MakeCancellation(const std::string& job) -> KeyedRecord {
  return {MakeKey(RecordKind::kCancellation, job), "cancelled", 0};
}

}  // namespace rhubarbhaven::jobs

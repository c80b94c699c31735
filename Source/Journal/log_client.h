#ifndef RHUBARBHAVEN_JOURNAL_LOG_CLIENT_H_
#define RHUBARBHAVEN_JOURNAL_LOG_CLIENT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

#include "Base/base.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// Names of the streams.
inline constexpr char kConfigStream[] = "config";
inline constexpr char kOnceStream[] = "once";
auto CellStream(const std::string& cell) -> std::string;

struct AppendResult {
  enum class Kind {
    // The record is in the log at `offset`.
    kAppended,
    // The record is certainly not in the log.
    kRejected,
    // The response was lost; read the stream before sending the record again.
    kUnknown
  };
  Kind kind = Kind::kUnknown;
  uint64_t offset = 0;
  std::string problem;
};

// Blocking calls to the platform's log, over HTTP:
//   POST /v1/streams/NAME/records            body: the record's bytes
//        -> 200 {"offset":"17"}   offsets start at 1
//        -> 4xx (except 408) or 503: certainly not appended; any other
//           response: outcome unknown
//   GET  /v1/streams/NAME/records?from=N&limit=K&wait_ms=W
//        -> 200 LogBatch (protobuf); if `from` is below the first kept
//           offset, the batch starts at the latter, see LogBatch.first_kept
class LogClient {
 public:
  explicit LogClient(std::string base_url);

  auto Append(const std::string& stream,
              const std::string& bytes,
              std::chrono::milliseconds timeout) -> AppendResult;
  // Waits up to `wait` for a record at or after `from`. Fails with
  // UNAVAILABLE if the log does not answer with 200, and with DATA_LOSS if the
  // response is not a LogBatch.
  auto Read(const std::string& stream,
            uint64_t from,
            uint32_t limit,
            std::chrono::milliseconds wait) -> absl::StatusOr<schema::LogBatch>;

 private:
  auto Call(HttpClientRequest request) -> HttpClientAnswer;

  std::string base_url_;
  HttpClient http_;
  bool last_failed_ = false;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_LOG_CLIENT_H_

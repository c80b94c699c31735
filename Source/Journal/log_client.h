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
    // In the log at `offset`.
    kAppended,
    // Certainly not in the log.
    kRefused,
    // The answer was lost: look for it before sending it again.
    kUnknown
  };
  Kind kind = Kind::kUnknown;
  uint64_t offset = 0;
  std::string problem;
};

// Blocking calls of the platform's log, over HTTP:
//   POST /v1/streams/NAME/records            body: the record's bytes
//        -> 200 {"offset":"17"}   offsets start at 1
//        -> 4xx (but 408) or 503: certainly not taken; anything else: unknown
//   GET  /v1/streams/NAME/records?from=N&limit=K&wait_ms=W
//        -> 200 LogBatch (protobuf); `from` below the first kept offset gives
//           the batch from the first kept one, see LogBatch.first_kept
class LogClient {
 public:
  explicit LogClient(std::string base_url);

  auto Append(const std::string& stream,
              const std::string& bytes,
              std::chrono::milliseconds timeout) -> AppendResult;
  // Waits up to `wait` for a record at or after `from`.
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

#include "Journal/log_client.h"

#include <absl/strings/str_cat.h>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <utility>

namespace rhubarbhaven {
namespace {

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpBadRequest = 400;
constexpr unsigned kHttpRequestTimeout = 408;
constexpr unsigned kHttpServerError = 500;
constexpr unsigned kHttpUnavailable = 503;
constexpr std::size_t kMaxBatchBytes = 64 << 20;
// Added to the requested wait to give the time-out of a read.
constexpr std::chrono::milliseconds kReadMargin{2000};

// True if the log sends this status only before it appends anything. Any other
// failure (502, 504, a lost connection) may follow an append.
auto IsRejection(unsigned status) -> bool {
  if (status == kHttpUnavailable) {
    return true;
  }
  return status >= kHttpBadRequest && status < kHttpServerError &&
         status != kHttpRequestTimeout;
}

auto ParseOffset(const std::string& body) -> uint64_t {
  google::protobuf::Struct answer;
  if (!google::protobuf::util::JsonStringToMessage(body, &answer).ok()) {
    return 0;
  }
  const auto field = answer.fields().find("offset");
  if (field == answer.fields().end()) {
    return 0;
  }
  const std::string& digits = field->second.string_value();
  return std::strtoull(digits.c_str(), nullptr, 10);
}

}  // namespace

auto CellStream(const std::string& cell) -> std::string {
  return "cell-" + cell;
}

LogClient::LogClient(std::string base_url) : base_url_(std::move(base_url)) {}

auto LogClient::Call(HttpClientRequest request) -> HttpClientAnswer {
  // A pooled connection may have become unresponsive while new connections
  // work. Every later call that reused it would time out as well.
  request.fresh_connection = last_failed_;
  auto answer = http_.Call(request);
  last_failed_ = !answer.complete;
  return answer;
}

auto LogClient::Append(const std::string& stream,
                       const std::string& bytes,
                       std::chrono::milliseconds timeout) -> AppendResult {
  HttpClientRequest request;
  request.method = "POST";
  request.url = absl::StrCat(base_url_, "/v1/streams/", stream, "/records");
  request.headers.emplace_back();
  request.headers.back().set_name("Content-Type");
  request.headers.back().set_value("application/octet-stream");
  request.body = bytes;
  request.timeout = timeout;
  const auto answer = Call(std::move(request));
  AppendResult result;
  if (!answer.complete) {
    result.kind = answer.maybe_sent ? AppendResult::Kind::kUnknown
                                    : AppendResult::Kind::kRejected;
    result.problem = absl::StrCat("log ", base_url_, ": ", answer.error);
    return result;
  }
  const unsigned status = answer.http.status();
  if (status == kHttpOk) {
    result.offset = ParseOffset(answer.http.body());
    result.kind = result.offset == 0 ? AppendResult::Kind::kUnknown
                                     : AppendResult::Kind::kAppended;
    return result;
  }
  result.kind = IsRejection(status) ? AppendResult::Kind::kRejected
                                    : AppendResult::Kind::kUnknown;
  result.problem =
      absl::StrCat("log ", base_url_, ": answered status ", status);
  return result;
}

auto LogClient::Read(const std::string& stream,
                     uint64_t from,
                     uint32_t limit,
                     std::chrono::milliseconds wait)
    -> absl::StatusOr<schema::LogBatch> {
  HttpClientRequest request;
  request.url =
      absl::StrCat(base_url_, "/v1/streams/", stream, "/records?from=", from,
                   "&limit=", limit, "&wait_ms=", wait.count());
  request.timeout = wait + kReadMargin;
  request.max_answer_bytes = kMaxBatchBytes;
  const auto answer = Call(std::move(request));
  if (!answer.complete) {
    return absl::UnavailableError(
        absl::StrCat("log ", base_url_, ": ", answer.error));
  }
  if (answer.http.status() != kHttpOk) {
    return absl::UnavailableError(absl::StrCat(
        "log ", base_url_, ": answered status ", answer.http.status()));
  }
  schema::LogBatch batch;
  if (!batch.ParseFromString(answer.http.body())) {
    return absl::DataLossError(absl::StrCat(
        "log ", base_url_, ": the answer to a read of ", stream,
        " is not a LogBatch; check that the URL is that of the log"));
  }
  return batch;
}

}  // namespace rhubarbhaven

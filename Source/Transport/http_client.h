#ifndef RHUBARBHAVEN_TRANSPORT_HTTP_CLIENT_H_
#define RHUBARBHAVEN_TRANSPORT_HTTP_CLIENT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// Limits on how long a call may go without progress, for responses whose size
// and so whose duration others determine.
struct ProgressLimits {
  // Until the first byte of the response, from the start of the call.
  std::chrono::milliseconds first_byte{1000};
  // From then on, at least `min_bytes` must arrive within each `interval`.
  std::chrono::milliseconds interval{1000};
  std::size_t min_bytes = 1;
};

struct HttpClientRequest {
  std::string method = "GET";
  std::string url;
  std::vector<schema::HttpHeader> headers;
  std::string body;
  std::chrono::milliseconds timeout{1000};
  std::chrono::milliseconds connect_timeout{500};
  std::size_t max_answer_bytes = 8 << 20;
  // Do not use a pooled connection, which may have become unresponsive.
  bool fresh_connection = false;
  // Limits besides `timeout`, which is that of the whole call. `HttpClient`
  // ignores them.
  std::optional<ProgressLimits> progress_limits;
  // Called with the number of bytes of the response that have arrived: with its
  // first bytes, and then a few times a second. Runs on the thread of the
  // `HttpCaller` and must not block.
  std::function<auto(std::size_t received_bytes)->void> on_progress;
};

// Outcome of a call, which is sent at most once. `maybe_sent` is false only if
// no byte of the request was sent, so that it cannot have run.
struct HttpClientAnswer {
  bool complete = false;
  bool maybe_sent = true;
  schema::Reason reason = schema::REASON_NONE;
  std::string error;
  schema::HttpAnswer http;
  // Connections that were opened for this call; zero if a pooled one was used.
  int connections_opened = 0;
  // Bytes of the response that have arrived, with its headers.
  std::size_t received_bytes = 0;
};

// Makes blocking calls, one at a time, and keeps its connections open between
// calls.
class HttpClient {
 public:
  HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;
  ~HttpClient();
  auto Call(const HttpClientRequest& request) -> HttpClientAnswer;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Makes concurrent calls on a thread of its own (with a curl multi handle),
// with at most `connections` open. `done` runs on that thread and must not
// block.
class HttpCaller {
 public:
  using Done = std::function<auto(HttpClientAnswer)->void>;
  explicit HttpCaller(int connections);
  HttpCaller(const HttpCaller&) = delete;
  auto operator=(const HttpCaller&) -> HttpCaller& = delete;
  // Limits the bytes of responses that may be under way on each connection
  // opened from now on; zero for the system's default. Over a thin link, what
  // is under way to one connection delays all others. To be called before
  // `Start`.
  auto SetReceiveWindow(std::size_t bytes) -> void;
  // Aborts the calls in progress. Their `done` is called with
  // ENDPOINT_CONNECTION_LOST.
  ~HttpCaller();
  // Returns false if the queue of calls is full; `done` is then not called.
  auto Start(HttpClientRequest request, Done done) -> bool;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TRANSPORT_HTTP_CLIENT_H_

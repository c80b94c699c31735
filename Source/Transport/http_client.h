#ifndef RHUBARBHAVEN_TRANSPORT_HTTP_CLIENT_H_
#define RHUBARBHAVEN_TRANSPORT_HTTP_CLIENT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

struct HttpClientRequest {
  std::string method = "GET";
  std::string url;
  std::vector<schema::HttpHeader> headers;
  std::string body;
  std::chrono::milliseconds timeout{1000};
  std::chrono::milliseconds connect_timeout{500};
  std::size_t max_answer_bytes = 8 << 20;
  // Never send on a pooled connection, which may have gone silent.
  bool fresh_connection = false;
};

// What became of a call, which is sent once at most. `handed_over` is false
// only if not one byte of the request was sent, so that it cannot have run.
struct HttpClientAnswer {
  bool complete = false;
  bool handed_over = true;
  schema::Reason reason = schema::REASON_NONE;
  std::string error;
  schema::HttpAnswer http;
  // Connections that were opened for this call; zero if a pooled one served.
  int connections_opened = 0;
};

// Blocking calls, one at a time; keeps its connections alive between calls.
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

// Many calls at once on one thread of its own (a curl multi handle), with at
// most `connections` open. `done` runs on that thread and must not block.
class HttpCaller {
 public:
  using Done = std::function<auto(HttpClientAnswer)->void>;
  explicit HttpCaller(int connections);
  HttpCaller(const HttpCaller&) = delete;
  auto operator=(const HttpCaller&) -> HttpCaller& = delete;
  // Abandons what is in progress; each gets `done` with
  // ENDPOINT_CONNECTION_LOST.
  ~HttpCaller();
  // False if the queue of calls is full; `done` is then not called.
  auto Start(HttpClientRequest request, Done done) -> bool;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TRANSPORT_HTTP_CLIENT_H_

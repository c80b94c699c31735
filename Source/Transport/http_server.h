#ifndef RHUBARBHAVEN_TRANSPORT_HTTP_SERVER_H_
#define RHUBARBHAVEN_TRANSPORT_HTTP_SERVER_H_

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven {

// An HTTP request that was received in full.
struct HttpServerRequest {
  std::string method;
  // Path without the query string.
  std::string path;
  std::map<std::string, std::string> query;
  // Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  TimePoint received;
};

struct HttpServerAnswer {
  unsigned status = 200;
  std::map<std::string, std::string> headers;
  std::string body;
};

// Answers one request. May be called from any thread; a second call is ignored.
using HttpResponder = std::function<auto(HttpServerAnswer)->void>;

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  // Zero selects a free port; see `port`.
  uint16_t port = 0;
  unsigned threads = 2;
  std::size_t max_body_bytes = 1 << 20;
  unsigned max_connections = 4096;
  std::chrono::seconds idle_timeout{60};
  // Called on a server thread; must not block.
  std::function<auto(HttpServerRequest, HttpResponder)->void> handler;
  // Called when a request is rejected before it is passed to the handler.
  std::function<auto(schema::Reason)->void> on_rejected;
};

// An HTTP/1.1 server. A request with a body over the limit is answered with 413
// after the body has been read and discarded, or immediately if the caller sent
// an Expect header or if the body is too long to read. Bodies are never
// buffered beyond the limit.
class HttpServer {
 public:
  explicit HttpServer(HttpServerOptions options);
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;
  // Stops listening and waits until every request is answered.
  ~HttpServer();

  // The error names the address and port, for instance if the port is in use.
  auto Start() -> absl::Status;
  // Accepts no new connections; requests on open ones are still answered.
  auto StopListening() -> void;
  auto port() const -> uint16_t;
  // Number of requests that were received and not answered yet.
  auto pending() const -> std::size_t;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TRANSPORT_HTTP_SERVER_H_

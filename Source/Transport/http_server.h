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

// One HTTP request as received in full, and what is answered.
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

// Answers one request, once, from any thread. A second call is ignored.
using HttpResponder = std::function<auto(HttpServerAnswer)->void>;

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  // Zero takes any free port, see `port`.
  uint16_t port = 0;
  unsigned threads = 2;
  std::size_t max_body_bytes = 1 << 20;
  unsigned max_connections = 4096;
  std::chrono::seconds idle_timeout{60};
  // Called on a server thread; must not block.
  std::function<auto(HttpServerRequest, HttpResponder)->void> handler;
  // Called when a request is refused before the handler sees it.
  std::function<auto(schema::Reason)->void> on_refused;
};

// An HTTP/1.1 server. Bodies over the limit are answered with 413 once they
// have been read and thrown away; at once if the caller asks first, or if the
// rest is too long to read. They are never buffered beyond the limit.
class HttpServer {
 public:
  explicit HttpServer(HttpServerOptions options);
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;
  // Stops listening at once, waits until every request is answered.
  ~HttpServer();

  // An error names the address and port, for instance when it is in use.
  auto Start() -> absl::Status;
  // Takes no new connections; goes on answering open ones.
  auto StopListening() -> void;
  auto port() const -> uint16_t;
  // Requests handed to the handler and not answered yet.
  auto pending() const -> std::size_t;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TRANSPORT_HTTP_SERVER_H_

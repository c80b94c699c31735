#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_HTTP_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_HTTP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct MHD_Daemon;

namespace review {

struct HttpRequest {
  std::string method;
  // Without the query.
  std::string path;
  std::map<std::string, std::string> query;
  // The header Expected-Instance; empty if there is none.
  std::string expected_instance;
  std::string body;
};

struct HttpAnswer {
  // Zero if there was no answer; a server then closes the connection.
  unsigned status = 0;
  std::string body;
};

// An HTTP/1.1 server on 127.0.0.1 with a thread for each connection, so that
// the handler may block.
class HttpServer {
 public:
  using Handler = std::function<auto(const HttpRequest&)->HttpAnswer>;

  // Throws std::runtime_error if it can't listen there.
  HttpServer(int port, Handler handler);
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;
  // Waits for the handlers in progress.
  ~HttpServer();

  auto port() const -> int;

 private:
  Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
};

// A port of 127.0.0.1 that was free a moment ago, another one for each call.
// Throws std::runtime_error if there is none.
auto FreePort() -> int;

// Sends one call on a new connection. Status 0 if no whole answer came within
// `timeout_ms` milliseconds.
auto Call(const std::string& method,
          const std::string& url,
          const std::map<std::string, std::string>& headers,
          const std::string& body,
          int timeout_ms) -> HttpAnswer;

}  // namespace review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_HTTP_H_

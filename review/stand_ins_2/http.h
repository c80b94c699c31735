#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_2_HTTP_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_2_HTTP_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>

struct MHD_Daemon;

namespace review {

struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct HttpResponse {
  // Zero only as the outcome of a call: no complete answer came.
  int status = 200;
  std::string body = "{}";
};

// An HTTP/1.1 server on a free loopback port, with one thread for each
// connection; a handler may block. Exits with 2 if it cannot listen.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;
  explicit HttpServer(Handler handler);
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  auto port() const -> int { return port_; }
  auto Handle(const HttpRequest& request) const -> HttpResponse {
    return handler_(request);
  }

 private:
  Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
  int port_ = 0;
};

// Calls `url` once on a new connection and waits for the answer for
// `timeout_ms` milliseconds at most.
auto HttpCall(const std::string& method,
              const std::string& url,
              const std::string& body,
              const std::map<std::string, std::string>& headers,
              int timeout_ms) -> HttpResponse;

}  // namespace review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_2_HTTP_H_

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "Transport/transport.h"

namespace rhubarbhaven {
namespace {

// A listening socket on a free port of loopback.
auto ListenOnLoopback(int* port) -> int {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&address), size), 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  listen(listener, SOMAXCONN);
  return listener;
}

auto ConnectToLoopback(int port) -> int {
  const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const timeval limit{5, 0};
  setsockopt(caller, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  EXPECT_EQ(
      connect(caller, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
      0);
  return caller;
}

// HTTP version and status of the received response; empty if there is none.
auto ReadStart(int caller) -> std::string {
  std::string start(std::string("HTTP/1.1 413").size(), '\0');
  const ssize_t size = recv(caller, start.data(), start.size(), MSG_WAITALL);
  start.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
  return start;
}

// Answers each connection with fixed bytes and closes it.
class RawServer {
 public:
  explicit RawServer(std::string answer) : answer_(std::move(answer)) {
    listener_ = ListenOnLoopback(&port_);
    thread_ = std::thread([this]() -> void { Run(); });
  }
  RawServer(const RawServer&) = delete;
  auto operator=(const RawServer&) -> RawServer& = delete;
  ~RawServer() {
    stop_ = true;
    thread_.join();
    close(listener_);
  }
  auto url() const -> std::string {
    return "http://127.0.0.1:" + std::to_string(port_) + "/";
  }

 private:
  auto Run() -> void {
    constexpr int kPollMs = 10;
    while (!stop_) {
      pollfd waiting{listener_, POLLIN, 0};
      if (poll(&waiting, 1, kPollMs) > 0) {
        const int peer = accept(listener_, nullptr, nullptr);
        char buffer[4096];
        static_cast<void>(!read(peer, buffer, sizeof(buffer)));
        static_cast<void>(!write(peer, answer_.data(), answer_.size()));
        close(peer);
      }
    }
  }

  std::string answer_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

struct RawCase {
  std::string name;
  std::string answer;
  bool complete;
  schema::Reason reason;
};

auto PrintTo(const RawCase& raw, std::ostream* out) -> void {
  *out << raw.name;
}

class RawAnswer : public testing::TestWithParam<RawCase> {};

// Guards against a truncated response that is reported as complete. This occurs
// if the end of the connection is treated as the end of the response, and the
// endpoint crashes or its connection is lost during the response.
TEST_P(RawAnswer, IsCompleteOrReportsAReason) {
  const RawServer server(GetParam().answer);
  HttpClient http;
  HttpClientRequest request;
  request.url = server.url();
  request.max_answer_bytes = 1000;
  const auto answer = http.Call(request);
  EXPECT_EQ(answer.complete, GetParam().complete);
  EXPECT_EQ(answer.reason, GetParam().reason);
  EXPECT_TRUE(answer.maybe_sent);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RawAnswer,
    testing::Values(
        RawCase{"Whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true,
                schema::REASON_NONE},
        RawCase{"Chunked",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nok\r\n0\r\n\r\n",
                true, schema::REASON_NONE},
        RawCase{"NoContent", "HTTP/1.1 204 No Content\r\n\r\n", true,
                schema::REASON_NONE},
        RawCase{"CutBody", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                false, schema::ENDPOINT_ANSWER_TRUNCATED},
        RawCase{"CutChunk",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nha",
                false, schema::ENDPOINT_ANSWER_TRUNCATED},
        RawCase{"NoLength", "HTTP/1.1 200 OK\r\n\r\nmaybe half", false,
                schema::ENDPOINT_ANSWER_TRUNCATED},
        RawCase{"Nothing", "", false, schema::ENDPOINT_CONNECTION_LOST},
        RawCase{"TooLarge",
                "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" +
                    std::string(2000, 'x'),
                false, schema::ENDPOINT_ANSWER_TOO_LARGE}),
    [](const testing::TestParamInfo<RawCase>& info) -> std::string {
      return info.param.name;
    });

// Guards against "not run" for a request that ran, and "may have run" for one
// that was not sent, which occur if all failed calls are treated alike.
TEST(HttpClientTest, RequestOnARefusedConnectionWasNotSent) {
  std::string url;
  {
    const RawServer gone("");
    url = gone.url();
  }
  HttpClient http;
  HttpClientRequest request;
  request.url = url;
  const auto answer = http.Call(request);
  EXPECT_FALSE(answer.complete);
  EXPECT_FALSE(answer.maybe_sent);
  EXPECT_EQ(answer.reason, schema::ENDPOINT_CONNECT_FAILED);
}

// Keeps connections open, answers the first request, reads the second one
// completely, and then resets its connection without an answer. Requests that
// are sent after that are counted and answered.
class ResettingServer {
 public:
  // `closes_listener`: no connection can be opened after the reset.
  explicit ResettingServer(bool closes_listener)
      : closes_listener_(closes_listener), listener_(ListenOnLoopback(&port_)) {
    thread_ = std::thread([this]() -> void { Run(); });
  }
  ResettingServer(const ResettingServer&) = delete;
  auto operator=(const ResettingServer&) -> ResettingServer& = delete;
  ~ResettingServer() {
    stop_ = true;
    thread_.join();
    CloseListener();
  }
  auto url() const -> std::string {
    return "http://127.0.0.1:" + std::to_string(port_) + "/";
  }
  auto received() const -> int { return received_; }

 private:
  auto Run() -> void {
    while (!stop_) {
      if (listener_ >= 0 && Readable(listener_)) {
        Serve(accept(listener_, nullptr, nullptr));
      }
    }
  }

  auto Serve(int peer) -> void {
    while (!stop_) {
      if (!Readable(peer)) {
        continue;
      }
      char buffer[4096];
      if (read(peer, buffer, sizeof(buffer)) <= 0) {
        break;
      }
      ++received_;
      if (received_ == kLostRequest) {
        Reset(peer);
        return;
      }
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      static_cast<void>(!write(peer, answer.data(), answer.size()));
    }
    close(peer);
  }

  auto Reset(int peer) -> void {
    if (closes_listener_) {
      CloseListener();
    }
    const linger at_once{1, 0};
    setsockopt(peer, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close(peer);
  }

  auto CloseListener() -> void {
    if (listener_ >= 0) {
      close(listener_);
    }
    listener_ = -1;
  }

  static auto Readable(int socket) -> bool {
    constexpr int kPollMs = 10;
    pollfd waiting{socket, POLLIN, 0};
    return poll(&waiting, 1, kPollMs) > 0;
  }

  static constexpr int kLostRequest = 2;

  bool closes_listener_;
  int port_ = 0;
  int listener_;
  std::atomic<int> received_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

// Sends a response of many bytes to one connection, as fast as it is received.
class FloodingServer {
 public:
  FloodingServer() : listener_(ListenOnLoopback(&port_)) {
    thread_ = std::thread([this]() -> void { Run(); });
  }
  FloodingServer(const FloodingServer&) = delete;
  auto operator=(const FloodingServer&) -> FloodingServer& = delete;
  ~FloodingServer() {
    stop_ = true;
    thread_.join();
    close(listener_);
  }
  auto url() const -> std::string {
    return "http://127.0.0.1:" + std::to_string(port_) + "/";
  }
  auto sent() const -> std::size_t { return sent_; }

 private:
  auto Run() -> void {
    const int peer = accept(listener_, nullptr, nullptr);
    // Of all that the server hands over, little remains on its own side.
    const int send_buffer = 4096;
    setsockopt(peer, SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof(send_buffer));
    char buffer[4096];
    static_cast<void>(!read(peer, buffer, sizeof(buffer)));
    std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n";
    bytes.resize(4000, 'x');
    while (!stop_) {
      const ssize_t sent =
          send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent > 0) {
        sent_ += static_cast<std::size_t>(sent);
        bytes.assign(4000, 'x');
      } else {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
    }
    close(peer);
  }

  int port_ = 0;
  int listener_;
  std::atomic<std::size_t> sent_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

// Bytes that are sent to a caller that receives none after the first.
auto BytesUnderWay(std::size_t receive_window) -> std::size_t {
  FloodingServer server;
  std::promise<void> measured;
  std::shared_future<void> is_measured(measured.get_future());
  HttpCaller caller(1);
  caller.SetReceiveWindow(receive_window);
  HttpClientRequest request;
  request.url = server.url();
  request.on_progress = [is_measured](std::size_t) -> void {
    is_measured.wait();
  };
  caller.Start(std::move(request), [](const HttpClientAnswer&) {});
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const std::size_t bytes = server.sent();
  measured.set_value();
  return bytes;
}

// Guards against a large response that fills a thin link for seconds, so that
// all other calls wait behind it.
TEST(HttpCallerTest, ReceiveWindowLimitsWhatIsUnderWay) {
  constexpr std::size_t kWindow = 16384;
  const std::size_t limited = BytesUnderWay(kWindow);
  EXPECT_GT(limited, 0U);
  // The system doubles the window, and as much is with the two processes.
  EXPECT_LE(limited, 4 * kWindow);
  EXPECT_GT(BytesUnderWay(0), limited);
}

struct ResetCase {
  std::string name;
  bool closes_listener;
};

class ResetAfterRequest : public testing::TestWithParam<ResetCase> {};

// Guards against a request that runs although it is reported as not run, and
// against one that runs twice. A request is sent on a pooled connection and
// executed, and the connection is reset before the response. The client library
// assumes that the connection was closed while idle and sends the request again
// on a new one. If the new connection cannot be opened, only that failure is
// reported, as if nothing had been sent; otherwise the request is sent twice.
TEST_P(ResetAfterRequest, IsSentOnceAndMayHaveRun) {
  const ResettingServer server(GetParam().closes_listener);
  HttpClient http;
  HttpClientRequest request;
  request.method = "POST";
  request.url = server.url();
  request.body = "records";
  ASSERT_TRUE(http.Call(request).complete);
  const auto answer = http.Call(request);
  EXPECT_FALSE(answer.complete);
  EXPECT_TRUE(answer.maybe_sent) << answer.error;
  EXPECT_EQ(answer.reason, schema::ENDPOINT_CONNECTION_LOST);
  EXPECT_EQ(server.received(), 2);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ResetAfterRequest,
    testing::Values(ResetCase{"NothingListensAfterwards", true},
                    ResetCase{"NewConnectionsWork", false}),
    [](const testing::TestParamInfo<ResetCase>& info) -> std::string {
      return info.param.name;
    });

// Guards against a process that hangs or crashes when it is stopped with
// requests in progress, because a connection still waits for its answer when
// the server is destroyed.
TEST(HttpServerTest, StopWaitsForRequestsInProgress) {
  HttpResponder kept_responder;
  std::atomic<bool> handed = false;
  HttpServerOptions options;
  options.handler = [&kept_responder, &handed](
                        const HttpServerRequest&,
                        const HttpResponder& respond) -> void {
    kept_responder = respond;
    handed = true;
  };
  auto server = std::make_unique<HttpServer>(options);
  ASSERT_TRUE(server->Start().ok());
  HttpClientRequest request;
  request.url = "http://127.0.0.1:" + std::to_string(server->port()) + "/";
  request.timeout = std::chrono::seconds(30);
  HttpClientAnswer answer;
  std::thread caller([&request, &answer]() -> void {
    HttpClient http;
    answer = http.Call(request);
  });
  while (!handed) {
    std::this_thread::yield();
  }
  std::thread late([&kept_responder]() -> void {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    kept_responder({200, {}, "late"});
  });
  server.reset();
  caller.join();
  late.join();
  EXPECT_TRUE(answer.complete);
  EXPECT_EQ(answer.http.body(), "late");
}

TEST(HttpServerTest, ErrorNamesThePortInUse) {
  HttpServerOptions options;
  options.handler = [](const HttpServerRequest&, const HttpResponder&) -> void {
  };
  HttpServer first(options);
  ASSERT_TRUE(first.Start().ok());
  options.port = first.port();
  HttpServer second(options);
  const auto status = second.Start();
  EXPECT_FALSE(status.ok());
  EXPECT_NE(std::string(status.message()).find(std::to_string(options.port)),
            std::string::npos);
}

// The headers of a request whose body exceeds the limit.
struct LargeBody {
  std::string name;
  std::string head;
};

auto PrintTo(const LargeBody& body, std::ostream* out) -> void {
  *out << body.name;
}

constexpr std::size_t kBodyLimit = 1000;

auto StartServerWithoutHandler() -> std::unique_ptr<HttpServer> {
  HttpServerOptions options;
  options.max_body_bytes = kBodyLimit;
  options.handler = [](const HttpServerRequest&, const HttpResponder&) -> void {
    ADD_FAILURE() << "passed to the handler";
  };
  auto server = std::make_unique<HttpServer>(options);
  EXPECT_TRUE(server->Start().ok());
  return server;
}

class BodyOverTheLimit : public testing::TestWithParam<LargeBody> {};

// Guards against a rejection that the caller does not receive: a connection
// that is closed while the caller is still sending is reset, and the caller
// sees the reset before the answer.
TEST_P(BodyOverTheLimit, RejectionReachesTheCaller) {
  constexpr int kPieces = 20;
  constexpr std::chrono::milliseconds kPieceInterval{10};
  const auto server = StartServerWithoutHandler();
  const int caller = ConnectToLoopback(server->port());
  const std::string& head = GetParam().head;
  ASSERT_EQ(send(caller, head.data(), head.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(head.size()));
  // "3e8" and the line breaks frame a chunk; if the length is declared, they
  // are ordinary bytes of the body.
  const std::string piece = "3e8\r\n" + std::string(kBodyLimit, 'x') + "\r\n";
  for (int sent = 0; sent < kPieces; ++sent) {
    ASSERT_EQ(send(caller, piece.data(), piece.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(piece.size()))
        << "reset after " << sent << " pieces";
    std::this_thread::sleep_for(kPieceInterval);
  }
  ASSERT_GT(send(caller, "0\r\n\r\n", 5, MSG_NOSIGNAL), 0);
  EXPECT_EQ(ReadStart(caller), "HTTP/1.1 413");
  close(caller);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BodyOverTheLimit,
    testing::Values(
        LargeBody{
            "Declared",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20145\r\n\r\n"},
        LargeBody{"Chunked",
                  "POST / HTTP/1.1\r\nHost: h\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"}),
    [](const testing::TestParamInfo<LargeBody>& info) -> std::string {
      return info.param.name;
    });

class BodyRejectedUnread : public testing::TestWithParam<LargeBody> {};

// Guards against a rejection that is delayed until the body has been read,
// although the caller has not begun to send it or would send it for minutes.
TEST_P(BodyRejectedUnread, IsRejectedImmediately) {
  const auto server = StartServerWithoutHandler();
  const int caller = ConnectToLoopback(server->port());
  const std::string& head = GetParam().head;
  ASSERT_GT(send(caller, head.data(), head.size(), MSG_NOSIGNAL), 0);
  EXPECT_EQ(ReadStart(caller), "HTTP/1.1 413");
  close(caller);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BodyRejectedUnread,
    testing::Values(
        LargeBody{"CallerAsksFirst",
                  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20145\r\n"
                  "Expect: 100-continue\r\n\r\n"},
        LargeBody{"FarTooLong",
                  "POST / HTTP/1.1\r\nHost: h\r\n"
                  "Content-Length: 9000000000\r\n\r\n"}),
    [](const testing::TestParamInfo<LargeBody>& info) -> std::string {
      return info.param.name;
    });

}  // namespace
}  // namespace rhubarbhaven

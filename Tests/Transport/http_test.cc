#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
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

// The version and status of the answer that comes, empty if none does.
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

// Symptom: a caller gets half an answer as if it were whole. Sequence: the
// endpoint dies, or its connection is cut, in the middle of an answer. Cause:
// the end of the connection taken for the end of the answer.
TEST_P(RawAnswer, IsWholeOrSaysWhyNot) {
  const RawServer server(GetParam().answer);
  HttpClient http;
  HttpClientRequest request;
  request.url = server.url();
  request.max_answer_bytes = 1000;
  const auto answer = http.Call(request);
  EXPECT_EQ(answer.complete, GetParam().complete);
  EXPECT_EQ(answer.reason, GetParam().reason);
  EXPECT_TRUE(answer.handed_over);
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

// Symptom: "not run" is said of a request that ran, or "may have run" of one
// that never left. Cause: every failed call taken for the same.
TEST(HttpClientTest, RefusedConnectionWasNotHandedOver) {
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
  EXPECT_FALSE(answer.handed_over);
  EXPECT_EQ(answer.reason, schema::ENDPOINT_CONNECT_FAILED);
}

// Keeps connections open: answers the first request, reads the second one
// whole, and then resets its connection without an answer. What is sent again
// after that is counted, and answered.
class ResettingServer {
 public:
  // `refuses_afterwards`: no connection can be opened after the reset.
  explicit ResettingServer(bool refuses_afterwards)
      : refuses_afterwards_(refuses_afterwards),
        listener_(ListenOnLoopback(&port_)) {
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
    if (refuses_afterwards_) {
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

  bool refuses_afterwards_;
  int port_ = 0;
  int listener_;
  std::atomic<int> received_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

struct ResetCase {
  std::string name;
  bool refuses_afterwards;
};

class ResetAfterRequest : public testing::TestWithParam<ResetCase> {};

// Symptom: callers are told that a request has not run, and it has; or it runs
// twice. Sequence: a request goes out on a kept connection and is carried out;
// the connection is reset before the answer. The client library takes the
// connection for one that had died while idle and sends the request again on a
// new one. Cause: if the new one cannot be opened, only that is reported, as if
// nothing had been sent; if it can, the request has been sent twice.
TEST_P(ResetAfterRequest, IsSentOnceAndMayHaveRun) {
  const ResettingServer server(GetParam().refuses_afterwards);
  HttpClient http;
  HttpClientRequest request;
  request.method = "POST";
  request.url = server.url();
  request.body = "records";
  ASSERT_TRUE(http.Call(request).complete);
  const auto answer = http.Call(request);
  EXPECT_FALSE(answer.complete);
  EXPECT_TRUE(answer.handed_over) << answer.error;
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

// Symptom: the process hangs or crashes on a stop with requests in progress.
// Cause: a connection that waits for an answer when its server ends.
TEST(HttpServerTest, StopAnswersWhatIsInProgress) {
  HttpResponder kept;
  std::atomic<bool> handed = false;
  HttpServerOptions options;
  options.handler = [&kept, &handed](const HttpServerRequest&,
                                     const HttpResponder& respond) -> void {
    kept = respond;
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
  std::thread late([&kept]() -> void {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    kept({200, {}, "late"});
  });
  server.reset();
  caller.join();
  late.join();
  EXPECT_TRUE(answer.complete);
  EXPECT_EQ(answer.http.body(), "late");
}

TEST(HttpServerTest, PortInUseIsSaid) {
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

// The head of a request whose body is over the limit.
struct LargeBody {
  std::string name;
  std::string head;
};

auto PrintTo(const LargeBody& body, std::ostream* out) -> void {
  *out << body.name;
}

constexpr std::size_t kBodyLimit = 1000;

auto ServerThatHandlesNothing() -> std::unique_ptr<HttpServer> {
  HttpServerOptions options;
  options.max_body_bytes = kBodyLimit;
  options.handler = [](const HttpServerRequest&, const HttpResponder&) -> void {
    ADD_FAILURE() << "handed to the handler";
  };
  auto server = std::make_unique<HttpServer>(options);
  EXPECT_TRUE(server->Start().ok());
  return server;
}

class BodyOverTheLimit : public testing::TestWithParam<LargeBody> {};

// Guards against a refusal that its caller never reads: a connection that is
// closed while the caller still sends is reset, which overtakes the answer.
TEST_P(BodyOverTheLimit, IsRefusedInAnAnswerThatArrives) {
  constexpr int kPieces = 20;
  constexpr std::chrono::milliseconds kBetweenPieces{10};
  const auto server = ServerThatHandlesNothing();
  const int caller = ConnectToLoopback(server->port());
  const std::string& head = GetParam().head;
  ASSERT_EQ(send(caller, head.data(), head.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(head.size()));
  // "3e8" and the lines' ends are the frame of a chunk; where the length is
  // declared they are bytes of the body as any others.
  const std::string piece = "3e8\r\n" + std::string(kBodyLimit, 'x') + "\r\n";
  for (int sent = 0; sent < kPieces; ++sent) {
    ASSERT_EQ(send(caller, piece.data(), piece.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(piece.size()))
        << "reset after " << sent << " pieces";
    std::this_thread::sleep_for(kBetweenPieces);
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

class BodyNotWorthReading : public testing::TestWithParam<LargeBody> {};

// Guards against reading what a caller has not begun to send, or would send for
// minutes, before it is told no.
TEST_P(BodyNotWorthReading, IsRefusedAtOnce) {
  const auto server = ServerThatHandlesNothing();
  const int caller = ConnectToLoopback(server->port());
  const std::string& head = GetParam().head;
  ASSERT_GT(send(caller, head.data(), head.size(), MSG_NOSIGNAL), 0);
  EXPECT_EQ(ReadStart(caller), "HTTP/1.1 413");
  close(caller);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BodyNotWorthReading,
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

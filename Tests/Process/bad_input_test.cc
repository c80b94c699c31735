#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <zmq.hpp>

#include "Tests/Support/deployment.h"

namespace rhubarbhaven::test {
namespace {

// Sends raw bytes to a loopback port. Returns what one read receives within 2
// s, at most 4096 bytes.
auto SendRaw(int port, const std::string& bytes) -> std::string {
  const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const timeval limit{2, 0};
  setsockopt(socket_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  std::string answer(4096, '\0');
  ssize_t size = 0;
  if (connect(socket_fd, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) == 0) {
    static_cast<void>(
        send(socket_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    size = recv(socket_fd, answer.data(), answer.size(), 0);
  }
  close(socket_fd);
  answer.resize(std::max<ssize_t>(size, 0));
  return answer;
}

struct BadRequest {
  std::string name;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::size_t body_bytes;
  uint32_t status;
  std::string reason;
};

auto PrintTo(const BadRequest& bad, std::ostream* out) -> void {
  *out << bad.name;
}

class BadInput : public testing::Test {
 protected:
  static auto SetUpTestSuite() -> void {
    deployment_ = std::make_unique<Deployment>(
        DeploymentOptions{.entries = 1, .agents = 1, .workers = false});
    ASSERT_TRUE(deployment_->StartAll());
  }
  static auto TearDownTestSuite() -> void { deployment_.reset(); }
  static auto StillServes() -> bool {
    const auto answer = deployment_->Get(0, "/call/rufisque/results/a");
    return HeaderOf(answer.http, "rhubarbhaven-verdict") == "answered";
  }

  static inline std::unique_ptr<Deployment> deployment_;
};

class BadHttp : public BadInput,
                public testing::WithParamInterface<BadRequest> {};

TEST_P(BadHttp, IsRejectedWithItsReasonAndCounted) {
  const BadRequest& bad = GetParam();
  const std::string counter =
      "rhubarbhaven_refused_total{reason=\"" + bad.reason + "\"}";
  const double before = deployment_->Metric("entry-0", counter);
  HttpClientRequest request;
  request.method = "POST";
  request.url = bad.path;
  request.body = std::string(bad.body_bytes, 'x');
  for (const auto& [name, value] : bad.headers) {
    auto& header = request.headers.emplace_back();
    header.set_name(name);
    header.set_value(value);
  }
  const auto answer = deployment_->Call(0, std::move(request));
  EXPECT_EQ(answer.http.status(), bad.status);
  EXPECT_EQ(HeaderOf(answer.http, "rhubarbhaven-reason"), bad.reason);
  EXPECT_EQ(HeaderOf(answer.http, "rhubarbhaven-verdict"), "not_run");
  EXPECT_EQ(deployment_->Metric("entry-0", counter), before + 1);
  EXPECT_TRUE(StillServes());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BadHttp,
    testing::Values(
        BadRequest{"UnknownPartner",
                   "/call/nobody/results/a",
                   {},
                   1,
                   404,
                   "unknown_partner"},
        BadRequest{"UnknownService",
                   "/call/rufisque/nothing/a",
                   {},
                   1,
                   404,
                   "unknown_service"},
        BadRequest{"NoService", "/call/rufisque", {}, 1, 400, "bad_request"},
        BadRequest{"BodyTooLarge",
                   "/call/rufisque/results/a",
                   {},
                   2 << 20,
                   413,
                   "body_too_large"},
        BadRequest{"ZeroDeadline",
                   "/call/rufisque/results/a",
                   {{"Rhubarbhaven-Deadline-Ms", "0"}},
                   1,
                   400,
                   "deadline_invalid"},
        BadRequest{"AbsurdDeadline",
                   "/call/rufisque/results/a",
                   {{"Rhubarbhaven-Deadline-Ms", "99999999999999999999"}},
                   1,
                   400,
                   "deadline_invalid"},
        BadRequest{"WordAsDeadline",
                   "/call/rufisque/results/a",
                   {{"Rhubarbhaven-Deadline-Ms", "soon"}},
                   1,
                   400,
                   "deadline_invalid"},
        BadRequest{"WrongRepeatable",
                   "/call/rufisque/results/a",
                   {{"Rhubarbhaven-Repeatable", "maybe"}},
                   1,
                   400,
                   "bad_request"},
        BadRequest{"LongKey",
                   "/call/rufisque/results/a",
                   {{"Idempotency-Key", std::string(300, 'k')}},
                   1,
                   400,
                   "bad_request"}),
    [](const testing::TestParamInfo<BadRequest>& info) -> std::string {
      return info.param.name;
    });

TEST_F(BadInput, RawGarbageOnTheHttpPort) {
  const int port = deployment_->Port("entry-0");
  SendRaw(port, "\x01\x02garbage\r\n\r\n");
  SendRaw(port, "GET / HTTP/9.9\r\n\r\n");
  const std::string oversized =
      "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(100 << 10, 'h') +
      "\r\n\r\n";
  const std::string answer = SendRaw(port, oversized);
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 431");
  EXPECT_TRUE(StillServes());
}

// Guards against an entry that crashes or whose memory use grows because it
// decodes messages without checks: the link port receives seeded random bytes
// and a message with a wrong version.
TEST_F(BadInput, GarbageOnTheLinkPort) {
  zmq::context_t context;
  zmq::socket_t socket(context, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::routing_id, "stranger");
  socket.set(zmq::sockopt::linger, 1000);
  socket.connect(absl::StrCat("tcp://127.0.0.1:", deployment_->Port("link-0")));
  std::mt19937_64 random(7);
  constexpr int kMessages = 500;
  for (int i = 0; i < kMessages; ++i) {
    std::string bytes(random() % 300, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random());
    }
    socket.send(zmq::buffer(bytes), zmq::send_flags::none);
  }
  schema::Envelope wrong;
  wrong.set_version(kWireVersion + 1);
  wrong.set_sender("stranger");
  wrong.mutable_announce();
  socket.send(zmq::buffer(wrong.SerializeAsString()), zmq::send_flags::none);
  const auto dropped = [](const std::string& reason) -> double {
    return deployment_->Metric(
        "entry-0", "rhubarbhaven_dropped_total{reason=\"" + reason + "\"}");
  };
  EXPECT_TRUE(WaitFor(
      [&dropped]() -> bool { return dropped("message_wrong_version") >= 1; },
      kTestTimeout));
  EXPECT_GE(dropped("message_malformed"), 1);
  SendRaw(deployment_->Port("link-0"), "GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(StillServes());
}

}  // namespace
}  // namespace rhubarbhaven::test

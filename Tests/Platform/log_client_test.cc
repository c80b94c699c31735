// Tests of calls to the log whose responses are large, over links that are
// thin, stall or carry next to nothing.

#include "platform/log_client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <atomic>
#include <functional>
#include <future>
#include <limits>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Tests/Support/shared_rate.h"

namespace rhubarbhaven::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLinkBytesPerSecond = 250000;
constexpr std::size_t kPieceBytes = 1024;
constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kLengthBytes = 4;
// Takes longer on the link than a silent log is waited for.
constexpr std::size_t kLargeValueBytes = 500000;
// Of a busy machine.
constexpr milliseconds kMargin{600};

// How the server sends a response.
struct Sending {
  // The connections share a link of this rate; zero for no limit.
  std::size_t bytes_per_second = 0;
  // Nothing follows after this many bytes.
  std::size_t stalls_after = std::numeric_limits<std::size_t>::max();
  // One byte each second, from the first on.
  bool trickles = false;
};

// Answers each request with the same body.
class ThinServer {
 public:
  ThinServer(const std::string& body, const Sending& sending)
      : sending_(sending),
        rate_(std::max<std::size_t>(1, sending.bytes_per_second)),
        listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    response_ = absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(),
                             "\r\n\r\n", body);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), size), 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    listen(listener_, SOMAXCONN);
    thread_ = std::thread([this]() -> void { Accept(); });
  }
  ThinServer(const ThinServer&) = delete;
  auto operator=(const ThinServer&) -> ThinServer& = delete;
  ~ThinServer() {
    stop_ = true;
    thread_.join();
    for (auto& connection : connections_) {
      connection.join();
    }
    close(listener_);
  }
  auto address() const -> std::string {
    return absl::StrCat("127.0.0.1:", port_);
  }

 private:
  auto Accept() -> void {
    constexpr int kPollMs = 10;
    while (!stop_) {
      pollfd waiting{listener_, POLLIN, 0};
      if (poll(&waiting, 1, kPollMs) > 0) {
        const int peer = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        connections_.emplace_back([this, peer]() -> void { Serve(peer); });
      }
    }
  }

  auto Serve(int peer) -> void {
    char buffer[4096];
    static_cast<void>(!read(peer, buffer, sizeof(buffer)));
    const std::size_t end = std::min(response_.size(), sending_.stalls_after);
    const std::size_t piece = sending_.trickles ? 1 : kPieceBytes;
    for (std::size_t at = 0; at < end && !stop_; at += piece) {
      const std::size_t size = std::min(piece, end - at);
      if (send(peer, response_.data() + at, size, MSG_NOSIGNAL) < 0) {
        break;
      }
      WaitForLink(size);
    }
    while (!stop_ && sending_.stalls_after < response_.size()) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    close(peer);
  }

  auto WaitForLink(std::size_t bytes) -> void {
    auto until = std::chrono::steady_clock::now();
    if (sending_.trickles) {
      until += seconds(1);
    } else if (sending_.bytes_per_second > 0) {
      until = rate_.Reserve(bytes, until);
    }
    while (!stop_ && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  const Sending sending_;
  test::SharedRate rate_;
  std::string response_;
  int listener_;
  int port_ = 0;
  std::atomic<bool> stop_ = false;
  std::list<std::thread> connections_;
  std::thread thread_;
};

auto BigEndian(uint64_t value, std::size_t bytes) -> std::string {
  constexpr unsigned kBitsPerByte = 8;
  std::string text;
  for (std::size_t i = bytes; i > 0; --i) {
    text.push_back(static_cast<char>(value >> (kBitsPerByte * (i - 1))));
  }
  return text;
}

// A response to a read with one record.
auto ReadBody(std::size_t value_bytes) -> std::string {
  const std::string key = "config";
  return BigEndian(1, kOffsetBytes) + BigEndian(0, kOffsetBytes) +
         BigEndian(1 + key.size() + value_bytes, kLengthBytes) +
         BigEndian(key.size(), 1) + key + std::string(value_bytes, 'x');
}

// A page of newest records with one record.
auto NewestBody(std::size_t value_bytes) -> std::string {
  return absl::StrCat(R"({"items":[{"Key":"config","Value":")",
                      absl::Base64Escape(std::string(value_bytes, 'x')),
                      R"(","Offset":0}],"More":false,"End":1})");
}

struct Outcome {
  bool answered = false;
  std::string error;
  std::size_t bytes = 0;
  Duration took{0};
  // Calls of the function that is notified of progress.
  int reports = 0;
};

// Makes one call and waits for its end.
auto MakeCall(LogClient& client, bool newest) -> Outcome {
  const TimePoint begun = Clock::now();
  Outcome outcome;
  std::promise<void> ended;
  const auto on_progress = [&outcome](TimePoint, std::size_t) -> void {
    ++outcome.reports;
  };
  const auto end = [&](bool answered, const auto& result) -> void {
    outcome.answered = answered && result.records.size() == 1;
    outcome.error = result.error;
    outcome.bytes = result.bytes;
    outcome.took = Clock::now() - begun;
    ended.set_value();
  };
  if (newest) {
    jobs::NewestCall call;
    call.on_progress = on_progress;
    client.port().newest(
        call, [&end](TimePoint, const jobs::NewestResult& result) -> void {
          end(result.answered, result);
        });
  } else {
    jobs::ReadCall call;
    call.on_progress = on_progress;
    client.port().read(
        call, [&end](TimePoint, const jobs::ReadResult& result) -> void {
          end(result.outcome == jobs::ReadOutcome::kRecords, result);
        });
  }
  ended.get_future().wait();
  return outcome;
}

struct LinkCase {
  std::string name;
  Sending sending;
  // Calls at the same time.
  int calls = 1;
  bool answered = false;
  milliseconds ends_within{0};
};

auto PrintTo(const LinkCase& link, std::ostream* out) -> void {
  *out << link.name;
}

class LargeResponse
    : public testing::TestWithParam<std::tuple<LinkCase, bool>> {};

// Guards against a call that is given up for its length while its response is
// arriving, again and again, and against one that waits long for a log that is
// silent.
TEST_P(LargeResponse, IsLimitedBySilence) {
  const auto& [link, newest] = GetParam();
  const ThinServer server(
      newest ? NewestBody(kLargeValueBytes) : ReadBody(kLargeValueBytes),
      link.sending);
  LogClient client(server.address());
  std::vector<std::future<Outcome>> calls;
  calls.reserve(link.calls);
  for (int call = 0; call < link.calls; ++call) {
    calls.push_back(
        std::async(std::launch::async, [&client, newest = newest]() -> Outcome {
          return MakeCall(client, newest);
        }));
  }
  for (auto& call : calls) {
    const Outcome outcome = call.get();
    EXPECT_EQ(outcome.answered, link.answered) << outcome.error;
    EXPECT_EQ(outcome.error.empty(), link.answered);
    EXPECT_LE(outcome.took, link.ends_within + kMargin);
    EXPECT_EQ(outcome.reports > 0, outcome.bytes > 0);
  }
}

const jobs::TransferLimits kLimits;

INSTANTIATE_TEST_SUITE_P(
    Table,
    LargeResponse,
    testing::Combine(
        testing::Values(
            LinkCase{"wide", {}, 1, true, kLimits.response},
            // A value in base64 takes 2.7 s.
            LinkCase{"thin", {kLinkBytesPerSecond}, 1, true, seconds(4)},
            LinkCase{"shared", {kLinkBytesPerSecond}, 3, true, seconds(12)},
            LinkCase{"silent", {0, 0}, 1, false, kLimits.response},
            LinkCase{"stalls",
                     {kLinkBytesPerSecond, kLargeValueBytes / 2},
                     1,
                     false,
                     seconds(1) + kLimits.interval},
            LinkCase{"trickles",
                     {0, std::numeric_limits<std::size_t>::max(), true},
                     1,
                     false,
                     kLimits.interval}),
        testing::Bool()),
    [](const auto& info) {
      return std::get<0>(info.param).name +
             (std::get<1>(info.param) ? "_newest" : "_read");
    });

}  // namespace
}  // namespace rhubarbhaven::platform

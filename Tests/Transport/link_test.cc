// Tests the form of link endpoints and the cost of messages.

#include <gtest/gtest.h>

#include <atomic>
#include <ctime>
#include <memory>
#include <string>
#include <thread>
#include <vector>
#include <zmq.hpp>

#include "Tests/Support/free_port.h"
#include "Transport/transport.h"

namespace rhubarbhaven {
namespace {

struct EndpointCase {
  std::string name;
  std::string endpoint;
  bool allowed = false;
};

class EndpointTest : public testing::TestWithParam<EndpointCase> {};

TEST_P(EndpointTest, IsTcpWithHostAndPort) {
  EXPECT_EQ(IsTcpEndpoint(GetParam().endpoint), GetParam().allowed);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    EndpointTest,
    testing::Values(EndpointCase{"address", "tcp://10.1.2.3:9000", true},
                    EndpointCase{"address_6", "tcp://[::1]:9000", true},
                    EndpointCase{"host", "tcp://side-1.example:1", true},
                    EndpointCase{"largest_port", "tcp://a:65535", true},
                    EndpointCase{"empty", "", false},
                    EndpointCase{"no_transport", "10.1.2.3:9000", false},
                    EndpointCase{"other_transport", "ipc:///tmp/x", false},
                    EndpointCase{"no_host", "tcp://:9000", false},
                    EndpointCase{"no_port", "tcp://10.1.2.3", false},
                    EndpointCase{"empty_port", "tcp://10.1.2.3:", false},
                    EndpointCase{"port_zero", "tcp://10.1.2.3:0", false},
                    EndpointCase{"port_beyond", "tcp://10.1.2.3:65536", false},
                    EndpointCase{"port_signed", "tcp://10.1.2.3:+9", false},
                    EndpointCase{"port_text", "tcp://10.1.2.3:http", false},
                    EndpointCase{"any_port", "tcp://10.1.2.3:*", false},
                    EndpointCase{"blank", "tcp://10.1 .2:9000", false},
                    EndpointCase{"bytes", "tcp://\xff\xfe:9000", false},
                    EndpointCase{"path", "tcp://a/b:9000", false}),
    [](const auto& info) { return info.param.name; });

class NumericEndpointTest : public testing::TestWithParam<EndpointCase> {};

// Guards against orders to all agents that wait while the host of one agent,
// which another writer has named, is looked up.
TEST_P(NumericEndpointTest, HostIsAnAddress) {
  EXPECT_EQ(IsNumericTcpEndpoint(GetParam().endpoint), GetParam().allowed);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    NumericEndpointTest,
    testing::Values(EndpointCase{"address", "tcp://10.1.2.3:9000", true},
                    EndpointCase{"address_6", "tcp://[::1]:9000", true},
                    EndpointCase{"host", "tcp://side-1.example:1", false},
                    EndpointCase{"beyond", "tcp://999.1.1.1:9000", false},
                    EndpointCase{"short", "tcp://10.1:9000", false},
                    EndpointCase{"brackets", "tcp://[]:9000", false},
                    EndpointCase{"port_beyond", "tcp://10.1.2.3:65536", false}),
    [](const auto& info) { return info.param.name; });

// Endpoints that accept connections and messages and send nothing.
class UnresponsivePeers {
 public:
  explicit UnresponsivePeers(int count) {
    for (int number = 0; number < count; ++number) {
      auto& socket = sockets_.emplace_back(context_, zmq::socket_type::router);
      socket.set(zmq::sockopt::linger, 0);
      socket.bind("tcp://127.0.0.1:*");
    }
  }
  auto Endpoint(int number) -> std::string {
    return sockets_.at(static_cast<std::size_t>(number))
        .get(zmq::sockopt::last_endpoint);
  }

 private:
  zmq::context_t context_;
  std::vector<zmq::socket_t> sockets_;
};

auto ProcessorTime() -> std::chrono::nanoseconds {
  timespec spent{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
  return std::chrono::seconds(spent.tv_sec) +
         std::chrono::nanoseconds(spent.tv_nsec);
}

// Processor time for messages that are sent to one peer, one at a time, while
// all peers are connected.
auto ProcessorTimeOfMessages(int peers) -> std::chrono::nanoseconds {
  constexpr int kMessages = 500;
  constexpr std::chrono::microseconds kSendInterval{300};
  constexpr std::chrono::milliseconds kConnectTime{500};
  UnresponsivePeers unresponsive(peers);
  LinkOptions options;
  options.id = "sender";
  options.connect_on_send = true;
  options.heartbeat_interval = std::chrono::seconds(60);
  options.heartbeat_timeout = std::chrono::seconds(60);
  Link link(options);
  EXPECT_TRUE(link.Start().ok());
  schema::Envelope message;
  message.mutable_agent_report()->set_fence(1);
  for (int number = 0; number < peers; ++number) {
    link.Send(unresponsive.Endpoint(number), message);
  }
  std::this_thread::sleep_for(kConnectTime);
  const auto before = ProcessorTime();
  for (int sent = 0; sent < kMessages; ++sent) {
    link.Send(unresponsive.Endpoint(0), message);
    std::this_thread::sleep_for(kSendInterval);
  }
  const auto spent = ProcessorTime() - before;
  link.Stop(std::chrono::milliseconds(0));
  return spent;
}

// Guards against an owner that checks the connections of all its agents for
// every message, so that the total cost grows with the square of the cell size.
TEST(LinkTest, CostOfAMessageDoesNotDependOnTheNumberOfPeers) {
  constexpr int kFew = 4;
  constexpr int kMany = 300;
  constexpr int kMaxRatio = 3;
  const auto few = ProcessorTimeOfMessages(kFew);
  const auto many = ProcessorTimeOfMessages(kMany);
  EXPECT_LT(many, kMaxRatio * few);
}

// Guards against a received message that is not delivered because ZeroMQ read
// it during a send and reports no event for it.
TEST(LinkTest, EachMessageIsAnsweredWithoutDelay) {
  constexpr int kMessages = 2000;
  constexpr std::chrono::milliseconds kMaxRoundTrip{200};
  std::atomic<int> answered = 0;
  std::unique_ptr<Link> server;
  LinkOptions listening;
  listening.id = "server";
  listening.bind = "tcp://127.0.0.1:" + std::to_string(test::FreePort());
  listening.on_message = [&server](const std::string& peer,
                                   schema::Envelope message) -> void {
    server->Send(peer, std::move(message));
  };
  server = std::make_unique<Link>(listening);
  ASSERT_TRUE(server->Start().ok());
  LinkOptions options;
  options.id = "client";
  options.connect_on_send = true;
  options.on_message = [&answered](const std::string&,
                                   const schema::Envelope&) -> void {
    ++answered;
  };
  Link client(options);
  ASSERT_TRUE(client.Start().ok());
  schema::Envelope message;
  message.mutable_agent_report()->set_fence(1);
  // Messages that are sent before the connection is open are not queued.
  const TimePoint connected_by = Clock::now() + std::chrono::seconds(10);
  while (answered == 0 && Clock::now() < connected_by) {
    client.Send(listening.bind, message);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  std::this_thread::sleep_for(kMaxRoundTrip);
  answered = 0;
  std::chrono::nanoseconds longest{0};
  for (int sent = 0; sent < kMessages; ++sent) {
    const TimePoint begin = Clock::now();
    client.Send(listening.bind, message);
    while (answered <= sent && Clock::now() - begin < kMaxRoundTrip) {
      std::this_thread::yield();
    }
    longest = std::max<std::chrono::nanoseconds>(longest, Clock::now() - begin);
  }
  EXPECT_EQ(answered, kMessages);
  EXPECT_LT(longest, kMaxRoundTrip);
  client.Stop(std::chrono::milliseconds(0));
  server->Stop(std::chrono::milliseconds(0));
}

}  // namespace
}  // namespace rhubarbhaven

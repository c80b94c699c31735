#include "Tests/Support/fault_proxy.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "Tests/Support/child_process.h"
#include "Tests/Support/free_port.h"
#include "Tests/Support/shared_rate.h"
#include "Tests/Support/zmtp_identity.h"
#include "Transport/transport.h"

namespace rhubarbhaven::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kArrives{5000};
constexpr milliseconds kStaysAway{1000};

// A listening peer behind a proxy, and two peers that send to it.
class ProxiedLinks {
 public:
  ProxiedLinks()
      : server_port_(FreePort()),
        port_(FreePort()),
        server_(ServerOptions()),
        thin_(PeerOptions("thin")),
        other_(PeerOptions("other")) {
    EXPECT_TRUE(server_.Start().ok());
    proxy_ = std::make_unique<FaultProxy>(port_, server_port_);
    EXPECT_TRUE(thin_.Start().ok());
    EXPECT_TRUE(other_.Start().ok());
  }
  ProxiedLinks(const ProxiedLinks&) = delete;
  auto operator=(const ProxiedLinks&) -> ProxiedLinks& = delete;
  ~ProxiedLinks() {
    thin_.Stop(milliseconds(0));
    other_.Stop(milliseconds(0));
    server_.Stop(milliseconds(0));
  }

  auto proxy() -> FaultProxy& { return *proxy_; }
  auto thin() -> Link& { return thin_; }
  auto other() -> Link& { return other_; }

  auto Send(Link* from, std::size_t bytes = 1) -> void {
    schema::Envelope message;
    message.mutable_agent_report()->set_worker_id(std::string(bytes, 'a'));
    from->Send(Endpoint(port_), message);
  }
  auto received(const std::string& peer) -> int {
    const std::lock_guard lock(mutex_);
    return received_[peer];
  }
  // Sends until a further message of this peer has arrived.
  auto Arrives(const std::string& peer, Link* from, milliseconds limit)
      -> bool {
    const int before = received(peer);
    return WaitFor(
        [&]() -> bool {
          Send(from);
          return received(peer) > before;
        },
        limit);
  }

 private:
  static auto Endpoint(int port) -> std::string {
    return "tcp://127.0.0.1:" + std::to_string(port);
  }
  auto ServerOptions() -> LinkOptions {
    LinkOptions options;
    options.id = "server";
    options.bind = Endpoint(server_port_);
    options.on_message = [this](const std::string& peer,
                                const schema::Envelope&) -> void {
      const std::lock_guard lock(mutex_);
      ++received_[peer];
    };
    return options;
  }
  static auto PeerOptions(const std::string& id) -> LinkOptions {
    LinkOptions options;
    options.id = id;
    options.connect_on_send = true;
    options.on_message = [](const std::string&, const schema::Envelope&) {};
    return options;
  }

  int server_port_;
  int port_;
  std::mutex mutex_;
  std::map<std::string, int> received_;
  Link server_;
  Link thin_;
  Link other_;
  std::unique_ptr<FaultProxy> proxy_;
};

struct CutOffCase {
  std::string name;
  CutOff cut_off = CutOff::kNone;
  // Whether the peer is connected when it is cut off.
  bool connected = false;
};

class CutOffTest : public testing::TestWithParam<CutOffCase> {};

// Guards against a cut that also takes the other peers, lets the peer's later
// connections through, or does not end.
TEST_P(CutOffTest, TakesTheConnectionsOfOnePeer) {
  ProxiedLinks links;
  if (GetParam().connected) {
    ASSERT_TRUE(links.Arrives("thin", &links.thin(), kArrives));
  }
  links.proxy().SetCutOff("thin", GetParam().cut_off);
  // A message may be past the proxy already.
  std::this_thread::sleep_for(milliseconds(100));
  EXPECT_FALSE(links.Arrives("thin", &links.thin(), kStaysAway));
  EXPECT_TRUE(links.Arrives("other", &links.other(), kArrives));
  links.proxy().SetCutOff("thin", CutOff::kNone);
  EXPECT_TRUE(links.Arrives("thin", &links.thin(), kArrives));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    CutOffTest,
    testing::Values(
        CutOffCase{"open_connection_vanishes", CutOff::kBlackholed, true},
        CutOffCase{"new_connection_vanishes", CutOff::kBlackholed, false},
        CutOffCase{"open_connection_reset", CutOff::kReset, true},
        CutOffCase{"new_connection_reset", CutOff::kReset, false}),
    [](const auto& info) -> std::string { return info.param.name; });

// Guards against a rate that also holds back the other peers, or that holds
// back nothing.
TEST(RequestRateTest, LimitsThePeerThatItNames) {
  constexpr std::size_t kRate = 100'000;
  constexpr std::size_t kMessageBytes = 20'000;
  constexpr int kMessages = 10;
  ProxiedLinks links;
  links.proxy().SetRequestRate("thin", std::make_shared<SharedRate>(kRate));
  ASSERT_TRUE(links.Arrives("thin", &links.thin(), kArrives));
  ASSERT_TRUE(links.Arrives("other", &links.other(), kArrives));
  std::this_thread::sleep_for(milliseconds(200));
  const int thin_before = links.received("thin");
  const int other_before = links.received("other");
  for (int sent = 0; sent < kMessages; ++sent) {
    links.Send(&links.thin(), kMessageBytes);
    links.Send(&links.other(), kMessageBytes);
  }
  EXPECT_TRUE(WaitFor(
      [&]() -> bool {
        return links.received("other") == other_before + kMessages;
      },
      kArrives));
  EXPECT_LT(links.received("thin"), thin_before + kMessages);
  EXPECT_TRUE(WaitFor(
      [&]() -> bool {
        return links.received("thin") == thin_before + kMessages;
      },
      kArrives));
}

// Guards against connections that each get the whole rate.
TEST(SharedRateTest, PassesBytesOneAfterTheOther) {
  SharedRate rate(1000);
  const SharedRate::Time now;
  EXPECT_EQ(rate.Reserve(500, now), now + milliseconds(500));
  EXPECT_EQ(rate.Reserve(250, now), now + milliseconds(750));
  EXPECT_FALSE(rate.IsFull(now));
  EXPECT_EQ(rate.Reserve(3500, now), now + milliseconds(4250));
  EXPECT_TRUE(rate.IsFull(now));
  EXPECT_FALSE(rate.IsFull(now + milliseconds(250)));
  EXPECT_EQ(rate.Reserve(100, now + seconds(5)), now + milliseconds(5100));
}

auto Property(const std::string& name, const std::string& value)
    -> std::string {
  return std::string(1, static_cast<char>(name.size())) + name +
         std::string(3, '\0') +
         std::string(1, static_cast<char>(value.size())) + value;
}

auto Greeting(const std::string& command, const std::string& properties)
    -> std::string {
  const std::string body =
      std::string(1, static_cast<char>(command.size())) + command + properties;
  return std::string("\xff") + std::string(63, '\0') + '\x04' +
         std::string(1, static_cast<char>(body.size())) + body;
}

struct IdentityCase {
  std::string name;
  std::string bytes;
  std::optional<std::string> identity;
};

class ZmtpIdentityTest : public testing::TestWithParam<IdentityCase> {};

// Guards against faults that are applied to the connections of another peer.
TEST_P(ZmtpIdentityTest, ReadsTheIdOfTheReadyCommand) {
  EXPECT_EQ(ZmtpIdentity(GetParam().bytes), GetParam().identity);
}

const std::string kDealer = Property("Socket-Type", "DEALER");
const std::string kEntry = Property("Identity", "entry-1");

INSTANTIATE_TEST_SUITE_P(
    All,
    ZmtpIdentityTest,
    testing::Values(
        IdentityCase{"states_one", Greeting("READY", kDealer + kEntry),
                     "entry-1"},
        IdentityCase{"followed_by_messages",
                     Greeting("READY", kEntry + kDealer) + "more", "entry-1"},
        IdentityCase{"states_none", Greeting("READY", kDealer), std::nullopt},
        IdentityCase{"other_command", Greeting("ERROR", kEntry), std::nullopt},
        IdentityCase{"cut_short",
                     Greeting("READY", kDealer + kEntry).substr(0, 90),
                     std::nullopt},
        IdentityCase{
            "not_zeromq",
            "GET /rhubarbhaven/log-read HTTP/1.1\r\n" + std::string(100, 'a'),
            std::nullopt},
        IdentityCase{"empty", "", std::nullopt}),
    [](const auto& info) -> std::string { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::test

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include "Tests/Support/deployment.h"
#include "Tests/Support/fault_proxy.h"

namespace rhubarbhaven::test {
namespace {

using std::chrono::milliseconds;

struct Hop {
  std::string name;
  // Changes the settings of agent-0 so that this hop goes through the proxy.
  std::function<auto(schema::DaemonSettings&, int proxy_port)->void> divert;
  // The process behind the proxy.
  std::string target;
};

auto PrintTo(const Hop& hop, std::ostream* out) -> void {
  *out << hop.name;
}

class SilentConnection : public testing::TestWithParam<Hop> {};

// Guards against requests that hang or fail for minutes because a process waits
// on a connection that has been blackholed: a device on the path loses its
// state, so that bytes are lost in both directions without a reset, while new
// connections work. A new connection must be opened within 5 s, the other
// endpoints must serve meanwhile, and the endpoint itself must remain in use.
TEST_P(SilentConnection, IsReplacedAndTheEndpointKept) {
  const int proxy_port = FreePort();
  const Hop& hop = GetParam();
  DeploymentOptions options;
  options.workers = false;
  options.adjust = [&hop,
                    proxy_port](schema::DaemonSettings& settings) -> void {
    if (settings.id() == "agent-0") {
      hop.divert(settings, proxy_port);
    }
  };
  Deployment deployment(options);
  FaultProxy proxy(proxy_port, deployment.Port(hop.target));
  ASSERT_TRUE(deployment.StartAll());
  const int before = proxy.accepted();
  ASSERT_GE(before, 1);
  proxy.BlackholeOpenConnections();
  int answered = 0;
  constexpr int kRequests = 50;
  for (int i = 0; i < kRequests; ++i) {
    const auto answer = deployment.Get(0, "/call/rufisque/results/a?ms=2");
    answered +=
        HeaderOf(answer.http, "rhubarbhaven-verdict") == "answered" ? 1 : 0;
  }
  EXPECT_EQ(answered, kRequests);
  EXPECT_TRUE(
      WaitFor([&proxy, before]() -> bool { return proxy.accepted() > before; },
              std::chrono::seconds(5)));
  // A path that has lost messages is reinstated by requests that serve as
  // probes.
  EXPECT_TRUE(WaitFor(
      [&deployment]() -> bool {
        deployment.Get(0, "/call/rufisque/results/probe?ms=2");
        return deployment.EndpointsInState(0, "ready") == 3;
      },
      kTestTimeout));
}

INSTANTIATE_TEST_SUITE_P(
    Hops,
    SilentConnection,
    testing::Values(Hop{"AgentToEntry",
                        [](schema::DaemonSettings& settings, int port) -> void {
                          settings.mutable_agent()->set_entries(
                              0, absl::StrCat("tcp://127.0.0.1:", port));
                        },
                        "link-0"},
                    Hop{"AgentToEndpoint",
                        [](schema::DaemonSettings& settings, int port) -> void {
                          settings.mutable_agent()->set_endpoint_url(
                              absl::StrCat("http://127.0.0.1:", port));
                        },
                        "endpoint-0"}),
    [](const testing::TestParamInfo<Hop>& info) -> std::string {
      return info.param.name;
    });

// Guards against an entry that receives no further changes after its connection
// to the platform's log was blackholed, because its reads have no time-out. The
// entry must apply a change within 10 s.
TEST(SilentConnectionToLog, IsReplaced) {
  const int proxy_port = FreePort();
  DeploymentOptions options;
  options.workers = false;
  options.adjust = [proxy_port](schema::DaemonSettings& settings) -> void {
    if (settings.id() == "entry-0") {
      settings.set_log_url(absl::StrCat("http://127.0.0.1:", proxy_port));
    }
  };
  Deployment deployment(options);
  FaultProxy proxy(proxy_port, deployment.Port("log"));
  ASSERT_TRUE(deployment.StartAll());
  const uint64_t before = deployment.Status(0).config_applied();
  proxy.BlackholeOpenConnections();
  ASSERT_EQ(deployment.Apply({R"({"name":"small","tasks":1,"command":"run 1",)"
                              R"("need":{"millicores":100,"memory_mb":10}})"}),
            0);
  EXPECT_TRUE(WaitFor(
      [&deployment, before]() -> bool {
        return deployment.Status(0).config_applied() > before;
      },
      std::chrono::seconds(10)));
}

}  // namespace
}  // namespace rhubarbhaven::test

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include "Tests/Support/deployment.h"
#include "Tests/Support/silent_relay.h"

namespace rhubarbhaven::test {
namespace {

using std::chrono::milliseconds;

struct Hop {
  std::string name;
  // Which process's settings lead through the relay, and how.
  std::function<auto(schema::DaemonSettings&, int relay_port)->void> divert;
  // The process behind the relay.
  std::string target;
};

auto PrintTo(const Hop& hop, std::ostream* out) -> void {
  *out << hop.name;
}

class SilentConnection : public testing::TestWithParam<Hop> {};

// Symptom: requests hang or fail for minutes. Sequence: something between two
// ends drops its state: bytes vanish both ways, no reset, new connections
// work. Cause: waiting on a connection that will never say anything again.
// Bound: served through the new connection within 5 s, and meanwhile by the
// other endpoints; the endpoint itself stays in use.
TEST_P(SilentConnection, IsReplacedAndTheEndpointKept) {
  const int relay_port = FreePort();
  const Hop& hop = GetParam();
  DeploymentOptions options;
  options.workers = false;
  options.adjust = [&hop,
                    relay_port](schema::DaemonSettings& settings) -> void {
    if (settings.id() == "agent-0") {
      hop.divert(settings, relay_port);
    }
  };
  Deployment deployment(options);
  SilentRelay relay(relay_port, deployment.Port(hop.target));
  ASSERT_TRUE(deployment.StartAll());
  const int before = relay.accepted();
  ASSERT_GE(before, 1);
  relay.SilenceOpenConnections();
  int answered = 0;
  constexpr int kRequests = 50;
  for (int i = 0; i < kRequests; ++i) {
    const auto answer = deployment.Get(0, "/call/rufisque/results/a?ms=2");
    answered +=
        HeaderOf(answer.http, "rhubarbhaven-verdict") == "answered" ? 1 : 0;
  }
  EXPECT_EQ(answered, kRequests);
  EXPECT_TRUE(
      WaitFor([&relay, before]() -> bool { return relay.accepted() > before; },
              std::chrono::seconds(5)));
  // A path that lost messages comes back by requests that serve as probes.
  EXPECT_TRUE(WaitFor(
      [&deployment]() -> bool {
        deployment.Get(0, "/call/rufisque/results/probe?ms=2");
        return deployment.EndpointsInState(0, "ready") == 3;
      },
      kPatience));
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

// Symptom: an entry never learns of changes again. Sequence: its connection to
// the platform's log goes silent. Cause: a read without a limit of its own.
// Bound: 10 s.
TEST(SilentConnectionToLog, IsReplaced) {
  const int relay_port = FreePort();
  DeploymentOptions options;
  options.workers = false;
  options.adjust = [relay_port](schema::DaemonSettings& settings) -> void {
    if (settings.id() == "entry-0") {
      settings.set_log_url(absl::StrCat("http://127.0.0.1:", relay_port));
    }
  };
  Deployment deployment(options);
  SilentRelay relay(relay_port, deployment.Port("log"));
  ASSERT_TRUE(deployment.StartAll());
  const uint64_t before = deployment.Status(0).config_applied();
  relay.SilenceOpenConnections();
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

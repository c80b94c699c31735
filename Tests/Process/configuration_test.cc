#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include "Tests/Support/deployment.h"

namespace rhubarbhaven::test {
namespace {

constexpr char kSmallJob[] = R"({"name":"small","tasks":1,"command":"run 100",)"
                             R"("need":{"millicores":100,"memory_mb":10}})";

// Lowest configuration version that any entry or agent reports as applied.
auto LowestApplied(Deployment& deployment) -> uint64_t {
  uint64_t lowest = UINT64_MAX;
  for (int i = 0; i < deployment.options().entries; ++i) {
    const auto status = deployment.Status(i);
    lowest = std::min(lowest, status.config_applied());
    for (const auto& agent : status.agents()) {
      lowest = std::min(lowest, agent.config_applied());
    }
  }
  return lowest;
}

// Guards against `apply --wait` returning when a change is accepted but not yet
// applied by every process, so that an operator cannot tell when it is in
// force.
TEST(Configuration, InForceEverywhereWithinFiveSeconds) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  const uint64_t before = LowestApplied(deployment);
  EXPECT_EQ(deployment.Apply({kSmallJob}, {"--wait", "--timeout-s=5"}), 0);
  EXPECT_GT(LowestApplied(deployment), before);
}

// Guards against a configuration version that decreases because a process
// starts with an older state than it had: daemons are killed and restarted
// after the log has expired old records, and while the log is down.
TEST(Configuration, NeverRevertsThroughRestartsAndExpiry) {
  DeploymentOptions options;
  options.workers = false;
  options.retention_records = 60;
  options.adjust = [](schema::DaemonSettings& settings) -> void {
    if (settings.has_entry()) {
      settings.mutable_entry()->set_snapshot_after_records(10);
      settings.mutable_entry()->set_snapshot_spread_ms(100);
    }
  };
  Deployment deployment(options);
  ASSERT_TRUE(deployment.StartAll());
  std::string output;
  for (int i = 0; i < 100; ++i) {
    const std::string job = absl::StrCat(
        R"({"name":"small","tasks":)", i + 1, R"(,"command":"run 100",)",
        R"("need":{"millicores":100000,"memory_mb":10}})");
    std::string refused;
    ASSERT_EQ(deployment.Apply({job}, {}, &refused), 0) << i << refused;
  }
  const uint64_t before = deployment.Status(0).config_applied();
  for (const char* name : {"entry-0", "entry-1", "agent-0"}) {
    deployment.process(name).Kill();
  }
  for (const char* name : {"entry-0", "entry-1", "agent-0"}) {
    deployment.Start(name);
  }
  ASSERT_TRUE(deployment.WaitReady(0, 3));
  EXPECT_GE(deployment.Status(0).config_applied(), before);
  EXPECT_EQ(
      deployment.Client({"show", "--partner=rufisque", "--json"}, &output), 0);
  EXPECT_TRUE(absl::StrContains(output, "100")) << output;
  // While the log is down, the entry obtains the configuration from its peer.
  deployment.process("log").Kill();
  deployment.process("entry-0").Kill();
  deployment.Start("entry-0");
  EXPECT_TRUE(WaitFor(
      [&deployment, before]() -> bool {
        return deployment.Status(0).config_applied() >= before;
      },
      kTestTimeout));
}

// Guards against one exit code for both a rejected change and an unreachable
// log.
TEST(Configuration, OutageIsDistinguishedFromRejection) {
  Deployment deployment({.workers = false});
  ASSERT_TRUE(deployment.StartAll());
  EXPECT_EQ(deployment.Apply({R"({"name":"bad","tasks":0})"}), 2);
  deployment.process("log").Kill();
  EXPECT_EQ(deployment.Apply({kSmallJob}), 5);
}

}  // namespace
}  // namespace rhubarbhaven::test

#include <gtest/gtest.h>

#include "Routing/routing.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(1)};

auto Announcements(const AdmissionActions& actions)
    -> std::vector<schema::Announce> {
  std::vector<schema::Announce> announcements;
  for (const auto& action : actions) {
    const auto* send = std::get_if<SendToEntry>(&action);
    if (send != nullptr && send->message.has_announce()) {
      announcements.push_back(send->message.announce());
    }
  }
  return announcements;
}

auto Identity() -> schema::Announce {
  schema::Announce identity;
  identity.set_instance("instance-0");
  identity.set_partner("rufisque");
  identity.set_service("results");
  return identity;
}

class AnnounceTest : public testing::Test {
 protected:
  AnnounceTest()
      : agent_(AdmissionOptions{.agent_id = "agent-0", .incarnation = 1}) {}

  AgentAdmission agent_;
};

// Guards against announcements without an identity. An agent whose thread
// ticked before its identity was set announced an endpoint of no service, which
// the entry listed under an empty service name. For up to one announcement
// interval, every request was rejected with no_endpoint although the endpoint's
// status was "ready".
TEST_F(AnnounceTest, NothingIsAnnouncedWithoutAnIdentity) {
  EXPECT_TRUE(Announcements(agent_.SetEntries(kStart, {"entry-0"})).empty());
  EXPECT_TRUE(Announcements(agent_.OnTick(kStart)).empty());
  EXPECT_TRUE(Announcements(agent_.SetEndpointHealthy(kStart, false)).empty());
}

// Guards against the same failure: waiting for the next interval would leave
// the service without an endpoint for as long.
TEST_F(AnnounceTest, AnIdentityIsAnnouncedAtOnce) {
  agent_.SetEntries(kStart, {"entry-0"});
  agent_.OnTick(kStart);
  agent_.SetIdentity(Identity());
  ASSERT_LE(agent_.next_wake(), kStart + milliseconds(1));
  const auto sent = Announcements(agent_.OnTick(kStart + milliseconds(1)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.front().service(), "results");
  EXPECT_EQ(sent.front().partner(), "rufisque");
}

}  // namespace
}  // namespace rhubarbhaven

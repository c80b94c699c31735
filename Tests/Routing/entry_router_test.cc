#include <gtest/gtest.h>

#include "Routing/routing.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

constexpr char kEntry[] = "entry-1";
constexpr char kAgent[] = "agent-1";

auto Services() -> std::vector<schema::VersionedObject> {
  schema::VersionedObject object;
  object.mutable_key()->set_partner("coop");
  object.mutable_key()->set_name("results");
  object.mutable_object()->mutable_service()->set_name("results");
  return {object};
}

template <typename Action, typename Actions>
auto Only(const Actions& actions) -> std::vector<Action> {
  std::vector<Action> found;
  for (const auto& action : actions) {
    if (const auto* one = std::get_if<Action>(&action)) {
      found.push_back(*one);
    }
  }
  return found;
}

TEST(EntryRouterTest, RequestRunsAndItsAnswerComesBack) {
  TimePoint now{std::chrono::seconds(100)};
  RouterOptions options;
  options.entry_id = kEntry;
  options.entry_incarnation = 1;
  EntryRouter router(options);
  AgentAdmission agent({.agent_id = kAgent, .incarnation = 7});
  schema::Announce identity;
  identity.set_partner("coop");
  identity.set_service("results");
  agent.SetIdentity(identity);
  router.SetServices(now, Services());
  for (const auto& send : Only<SendToEntry>(agent.SetEntries(now, {kEntry}))) {
    router.OnMessage(now, kAgent, send.message);
  }
  CallerRequest request;
  request.ticket = 5;
  request.partner = "coop";
  request.service = "results";
  request.deadline = now + milliseconds(500);
  const auto sent = Only<SendToAgent>(router.OnRequest(now, request));
  ASSERT_EQ(sent.size(), 1);
  const auto calls =
      Only<CallEndpoint>(agent.OnMessage(now, kEntry, sent[0].message));
  ASSERT_EQ(calls.size(), 1);
  EndpointOutcome outcome;
  outcome.attempt_id = calls[0].attempt_id;
  outcome.verdict = schema::ANSWERED;
  outcome.http.set_status(200);
  const auto answers = Only<SendToEntry>(agent.OnEndpointAnswer(now, outcome));
  ASSERT_EQ(answers.size(), 1);
  const auto replies =
      Only<CallerReply>(router.OnMessage(now, kAgent, answers[0].message));
  ASSERT_EQ(replies.size(), 1);
  EXPECT_EQ(replies[0].ticket, 5);
  EXPECT_EQ(replies[0].verdict, schema::ANSWERED);
}

}  // namespace
}  // namespace rhubarbhaven

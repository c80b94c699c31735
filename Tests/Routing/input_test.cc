#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "Tests/Routing/trial.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

struct RequestCase {
  std::string name;
  std::function<auto(CallerRequest&)->void> spoil;
  schema::Reason reason;
};

class RequestTest : public testing::TestWithParam<RequestCase> {};

// Symptom: a bad request crashes or blocks the entry, or is refused without
// telling why. Sequence and cause are those of the row.
TEST_P(RequestTest, IsRefusedWithItsReason) {
  Trial trial;
  trial.Start();
  CallerRequest request;
  request.ticket = 1;
  request.partner = kPartner;
  request.service = kService;
  request.deadline = trial.cluster->now() + milliseconds(500);
  GetParam().spoil(request);
  CallerReply reply;
  trial.cluster->Submit(0, request,
                        [&](const CallerReply& one) { reply = one; });
  EXPECT_EQ(reply.verdict, schema::NOT_RUN);
  EXPECT_EQ(ReasonName(reply.reason), ReasonName(GetParam().reason));
  EXPECT_EQ(trial.counts["refused " + ReasonName(GetParam().reason)], 1);
  EXPECT_EQ(trial.cluster->router(0).pending(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    RequestTest,
    testing::Values(
        RequestCase{"partner", [](auto& one) { one.partner = "nobody"; },
                    schema::UNKNOWN_PARTNER},
        RequestCase{"service", [](auto& one) { one.service = "nothing"; },
                    schema::UNKNOWN_SERVICE},
        RequestCase{"no key", [](auto& one) { one.repeatable = false; },
                    schema::KEY_REQUIRED},
        RequestCase{"long key",
                    [](auto& one) { one.once_key = std::string(9999, 'k'); },
                    schema::BAD_REQUEST},
        // The codec would lose the whole message on the way to the agent.
        RequestCase{"foreign bytes",
                    [](auto& one) { one.http.set_path("/\xff\xfe"); },
                    schema::BAD_REQUEST},
        RequestCase{"deadline passed",
                    [](auto& one) { one.deadline -= milliseconds(500); },
                    schema::DEADLINE_INVALID},
        RequestCase{"absurd deadline",
                    [](auto& one) { one.deadline = TimePoint::max(); },
                    schema::DEADLINE_INVALID}),
    [](const auto& one) { return "case" + std::to_string(one.index); });

TEST(NotReadyTest, NothingIsRefusedAsUnknownBeforeTheConfigurationCame) {
  EntryRouter router({});
  const auto actions = router.OnRequest(TimePoint(milliseconds(1)), {});
  EXPECT_EQ(std::get<CallerReply>(actions.back()).reason,
            schema::ENTRY_NOT_READY);
}

// Symptom: a process crashes or grows on garbage. Sequence: random bytes that
// happen to parse, good messages with bytes changed, and absurd values reach
// both classes. Cause: trust in what comes from the network.
TEST(HostileMessageTest, NeitherCrashesNorStopsService) {
  google::protobuf::SetLogHandler(nullptr);
  std::mt19937_64 random(11);
  Trial trial;
  trial.Start();
  std::vector<std::string> seen;
  trial.network = [&](const std::string&, const std::string&,
                      const schema::Envelope& message) {
    seen.push_back(message.SerializeAsString());
    return Delivery();
  };
  trial.Load(20, milliseconds(5), milliseconds(300));
  trial.cluster->RunFor(milliseconds(600));
  int parsed = 0;
  for (int round = 0; round < 60000; ++round) {
    std::string bytes = seen[random() % seen.size()];
    if (round % 4 == 0) {
      bytes.resize(random() % 40);
      for (char& one : bytes) {
        one = static_cast<char>(random());
      }
    }
    for (uint64_t changes = random() % 4; changes > 0 && !bytes.empty();
         --changes) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    schema::Envelope message;
    if (!message.ParseFromString(bytes)) {
      continue;
    }
    ++parsed;
    const TimePoint now = trial.cluster->now();
    const std::string agent =
        FakeCluster::AgentName(static_cast<int>(random() % 5));
    trial.cluster->router(0).OnMessage(now, agent, message);
    trial.cluster->router(0).OnUnsent(now, agent, message);
    for (const auto& action :
         trial.cluster->agent(0).OnMessage(now, "entry-0", message)) {
      if (const auto* call = std::get_if<CallEndpoint>(&action)) {
        trial.cluster->agent(0).OnEndpointAnswer(
            now, {.attempt_id = call->attempt_id,
                  .verdict = schema::ANSWERED,
                  .reason = schema::REASON_NONE,
                  .http = {}});
      }
    }
    if (round % 100 == 0) {
      trial.cluster->RunFor(milliseconds(10));
    }
  }
  EXPECT_GT(parsed, 10000);
  EXPECT_LE(trial.cluster->agent(0).queued(), 16U);
  // What a peer says of itself is believed until its next start.
  for (const int agent : {0, 1}) {
    trial.cluster->KillAgent(agent);
    trial.cluster->StartAgent(agent);
  }
  trial.cluster->RunFor(milliseconds(20000));
  trial.Ask(0, "after", milliseconds(500));
  trial.cluster->RunFor(milliseconds(600));
  EXPECT_EQ(trial.replies["after"].verdict, schema::ANSWERED);
}

// Symptom: an operator meets a counter that no page explains. Cause: a reason
// was added without its line in the manual.
TEST(ReasonsPageTest, EveryReasonHasItsLine) {
  std::ifstream file(RHUBARBHAVEN_REASONS_PAGE);
  std::stringstream page;
  page << file.rdbuf();
  const std::string tables = page.str().substr(page.str().find("\n## "));
  const auto* reasons = schema::Reason_descriptor();
  for (int index = 0; index < reasons->value_count(); ++index) {
    const auto reason =
        static_cast<schema::Reason>(reasons->value(index)->number());
    if (reason == schema::REASON_NONE) {
      continue;
    }
    const std::string row = "| `" + ReasonName(reason) + "` | ";
    const auto start = tables.find(row);
    ASSERT_NE(start, std::string::npos) << ReasonName(reason);
    // Meaning, counter and what to do.
    const std::string line =
        tables.substr(start, tables.find('\n', start) - start);
    EXPECT_EQ(std::count(line.begin(), line.end(), '|'), 5) << line;
    EXPECT_GT(line.size(), row.size() + 60) << line;
  }
}

}  // namespace
}  // namespace rhubarbhaven

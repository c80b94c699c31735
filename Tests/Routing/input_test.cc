#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "Tests/Routing/trial.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

struct RequestCase {
  std::string name;
  std::function<auto(CallerRequest&)->void> make_invalid;
  schema::Reason reason;
};

class RequestTest : public testing::TestWithParam<RequestCase> {};

// Guards against invalid requests that crash or block the entry, or that are
// rejected without a reason.
TEST_P(RequestTest, IsRejectedWithItsReason) {
  ClusterHarness harness;
  harness.Start();
  CallerRequest request;
  request.ticket = 1;
  request.partner = kPartner;
  request.service = kService;
  request.deadline = harness.cluster->now() + milliseconds(500);
  GetParam().make_invalid(request);
  CallerReply reply;
  harness.cluster->Submit(0, request,
                          [&](const CallerReply& one) { reply = one; });
  EXPECT_EQ(reply.verdict, schema::NOT_RUN);
  EXPECT_EQ(ReasonName(reply.reason), ReasonName(GetParam().reason));
  EXPECT_EQ(harness.counts["refused " + ReasonName(GetParam().reason)], 1);
  EXPECT_EQ(harness.cluster->router(0).pending(), 0U);
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
        RequestCase{
            "long key",
            [](auto& one) { one.idempotency_key = std::string(9999, 'k'); },
            schema::BAD_REQUEST},
        // Protobuf would not parse the message at the agent.
        RequestCase{"non-ASCII bytes",
                    [](auto& one) { one.http.set_path("/\xff\xfe"); },
                    schema::BAD_REQUEST},
        RequestCase{"deadline passed",
                    [](auto& one) { one.deadline -= milliseconds(500); },
                    schema::DEADLINE_INVALID},
        RequestCase{"deadline too far ahead",
                    [](auto& one) { one.deadline = TimePoint::max(); },
                    schema::DEADLINE_INVALID}),
    [](const auto& one) { return "case" + std::to_string(one.index); });

TEST(NotReadyTest, NothingIsRejectedAsUnknownBeforeConfiguration) {
  EntryRouter router({});
  const auto actions = router.OnRequest(TimePoint(milliseconds(1)), {});
  EXPECT_EQ(std::get<CallerReply>(actions.back()).reason,
            schema::ENTRY_NOT_READY);
}

// Guards against crashes and unbounded growth on malformed input. Random bytes
// that happen to parse, valid messages with changed bytes, and extreme values
// reach the entry and the agent.
TEST(HostileMessageTest, NeitherCrashesNorStopsService) {
  google::protobuf::SetLogHandler(nullptr);
  std::mt19937_64 random(11);
  ClusterHarness harness;
  harness.Start();
  std::vector<std::string> seen;
  harness.network = [&](const std::string&, const std::string&,
                        const schema::Envelope& message) {
    seen.push_back(message.SerializeAsString());
    return Delivery();
  };
  harness.Load(20, milliseconds(5), milliseconds(300));
  harness.cluster->RunFor(milliseconds(600));
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
    const TimePoint now = harness.cluster->now();
    const std::string agent =
        FakeCluster::AgentName(static_cast<int>(random() % 5));
    harness.cluster->router(0).OnMessage(now, agent, message);
    harness.cluster->router(0).OnUnsent(now, agent, message);
    for (const auto& action :
         harness.cluster->agent(0).OnMessage(now, "entry-0", message)) {
      if (const auto* call = std::get_if<CallEndpoint>(&action)) {
        harness.cluster->agent(0).OnEndpointAnswer(
            now, {.attempt_id = call->attempt_id,
                  .verdict = schema::ANSWERED,
                  .reason = schema::REASON_NONE,
                  .http = {}});
      }
    }
    if (round % 100 == 0) {
      harness.cluster->RunFor(milliseconds(10));
    }
  }
  EXPECT_GT(parsed, 10000);
  EXPECT_LE(harness.cluster->agent(0).queued(), 16U);
  // A peer's announcements are trusted until it restarts.
  for (const int agent : {0, 1}) {
    harness.cluster->KillAgent(agent);
    harness.cluster->StartAgent(agent);
  }
  harness.cluster->RunFor(milliseconds(20000));
  harness.SendRequest(0, "after", milliseconds(500));
  harness.cluster->RunFor(milliseconds(600));
  EXPECT_EQ(harness.replies["after"].verdict, schema::ANSWERED);
}

// Guards against a reason that was added without a row in the manual.
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
    // Columns for the meaning, the counter and the operator's action.
    const std::string line =
        tables.substr(start, tables.find('\n', start) - start);
    EXPECT_EQ(std::count(line.begin(), line.end(), '|'), 5) << line;
    EXPECT_GT(line.size(), row.size() + 60) << line;
  }
}

}  // namespace
}  // namespace rhubarbhaven

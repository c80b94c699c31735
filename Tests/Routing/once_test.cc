#include <gtest/gtest.h>

#include "Routing/idempotency_table.h"
#include "Tests/Routing/trial.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

constexpr char kBilled[] = "billed";

struct OnceCase {
  std::string name;
  // Action between the first request and its repeat.
  std::function<auto(ClusterHarness&)->void> between;
  milliseconds pause{300};
  // Expected outcome of the repeat.
  schema::Verdict verdict = schema::ANSWERED;
  schema::Reason reason = schema::REASON_NONE;
  std::string key = kBilled;
  std::string body = {};
  int runs = 1;
  milliseconds deadline{1000};
  milliseconds first_deadline{1000};
  int repeat_entry = 1;
};

auto PrintTo(const OnceCase& one, std::ostream* out) -> void {
  *out << one.name;
}

auto DoNothing(ClusterHarness& harness) -> void {
  harness.cluster->RunFor(milliseconds(0));
}

auto KillFirstEntry(ClusterHarness& harness) -> void {
  harness.cluster->KillEntry(0);
  harness.cluster->StartEntry(0);
}

class OnceTest : public testing::TestWithParam<OnceCase> {};

// Guards against running a non-repeatable request twice, such as billing a
// customer twice. The caller sends the request to entry 0 and, after the event
// of the row, to entry 1 with the same key.
TEST_P(OnceTest, RunsOnceForAllRepeats) {
  const OnceCase& row = GetParam();
  ClusterHarness harness;
  harness.options.entries = 2;
  harness.endpoint = [](int) {
    return EndpointResponse{.response_time = milliseconds(100)};
  };
  harness.Start();
  harness.SendRequest(0, "first", row.first_deadline, kBilled);
  harness.cluster->RunFor(row.pause);
  row.between(harness);
  harness.SendRequest(row.repeat_entry, "repeat", row.deadline, row.key,
                      row.body);
  harness.cluster->RunFor(milliseconds(5000));
  ASSERT_TRUE(harness.replies.contains("repeat"));
  const CallerReply& reply = harness.replies["repeat"];
  EXPECT_EQ(reply.verdict, row.verdict);
  EXPECT_EQ(ReasonName(reply.reason), ReasonName(row.reason));
  EXPECT_EQ(harness.runs["first"] + harness.runs["repeat"], row.runs);
  if (row.verdict == schema::ANSWERED && row.runs == 1) {
    EXPECT_EQ(reply.http.body(),
              harness.runs["first"] > 0 ? "first" : "repeat");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    OnceTest,
    testing::Values(
        OnceCase{.name = "at the same time",
                 .between = DoNothing,
                 .pause = milliseconds(0)},
        OnceCase{.name = "in progress",
                 .between = DoNothing,
                 .pause = milliseconds(50)},
        OnceCase{.name = "finished", .between = DoNothing},
        OnceCase{.name = "finished, agents restarted",
                 .between =
                     [](ClusterHarness& harness) {
                       for (const int agent : {0, 1}) {
                         harness.cluster->KillAgent(agent);
                         harness.cluster->StartAgent(agent);
                       }
                     }},
        OnceCase{.name = "finished, agents left",
                 .between =
                     [](ClusterHarness& harness) {
                       harness.cluster->Leave(0);
                       harness.cluster->Leave(1);
                     }},
        // The outcome must be appended once the log is available again.
        OnceCase{.name = "in progress, log down for a while",
                 .between =
                     [](ClusterHarness& harness) {
                       harness.cluster->SetLogUp(false);
                       harness.cluster->After(milliseconds(400), [&harness] {
                         harness.cluster->SetLogUp(true);
                       });
                     },
                 .pause = milliseconds(50)},
        OnceCase{.name = "finished, log down",
                 .between =
                     [](ClusterHarness& harness) {
                       harness.cluster->SetLogUp(false);
                     }},
        OnceCase{.name = "agents stopped past every timeout",
                 .between =
                     [](ClusterHarness& harness) {
                       for (const int agent : {0, 1}) {
                         harness.cluster->StopAgent(agent);
                         harness.cluster->After(
                             milliseconds(2500), [&harness, agent] {
                               harness.cluster->ContinueAgent(agent);
                             });
                       }
                     },
                 .pause = milliseconds(50),
                 .verdict = schema::MAY_HAVE_RUN,
                 .reason = schema::KEY_IN_PROGRESS},
        // The stored outcome is returned to a caller that waits long enough.
        OnceCase{.name = "agents stopped, caller waits",
                 .between =
                     [](ClusterHarness& harness) {
                       for (const int agent : {0, 1}) {
                         harness.cluster->StopAgent(agent);
                         harness.cluster->After(
                             milliseconds(1500), [&harness, agent] {
                               harness.cluster->ContinueAgent(agent);
                             });
                       }
                     },
                 .pause = milliseconds(50),
                 .deadline = milliseconds(3000)},
        // No outcome will be recorded; not_run would invite a second run under
        // another key.
        OnceCase{.name = "entry killed in progress",
                 .between = KillFirstEntry,
                 .pause = milliseconds(50),
                 .verdict = schema::MAY_HAVE_RUN,
                 .reason = schema::KEY_IN_PROGRESS},
        OnceCase{.name = "entry killed before its intent was read back",
                 .between = KillFirstEntry,
                 .pause = milliseconds(7),
                 .verdict = schema::MAY_HAVE_RUN,
                 .reason = schema::KEY_IN_PROGRESS,
                 .runs = 0},
        // The first record of the new incarnation shows that the old one no
        // longer runs.
        OnceCase{.name = "entry killed, new incarnation has written",
                 .between =
                     [](ClusterHarness& harness) {
                       KillFirstEntry(harness);
                       harness.cluster->RunFor(milliseconds(300));
                       harness.SendRequest(0, "other", milliseconds(1000),
                                           "other");
                       harness.cluster->RunFor(milliseconds(500));
                     },
                 .pause = milliseconds(50),
                 .verdict = schema::MAY_HAVE_RUN,
                 .reason = schema::KEY_OUTCOME_UNKNOWN},
        // The entry has restarted and has not written a record yet.
        OnceCase{.name = "entry killed, repeat sent to it",
                 .between =
                     [](ClusterHarness& harness) {
                       KillFirstEntry(harness);
                       harness.cluster->RunFor(milliseconds(300));
                     },
                 .pause = milliseconds(50),
                 .verdict = schema::MAY_HAVE_RUN,
                 .reason = schema::KEY_OUTCOME_UNKNOWN,
                 .repeat_entry = 0},
        OnceCase{.name = "other request under the key",
                 .between = DoNothing,
                 .verdict = schema::NOT_RUN,
                 .reason = schema::KEY_REUSED_FOR_OTHER_REQUEST,
                 .body = "another"},
        OnceCase{.name = "new key, log down",
                 .between =
                     [](ClusterHarness& harness) {
                       harness.cluster->SetLogUp(false);
                     },
                 .verdict = schema::NOT_RUN,
                 .reason = schema::LOG_UNAVAILABLE,
                 .key = "new"},
        OnceCase{.name = "new key",
                 .between = DoNothing,
                 .key = "new",
                 .runs = 2},
        // The caller received not_run before the intent was read back: the
        // request must not run for it, and the key is free for the repeat.
        OnceCase{.name = "intent after the deadline",
                 .between = DoNothing,
                 .first_deadline = milliseconds(9)}));

// Guards against one intent per repeat, which would use up the log's append
// capacity when a key is repeated many times.
TEST(OnceCostTest, TwoLogEntriesAndNoneForARepeat) {
  ClusterHarness harness;
  harness.options.entries = 2;
  harness.Start();
  for (int number = 0; number < 10; ++number) {
    harness.SendRequest(number % 2, std::to_string(number), milliseconds(500),
                        kBilled);
    harness.cluster->RunFor(milliseconds(100));
  }
  EXPECT_EQ(harness.CountReplies(schema::ANSWERED), 10);
  EXPECT_EQ(harness.cluster->appends(), 2U);
}

auto Intent(uint64_t incarnation, uint64_t sequence) -> schema::LogRecord {
  schema::LogRecord record;
  record.set_writer("entry-1");
  record.set_incarnation(incarnation);
  record.set_sequence(sequence);
  record.add_entries()->mutable_once_intent()->set_key(kBilled);
  return record;
}

// Guards against applying a record twice. If the reply to an append is lost,
// its record may be in the log twice, with the key freed in between; the second
// copy would assign the key to a request that was already rejected.
TEST(OnceTableTest, DuplicateRecordHasNoEffect) {
  const TimePoint now{std::chrono::seconds(100)};
  IdempotencyTable table({});
  table.Apply(now, 1, Intent(1, 1));
  schema::LogRecord freed = Intent(1, 2);
  schema::OnceDone& done = *freed.mutable_entries(0)->mutable_once_done();
  done.set_key(kBilled);
  done.set_intent_offset(1);
  done.set_not_run(true);
  table.Apply(now, 2, freed);
  table.Apply(now, 3, Intent(1, 1));
  EXPECT_EQ(table.Find(kBilled), nullptr);
}

// Guards against counting the retention period from the first intent only. An
// entry that started late still holds an old intent and treats a new one as
// void although it runs elsewhere; if the entry then discarded the key, the key
// could run a second time within the retention period.
TEST(OnceTableTest, VoidIntentRenewsTheKey) {
  const TimePoint now{std::chrono::seconds(100)};
  IdempotencyTable table({.retention = std::chrono::seconds(60)});
  table.Apply(now, 1, Intent(1, 1));
  table.Apply(now + std::chrono::seconds(50), 2, Intent(2, 1));
  table.RemoveExpired(now + std::chrono::seconds(100));
  EXPECT_NE(table.Find(kBilled), nullptr);
  table.RemoveExpired(now + std::chrono::seconds(110));
  EXPECT_EQ(table.Find(kBilled), nullptr);
}

}  // namespace
}  // namespace rhubarbhaven

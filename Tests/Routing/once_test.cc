#include <gtest/gtest.h>

#include "Routing/once_table.h"
#include "Tests/Routing/trial.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

constexpr char kBilled[] = "billed";

struct OnceCase {
  std::string name;
  // What happens between the first request and its repeat.
  std::function<auto(Trial&)->void> between;
  milliseconds pause{300};
  // Of the repeat.
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

auto Nothing(Trial& trial) -> void {
  trial.cluster->RunFor(milliseconds(0));
}

auto KillFirstEntry(Trial& trial) -> void {
  trial.cluster->KillEntry(0);
  trial.cluster->StartEntry(0);
}

class OnceTest : public testing::TestWithParam<OnceCase> {};

// Symptom: a member is billed twice. Sequence: the caller asks entry 0 and,
// after what the row says, asks entry 1 with the same key. Cause: two entries
// that do not know of each other's run.
TEST_P(OnceTest, RunsOnceHoweverOftenItIsAsked) {
  const OnceCase& row = GetParam();
  Trial trial;
  trial.options.entries = 2;
  trial.endpoint = [](int) { return Served{.takes = milliseconds(100)}; };
  trial.Start();
  trial.Ask(0, "first", row.first_deadline, kBilled);
  trial.cluster->RunFor(row.pause);
  row.between(trial);
  trial.Ask(row.repeat_entry, "repeat", row.deadline, row.key, row.body);
  trial.cluster->RunFor(milliseconds(5000));
  ASSERT_TRUE(trial.replies.contains("repeat"));
  const CallerReply& reply = trial.replies["repeat"];
  EXPECT_EQ(reply.verdict, row.verdict);
  EXPECT_EQ(ReasonName(reply.reason), ReasonName(row.reason));
  EXPECT_EQ(trial.runs["first"] + trial.runs["repeat"], row.runs);
  if (row.verdict == schema::ANSWERED && row.runs == 1) {
    EXPECT_EQ(reply.http.body(), trial.runs["first"] > 0 ? "first" : "repeat");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    OnceTest,
    testing::Values(
        OnceCase{.name = "at the same time",
                 .between = Nothing,
                 .pause = milliseconds(0)},
        OnceCase{.name = "in progress",
                 .between = Nothing,
                 .pause = milliseconds(50)},
        OnceCase{.name = "finished", .between = Nothing},
        OnceCase{.name = "finished, agents restarted",
                 .between =
                     [](Trial& trial) {
                       for (const int agent : {0, 1}) {
                         trial.cluster->KillAgent(agent);
                         trial.cluster->StartAgent(agent);
                       }
                     }},
        OnceCase{.name = "finished, agents left",
                 .between =
                     [](Trial& trial) {
                       trial.cluster->Leave(0);
                       trial.cluster->Leave(1);
                     }},
        // Its outcome must get into the log when that is back.
        OnceCase{.name = "in progress, log down for a while",
                 .between =
                     [](Trial& trial) {
                       trial.cluster->SetLogUp(false);
                       trial.cluster->After(milliseconds(400), [&trial] {
                         trial.cluster->SetLogUp(true);
                       });
                     },
                 .pause = milliseconds(50)},
        OnceCase{
            .name = "finished, log down",
            .between = [](Trial& trial) { trial.cluster->SetLogUp(false); }},
        OnceCase{.name = "agents stopped past every time-out",
                 .between =
                     [](Trial& trial) {
                       for (const int agent : {0, 1}) {
                         trial.cluster->StopAgent(agent);
                         trial.cluster->After(
                             milliseconds(2500), [&trial, agent] {
                               trial.cluster->ContinueAgent(agent);
                             });
                       }
                     },
                 .pause = milliseconds(50),
                 .verdict = schema::MAY_HAVE_RUN,
                 .reason = schema::KEY_IN_PROGRESS},
        // The stored outcome reaches a caller who waits long enough.
        OnceCase{.name = "agents stopped, caller waits",
                 .between =
                     [](Trial& trial) {
                       for (const int agent : {0, 1}) {
                         trial.cluster->StopAgent(agent);
                         trial.cluster->After(
                             milliseconds(1500), [&trial, agent] {
                               trial.cluster->ContinueAgent(agent);
                             });
                       }
                     },
                 .pause = milliseconds(50),
                 .deadline = milliseconds(3000)},
        // Nobody will ever say what became of it; not_run would invite a
        // second run under another key.
        OnceCase{.name = "entry killed in progress",
                 .between = KillFirstEntry,
                 .pause = milliseconds(50),
                 .verdict = schema::MAY_HAVE_RUN,
                 .reason = schema::KEY_IN_PROGRESS},
        OnceCase{.name = "entry killed before its intent came back",
                 .between = KillFirstEntry,
                 .pause = milliseconds(7),
                 .verdict = schema::MAY_HAVE_RUN,
                 .reason = schema::KEY_IN_PROGRESS,
                 .runs = 0},
        // As soon as the new process writes, the old one is known to be gone.
        OnceCase{.name = "entry killed and seen again",
                 .between =
                     [](Trial& trial) {
                       KillFirstEntry(trial);
                       trial.cluster->RunFor(milliseconds(300));
                       trial.Ask(0, "other", milliseconds(1000), "other");
                       trial.cluster->RunFor(milliseconds(500));
                     },
                 .pause = milliseconds(50),
                 .verdict = schema::MAY_HAVE_RUN,
                 .reason = schema::KEY_OUTCOME_UNKNOWN},
        // The entry itself has restarted and has not written yet.
        OnceCase{.name = "entry killed, asked through it",
                 .between =
                     [](Trial& trial) {
                       KillFirstEntry(trial);
                       trial.cluster->RunFor(milliseconds(300));
                     },
                 .pause = milliseconds(50),
                 .verdict = schema::MAY_HAVE_RUN,
                 .reason = schema::KEY_OUTCOME_UNKNOWN,
                 .repeat_entry = 0},
        OnceCase{.name = "other request under the key",
                 .between = Nothing,
                 .verdict = schema::NOT_RUN,
                 .reason = schema::KEY_REUSED_FOR_OTHER_REQUEST,
                 .body = "another"},
        OnceCase{
            .name = "new key, log down",
            .between = [](Trial& trial) { trial.cluster->SetLogUp(false); },
            .verdict = schema::NOT_RUN,
            .reason = schema::LOG_UNAVAILABLE,
            .key = "new"},
        OnceCase{.name = "new key",
                 .between = Nothing,
                 .key = "new",
                 .runs = 2},
        // Told not_run before its intent came back: it must not run for the
        // first caller, and the key is free for the repeat.
        OnceCase{.name = "intent after the deadline",
                 .between = Nothing,
                 .first_deadline = milliseconds(9)}));

// Symptom: the log's budget of appends is spent on repeats. Sequence: a key is
// asked for again and again. Cause: an intent for each repeat.
TEST(OnceCostTest, TwoLogEntriesAndNoneForARepeat) {
  Trial trial;
  trial.options.entries = 2;
  trial.Start();
  for (int number = 0; number < 10; ++number) {
    trial.Ask(number % 2, std::to_string(number), milliseconds(500), kBilled);
    trial.cluster->RunFor(milliseconds(100));
  }
  EXPECT_EQ(trial.CountReplies(schema::ANSWERED), 10);
  EXPECT_EQ(trial.cluster->appends(), 2U);
}

auto Intent(uint64_t incarnation, uint64_t sequence) -> schema::LogRecord {
  schema::LogRecord record;
  record.set_writer("entry-1");
  record.set_incarnation(incarnation);
  record.set_sequence(sequence);
  record.add_entries()->mutable_once_intent()->set_key(kBilled);
  return record;
}

// Symptom: a key is taken by a request that was refused long ago. Sequence:
// the answer of an append is lost and the record comes into the log twice,
// with the key freed in between. Cause: applying a record twice.
TEST(OnceTableTest, RepeatedRecordIsVoid) {
  const TimePoint now{std::chrono::seconds(100)};
  OnceTable table({});
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

// Symptom: a key runs twice within the time for which it is remembered.
// Sequence: an entry that started late still knows an old intent, so a new
// one is void there, though it runs; then the entry forgets the old one.
// Cause: counting the time from the first intent only.
TEST(OnceTableTest, VoidIntentRenewsTheKey) {
  const TimePoint now{std::chrono::seconds(100)};
  OnceTable table({.retention = std::chrono::seconds(60)});
  table.Apply(now, 1, Intent(1, 1));
  table.Apply(now + std::chrono::seconds(50), 2, Intent(2, 1));
  table.DropOld(now + std::chrono::seconds(100));
  EXPECT_NE(table.Find(kBilled), nullptr);
  table.DropOld(now + std::chrono::seconds(110));
  EXPECT_EQ(table.Find(kBilled), nullptr);
}

}  // namespace
}  // namespace rhubarbhaven

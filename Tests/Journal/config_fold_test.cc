#include <google/protobuf/util/json_util.h>
#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "Journal/journal.h"

namespace rhubarbhaven {
namespace {

// One object of a change; `json` empty removes it.
struct Item {
  std::string key;
  uint64_t expected;
  std::string json;
};

struct Step {
  std::string partner;
  std::vector<Item> items;
  // Empty if the change is accepted, else a part of the problem.
  std::string problem;
  bool conflict = false;
  // Id of the change; empty for a generated one.
  std::string id = {};
};

struct FoldCase {
  std::string name;
  std::vector<Step> steps;
  // Objects at the end: "partner/kind/name@version+created ...".
  std::string objects;
};

auto Key(const std::string& text) -> schema::ObjectKey {
  const std::vector<std::string> parts = absl::StrSplit(text, '/');
  schema::ObjectKey key;
  key.set_partner(parts[0]);
  key.set_kind(parts[1]);
  key.set_name(parts[2]);
  return key;
}

auto Record(uint64_t offset, const Step& step) -> schema::LogRecord {
  schema::LogRecord record;
  record.set_writer(absl::StrCat("operator-", offset));
  record.set_incarnation(1);
  record.set_sequence(1);
  auto* change = record.add_entries()->mutable_config_change();
  change->set_partner(step.partner);
  change->set_change_id(step.id.empty() ? absl::StrCat("id-", offset)
                                        : step.id);
  for (const auto& item : step.items) {
    auto* object = change->add_changes();
    *object->mutable_key() = Key(item.key);
    object->set_expected_version(item.expected);
    if (!item.json.empty()) {
      const auto parsed = google::protobuf::util::JsonStringToMessage(
          item.json, object->mutable_object());
      EXPECT_TRUE(parsed.ok()) << parsed.message() << " in " << item.json;
    }
  }
  return record;
}

auto Describe(const ConfigFold& fold) -> std::string {
  std::string text;
  for (const auto& object : fold.objects()) {
    absl::StrAppend(&text, text.empty() ? "" : " ", KeyText(object.key()), "@",
                    object.version(), "+", object.created());
  }
  return text;
}

const char kTeam[] = R"({"team":{"name":"t","quota":{"millicores":5}}})";
const char kTeam2[] = R"({"team":{"name":"t","quota":{"millicores":9}}})";
const char kJob[] =
    R"({"job":{"name":"j","team":"t","tasks":2,"need":{"millicores":1}}})";
const char kFreeJob[] =
    R"({"job":{"name":"j","tasks":2,"need":{"millicores":1}}})";
const char kBadJob[] = R"({"job":{"name":"j","tasks":2}})";
const char kInstance[] =
    R"({"instance":{"name":"i","capacity":{"millicores":9,"memory_mb":9}}})";

// Guards against processes that disagree on the configuration, a partner that
// changes objects of another one, and changes that are applied in part. These
// occur if a rule of the fold depends on anything but the records, or if it is
// applied object by object, when operators send concurrent, invalid or repeated
// changes or remove an object and create it again.
class ConfigFoldTest : public testing::TestWithParam<FoldCase> {};

TEST_P(ConfigFoldTest, AcceptsOrRejectsAChangeAsAWhole) {
  ConfigFold fold;
  uint64_t offset = 0;
  for (const auto& step : GetParam().steps) {
    ++offset;
    const auto outcomes = fold.Apply(offset, Record(offset, step));
    if (step.problem == "repeat") {
      EXPECT_TRUE(outcomes.empty());
      continue;
    }
    ASSERT_EQ(outcomes.size(), 1);
    const auto& outcome = outcomes.front();
    EXPECT_EQ(outcome.accepted(), step.problem.empty()) << outcome.problem();
    EXPECT_EQ(outcome.conflict(), step.conflict);
    EXPECT_NE(outcome.problem().find(step.problem), std::string::npos)
        << outcome.problem();
    ASSERT_TRUE(fold.outcome(outcome.change_id()).has_value());
    EXPECT_EQ(fold.outcome(outcome.change_id())->accepted(),
              outcome.accepted());
  }
  EXPECT_EQ(Describe(fold), GetParam().objects);
  // A snapshot preserves the state.
  ConfigFold other;
  EXPECT_TRUE(other.Adopt(fold.Export()));
  EXPECT_EQ(other.Export().SerializeAsString(),
            fold.Export().SerializeAsString());
}

INSTANTIATE_TEST_SUITE_P(
    Changes,
    ConfigFoldTest,
    testing::Values(
        FoldCase{"Create",
                 {{"p", {{"p/team/t", 0, kTeam}}, ""}},
                 "p/team/t@1+1"},
        FoldCase{"RacingOperators",
                 {{"p", {{"p/team/t", 0, kTeam}}, ""},
                  {"p", {{"p/team/t", 1, kTeam2}}, ""},
                  {"p",
                   {{"p/team/t", 1, kTeam}},
                   "p/team/t: the change expects version 1, the current "
                   "version is 2",
                   true}},
                 "p/team/t@2+1"},
        FoldCase{"RacingCreations",
                 {{"p", {{"p/team/t", 0, kTeam}}, ""},
                  {"p",
                   {{"p/team/t", 0, kTeam2}},
                   "the current version is 1",
                   true}},
                 "p/team/t@1+1"},
        FoldCase{
            "EditOfWhatIsGone",
            {{"p", {{"p/team/t", 0, kTeam}}, ""},
             {"p", {{"p/team/t", 1, ""}}, ""},
             {"p", {{"p/team/t", 1, kTeam2}}, "there is no such object", true}},
            ""},
        FoldCase{"RemovedAndMadeAgainIsAnother",
                 {{"p", {{"p/team/t", 0, kTeam}}, ""},
                  {"p", {{"p/team/t", 1, kTeam2}}, ""},
                  {"p", {{"p/team/t", 2, ""}}, ""},
                  {"p", {{"p/team/t", 0, kTeam}}, ""}},
                 "p/team/t@4+4"},
        FoldCase{"RemovalOfNothing",
                 {{"p", {{"p/team/t", 0, ""}}, "expected version is 0"}},
                 ""},
        FoldCase{"WholeOrNotAtAll",
                 {{"p",
                   {{"p/team/t", 0, kTeam}, {"p/job/j", 0, kBadJob}},
                   "field \"need\""},
                  {"p",
                   {{"p/team/t", 0, kTeam}, {"p/job/j", 7, kFreeJob}},
                   "the current version is 0",
                   true}},
                 ""},
        FoldCase{"OtherPartnersObject",
                 {{"q", {{"q/team/t", 0, kTeam}}, ""},
                  {"p", {{"q/team/t", 1, kTeam2}}, "is not partner \"p\"'s"},
                  {"p", {{"q/team/t", 1, ""}}, "is not partner \"p\"'s"},
                  {"p", {{"p/team/t", 0, kTeam}}, ""}},
                 "p/team/t@4+4 q/team/t@1+1"},
        FoldCase{"OtherPartnersInstanceName",
                 {{"q", {{"q/instance/i", 0, kInstance}}, ""},
                  {"p", {{"p/instance/i", 0, kInstance}}, "in use by another"},
                  {"q", {{"q/instance/i", 1, ""}}, ""},
                  {"p", {{"p/instance/i", 0, kInstance}}, ""}},
                 "p/instance/i@4+4"},
        FoldCase{"TwiceInOneChange",
                 {{"p",
                   {{"p/team/t", 0, kTeam}, {"p/team/t", 0, kTeam2}},
                   "stands twice"}},
                 ""},
        FoldCase{"KeyDoesNotFit",
                 {{"p", {{"p/job/t", 0, kTeam}}, "does not fit"},
                  {"p", {{"p/team/u", 0, kTeam}}, "does not fit"}},
                 ""},
        FoldCase{"EmptyChange", {{"p", {}, "names no object"}}, ""},
        FoldCase{"TeamOfAJob",
                 {{"p", {{"p/job/j", 0, kJob}}, "field \"team\""},
                  {"p", {{"p/job/j", 0, kJob}, {"p/team/t", 0, kTeam}}, ""},
                  {"p", {{"p/team/t", 2, ""}}, "still named by p/job/j"},
                  {"p",
                   {{"p/team/t", 2, ""}, {"p/job/j", 2, kJob}},
                   "field \"team\""},
                  {"p", {{"p/team/t", 2, ""}, {"p/job/j", 2, kFreeJob}}, ""}},
                 "p/job/j@5+2"},
        FoldCase{"SameChangeAgain",
                 {{"p", {{"p/team/t", 0, kTeam}}, "", false, "x"},
                  {"p", {{"p/team/t", 1, ""}}, ""},
                  {"p", {{"p/team/t", 0, kTeam}}, "repeat", false, "x"}},
                 ""}),
    [](const auto& info) { return info.param.name; });

// Guards against a change that is reverted or applied twice after a restart.
// This occurs if a snapshot lacks the sequence numbers of the writers or the
// applied offset: a record was appended twice and the reader adopts a snapshot
// between the two, or it receives a snapshot that covers less than it applied.
TEST(ConfigFoldStateTest, DuplicatesAndOlderStatesHaveNoEffect) {
  ConfigFold fold;
  const auto create = Record(1, {"p", {{"p/team/t", 0, kTeam}}, ""});
  const auto remove = Record(2, {"p", {{"p/team/t", 1, ""}}, ""});
  fold.Apply(1, create);
  const auto old_state = fold.Export();
  fold.Apply(2, remove);
  EXPECT_FALSE(fold.Adopt(old_state));
  EXPECT_TRUE(fold.Apply(2, create).empty());
  // This also holds if the id of the change is no longer stored.
  auto state = fold.Export();
  state.clear_recent();
  ConfigFold fresh;
  ASSERT_TRUE(fresh.Adopt(state));
  EXPECT_TRUE(fresh.Apply(3, create).empty());
  EXPECT_EQ(fresh.applied(), 3);
  EXPECT_EQ(Describe(fresh), "");
}

// Guards against memory and snapshots that grow with every change, which occurs
// if writer marks and outcomes are never removed. The test applies thousands of
// changes by as many writers.
TEST(ConfigFoldStateTest, StoresABoundedNumberOfWritersAndOutcomes) {
  ConfigFold fold;
  for (uint64_t offset = 1; offset <= 3000; ++offset) {
    const uint64_t before = offset - 1;
    fold.Apply(offset,
               Record(offset, {"p", {{"p/team/t", before, kTeam}}, ""}));
  }
  const auto state = fold.Export();
  EXPECT_EQ(state.writers_size(), WriterMarks::kMaxWriters);
  EXPECT_EQ(state.recent_size(), 1024);
  EXPECT_EQ(Describe(fold), "p/team/t@3000+1");
  EXPECT_TRUE(fold.outcome("id-3000").has_value());
  EXPECT_FALSE(fold.outcome("id-1").has_value());
}

}  // namespace
}  // namespace rhubarbhaven

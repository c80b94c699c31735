// Tests the decoding of the platform's bodies: a valid body becomes a typed
// value; an invalid one becomes an error, never an exception, a crash or a
// success.

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "platform/wire_fields.h"
#include "platform/wire_jobs.h"
#include "platform/wire_log.h"
#include "platform/wire_worker.h"

namespace rhubarbhaven::platform {
namespace {

constexpr uint64_t kSeeds = 4000;

struct BodyCase {
  std::string name;
  std::string body;
  // Returns whether the body is decoded as a success.
  std::function<auto(const std::string&)->bool> is_decoded;
};

auto TwoRecords() -> std::string {
  const std::string header =
      std::string(7, '\0') + '\x0c' + std::string(8, '\0');
  return header + EncodeRecords({{"j/a", "one", 0}, {"p/a", "two", 0}});
}

const std::vector<BodyCase> kBodies = {
    {"job",
     R"({"Spec":"x","Steps":[{"Count":3,"Cpu":500,"MemMb":256,"After":[0]}]})",
     [](const std::string& body) { return DecodeJob(body).ok(); }},
    {"configuration",
     R"({"Version":7,"Routes":[{"Name":"q","Host":"h","PathPrefix":"/",)"
     R"("Stretch":1.5}],"Services":[{"Name":"s","RejectsOverload":true}]})",
     [](const std::string& body) { return DecodeConfiguration(body).ok(); }},
    {"heartbeat",
     R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready",)"
     R"("Sequence":4,"Labels":["a","r1"],)"
     R"("Capacity":{"Cpu":16000,"MemMb":64000}})",
     [](const std::string& body) { return DecodeHeartbeat("i", body).ok(); }},
    {"listing",
     R"({"ClockMs":5,"Running":[["a.0.0.1",2,"c",41,900]],)"
     R"("Ended":[[58,"a.0.0.9",1,"done",""]]})",
     [](const std::string& body) { return DecodeListing("i", body).ok(); }},
    {"advice", R"({"Granted":[["i-1","t"]],"ValidMs":900})",
     [](const std::string& body) { return DecodeAdvice({}, body).ok(); }},
    {"newest",
     R"({"items":[{"Key":"k","Value":"dg==","Offset":3}],"More":false,"End":4})",
     [](const std::string& body) { return DecodeNewest(body).ok(); }},
    {"appended", R"({"Offset":3,"End":5})",
     [](const std::string& body) { return ConfirmsAppend(body); }},
    {"refusal", R"({"Reason":"room"})",
     [](const std::string& body) {
       return DecodeRejection(body) == jobs::WorkerCallOutcome::kNoRoom;
     }},
    {"fenced", R"({"Reason":"fenced"})",
     [](const std::string& body) {
       return DecodeConflict(body).outcome == jobs::AppendOutcome::kFenced;
     }},
    {"out of order", R"({"Reason":"seq","Sequence":9})",
     [](const std::string& body) {
       return DecodeConflict(body).expected_sequence == 9;
     }},
    {"read", TwoRecords(),
     [](const std::string& body) {
       const auto read = DecodeRead(body, 10);
       return read.ok() && read->records.size() == 2;
     }},
};

struct ValueCase {
  std::string name;
  std::string value;
};

class NewestValueTest : public testing::TestWithParam<ValueCase> {};

// Guards against a configuration that counts as deleted, since its value
// arrived cut off or garbled and was taken for an empty one.
TEST_P(NewestValueTest, ValueThatIsNotInBase64IsAnError) {
  const auto newest = DecodeNewest(R"({"items":[{"Key":"config","Value":")" +
                                   GetParam().value + R"("}],"End":4})");
  EXPECT_FALSE(newest.ok());
  EXPECT_NE(std::string(newest.status().message()).find("config"),
            std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         NewestValueTest,
                         testing::Values(ValueCase{"cut_off", "dmFsd"},
                                         ValueCase{"garbled", "dm!s"}),
                         [](const auto& info) { return info.param.name; });

class BodyTest : public testing::TestWithParam<BodyCase> {};

TEST_P(BodyTest, CompleteBodyIsDecoded) {
  EXPECT_TRUE(GetParam().is_decoded(GetParam().body));
}

TEST_P(BodyTest, RandomBytesAreRejected) {
  std::mt19937_64 random(11);
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    std::string body(random() % 300, '\0');
    for (char& byte : body) {
      byte = static_cast<char>(random());
    }
    EXPECT_FALSE(GetParam().is_decoded(body)) << seed;
  }
}

// Guards against a process that terminates on a body which is almost valid:
// with a field of the wrong type, a number out of range, or a row that is too
// short.
TEST_P(BodyTest, DamagedBodyIsDecodedOrRejected) {
  const std::vector<std::string> pieces = {"null", "-1",   "1e300", "[]", "{}",
                                           "\"\"", "true", ",",     "0.5"};
  std::mt19937_64 random(13);
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    std::string body = GetParam().body;
    const std::size_t at = random() % body.size();
    const std::size_t size = random() % 8;
    body.replace(at, size, pieces[random() % pieces.size()]);
    static_cast<void>(GetParam().is_decoded(body));
  }
  SUCCEED();
}

// Lists or objects within each other, `depth` of them.
auto Nested(char open, std::size_t depth, bool closed) -> std::string {
  std::string text;
  for (std::size_t i = 0; i < depth; ++i) {
    text += open == '{' ? "{\"a\":" : "[";
  }
  text += "1";
  text += closed ? std::string(depth, open == '{' ? '}' : ']') : "";
  return text;
}

// The object with one more field, which no reader uses.
auto WithUnusedField(const std::string& body, const std::string& value)
    -> std::string {
  return body.substr(0, body.rfind('}')) + ",\"unused\":" + value + "}";
}

// Guards against a process that terminates with a stack overflow on a value
// that another writer has nested 100,000 times.
TEST_P(BodyTest, DeeplyNestedBodyIsRejected) {
  for (const char open : {'[', '{'}) {
    for (const std::size_t depth :
         {kMaxNesting + 1, std::size_t{1000}, std::size_t{300000}}) {
      for (const bool closed : {true, false}) {
        const auto nested = Nested(open, depth, closed);
        EXPECT_FALSE(GetParam().is_decoded(nested));
        EXPECT_FALSE(GetParam().is_decoded("{\"a\":" + nested + "}"));
        if (GetParam().body.front() == '{') {
          EXPECT_FALSE(
              GetParam().is_decoded(WithUnusedField(GetParam().body, nested)))
              << open << depth;
        }
      }
    }
  }
}

// Fields that a later version of the platform adds may be lists and objects,
// and brackets in texts are no nesting.
TEST_P(BodyTest, UnusedFieldsAreIgnored) {
  if (GetParam().body.front() != '{') {
    return;
  }
  for (const auto& value :
       {Nested('[', kMaxNesting - 1, true), Nested('{', kMaxNesting - 1, true),
        "\"" + std::string(300000, '[') + "\"",
        "\"\\\"" + std::string(300000, '{') + "\"",
        "[" + std::string(100, '1') + "]"}) {
    EXPECT_TRUE(GetParam().is_decoded(WithUnusedField(GetParam().body, value)));
  }
}

// Guards against a process that terminates, or takes a number for another one,
// on a body of another writer: the same as above, by size, depth and numbers.
TEST_P(BodyTest, ExtremeBodyIsDecodedOrRejected) {
  constexpr std::size_t kLarge = 200000;
  const std::vector<std::string> pieces = {
      Nested('[', kLarge, true),
      Nested('{', kLarge, true),
      Nested('[', kLarge, false),
      std::string(kLarge, '9'),
      "1e999",
      "-1e308",
      "1e308",
      "18446744073709551615",
      "18446744073709551616",
      "-9223372036854775808",
      "9007199254740993",
      "[" + std::string(kLarge, '[') + "]",
      "\"" + std::string(kLarge, 'x') + "\"",
      "\"\\ud800\""};
  std::mt19937_64 random(17);
  constexpr uint64_t kBodies = 300;
  for (uint64_t seed = 0; seed < kBodies; ++seed) {
    std::string body = GetParam().body;
    const std::size_t at = random() % body.size();
    body.replace(at, random() % 8, pieces[random() % pieces.size()]);
    if (random() % 4 == 0) {
      body.resize(random() % body.size());
    }
    static_cast<void>(GetParam().is_decoded(body));
  }
  SUCCEED();
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BodyTest,
                         testing::ValuesIn(kBodies),
                         [](const auto& info) {
                           std::string name = info.param.name;
                           std::erase(name, ' ');
                           return name;
                         });

TEST(ReadTest, RecordsBeyondTheEndAreRejected) {
  EXPECT_FALSE(DecodeRead(TwoRecords(), 11).ok());
  EXPECT_TRUE(DecodeRead(TwoRecords(), 10).ok());
}

// Guards against a number that wraps around and names another step.
TEST(ReadTest, NumberOfAnEarlierStepDoesNotWrap) {
  const auto job =
      DecodeJob(R"({"Steps":[{"Count":1},{"Count":1,"After":[4294967296]}]})");
  ASSERT_TRUE(job.ok());
  EXPECT_EQ(job->steps(1).after(0), UINT32_MAX);
}

TEST(ReadTest, OutOfRangeNumbersAreClamped) {
  const auto job = DecodeJob(R"({"Steps":[{"Count":1e300,"Cpu":-5}]})");
  ASSERT_TRUE(job.ok());
  EXPECT_EQ(job->steps(0).count(), UINT32_MAX);
  EXPECT_EQ(job->steps(0).need().millicores(), 0U);
}

// Guards against tickets that expire unused, because the times of the queue's
// policy were dropped.
TEST(ConfigurationTest, TimesOfThePolicyAreRead) {
  const auto configuration = DecodeConfiguration(
      R"({"Version":1,"Services":[],"Routes":[{"Name":"q","Advice":)"
      R"({"DecideMs":50,"EachMs":20,"ValidMs":1e300}},{"Name":"r"}]})");
  ASSERT_TRUE(configuration.ok()) << configuration.status();
  const auto& rules = configuration->queues[0].rules;
  EXPECT_TRUE(rules.needs_ticket());
  EXPECT_EQ(rules.policy_call_ms(), 50U);
  EXPECT_EQ(rules.policy_worker_ms(), 20U);
  // Sums of times must stay in range.
  EXPECT_LT(rules.ticket_valid_ms(), uint64_t{1} << 40);
  EXPECT_FALSE(configuration->queues[1].rules.needs_ticket());
}

auto ValidHeartbeat() -> Json {
  return {{"Service", "service"},
          {"Address", "10.0.0.1:80"},
          {"Zone", "zone"},
          {"State", "ready"},
          {"Sequence", 4},
          {"Labels", {"kind", "rack"}},
          {"Capacity", {{"Cpu", 16000}, {"MemMb", 64000}, {"Gpu", 2}}}};
}

struct HeartbeatCase {
  std::string name;
  std::string id;
  std::string body;
  // Expected part of the error message.
  std::string message;
};

auto With(const std::string& field, const Json& value) -> std::string {
  Json heartbeat = ValidHeartbeat();
  heartbeat[field] = value;
  return heartbeat.dump();
}

auto WithCapacity(const std::string& field, const Json& value) -> std::string {
  Json heartbeat = ValidHeartbeat();
  heartbeat["Capacity"][field] = value;
  return heartbeat.dump();
}

auto Without(const std::string& field) -> std::string {
  Json heartbeat = ValidHeartbeat();
  heartbeat.erase(field);
  return heartbeat.dump();
}

auto BadHeartbeats() -> std::vector<HeartbeatCase> {
  std::vector<HeartbeatCase> cases = {
      {"empty_body", "i", "", "JSON"},
      {"bytes", "i", "\xff\xfe", "JSON"},
      {"cut", "i", ValidHeartbeat().dump().substr(0, 40), "JSON"},
      {"list", "i", "[]", "object"},
      {"text", "i", "\"ready\"", "object"},
      {"null", "i", "null", "object"},
      {"empty_object", "i", "{}", "Service"},
      {"empty_id", "", ValidHeartbeat().dump(), "id"},
      {"id_of_bytes", "\xff\xfe", ValidHeartbeat().dump(), "id"},
      {"id_with_a_blank", "i 1", ValidHeartbeat().dump(), "id"},
      {"id_of_two_parts", "i/1", ValidHeartbeat().dump(), "id"},
      {"long_id", std::string(5000, 'i'), ValidHeartbeat().dump(), "id"},
      {"empty_service", "i", With("Service", ""), "Service"},
      {"empty_zone", "i", With("Zone", ""), "Zone"},
      {"empty_address", "i", With("Address", ""), "Address"},
      {"unknown_state", "i", With("State", "resting"), "State"},
      {"state_in_capitals", "i", With("State", "READY"), "State"},
      {"negative_sequence", "i", With("Sequence", -1), "Sequence"},
      {"broken_sequence", "i", With("Sequence", 1.5), "Sequence"},
      {"absurd_sequence", "i", With("Sequence", 1e300), "Sequence"},
      {"label_of_another_type", "i", With("Labels", {"kind", 7}), "Labels"},
      {"many_labels", "i", With("Labels", std::vector<std::string>(5000, "a")),
       "labels"},
      {"remaining_as_text", "i", With("RemainingMs", "soon"), "RemainingMs"},
      {"negative_remaining", "i", With("RemainingMs", -5), "RemainingMs"},
      {"start_as_text", "i", With("born", "1790000000000"), "born"},
      {"null_start", "i", With("born", nullptr), "born"},
      {"broken_start", "i", With("born", 1.5), "born"},
      {"negative_start", "i", With("born", -1), "born"},
      {"capacity_without_processors", "i", With("Capacity", {{"MemMb", 64}}),
       "Cpu"},
      {"capacity_without_memory", "i", With("Capacity", {{"Cpu", 64}}),
       "MemMb"}};
  for (const char* field : {"Service", "Address", "Zone", "State", "Sequence",
                            "Labels", "Capacity"}) {
    const std::string name = field;
    cases.push_back({"no_" + name, "i", Without(name), name});
    cases.push_back({"null_" + name, "i", With(name, nullptr), name});
    cases.push_back({"flag_as_" + name, "i", With(name, true), name});
    if (name != "Sequence") {
      cases.push_back({"number_as_" + name, "i", With(name, 7), name});
    }
    if (name != "Labels") {
      cases.push_back({"list_as_" + name, "i", With(name, {"ready"}), name});
    }
    if (name != "Capacity") {
      const Json object = {{"Cpu", 1}};
      cases.push_back({"object_as_" + name, "i", With(name, object), name});
    }
    if (name == "Sequence" || name == "Labels" || name == "Capacity") {
      cases.push_back({"text_as_" + name, "i", With(name, "7"), name});
    }
  }
  for (const char* field : {"Cpu", "MemMb", "Gpu"}) {
    const std::string name = field;
    cases.push_back({"negative_" + name, "i", WithCapacity(name, -1), name});
    cases.push_back({"absurd_" + name, "i", WithCapacity(name, 1e15), ""});
    cases.push_back({"endless_" + name, "i", WithCapacity(name, 1e300), name});
    cases.push_back({"text_as_" + name, "i", WithCapacity(name, "9"), name});
    cases.push_back({"list_as_" + name, "i", WithCapacity(name, {9}), name});
    if (name != "Gpu") {
      cases.push_back({"zero_" + name, "i", WithCapacity(name, 0), ""});
    }
  }
  return cases;
}

// Guards against a worker that gets tasks it cannot run, or loses its own,
// after another writer sends a heartbeat with fields that are missing, of the
// wrong type or out of range. It happened when such fields were read as empty,
// zero or the nearest value, and an unknown state was read as ready.
class BadHeartbeatTest : public testing::TestWithParam<HeartbeatCase> {};

TEST_P(BadHeartbeatTest, IsRejectedWithReason) {
  const auto heartbeat = DecodeHeartbeat(GetParam().id, GetParam().body);
  ASSERT_FALSE(heartbeat.ok());
  EXPECT_NE(std::string(heartbeat.status().message()).find(GetParam().message),
            std::string::npos)
      << heartbeat.status();
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BadHeartbeatTest,
                         testing::ValuesIn(BadHeartbeats()),
                         [](const auto& info) { return info.param.name; });

// A heartbeat is not rejected for fields that the platform omits when they are
// zero, or for fields that are not used here.
TEST(HeartbeatTest, OptionalFieldsMayBeMissing) {
  Json heartbeat = ValidHeartbeat();
  heartbeat["Capacity"].erase("Gpu");
  heartbeat["Labels"] = Json::array();
  heartbeat["Slots"] = "of another type";
  const auto read = DecodeHeartbeat("i-1", heartbeat.dump());
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ(read->worker_id, "i-1");
  EXPECT_EQ(read->service, "service");
  EXPECT_EQ(read->failure_domain, "zone");
  EXPECT_EQ(read->sequence, 4U);
  EXPECT_EQ(read->capacity.millicores(), 16000U);
  EXPECT_FALSE(read->draining);
}

constexpr char kListing[] = R"({"ClockMs":5,"born":1790000000001,)"
                            R"("Running":[["a.0.0.1",2,"c",41,900]],)"
                            R"("Ended":[]})";
constexpr char kPresentProcess[] = "i-1/1790000000001";

// Guards against a process that passes for an earlier one of the same name.
TEST(WorkerIdTest, HeartbeatAndLeaveNameTheStartOfTheProcess) {
  Json heartbeat = ValidHeartbeat();
  heartbeat["born"] = 1790000000001;
  const auto read = DecodeHeartbeat("i-1", heartbeat.dump());
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ(read->worker_id, kPresentProcess);
  EXPECT_EQ(*DecodeLeave("i-1", R"({"born":1790000000001})"), kPresentProcess);
  EXPECT_EQ(*DecodeLeave("i-1", ""), "i-1");
  EXPECT_FALSE(DecodeLeave("i-1", R"({"born":"soon"})").ok());
  EXPECT_FALSE(DecodeLeave("", "").ok());
}

struct ListingCase {
  std::string name;
  std::string expected_worker_id;
  bool other_worker_id = false;
  int runs = 0;
};

class ListingOfProcessTest : public testing::TestWithParam<ListingCase> {};

// Guards against runs of one process that are taken for those of another, since
// a call names the worker only.
TEST_P(ListingOfProcessTest, BelongsToTheProcessThatAnswered) {
  const auto listing = DecodeListing(GetParam().expected_worker_id, kListing);
  ASSERT_TRUE(listing.ok()) << listing.status();
  EXPECT_TRUE(listing->answered);
  EXPECT_EQ(listing->worker_id, kPresentProcess);
  EXPECT_EQ(listing->other_worker_id, GetParam().other_worker_id);
  EXPECT_EQ(listing->running.size(), GetParam().runs);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ListingOfProcessTest,
    testing::Values(ListingCase{"same_process", kPresentProcess, false, 1},
                    ListingCase{"earlier_process", "i-1/1790000000000", true,
                                0},
                    ListingCase{"id_without_a_start", "i-1", false, 1}),
    [](const auto& info) { return info.param.name; });

// Guards against tickets that no worker of the owner matches: the service knows
// workers by their names.
TEST(AdviceTest, TicketsNameTheProcessesThatWereAskedAbout) {
  const jobs::AdviceCall call{{}, {kPresentProcess, "i-2"}};
  EXPECT_EQ(Json::parse(EncodeAdvice(call)).at("Workers"),
            Json({"i-1", "i-2"}));
  const auto advice = DecodeAdvice(
      call, R"({"Granted":[["i-1","t"],["i-3","u"]],"ValidMs":900})");
  ASSERT_TRUE(advice.ok()) << advice.status();
  ASSERT_EQ(advice->tickets.size(), 1U);
  EXPECT_EQ(advice->tickets.front().worker_id, kPresentProcess);
}

TEST(HeartbeatTest, DrainingWorkerReportsRemainingTime) {
  Json heartbeat = ValidHeartbeat();
  heartbeat["State"] = "draining";
  heartbeat["RemainingMs"] = 1500;
  const auto read = DecodeHeartbeat("i-1", heartbeat.dump());
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_TRUE(read->draining);
  EXPECT_EQ(read->remaining, std::chrono::milliseconds(1500));
}

}  // namespace
}  // namespace rhubarbhaven::platform

// How the platform's bodies are read: what is whole becomes a typed value, what
// is not is an error and never an exception, a crash or a success.

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
  // Whether the body was read as a success.
  std::function<auto(const std::string&)->bool> reads;
};

auto TwoRecords() -> std::string {
  const std::string places =
      std::string(7, '\0') + '\x0c' + std::string(8, '\0');
  return places + EncodeRecords({{"j/a", "one", 0}, {"p/a", "two", 0}});
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
     R"({"Service":"s","State":"ready","Sequence":4,"Labels":["a","r1"],)"
     R"("Capacity":{"Cpu":16000,"MemMb":64000}})",
     [](const std::string& body) { return DecodeHeartbeat("i", body).ok(); }},
    {"listing",
     R"({"ClockMs":5,"Running":[["a.0.0.1",2,"c",41,900]],)"
     R"("Ended":[[58,"a.0.0.9",1,"done",""]]})",
     [](const std::string& body) { return DecodeListing(body).ok(); }},
    {"advice", R"({"Granted":[["i-1","t"]],"ValidMs":900})",
     [](const std::string& body) { return DecodeAdvice(body).ok(); }},
    {"newest",
     R"({"items":[{"Key":"k","Value":"dg==","Offset":3}],"More":false,"End":4})",
     [](const std::string& body) { return DecodeNewest(body).ok(); }},
    {"appended", R"({"Offset":3,"End":5})",
     [](const std::string& body) { return SaysAppended(body); }},
    {"refusal", R"({"Reason":"room"})",
     [](const std::string& body) {
       return DecodeRefusal(body) == jobs::WorkerCallOutcome::kNoRoom;
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

class BodyTest : public testing::TestWithParam<BodyCase> {};

TEST_P(BodyTest, WholeBodyIsRead) {
  EXPECT_TRUE(GetParam().reads(GetParam().body));
}

TEST_P(BodyTest, BytesWithoutMeaningAreNoSuccess) {
  std::mt19937_64 random(11);
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    std::string body(random() % 300, '\0');
    for (char& byte : body) {
      byte = static_cast<char>(random());
    }
    EXPECT_FALSE(GetParam().reads(body)) << seed;
  }
}

// Symptom watched for: a process ends on a body that is nearly right. Cause
// watched for: a field of another type, a number beyond its range, a row that
// is too short.
TEST_P(BodyTest, DamagedBodyIsReadOrRefused) {
  const std::vector<std::string> pieces = {"null", "-1",   "1e300", "[]", "{}",
                                           "\"\"", "true", ",",     "0.5"};
  std::mt19937_64 random(13);
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    std::string body = GetParam().body;
    const std::size_t at = random() % body.size();
    const std::size_t size = random() % 8;
    body.replace(at, size, pieces[random() % pieces.size()]);
    static_cast<void>(GetParam().reads(body));
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

TEST(ReadTest, RecordsBeyondTheEndAreNoRead) {
  EXPECT_FALSE(DecodeRead(TwoRecords(), 11).ok());
  EXPECT_TRUE(DecodeRead(TwoRecords(), 10).ok());
}

TEST(ReadTest, NumbersBeyondTheirRangeAreCut) {
  const auto job = DecodeJob(R"({"Steps":[{"Count":1e300,"Cpu":-5}]})");
  ASSERT_TRUE(job.ok());
  EXPECT_EQ(job->steps(0).count(), UINT32_MAX);
  EXPECT_EQ(job->steps(0).need().millicores(), 0U);
}

}  // namespace
}  // namespace rhubarbhaven::platform

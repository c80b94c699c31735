#include "Base/base.h"

#include <gmock/gmock.h>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <thread>

namespace rhubarbhaven {
namespace {

struct StallCase {
  std::string name;
  // When the second iteration begins. The first begins at zero, and the second
  // is due after 100 ms.
  std::chrono::milliseconds second_at{0};
  std::optional<std::chrono::milliseconds> stall;
};

class StallDetectorTest : public testing::TestWithParam<StallCase> {};

// Guards against a process that stands still and leaves no line that tells it
// from one whose peers were silent.
TEST_P(StallDetectorTest, ReportsTimeWithoutProgress) {
  constexpr std::chrono::milliseconds kUsed{3};
  const TimePoint start{std::chrono::seconds(10)};
  StallDetector detector(std::chrono::milliseconds(1000));
  EXPECT_FALSE(detector.OnIteration(start, std::chrono::milliseconds(5),
                                    start + std::chrono::milliseconds(100)));
  const TimePoint second = start + GetParam().second_at;
  const auto stall = detector.OnIteration(
      second, std::chrono::milliseconds(5) + kUsed, second);
  ASSERT_EQ(stall.has_value(), GetParam().stall.has_value());
  if (stall) {
    EXPECT_EQ(stall->lasted, *GetParam().stall);
    EXPECT_EQ(stall->processor_time, kUsed);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    StallDetectorTest,
    testing::Values(StallCase{"early", std::chrono::milliseconds(20),
                              std::nullopt},
                    StallCase{"slightly_late", std::chrono::milliseconds(1099),
                              std::nullopt},
                    StallCase{"late", std::chrono::milliseconds(1100),
                              std::chrono::milliseconds(1000)},
                    StallCase{"frozen", std::chrono::milliseconds(12100),
                              std::chrono::milliseconds(12000)}),
    [](const auto& info) { return info.param.name; });

// Guards against an unbounded queue, in which a consumer that lags exhausts the
// memory.
TEST(BoundedRingTest, RejectsItemsBeyondCapacityAndKeepsOrder) {
  BoundedRing<int> ring(2);
  EXPECT_TRUE(ring.Push(1));
  EXPECT_TRUE(ring.Push(2));
  EXPECT_FALSE(ring.Push(3));
  EXPECT_EQ(ring.Pop(), 1);
  EXPECT_EQ(ring.Pop(), 2);
  EXPECT_EQ(ring.Pop(), std::nullopt);
}

TEST(BoundedRingTest, NoItemIsLostBetweenThreads) {
  constexpr int kItems = 20000;
  BoundedRing<int> ring(64);
  std::thread producer([&ring]() -> void {
    for (int i = 0; i < kItems; ++i) {
      while (!ring.Push(i)) {
        std::this_thread::yield();
      }
    }
  });
  for (int expected = 0; expected < kItems;) {
    if (const auto item = ring.Pop()) {
      ASSERT_EQ(*item, expected);
      ++expected;
    }
  }
  producer.join();
}

// Guards against a log line that a collector cannot parse, because a message
// with quotes, a backslash or a line break is put into JSON unescaped.
TEST(LoggingTest, JsonLinesAreValid) {
  schema::LoggingSettings settings;
  settings.set_form("json");
  ConfigureLogging(settings, "entry-0");
  testing::internal::CaptureStdout();
  ComponentLogger("journal")->info("Refused. why=\"a\\b\"\nsecond");
  const std::string line = testing::internal::GetCapturedStdout();
  google::protobuf::Struct parsed;
  ASSERT_TRUE(google::protobuf::util::JsonStringToMessage(line, &parsed).ok())
      << line;
  EXPECT_EQ(parsed.fields().at("part").string_value(), "journal");
  EXPECT_EQ(parsed.fields().at("process").string_value(), "entry-0");
  EXPECT_EQ(parsed.fields().at("text").string_value(),
            "Refused. why=\"a\\b\" second");
}

TEST(MetricsTest, ExpositionHasTypesLabelsAndBuckets) {
  Metrics metrics;
  metrics.AddReason("refused", schema::OVERLOADED);
  metrics.AddReason("refused", schema::OVERLOADED);
  metrics.SetGauge("rhubarbhaven_pending_requests", 3);
  metrics.RecordLatency("rhubarbhaven_request_seconds",
                        std::chrono::milliseconds(5));
  const std::string text = metrics.Exposition();
  for (const char* expected :
       {"# TYPE rhubarbhaven_refused_total counter\n",
        "rhubarbhaven_refused_total{reason=\"overloaded\"} 2\n",
        "# TYPE rhubarbhaven_pending_requests gauge\n",
        "rhubarbhaven_pending_requests 3\n",
        "rhubarbhaven_request_seconds_bucket{le=\"+Inf\"} 1\n",
        "rhubarbhaven_request_seconds_count 1\n"}) {
    EXPECT_THAT(text, testing::HasSubstr(expected));
  }
}

}  // namespace
}  // namespace rhubarbhaven

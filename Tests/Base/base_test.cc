#include "Base/base.h"

#include <gmock/gmock.h>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>
#include <gtest/gtest.h>

#include <thread>

namespace rhubarbhaven {
namespace {

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

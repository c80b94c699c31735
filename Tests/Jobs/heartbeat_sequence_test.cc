// Tests of how late heartbeats are told from new ones.

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "Jobs/heartbeat_sequence.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kHighest = uint64_t{1} << 53;

struct Arrival {
  int at_ms = 0;
  uint64_t sequence = 0;
  bool accepted = false;
};

struct SequenceCase {
  std::string name;
  std::vector<Arrival> arrivals;
};

class HeartbeatSequenceTest : public testing::TestWithParam<SequenceCase> {};

// Guards against a worker that is ignored for good after another writer has
// sent one heartbeat in its name with a number that is too high.
TEST_P(HeartbeatSequenceTest, OnlyNewHeartbeatsAreAccepted) {
  const TimePoint start{std::chrono::seconds(100)};
  HeartbeatSequence sequence;
  sequence.Reset(1);
  for (const auto& arrival : GetParam().arrivals) {
    EXPECT_EQ(
        sequence.Accept(start + milliseconds(arrival.at_ms), arrival.sequence),
        arrival.accepted)
        << arrival.at_ms;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    HeartbeatSequenceTest,
    testing::Values(
        SequenceCase{"in_order", {{0, 2, true}, {1500, 3, true}}},
        SequenceCase{
            "late_and_repeated",
            {{0, 5, true}, {100, 3, false}, {200, 5, false}, {1500, 6, true}}},
        // Delayed by a partition while newer ones arrive.
        SequenceCase{"many_late",
                     {{0, 9, true},
                      {1000, 3, false},
                      {2000, 4, false},
                      {3000, 5, false},
                      {4500, 10, true},
                      {5000, 6, false},
                      {6000, 11, true}}},
        // Delivered together after a partition.
        SequenceCase{"burst_of_late",
                     {{0, 9, true},
                      {100, 3, false},
                      {101, 4, false},
                      {102, 5, false},
                      {103, 6, false},
                      {104, 7, false},
                      {1500, 10, true}}},
        SequenceCase{"number_of_another_writer",
                     {{0, kHighest, true},
                      {1500, 2, false},
                      {3000, 3, false},
                      {4500, 4, false},
                      {6000, 5, true},
                      {7500, 6, true}}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs

// How fillers are slowed for the runs that they disturb, and what is learned
// about who disturbs whom.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr uint32_t kCapacity = 16000;
constexpr uint64_t kServing = 1;

auto Serving(uint64_t target_ms) -> PacedRun {
  PacedRun run;
  run.set_run(kServing);
  run.set_image("serving");
  run.set_target_latency_ms(target_ms);
  return run;
}

auto Filler(uint64_t number, const std::string& image) -> PacedRun {
  PacedRun run;
  run.set_run(number);
  run.set_image(image);
  run.set_uses_spare_processors(true);
  run.set_millicores(4000);
  return run;
}

auto Row(uint64_t run, uint32_t load) -> RunningTask {
  RunningTask row;
  row.set_run(run);
  row.set_load(load);
  return row;
}

struct PaceCase {
  std::string name;
  uint32_t latency_ms = 0;
  uint32_t filler_load = 0;
  // Of the first and the second filler; the second's image disturbs nobody.
  uint32_t first_percent = 100;
  uint32_t second_percent = 100;
};

class FillerPacingTest : public testing::TestWithParam<PaceCase> {};

TEST_P(FillerPacingTest, SlowsWhoDisturbs) {
  FillerPacing pacing{FillerPacingOptions()};
  pacing.SetRuns({Serving(100), Filler(2, "heavy"), Filler(3, "light")});
  ImagePressure heavy;
  heavy.set_serving_image("serving");
  heavy.set_filler_image("heavy");
  heavy.set_pressure(8);
  ImagePressure light = heavy;
  light.set_filler_image("light");
  light.set_pressure(0);
  pacing.SetPressures({heavy, light});
  std::map<uint64_t, uint32_t> percents;
  const auto changes = pacing.OnListing(
      TimePoint(std::chrono::seconds(100)),
      {Row(kServing, GetParam().latency_ms), Row(2, GetParam().filler_load),
       Row(3, GetParam().filler_load)},
      kCapacity);
  for (const auto& change : changes) {
    percents[change.run.run()] = change.percent;
  }
  EXPECT_EQ(percents[2], GetParam().first_percent);
  EXPECT_EQ(percents[3], GetParam().second_percent);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    FillerPacingTest,
    testing::Values(
        PaceCase{"far_from_target", 20, 0, 100, 100},
        // Room for 0.84 of the base; at full speed the heavy one takes 2.
        PaceCase{"near_target", 50, 0, 42, 100},
        PaceCase{"at_target", 95, 0, 0, 100},
        // The base alone is beyond the target: slowing would help nobody.
        PaceCase{"over_target_anyway", 200, 0, 100, 100}),
    [](const auto& info) { return info.param.name; });

// Symptom: a filler stands still for seconds. Cause: it was to work at a few
// percent, and changes of a few percent were not ordered.
TEST(FillerPacingTest, StandstillEndsWithASmallChange) {
  FillerPacing pacing{FillerPacingOptions()};
  pacing.SetRuns({Serving(100), Filler(2, "heavy")});
  TimePoint now{std::chrono::seconds(100)};
  auto changes =
      pacing.OnListing(now, {Row(kServing, 100), Row(2, 0)}, kCapacity);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].percent, 0U);
  for (int round = 0; round < 5; ++round) {
    now += std::chrono::milliseconds(500);
    changes = pacing.OnListing(now, {Row(kServing, 88), Row(2, 0)}, kCapacity);
  }
  now += std::chrono::milliseconds(500);
  changes = pacing.OnListing(now, {Row(kServing, 84), Row(2, 0)}, kCapacity);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_GT(changes[0].percent, 0U);
}

TEST(ImageInterferenceTest, LearnsWhoDisturbs) {
  ImageInterference interference;
  // Base 50 ms; "heavy" presses with 10, "light" with nothing.
  for (int round = 0; round < 200; ++round) {
    const bool heavy = round % 3 == 0;
    const bool light = round % 3 == 1;
    const double share = 0.1;
    const double latency = 50 * (1 + (heavy ? 10 * share : 0));
    std::vector<FillerSample> fillers;
    if (heavy) {
      fillers.push_back({"heavy", share});
    }
    if (light) {
      fillers.push_back({"light", share});
    }
    interference.Observe(
        {{"serving", 1, std::chrono::milliseconds(std::lround(latency))}},
        fillers);
  }
  EXPECT_NEAR(interference.Pressure("serving", "heavy"), 10, 2);
  EXPECT_NEAR(interference.Pressure("serving", "light"), 0, 0.5);
  EXPECT_NEAR(interference.base_ms(1), 50, 5);
}

// Symptom: fillers crowd where they disturb after each change of the owner.
// Cause: the next owner began with nothing learned.
TEST(ImageInterferenceTest, NextOwnerGoesOnFromWhatWasLearned) {
  ImageInterference first;
  for (int round = 0; round < 100; ++round) {
    first.Observe({{"serving", 1, std::chrono::milliseconds(150)}},
                  {{"heavy", 0.2}});
    first.Observe({{"serving", 1, std::chrono::milliseconds(50)}}, {});
  }
  JobFold fold;
  auto record = MakeRecord(RecordKind::kPressures, "", first.Learned());
  record.offset = 1;
  fold.Apply(record);
  ImageInterference next;
  next.Load(fold.pressures());
  EXPECT_DOUBLE_EQ(next.Pressure("serving", "heavy"),
                   first.Pressure("serving", "heavy"));
  EXPECT_GT(next.Pressure("serving", "heavy"), 5);
}

}  // namespace
}  // namespace rhubarbhaven::jobs

// Tests of how opportunistic tasks are throttled for the runs that they slow
// down, and of what is learned about which image slows down which.

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <numbers>
#include <string>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr uint32_t kCapacity = 16000;
constexpr uint64_t kServing = 1;
// Time between two listings of a worker.
constexpr std::chrono::milliseconds kListingInterval{500};

// Simulates the latency that a worker reports: it lags the real one by half a
// second, as observed after all opportunistic tasks of a worker were stopped at
// once.
class ReportedLatency {
 public:
  auto After(std::chrono::duration<double> time, double latency_ms)
      -> std::chrono::milliseconds {
    constexpr std::chrono::duration<double> kSmoothing{0.5};
    const double kept = reported_ms_ == 0 ? 0 : std::exp(-(time / kSmoothing));
    reported_ms_ = kept * reported_ms_ + (1 - kept) * latency_ms;
    return std::chrono::milliseconds(std::lround(reported_ms_));
  }

 private:
  double reported_ms_ = 0;
};

auto Serving(uint64_t target_ms) -> PacedRun {
  PacedRun run;
  run.set_run(kServing);
  run.set_image("serving");
  run.set_target_latency_ms(target_ms);
  return run;
}

auto OpportunisticRun(uint64_t number, const std::string& image) -> PacedRun {
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
  uint32_t opportunistic_load = 0;
  // Expected pace of the first and the second opportunistic run; the second's
  // image slows down no other run.
  uint32_t first_percent = 100;
  uint32_t second_percent = 100;
};

class OpportunisticPacingTest : public testing::TestWithParam<PaceCase> {};

TEST_P(OpportunisticPacingTest, ThrottlesTheInterferingRun) {
  OpportunisticPacing pacing{OpportunisticPacingOptions()};
  pacing.SetRuns({Serving(100), OpportunisticRun(2, "heavy"),
                  OpportunisticRun(3, "light")});
  ImagePressure heavy;
  heavy.set_serving_image("serving");
  heavy.set_filler_image("heavy");
  heavy.set_pressure(8);
  ImagePressure light = heavy;
  light.set_filler_image("light");
  light.set_pressure(0);
  pacing.SetPressures({heavy, light});
  std::map<uint64_t, uint32_t> percents;
  const auto changes = pacing.OnListing(TimePoint(std::chrono::seconds(100)),
                                        {Row(kServing, GetParam().latency_ms),
                                         Row(2, GetParam().opportunistic_load),
                                         Row(3, GetParam().opportunistic_load)},
                                        kCapacity);
  for (const auto& change : changes) {
    percents[change.run.run()] = change.percent;
  }
  EXPECT_EQ(percents[2], GetParam().first_percent);
  EXPECT_EQ(percents[3], GetParam().second_percent);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    OpportunisticPacingTest,
    testing::Values(
        PaceCase{"far_from_target", 20, 0, 100, 100},
        // There is room for 0.84 of the base; at full speed the heavy one takes
        // 2.
        PaceCase{"near_target", 50, 0, 42, 100},
        PaceCase{"at_target", 95, 0, 0, 100},
        // The base alone exceeds the target, so throttling would not help.
        PaceCase{"over_target_anyway", 200, 0, 100, 100}),
    [](const auto& info) { return info.param.name; });

// Guards against an opportunistic run that stalls for seconds because it was to
// run at a few percent, and changes of a few percent were not ordered.
TEST(OpportunisticPacingTest, StallEndsWithASmallChange) {
  OpportunisticPacing pacing{OpportunisticPacingOptions()};
  pacing.SetRuns({Serving(100), OpportunisticRun(2, "heavy")});
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

// Listings until runs resume: the delay of the reported latency, and two
// listings for confirmation.
constexpr int kListingsToResume = 4;

struct OverCase {
  std::string name;
  // Latency once the opportunistic runs are stopped; the target is 100 ms.
  uint32_t stopped_latency_ms = 0;
};

class OverTargetTest : public testing::TestWithParam<OverCase> {};

// Guards against a serving run that exceeds its target for 4 s and more because
// of opportunistic runs. If the learned pressures are too low, the rise is
// attributed to the serving run's own load, and opportunistic runs were
// throttled by the pressures alone.
TEST_P(OverTargetTest, OpportunisticRunsStopWhateverThePressures) {
  OpportunisticPacing pacing{OpportunisticPacingOptions()};
  pacing.SetRuns({Serving(100), OpportunisticRun(2, "heavy")});
  ImagePressure none;
  none.set_serving_image("serving");
  none.set_filler_image("heavy");
  none.set_pressure(0);
  TimePoint now{std::chrono::seconds(100)};
  std::chrono::milliseconds over{0};
  uint32_t percent = 100;
  ReportedLatency reported;
  const auto listing = [&](uint32_t latency_ms) -> void {
    const auto reported_ms = static_cast<uint32_t>(
        reported.After(kListingInterval, latency_ms).count());
    pacing.SetPressures({none});
    const uint32_t load = 8 * percent;
    for (const auto& change : pacing.OnListing(
             now, {Row(kServing, reported_ms), Row(2, load)}, kCapacity)) {
      percent = change.percent;
    }
    now += kListingInterval;
  };
  listing(30);
  while (percent > 0 && over < std::chrono::seconds(4)) {
    listing(300);
    over += kListingInterval;
  }
  EXPECT_LE(over, std::chrono::milliseconds(2500));
  ASSERT_EQ(percent, 0U);
  // The stop is temporary: either the serving run meets its target again, or
  // the opportunistic runs were not the cause.
  for (int i = 0; i < kListingsToResume; ++i) {
    listing(GetParam().stopped_latency_ms);
  }
  EXPECT_GT(percent, 0U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         OverTargetTest,
                         testing::Values(OverCase{"fillers_were_the_cause", 30},
                                         OverCase{"over_alone", 300}),
                         [](const auto& info) { return info.param.name; });

TEST(ImageInterferenceTest, LearnsWhichImageInterferes) {
  ImageInterference interference;
  ReportedLatency reported;
  TimePoint now{std::chrono::seconds(100)};
  // The base is 50 ms; "heavy" has a pressure of 10, "light" of zero.
  for (int round = 0; round < 200; ++round) {
    const bool heavy = round % 3 == 0;
    const bool light = round % 3 == 1;
    const double share = 0.1;
    const double latency = 50 * (1 + (heavy ? 10 * share : 0));
    std::vector<OpportunisticSample> samples;
    if (heavy) {
      samples.push_back({"heavy", share});
    }
    if (light) {
      samples.push_back({"light", share});
    }
    now += kListingInterval;
    interference.Observe(
        now, {{"serving", 1, reported.After(kListingInterval, latency)}},
        samples);
  }
  EXPECT_NEAR(interference.Pressure("serving", "heavy"), 10, 2);
  EXPECT_NEAR(interference.Pressure("serving", "light"), 0, 0.5);
  EXPECT_NEAR(interference.base(1).count(), 50, 5);
}

struct LoadVariationCase {
  std::string name;
  // Share of the processors that the heavy and the light opportunistic run
  // take, and the number of consecutive listings for which each runs and
  // pauses.
  double heavy_share = 0;
  double light_share = 0;
  int listings = 1;
};

class BaseLatencyTest : public testing::TestWithParam<LoadVariationCase> {};

// Guards against opportunistic runs that stall for seconds after a short peak
// of a serving run's latency, or continue while that run exceeds its target.
// The serving run's own load varies within 20 s while opportunistic runs come
// and go; effects of the latter were attributed to the former and vice versa,
// and either error was corrected slowly.
TEST_P(BaseLatencyTest, IsFollowedWhileFillersComeAndGo) {
  constexpr int kListings = 200;
  constexpr int kLearningListings = 60;
  constexpr double kVariation = 0.45;
  ImageInterference interference;
  ReportedLatency reported;
  TimePoint now{std::chrono::seconds(100)};
  double error = 0;
  for (int listing = 0; listing < kListings; ++listing) {
    now += kListingInterval;
    const double base =
        40 * std::exp(kVariation * std::sin(listing * std::numbers::pi / 20));
    std::vector<OpportunisticSample> samples;
    double slowdown = 1;
    if (listing / GetParam().listings % 2 == 0) {
      samples = {{"heavy", GetParam().heavy_share},
                 {"light", GetParam().light_share}};
      slowdown += 10 * GetParam().heavy_share + 1 * GetParam().light_share;
    }
    interference.Observe(
        now,
        {{"serving", 1, reported.After(kListingInterval, base * slowdown)}},
        samples);
    if (listing >= kLearningListings) {
      error += std::abs(std::log(interference.base(1).count() / base)) /
               (kListings - kLearningListings);
    }
  }
  EXPECT_LT(error, 0.1);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BaseLatencyTest,
    testing::Values(LoadVariationCase{"short_runs", 0.2, 0.1, 3},
                    LoadVariationCase{"long_runs", 0.2, 0.1, 12},
                    LoadVariationCase{"light_only", 0.0, 0.3, 12},
                    LoadVariationCase{"crowd", 0.4, 0.2, 5}),
    [](const auto& info) { return info.param.name; });

// Guards against opportunistic runs that concentrate where they slow down
// others after each change of the owner, because the next owner started without
// the learned pressures.
TEST(ImageInterferenceTest, NextOwnerContinuesFromTheLearnedPressures) {
  ImageInterference first;
  ReportedLatency reported;
  TimePoint now{std::chrono::seconds(100)};
  for (int round = 0; round < 100; ++round) {
    now += kListingInterval;
    first.Observe(now, {{"serving", 1, reported.After(kListingInterval, 150)}},
                  {{"heavy", 0.2}});
    now += kListingInterval;
    first.Observe(now, {{"serving", 1, reported.After(kListingInterval, 50)}},
                  {});
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

// How fillers are slowed for the runs that they disturb, and what is learned
// about who disturbs whom.

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
// Time between two looks at a worker.
constexpr std::chrono::milliseconds kLook{500};

// What a worker tells of a latency: it follows with half a second's delay, as
// seen after all fillers of a worker were stopped at once.
class ToldLatency {
 public:
  auto After(std::chrono::duration<double> time, double latency_ms)
      -> std::chrono::milliseconds {
    constexpr std::chrono::duration<double> kSmoothing{0.5};
    const double kept = told_ms_ == 0 ? 0 : std::exp(-(time / kSmoothing));
    told_ms_ = kept * told_ms_ + (1 - kept) * latency_ms;
    return std::chrono::milliseconds(std::lround(told_ms_));
  }

 private:
  double told_ms_ = 0;
};

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
  OpportunisticPacing pacing{OpportunisticPacingOptions()};
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
  OpportunisticPacing pacing{OpportunisticPacingOptions()};
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

// The delay of what a worker tells, and two looks to be sure.
constexpr int kLooksToResume = 4;

struct OverCase {
  std::string name;
  // Latency, against a target of 100 ms, once the fillers are stopped.
  uint32_t alone_ms = 0;
};

class LongOverTest : public testing::TestWithParam<OverCase> {};

// Symptom: a run that serves is over its target for 4 s and more, by what
// fillers do. Sequence: the pressures that were learned are too low, so that
// the rise is put down to the run's own load. Cause: fillers yielded by the
// pressures alone.
TEST_P(LongOverTest, FillersStopWhateverThePressuresSay) {
  OpportunisticPacing pacing{OpportunisticPacingOptions()};
  pacing.SetRuns({Serving(100), Filler(2, "heavy")});
  ImagePressure none;
  none.set_serving_image("serving");
  none.set_filler_image("heavy");
  none.set_pressure(0);
  TimePoint now{std::chrono::seconds(100)};
  std::chrono::milliseconds over{0};
  uint32_t percent = 100;
  ToldLatency told;
  const auto look = [&](uint32_t latency_ms) -> void {
    const auto figure =
        static_cast<uint32_t>(told.After(kLook, latency_ms).count());
    pacing.SetPressures({none});
    const uint32_t load = 8 * percent;
    for (const auto& change : pacing.OnListing(
             now, {Row(kServing, figure), Row(2, load)}, kCapacity)) {
      percent = change.percent;
    }
    now += kLook;
  };
  look(30);
  while (percent > 0 && over < std::chrono::seconds(4)) {
    look(300);
    over += kLook;
  }
  EXPECT_LE(over, std::chrono::milliseconds(2500));
  ASSERT_EQ(percent, 0U);
  // Not for good: the run is fine again, or the fillers were not the cause.
  for (int i = 0; i < kLooksToResume; ++i) {
    look(GetParam().alone_ms);
  }
  EXPECT_GT(percent, 0U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LongOverTest,
                         testing::Values(OverCase{"fillers_were_the_cause", 30},
                                         OverCase{"over_alone", 300}),
                         [](const auto& info) { return info.param.name; });

TEST(ImageInterferenceTest, LearnsWhoDisturbs) {
  ImageInterference interference;
  ToldLatency told;
  TimePoint now{std::chrono::seconds(100)};
  // Base 50 ms; "heavy" presses with 10, "light" with nothing.
  for (int round = 0; round < 200; ++round) {
    const bool heavy = round % 3 == 0;
    const bool light = round % 3 == 1;
    const double share = 0.1;
    const double latency = 50 * (1 + (heavy ? 10 * share : 0));
    std::vector<OpportunisticSample> fillers;
    if (heavy) {
      fillers.push_back({"heavy", share});
    }
    if (light) {
      fillers.push_back({"light", share});
    }
    now += kLook;
    interference.Observe(now, {{"serving", 1, told.After(kLook, latency)}},
                         fillers);
  }
  EXPECT_NEAR(interference.Pressure("serving", "heavy"), 10, 2);
  EXPECT_NEAR(interference.Pressure("serving", "light"), 0, 0.5);
  EXPECT_NEAR(interference.base(1).count(), 50, 5);
}

struct SwingCase {
  std::string name;
  // Share of the processors that the heavy and the light filler take, and for
  // how many looks in a row each works and rests.
  double heavy_share = 0;
  double light_share = 0;
  int looks = 1;
};

class BaseLatencyTest : public testing::TestWithParam<SwingCase> {};

// Symptom: a worker's fillers stand still for seconds after a short peak of a
// serving run's latency, or work on while the run is over its target.
// Sequence: the run's own load swings within 20 s while fillers come and go.
// Cause: what fillers did was put down to the run's own load, and the other
// way round, and either was unlearned slowly.
TEST_P(BaseLatencyTest, IsFollowedWhileFillersComeAndGo) {
  constexpr int kLooks = 200;
  constexpr int kLearning = 60;
  constexpr double kSwing = 0.45;
  ImageInterference interference;
  ToldLatency told;
  TimePoint now{std::chrono::seconds(100)};
  double error = 0;
  for (int look = 0; look < kLooks; ++look) {
    now += kLook;
    const double base =
        40 * std::exp(kSwing * std::sin(look * std::numbers::pi / 20));
    std::vector<OpportunisticSample> fillers;
    double slowdown = 1;
    if (look / GetParam().looks % 2 == 0) {
      fillers = {{"heavy", GetParam().heavy_share},
                 {"light", GetParam().light_share}};
      slowdown += 10 * GetParam().heavy_share + 1 * GetParam().light_share;
    }
    interference.Observe(
        now, {{"serving", 1, told.After(kLook, base * slowdown)}}, fillers);
    if (look >= kLearning) {
      error += std::abs(std::log(interference.base(1).count() / base)) /
               (kLooks - kLearning);
    }
  }
  EXPECT_LT(error, 0.1);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BaseLatencyTest,
                         testing::Values(SwingCase{"short_runs", 0.2, 0.1, 3},
                                         SwingCase{"long_runs", 0.2, 0.1, 12},
                                         SwingCase{"light_only", 0.0, 0.3, 12},
                                         SwingCase{"crowd", 0.4, 0.2, 5}),
                         [](const auto& info) { return info.param.name; });

// Symptom: fillers crowd where they disturb after each change of the owner.
// Cause: the next owner began with nothing learned.
TEST(ImageInterferenceTest, NextOwnerGoesOnFromWhatWasLearned) {
  ImageInterference first;
  ToldLatency told;
  TimePoint now{std::chrono::seconds(100)};
  for (int round = 0; round < 100; ++round) {
    now += kLook;
    first.Observe(now, {{"serving", 1, told.After(kLook, 150)}},
                  {{"heavy", 0.2}});
    now += kLook;
    first.Observe(now, {{"serving", 1, told.After(kLook, 50)}}, {});
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

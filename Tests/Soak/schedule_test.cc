#include "Tests/Soak/schedule.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Tests/Soak/link_rates.h"

namespace rhubarbhaven::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSeeds = 200;
constexpr int kAgents = 10;
// Time at the end of the load that every schedule leaves free of faults.
constexpr seconds kFree{11};

auto OptionsFor(FaultSet faults, int seed) -> SoakOptions {
  SoakOptions options;
  options.seed = static_cast<uint64_t>(seed);
  options.load = seconds(50);
  options.entries = 4;
  options.agents = kAgents;
  options.faults = faults;
  return options;
}

struct ScheduleCase {
  std::string name;
  FaultSet faults = FaultSet::kMixed;
  // Bounds of the duration of the faults, and of the agents that have one.
  milliseconds min_duration{0};
  milliseconds max_duration{0};
  std::size_t min_agents = 0;
  std::size_t max_agents = 0;
};

class MomentaryScheduleTest : public testing::TestWithParam<ScheduleCase> {};

// Guards against faults that excuse what they are to show, that leave no time
// to check it, or of which a process has two at once.
TEST_P(MomentaryScheduleTest, KeepsWhatTheChecksRestOn) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const SoakOptions options = OptionsFor(GetParam().faults, seed);
    const auto schedule = MakeSchedule(options);
    EXPECT_FALSE(schedule.empty());
    std::map<std::pair<Target, int>, milliseconds> busy_until;
    for (const auto& fault : schedule) {
      EXPECT_TRUE(IsMomentary(fault.kind)) << Describe(fault);
      EXPECT_LE(fault.at + fault.duration, options.load - kFree)
          << Describe(fault);
      EXPECT_LE(fault.duration, GetParam().max_duration) << Describe(fault);
      if (fault.target == Target::kAgent) {
        EXPECT_GE(fault.duration, GetParam().min_duration) << Describe(fault);
        auto& busy = busy_until[{fault.target, fault.number}];
        EXPECT_GT(fault.at, busy) << Describe(fault);
        busy = fault.at + fault.duration;
      }
    }
  }
}

// Guards against a schedule that never draws the case in which most of the
// agents do not answer.
TEST_P(MomentaryScheduleTest, DrawsEachNumberOfAgents) {
  std::set<std::size_t> counts;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::set<int> agents;
    for (const auto& fault :
         MakeSchedule(OptionsFor(GetParam().faults, seed))) {
      if (fault.target == Target::kAgent) {
        agents.insert(fault.number);
      }
    }
    counts.insert(agents.size());
  }
  EXPECT_EQ(*counts.begin(), GetParam().min_agents);
  EXPECT_EQ(*counts.rbegin(), GetParam().max_agents);
  EXPECT_EQ(counts.size(), GetParam().max_agents - GetParam().min_agents + 1);
}

// Guards against a schedule that changes with anything but its seed.
TEST_P(MomentaryScheduleTest, DependsOnTheSeed) {
  const auto text = [](int seed) -> std::string {
    std::string lines;
    for (const auto& fault :
         MakeSchedule(OptionsFor(GetParam().faults, seed))) {
      lines += Describe(fault) + "\n";
    }
    return lines;
  };
  EXPECT_EQ(text(1), text(1));
  EXPECT_NE(text(1), text(2));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    MomentaryScheduleTest,
    testing::Values(ScheduleCase{"gone", FaultSet::kGone, seconds(14),
                                 seconds(18), 1, 4},
                    ScheduleCase{"silent", FaultSet::kSilent, seconds(12),
                                 seconds(18), 1, 10},
                    ScheduleCase{"cutoff", FaultSet::kCutOff, seconds(8),
                                 seconds(20), 0, 0}),
    [](const auto& info) -> std::string { return info.param.name; });

// Guards against runs with links of one size, in which it does not matter which
// entry owns the cell.
TEST(LinkRatesTest, AreOfUnlikeSize) {
  constexpr int kThinMbps = 2;
  constexpr int kFatMbps = 50;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const auto rates = LinkRates(OptionsFor(FaultSet::kRate, seed));
    EXPECT_EQ(std::set<int>(rates.begin(), rates.end()),
              std::set<int>({kThinMbps, kFatMbps}));
    for (const auto& fault : MakeSchedule(OptionsFor(FaultSet::kRate, seed))) {
      EXPECT_TRUE(IsMomentary(fault.kind)) << Describe(fault);
    }
  }
  EXPECT_TRUE(LinkRates(OptionsFor(FaultSet::kSilent, 1)).empty());
}

struct RoomCase {
  std::string name;
  FaultKind kind = FaultKind::kGone;
  Target target = Target::kAgent;
  bool leaves_no_room = false;
};

class RoomTest : public testing::TestWithParam<RoomCase> {};

// Guards against an excuse for tasks that could run elsewhere.
TEST_P(RoomTest, IsTakenOnlyBySilentAgents) {
  Fault fault;
  fault.kind = GetParam().kind;
  fault.target = GetParam().target;
  EXPECT_EQ(LeavesNoRoom(fault), GetParam().leaves_no_room);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RoomTest,
    testing::Values(
        RoomCase{"silent_agent", FaultKind::kSilent, Target::kAgent, true},
        RoomCase{"absent_agent", FaultKind::kAbsent, Target::kAgent, true},
        RoomCase{"gone_agent", FaultKind::kGone, Target::kAgent, false},
        RoomCase{"frozen_agent", FaultKind::kFreeze, Target::kAgent, false},
        RoomCase{"silent_entry", FaultKind::kSilent, Target::kEntry, false},
        RoomCase{"entry_cut_off", FaultKind::kCutOff, Target::kEntry, false}),
    [](const auto& info) -> std::string { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::soak

#include "Tests/Soak/momentary_faults.h"

#include <algorithm>
#include <map>

#include "Tests/Soak/random_source.h"
#include "Tests/Soak/schedule_times.h"

namespace rhubarbhaven::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinGone{14000};
constexpr milliseconds kMaxGone{18000};
constexpr milliseconds kMinSilence{12000};
constexpr milliseconds kMaxSilence{18000};
// Within this time the processes of one series become silent, and wake.
constexpr milliseconds kSpread{1500};
// From the begin of a series to that of one which overlaps it.
constexpr milliseconds kMinOverlapAfter{4000};
constexpr milliseconds kMaxOverlapAfter{7000};
constexpr milliseconds kMinCutOff{8000};
constexpr milliseconds kMaxCutOff{20000};
// Time without a fault after a cut or a short silence.
constexpr milliseconds kMinPause{8000};
constexpr milliseconds kMaxPause{12000};
constexpr milliseconds kMinShortSilence{3000};
constexpr milliseconds kMaxShortSilence{8000};

auto SortByTime(std::vector<Fault>* faults) -> void {
  std::stable_sort(
      faults->begin(), faults->end(),
      [](const Fault& a, const Fault& b) -> bool { return a.at < b.at; });
}

// Less than half of them.
auto FewOf(int agents) -> int {
  return (agents - 1) / 2;
}

auto MakeGoneFault(Target target,
                   int number,
                   milliseconds at,
                   RandomSource* random_source) -> Fault {
  Fault fault;
  fault.kind = FaultKind::kGone;
  fault.target = target;
  fault.number = number;
  fault.at = at;
  fault.duration = random_source->Pick(kMinGone, kMaxGone);
  return fault;
}

// How many of the agents are silent in a series, from one to all.
auto DrawSilentCount(int agents, RandomSource* random_source) -> int64_t {
  constexpr int64_t kFewShare = 20;
  constexpr int64_t kHalfOrMoreShare = 40;
  constexpr int64_t kAllButAFewShare = 30;
  constexpr int kAFew = 3;
  const int64_t draw = random_source->Pick(0, 99);
  if (draw < kFewShare) {
    return random_source->Pick(1, FewOf(agents));
  }
  if (draw < kFewShare + kHalfOrMoreShare) {
    return random_source->Pick((agents + 1) / 2, agents - 1);
  }
  if (draw < kFewShare + kHalfOrMoreShare + kAllButAFewShare) {
    return random_source->Pick(std::max(1, agents - kAFew), agents - 1);
  }
  return agents;
}

// Draws series of silent agents and owners.
class SilentSeries {
 public:
  SilentSeries(const SoakOptions& options, RandomSource* random_source)
      : agents_(options.agents), random_source_(random_source) {}

  // Adds a series and returns when its last fault is over.
  auto Add(milliseconds at) -> milliseconds {
    const milliseconds silence = random_source_->Pick(kMinSilence, kMaxSilence);
    AddAgents(at, silence);
    AddOwner(at, silence);
    return at + kSpread + silence;
  }

  auto faults() const -> const std::vector<Fault>& { return faults_; }

 private:
  auto AddAgents(milliseconds at, milliseconds silence) -> void {
    const auto count = DrawSilentCount(agents_, random_source_);
    for (const int agent : random_source_->Distinct(count, agents_)) {
      const milliseconds begin = at + DrawSpread();
      auto& busy_until = busy_until_[agent];
      const FaultKind kind = DrawKind();
      if (begin > busy_until) {
        Push(kind, Target::kAgent, agent, begin, silence);
        busy_until = begin + silence;
      }
    }
  }

  auto AddOwner(milliseconds at, milliseconds silence) -> void {
    enum class Way { kNone, kKilled, kFrozen, kFrozenTwice };
    static const std::vector<Way> ways = {Way::kNone, Way::kKilled,
                                          Way::kFrozen, Way::kFrozenTwice,
                                          Way::kFrozenTwice};
    const milliseconds begin = at + DrawSpread();
    switch (random_source_->Of(ways)) {
      case Way::kNone:
        break;
      case Way::kKilled:
        Push(FaultKind::kAbsent, Target::kOwner, 0, begin, silence);
        break;
      case Way::kFrozen:
        Push(FaultKind::kSilent, Target::kOwner, 0, begin, silence);
        break;
      case Way::kFrozenTwice:
        AddFrozenTwice(begin, silence);
        break;
    }
  }

  // After a short freeze, with or without a next owner, whoever owns the cell
  // is frozen again.
  auto AddFrozenTwice(milliseconds at, milliseconds silence) -> void {
    constexpr milliseconds kMinFirst{800};
    constexpr milliseconds kMaxFirst{4000};
    constexpr milliseconds kMinBetween{20};
    constexpr milliseconds kMaxBetween{1000};
    const milliseconds first = random_source_->Pick(kMinFirst, kMaxFirst);
    const milliseconds between =
        first + random_source_->Pick(kMinBetween, kMaxBetween);
    Push(FaultKind::kSilent, Target::kOwner, 0, at, first);
    Push(FaultKind::kSilent, Target::kOwner, 0, at + between,
         silence - between);
  }

  auto DrawSpread() -> milliseconds {
    return random_source_->Pick(milliseconds(0), kSpread);
  }

  auto DrawKind() -> FaultKind {
    constexpr int64_t kFrozenShare = 70;
    return random_source_->Pick(0, 99) < kFrozenShare ? FaultKind::kSilent
                                                      : FaultKind::kAbsent;
  }

  auto Push(FaultKind kind,
            Target target,
            int number,
            milliseconds at,
            milliseconds duration) -> void {
    faults_.push_back({at, duration, kind, target, number});
  }

  int agents_;
  RandomSource* random_source_;
  // By agent.
  std::map<int, milliseconds> busy_until_;
  std::vector<Fault> faults_;
};

}  // namespace

auto MomentaryName(FaultKind kind) -> const char* {
  switch (kind) {
    case FaultKind::kGone:
      return "gone";
    case FaultKind::kAbsent:
      return "absent";
    case FaultKind::kSilent:
      return "silent";
    case FaultKind::kCutOff:
      return "cut off from agents, bytes vanish";
    case FaultKind::kCutOffReset:
      return "cut off from agents, connections reset";
    default:
      return nullptr;
  }
}

auto MakeGoneSchedule(const SoakOptions& options) -> std::vector<Fault> {
  constexpr milliseconds kGoneSpread{2000};
  constexpr milliseconds kMinNextOwner{2000};
  constexpr milliseconds kMaxNextOwner{6000};
  constexpr int kEntriesForTwoOwners = 4;
  RandomSource random_source(options.seed);
  std::vector<Fault> faults;
  const milliseconds end = options.load - kFinalFaultFreeTime;
  milliseconds at = kWarmUp + kMaxOffset;
  while (at + kMaxNextOwner + kGoneSpread + kMaxGone < end) {
    const milliseconds lost_at = at + kGoneSpread;
    const auto count = random_source.Pick(1, FewOf(options.agents));
    for (const int agent : random_source.Distinct(count, options.agents)) {
      const milliseconds begin =
          at + random_source.Pick(milliseconds(0), kGoneSpread);
      faults.push_back(
          MakeGoneFault(Target::kAgent, agent, begin, &random_source));
    }
    faults.push_back(MakeGoneFault(Target::kOwner, 0, lost_at, &random_source));
    if (options.entries >= kEntriesForTwoOwners &&
        random_source.Pick(0, 1) == 0) {
      const milliseconds next_at =
          lost_at + random_source.Pick(kMinNextOwner, kMaxNextOwner);
      faults.push_back(
          MakeGoneFault(Target::kOwner, 0, next_at, &random_source));
    }
    at = lost_at + kMaxNextOwner + kMaxGone +
         random_source.Pick(kMinFaultFreeTime, kMaxFaultFreeTime);
  }
  SortByTime(&faults);
  return faults;
}

auto MakeSilentSchedule(const SoakOptions& options) -> std::vector<Fault> {
  RandomSource random_source(options.seed);
  SilentSeries series(options, &random_source);
  const milliseconds end = options.load - kFinalFaultFreeTime;
  milliseconds at = kWarmUp + kMaxOffset;
  while (at + kMaxOverlapAfter + kSpread + kMaxSilence <= end) {
    milliseconds over_at = series.Add(at);
    if (random_source.Pick(0, 2) == 0) {
      over_at = std::max(over_at,
                         series.Add(at + random_source.Pick(kMinOverlapAfter,
                                                            kMaxOverlapAfter)));
    }
    at = over_at + random_source.Pick(kMinFaultFreeTime, kMaxFaultFreeTime);
  }
  std::vector<Fault> faults = series.faults();
  SortByTime(&faults);
  return faults;
}

auto MakeCutOffSchedule(const SoakOptions& options) -> std::vector<Fault> {
  RandomSource random_source(options.seed);
  std::vector<Fault> faults;
  const milliseconds end = options.load - kFinalFaultFreeTime;
  milliseconds at = kWarmUp + random_source.Pick(milliseconds(0), kMaxOffset);
  while (at + kMaxCutOff <= end) {
    const FaultKind kind = random_source.Pick(0, 1) == 0
                               ? FaultKind::kCutOff
                               : FaultKind::kCutOffReset;
    const milliseconds duration = random_source.Pick(kMinCutOff, kMaxCutOff);
    faults.push_back({at, duration, kind, Target::kOwner});
    at += duration + random_source.Pick(kMinPause, kMaxPause);
  }
  return faults;
}

auto MakeRateSchedule(const SoakOptions& options) -> std::vector<Fault> {
  RandomSource random_source(options.seed);
  std::vector<Fault> faults;
  const milliseconds end = options.load - kFinalFaultFreeTime;
  milliseconds at = kWarmUp + kMaxOffset;
  while (at + kMaxShortSilence <= end) {
    const milliseconds duration =
        random_source.Pick(kMinShortSilence, kMaxShortSilence);
    switch (random_source.Pick(0, 2)) {
      case 0:
        faults.push_back({at, duration, FaultKind::kAbsent, Target::kOwner});
        break;
      case 1:
        faults.push_back({at, duration, FaultKind::kSilent, Target::kOwner});
        break;
      default:
        const auto count = random_source.Pick(1, FewOf(options.agents));
        for (const int agent : random_source.Distinct(count, options.agents)) {
          faults.push_back(
              {at, duration, FaultKind::kSilent, Target::kAgent, agent});
        }
        break;
    }
    at += duration + random_source.Pick(kMinPause, kMaxPause);
  }
  return faults;
}

auto ShortestRun(FaultSet faults) -> milliseconds {
  constexpr milliseconds kShortestMixed{20000};
  constexpr milliseconds kShortestGone{46000};
  switch (faults) {
    case FaultSet::kGone:
      return kShortestGone;
    case FaultSet::kSilent:
      return kWarmUp + kMaxOffset + kMaxOverlapAfter + kSpread + kMaxSilence +
             kFinalFaultFreeTime;
    case FaultSet::kCutOff:
      return kWarmUp + kMaxOffset + kMaxCutOff + kFinalFaultFreeTime;
    case FaultSet::kRate:
      return kWarmUp + kMaxOffset + kMaxShortSilence + kFinalFaultFreeTime;
    default:
      return kShortestMixed;
  }
}

}  // namespace rhubarbhaven::soak

#include "Tests/Soak/schedule.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "Tests/Soak/momentary_faults.h"
#include "Tests/Soak/random_source.h"
#include "Tests/Soak/schedule_times.h"

namespace rhubarbhaven::soak {
namespace {

using std::chrono::milliseconds;

// Limits concurrent faults to one for this many daemons.
constexpr int kDaemonsPerFault = 2;
// A slow owner that also sends slowly places little, so it mostly is one of
// both.
constexpr int kMaxSlowOwnerFaults = 2;

struct KindRow {
  FaultKind kind;
  const char* name;
  std::vector<Target> targets;
  milliseconds min_duration;
  milliseconds max_duration;
  milliseconds min_delay{0};
  milliseconds max_delay{0};
};

auto Kinds() -> const std::vector<KindRow>& {
  using enum FaultKind;
  using enum Target;
  static const std::vector<KindRow> kinds = {
      {kKill, "kill", {kEntry, kAgent}, milliseconds(50), milliseconds(5000)},
      {kFreeze,
       "freeze",
       {kEntry, kAgent},
       milliseconds(300),
       milliseconds(7000)},
      {kStop, "stop", {kEntry, kAgent}, milliseconds(6000), milliseconds(8000)},
      {kReload, "reload", {kEntry, kAgent}, milliseconds(0), milliseconds(0)},
      {kDelayRequests,
       "delay requests",
       {kEntryLink, kAgentLink},
       milliseconds(1000),
       milliseconds(6000)},
      {kDelayAnswers,
       "delay answers",
       {kEntryLink, kAgentLink},
       milliseconds(1000),
       milliseconds(6000)},
      {kDropAnswers,
       "answers vanish",
       {kEntryLink, kAgentLink},
       milliseconds(300),
       milliseconds(6000)},
      {kDropReadAnswers,
       "answers to reads vanish",
       {kEntryLink},
       milliseconds(300),
       milliseconds(6000)},
      {kDelayReadAnswers,
       "answers to reads are late",
       {kEntryLink},
       milliseconds(1000),
       milliseconds(6000)},
      {kLimitRate,
       "few bytes a second",
       {kEntryLink},
       milliseconds(1000),
       milliseconds(6000)},
      {kBlackholeOpen,
       "open connections silent",
       {kEntryLink, kAgentLink},
       milliseconds(0),
       milliseconds(0)},
      {kPartition,
       "cut",
       {kEntryLink, kAgentLink},
       milliseconds(200),
       milliseconds(6000)},
      {kReset,
       "reset",
       {kEntryLink, kAgentLink},
       milliseconds(0),
       milliseconds(0)},
      {kLogRefuses, "refuses", {kLog}, milliseconds(200), milliseconds(5000)},
      {kLogSilent, "silent", {kLog}, milliseconds(200), milliseconds(5000)},
      {kLogReadsSilent,
       "reads silent",
       {kLog},
       milliseconds(200),
       milliseconds(5000)},
      {kLogForgets,
       "forgets history",
       {kLog},
       milliseconds(0),
       milliseconds(0)},
      {kWorkerCrash, "crash", {kWorker}, milliseconds(0), milliseconds(0)},
  };
  return kinds;
}

// Kinds by which only the owner is slow. Beside them the schedule has no other
// faults, which would excuse what these don't.
auto SlowOwnerKinds() -> const std::vector<KindRow>& {
  using enum FaultKind;
  using enum Target;
  static const std::vector<KindRow> kinds = {
      {kSlowProcess,
       "slow process",
       {kOwner},
       milliseconds(3000),
       milliseconds(6000),
       milliseconds(390),
       milliseconds(1800)},
      {kSlowOrders,
       "slow orders",
       {kOrderLinks},
       milliseconds(3000),
       milliseconds(6000),
       milliseconds(1000),
       milliseconds(4500)},
  };
  return kinds;
}

// Returns nullptr if no row is of this kind.
auto FindRow(const std::vector<KindRow>& rows, FaultKind kind)
    -> const KindRow* {
  const auto row =
      std::find_if(rows.begin(), rows.end(),
                   [kind](const KindRow& item) { return item.kind == kind; });
  return row == rows.end() ? nullptr : &*row;
}

auto TargetName(Target target) -> const char* {
  constexpr std::array<const char*, 8> kNames = {
      "entry", "agent",  "entry's link", "agent's link",
      "log",   "worker", "owner",        "links of orders"};
  return kNames.at(static_cast<std::size_t>(target));
}

auto CountOf(Target target, const SoakOptions& options) -> int {
  switch (target) {
    case Target::kEntry:
    case Target::kEntryLink:
      return options.entries;
    case Target::kLog:
    case Target::kOwner:
    case Target::kOrderLinks:
      return 1;
    default:
      return options.agents;
  }
}

auto DrawFault(const SoakOptions& options,
               const std::vector<KindRow>& kinds,
               milliseconds at,
               RandomSource* random_source) -> Fault {
  const KindRow& row = random_source->Of(kinds);
  Fault fault;
  fault.at = at + random_source->Pick(milliseconds(0), kMaxOffset);
  fault.duration = random_source->Pick(row.min_duration, row.max_duration);
  fault.kind = row.kind;
  fault.target = random_source->Of(row.targets);
  fault.number = static_cast<int>(
      random_source->Pick(0, CountOf(fault.target, options) - 1));
  if (row.max_delay > milliseconds(0)) {
    fault.delay = random_source->Pick(row.min_delay, row.max_delay);
  }
  return fault;
}

auto MakeMixedSchedule(const SoakOptions& options) -> std::vector<Fault> {
  RandomSource random_source(options.seed);
  std::vector<Fault> faults;
  std::map<std::pair<Target, int>, milliseconds> busy_until;
  const milliseconds end = options.load - kFinalFaultFreeTime;
  const int max_concurrent =
      std::max(1, (options.entries + options.agents) / kDaemonsPerFault);
  milliseconds at = kWarmUp;
  while (at < end) {
    milliseconds group_end = at;
    const bool slows_owner = random_source.Pick(0, 1) == 0;
    const auto& kinds = slows_owner ? SlowOwnerKinds() : Kinds();
    const int most = slows_owner ? kMaxSlowOwnerFaults : max_concurrent;
    for (int64_t left = random_source.Pick(1, most); left > 0; --left) {
      const Fault fault = DrawFault(options, kinds, at, &random_source);
      auto& busy = busy_until[{fault.target, fault.number}];
      if (fault.at + fault.duration > end || fault.at < busy) {
        continue;
      }
      busy = fault.at + fault.duration + milliseconds(1);
      group_end = std::max(group_end, busy);
      faults.push_back(fault);
    }
    at = group_end + random_source.Pick(kMinFaultFreeTime, kMaxFaultFreeTime);
  }
  std::stable_sort(
      faults.begin(), faults.end(),
      [](const Fault& a, const Fault& b) -> bool { return a.at < b.at; });
  return faults;
}

}  // namespace

auto MakeSchedule(const SoakOptions& options) -> std::vector<Fault> {
  switch (options.faults) {
    case FaultSet::kGone:
      return MakeGoneSchedule(options);
    case FaultSet::kSilent:
      return MakeSilentSchedule(options);
    case FaultSet::kCutOff:
      return MakeCutOffSchedule(options);
    case FaultSet::kRate:
      return MakeRateSchedule(options);
    default:
      return MakeMixedSchedule(options);
  }
}

auto IsMomentary(FaultKind kind) -> bool {
  return MomentaryName(kind) != nullptr;
}

auto LeavesNoRoom(const Fault& fault) -> bool {
  return fault.target == Target::kAgent &&
         (fault.kind == FaultKind::kAbsent || fault.kind == FaultKind::kSilent);
}

auto ExcusesLateStarts(FaultKind kind) -> bool {
  return FindRow(SlowOwnerKinds(), kind) == nullptr;
}

auto Describe(const Fault& fault) -> std::string {
  const auto* slow = FindRow(SlowOwnerKinds(), fault.kind);
  const auto* row = slow != nullptr ? slow : FindRow(Kinds(), fault.kind);
  const char* name = row != nullptr ? row->name : MomentaryName(fault.kind);
  const std::string delay =
      slow != nullptr ? absl::StrCat(" by ", fault.delay.count(), " ms") : "";
  return absl::StrFormat("%6d ms, for %4d ms: %s %d: %s%s", fault.at.count(),
                         fault.duration.count(), TargetName(fault.target),
                         fault.number, name, delay);
}

}  // namespace rhubarbhaven::soak

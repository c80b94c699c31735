#include "Tests/Soak/schedule.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <utility>

namespace rhubarbhaven::soak {
namespace {

using std::chrono::milliseconds;

// Entries and agents become ready in it.
constexpr milliseconds kWarmUp{6000};
// Calm at the end of the load, longer than the bound on lasting tasks.
constexpr milliseconds kTail{11000};
constexpr milliseconds kShortestCalm{500};
// Longer than every check that waits for calm takes.
constexpr milliseconds kLongestCalm{6000};
constexpr milliseconds kLongestOffset{2500};
// One fault at a time for so many daemons, at most.
constexpr int kDaemonsPerFault = 2;

struct KindRow {
  FaultKind kind;
  const char* name;
  std::vector<Subject> subjects;
  milliseconds shortest;
  milliseconds longest;
};

auto Kinds() -> const std::vector<KindRow>& {
  using enum FaultKind;
  using enum Subject;
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
      {kAnswersVanish,
       "answers vanish",
       {kEntryLink, kAgentLink},
       milliseconds(300),
       milliseconds(6000)},
      {kReadsVanish,
       "answers to reads vanish",
       {kEntryLink},
       milliseconds(300),
       milliseconds(6000)},
      {kReadsSlow,
       "answers to reads are late",
       {kEntryLink},
       milliseconds(1000),
       milliseconds(6000)},
      {kTrickle,
       "few bytes a second",
       {kEntryLink},
       milliseconds(1000),
       milliseconds(6000)},
      {kSilenceOpen,
       "open connections silent",
       {kEntryLink, kAgentLink},
       milliseconds(0),
       milliseconds(0)},
      {kCut,
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

auto SubjectName(Subject subject) -> const char* {
  constexpr std::array<const char*, 6> kNames = {
      "entry", "agent", "entry's link", "agent's link", "log", "worker"};
  return kNames.at(static_cast<std::size_t>(subject));
}

auto CountOf(Subject subject, const SoakOptions& options) -> int {
  switch (subject) {
    case Subject::kEntry:
    case Subject::kEntryLink:
      return options.entries;
    case Subject::kLog:
      return 1;
    default:
      return options.agents;
  }
}

class Draw {
 public:
  explicit Draw(uint64_t seed) : random_(seed) {}

  auto Pick(int64_t low, int64_t high) -> int64_t {
    const auto span = static_cast<uint64_t>(high - low + 1);
    return low + static_cast<int64_t>(random_() % span);
  }
  auto Pick(milliseconds low, milliseconds high) -> milliseconds {
    return milliseconds(Pick(low.count(), high.count()));
  }
  template <typename Item>
  auto Of(const std::vector<Item>& items) -> const Item& {
    return items[random_() % items.size()];
  }

 private:
  std::mt19937_64 random_;
};

auto DrawFault(const SoakOptions& options, milliseconds at, Draw* draw)
    -> Fault {
  const KindRow& row = draw->Of(Kinds());
  Fault fault;
  fault.at = at + draw->Pick(milliseconds(0), kLongestOffset);
  fault.lasts = draw->Pick(row.shortest, row.longest);
  fault.kind = row.kind;
  fault.subject = draw->Of(row.subjects);
  fault.number =
      static_cast<int>(draw->Pick(0, CountOf(fault.subject, options) - 1));
  return fault;
}

}  // namespace

auto MakeSchedule(const SoakOptions& options) -> std::vector<Fault> {
  Draw draw(options.seed);
  std::vector<Fault> faults;
  std::map<std::pair<Subject, int>, milliseconds> busy_until;
  const milliseconds end = options.load - kTail;
  const int most_at_once =
      std::max(1, (options.entries + options.agents) / kDaemonsPerFault);
  milliseconds at = kWarmUp;
  while (at < end) {
    milliseconds group_end = at;
    for (int64_t left = draw.Pick(1, most_at_once); left > 0; --left) {
      const Fault fault = DrawFault(options, at, &draw);
      auto& busy = busy_until[{fault.subject, fault.number}];
      if (fault.at + fault.lasts > end || fault.at < busy) {
        continue;
      }
      busy = fault.at + fault.lasts + milliseconds(1);
      group_end = std::max(group_end, busy);
      faults.push_back(fault);
    }
    at = group_end + draw.Pick(kShortestCalm, kLongestCalm);
  }
  std::stable_sort(
      faults.begin(), faults.end(),
      [](const Fault& a, const Fault& b) -> bool { return a.at < b.at; });
  return faults;
}

auto Describe(const Fault& fault) -> std::string {
  const auto row = std::find_if(
      Kinds().begin(), Kinds().end(),
      [&fault](const KindRow& item) { return item.kind == fault.kind; });
  return absl::StrFormat("%6d ms, for %4d ms: %s %d: %s", fault.at.count(),
                         fault.lasts.count(), SubjectName(fault.subject),
                         fault.number, row->name);
}

}  // namespace rhubarbhaven::soak

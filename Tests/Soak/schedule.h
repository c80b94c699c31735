#ifndef RHUBARBHAVEN_TESTS_SOAK_SCHEDULE_H_
#define RHUBARBHAVEN_TESTS_SOAK_SCHEDULE_H_

#include <chrono>
#include <string>
#include <vector>

#include "Tests/Soak/soak_options.h"

namespace rhubarbhaven::soak {

enum class FaultKind {
  kKill,
  kFreeze,
  kStop,
  kReload,
  kDelayRequests,
  kDelayAnswers,
  kDropAnswers,
  kDropReadAnswers,
  kDelayReadAnswers,
  kLimitRate,
  kBlackholeOpen,
  kPartition,
  kReset,
  kLogRefuses,
  kLogSilent,
  kLogReadsSilent,
  kLogForgets,
  kWorkerCrash,
  kSlowProcess,
  kSlowOrders,
  // The process is killed and started again much later. Counts as a fault only
  // when that happens: what depends on the process has to recover meanwhile.
  kGone,
  // The same, for some time between seconds and that of `kGone`. Tasks need not
  // run on the worker of an agent that is absent or silent.
  kAbsent,
  // The process is frozen, and counts as a fault only when that begins and
  // ends.
  kSilent,
  // All connections between an entry and the agents are cut off: their bytes
  // vanish, or they are reset. Counts as a fault only when that begins and
  // ends.
  kCutOff,
  kCutOffReset,
};

// What a fault is applied to.
enum class Target {
  kEntry,
  kAgent,
  kEntryLink,
  kAgentLink,
  kLog,
  kWorker,
  // The entry that owns the cell when the fault begins.
  kOwner,
  // The links by which entries send orders to agents, all at once.
  kOrderLinks,
};

struct Fault {
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds duration{0};
  FaultKind kind = FaultKind::kKill;
  Target target = Target::kEntry;
  // Number of the entry, agent or worker.
  int number = 0;
  // How long a slow process is stopped at a time, or an order is under way.
  std::chrono::milliseconds delay{0};
};

// Whether the fault counts only for the moments in which it begins and ends.
auto IsMomentary(FaultKind kind) -> bool;

// Whether the fault takes the worker of the agent out of reach, so that tasks
// need not run there.
auto LeavesNoRoom(const Fault& fault) -> bool;

// Whether a start may be late beside a fault of this kind, at any agent.
auto ExcusesLateStarts(FaultKind kind) -> bool;

// Returns faults in the order of their times. Faults may overlap, but each
// target has one fault at a time.
auto MakeSchedule(const SoakOptions& options) -> std::vector<Fault>;

auto Describe(const Fault& fault) -> std::string;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_SCHEDULE_H_

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
  kAnswersVanish,
  kReadsVanish,
  kReadsSlow,
  kTrickle,
  kSilenceOpen,
  kCut,
  kReset,
  kLogRefuses,
  kLogSilent,
  kLogReadsSilent,
  kLogForgets,
  kWorkerCrash,
};

// What a fault acts on.
enum class Subject { kEntry, kAgent, kEntryLink, kAgentLink, kLog, kWorker };

struct Fault {
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds lasts{0};
  FaultKind kind = FaultKind::kKill;
  Subject subject = Subject::kEntry;
  // Number of the entry, agent or worker.
  int number = 0;
};

// In the order of their times. Faults overlap, but one thing has one fault at
// a time.
auto MakeSchedule(const SoakOptions& options) -> std::vector<Fault>;

auto Describe(const Fault& fault) -> std::string;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_SCHEDULE_H_

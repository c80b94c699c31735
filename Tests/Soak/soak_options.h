#ifndef RHUBARBHAVEN_TESTS_SOAK_SOAK_OPTIONS_H_
#define RHUBARBHAVEN_TESTS_SOAK_SOAK_OPTIONS_H_

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace rhubarbhaven::soak {

enum class FaultSet {
  // All kinds of faults that end within seconds.
  kMixed,
  // Owners that stay down for 14 to 18 s, beside agents that do as well.
  kGone,
  // Any number of agents that are silent for 12 to 18 s, alone or beside an
  // owner that is killed, frozen, or frozen twice.
  kSilent,
  // An owner that is cut off from all agents for 8 to 20 s.
  kCutOff,
  // Entries with a link of 2 or 50 Mbit/s, and jobs with payloads.
  kRate,
};

struct SoakOptions {
  uint64_t seed = 1;
  // Duration of load and faults; the final checks take additional time.
  std::chrono::seconds load{40};
  int entries = 3;
  int agents = 5;
  FaultSet faults = FaultSet::kMixed;
  // Folder in which logs and schedule are kept, also after a run that passes;
  // empty to keep them only after a failure.
  std::string keep_logs;
  std::string binary;
  bool list = false;
};

// Parses the command line; returns an error if it is invalid.
auto ParseOptions(int argc, char** argv) -> absl::StatusOr<SoakOptions>;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_SOAK_OPTIONS_H_

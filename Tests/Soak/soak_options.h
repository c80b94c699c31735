#ifndef RHUBARBHAVEN_TESTS_SOAK_SOAK_OPTIONS_H_
#define RHUBARBHAVEN_TESTS_SOAK_SOAK_OPTIONS_H_

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace rhubarbhaven::soak {

struct SoakOptions {
  uint64_t seed = 1;
  // Of load and faults; the last checks take longer.
  std::chrono::seconds load{40};
  int entries = 3;
  int agents = 5;
  // Keeps the folder of logs and schedule, also of a run without fault.
  std::string keep_logs;
  std::string binary;
  bool list = false;
};

// Parses the command line; what is wrong with it is an error.
auto ParseOptions(int argc, char** argv) -> absl::StatusOr<SoakOptions>;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_SOAK_OPTIONS_H_

#include "Tests/Soak/soak_options.h"

#include <absl/status/status.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <map>
#include <optional>
#include <vector>

#include "Tests/Soak/momentary_faults.h"

DEFINE_uint64(seed, 1, "Seed of the schedule of faults and of the load.");
DEFINE_int32(seconds,
             40,
             "Duration of load and faults in seconds, at least 20.");
DEFINE_string(scale, "3/5", "Number of entries and agents.");
DEFINE_string(faults,
              "mixed",
              "Faults to inject: mixed, gone, silent, cutoff or rate; see the "
              "manual page.");
DEFINE_string(keep_logs, "", "Folder for all logs and the schedule.");
DEFINE_bool(list, false, "Print the schedule of the seed and exit.");
DEFINE_string(binary,
              RHUBARBHAVEN_TEST_BINARIES "/platform/rhubarbhavend",
              "The daemon to check.");

namespace rhubarbhaven::soak {
namespace {

constexpr int kFewestAgents = 3;

// Returns nullopt for a name that is not known.
auto ParseFaults(const std::string& name) -> std::optional<FaultSet> {
  static const std::map<std::string, FaultSet> names = {
      {"mixed", FaultSet::kMixed},   {"gone", FaultSet::kGone},
      {"silent", FaultSet::kSilent}, {"cutoff", FaultSet::kCutOff},
      {"rate", FaultSet::kRate},
  };
  const auto found = names.find(name);
  return found == names.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace

auto ParseOptions(int argc, char** argv) -> absl::StatusOr<SoakOptions> {
  gflags::SetUsageMessage(
      "Runs real daemons under load and faults and checks their guarantees.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  SoakOptions options;
  options.seed = FLAGS_seed;
  options.load = std::chrono::seconds(FLAGS_seconds);
  options.keep_logs = FLAGS_keep_logs;
  options.binary = FLAGS_binary;
  options.list = FLAGS_list;
  const std::vector<std::string> scale = absl::StrSplit(FLAGS_scale, '/');
  if (scale.size() != 2 || !absl::SimpleAtoi(scale[0], &options.entries) ||
      !absl::SimpleAtoi(scale[1], &options.agents) || options.entries < 1 ||
      options.agents < 1) {
    return absl::InvalidArgumentError("--scale takes ENTRIES/AGENTS");
  }
  const auto faults = ParseFaults(FLAGS_faults);
  if (!faults) {
    return absl::InvalidArgumentError(
        "--faults takes mixed, gone, silent, cutoff or rate");
  }
  options.faults = *faults;
  if (options.faults != FaultSet::kMixed && options.agents < kFewestAgents) {
    return absl::InvalidArgumentError("these faults take 3 agents or more");
  }
  if (options.load < ShortestRun(options.faults)) {
    return absl::InvalidArgumentError("--seconds is too short for a fault");
  }
  return options;
}

}  // namespace rhubarbhaven::soak

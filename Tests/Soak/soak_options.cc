#include "Tests/Soak/soak_options.h"

#include <absl/status/status.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <vector>

DEFINE_uint64(seed, 1, "Seed of the schedule of faults and of the load.");
DEFINE_int32(seconds,
             40,
             "Duration of load and faults in seconds, at least 20.");
DEFINE_string(scale, "3/5", "Number of entries and agents.");
DEFINE_string(faults,
              "mixed",
              "Faults to inject: \"mixed\", or \"gone\" for owners and agents "
              "that stay down for 14 to 18 s.");
DEFINE_string(keep_logs, "", "Folder for all logs and the schedule.");
DEFINE_bool(list, false, "Print the schedule of the seed and exit.");
DEFINE_string(binary,
              RHUBARBHAVEN_TEST_BINARIES "/platform/rhubarbhavend",
              "The daemon to check.");

namespace rhubarbhaven::soak {
namespace {

constexpr int kShortestSeconds = 20;
// The first daemons are gone until 35 s, and the last 11 s are free of faults.
constexpr int kShortestGoneSeconds = 46;
constexpr int kFewestAgentsForGone = 3;

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
  if (FLAGS_faults != "mixed" && FLAGS_faults != "gone") {
    return absl::InvalidArgumentError("--faults takes mixed or gone");
  }
  options.faults = FLAGS_faults == "gone" ? FaultSet::kGone : FaultSet::kMixed;
  const bool gone = options.faults == FaultSet::kGone;
  if (gone && options.agents < kFewestAgentsForGone) {
    return absl::InvalidArgumentError("--faults=gone takes 3 agents or more");
  }
  const int shortest = gone ? kShortestGoneSeconds : kShortestSeconds;
  if (FLAGS_seconds < shortest) {
    return absl::InvalidArgumentError("--seconds is too short for a fault");
  }
  return options;
}

}  // namespace rhubarbhaven::soak

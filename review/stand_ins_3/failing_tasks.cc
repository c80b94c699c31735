// Case 11: a job whose lasting tasks fail beside short jobs, on sound
// executors.
//
// failing_tasks PROGRAM FOLDER RECORD TROUBLE
//
// With TROUBLE=1 each run of the wide job, whose tasks last, fails kShortestRun
// to kLongestRun after its start, by its own fault. See `StarvationCase` for
// what else happens and for the exit codes.

#include <cstdio>

#include "review/stand_ins_3/starvation.h"

namespace {

using rhubarbhaven::review::Milliseconds;
using rhubarbhaven::review::TaskPlan;

constexpr Milliseconds kStartup{200};
constexpr Milliseconds kShortestRun{1000};
constexpr Milliseconds kLongestRun{3000};
// Numbers without a common pattern, in the order of the starts.
constexpr int kSpread = 7919;

auto TimeToFailure(int run) -> Milliseconds {
  const auto range = (kLongestRun - kShortestRun).count();
  return kShortestRun + Milliseconds(int64_t{run + 1} * kSpread % range);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 5) {
    std::fprintf(stderr,
                 "usage: failing_tasks PROGRAM FOLDER RECORD TROUBLE\n");
    return 2;
  }
  const bool trouble = std::string(argv[4]) != "0";
  rhubarbhaven::review::WideJob wide;
  wide.tasks = 72;
  wide.max_per_executor = 12;
  wide.estimate = kStartup;
  wide.lasts = true;
  wide.plan = [trouble](int run) -> TaskPlan {
    TaskPlan plan{kStartup};
    plan.fails_after = trouble ? TimeToFailure(run) : Milliseconds(0);
    return plan;
  };
  return rhubarbhaven::review::StarvationCase(argv[1], argv[2], argv[3], wide)
      .Run();
}

// Case 9: a job with long tasks beside short jobs, on sound executors.
//
// long_tasks PROGRAM FOLDER RECORD TROUBLE
//
// With TROUBLE=1 the tasks of the wide job take kLongFactor times as long. See
// `StarvationCase` for what else happens and for the exit codes.

#include <cstdio>

#include "review/stand_ins_3/starvation.h"

namespace {

using rhubarbhaven::review::Milliseconds;
using rhubarbhaven::review::TaskPlan;

constexpr Milliseconds kWork{5000};
constexpr int kLongFactor = 60;

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 5) {
    std::fprintf(stderr, "usage: long_tasks PROGRAM FOLDER RECORD TROUBLE\n");
    return 2;
  }
  const bool trouble = std::string(argv[4]) != "0";
  rhubarbhaven::review::WideJob wide;
  wide.tasks = 6;
  wide.max_per_executor = 1;
  wide.estimate = trouble ? kWork * kLongFactor : kWork;
  wide.plan = [work = wide.estimate](int) -> TaskPlan { return {work}; };
  return rhubarbhaven::review::StarvationCase(argv[1], argv[2], argv[3], wide)
      .Run();
}

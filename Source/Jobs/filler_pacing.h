#ifndef RHUBARBHAVEN_JOBS_FILLER_PACING_H_
#define RHUBARBHAVEN_JOBS_FILLER_PACING_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

struct FillerPacingOptions {
  // Shares of a target latency at which fillers are slowed hard, slowed, and
  // sped up again. Slowing begins below the target, since the figures are up
  // to half a second old.
  double hard_above = 1.0;
  double slow_above = 0.9;
  double speed_up_below = 0.85;
  // Shortest time between two changes: the figures cover half a second.
  std::chrono::milliseconds interval{400};
};

struct PaceChange {
  PacedRun run;
  uint32_t percent = 100;
};

// Slows tasks that use spare processors while a task that serves beside them
// nears its target latency, and speeds them up again. One worker.
class FillerPacing {
 public:
  explicit FillerPacing(FillerPacingOptions options) : options_(options) {}

  auto SetRuns(const std::vector<PacedRun>& runs) -> void;
  // Changes to order, from one listing of what runs.
  auto OnListing(TimePoint now, const std::vector<RunningTask>& running)
      -> std::vector<PaceChange>;
  // The order to pace a run may not have taken effect; it is given again.
  auto OnUnsure(uint64_t run) -> void;

 private:
  struct Runs {
    PacedRun run;
    // As ordered; a run starts at full speed.
    uint32_t percent = 100;
  };

  auto Decide(double worst) -> void;

  FillerPacingOptions options_;
  std::map<uint64_t, Runs> runs_;
  uint32_t percent_ = 100;
  TimePoint changed_at_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_FILLER_PACING_H_

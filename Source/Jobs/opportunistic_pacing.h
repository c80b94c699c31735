#ifndef RHUBARBHAVEN_JOBS_OPPORTUNISTIC_PACING_H_
#define RHUBARBHAVEN_JOBS_OPPORTUNISTIC_PACING_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Jobs/image_interference.h"

namespace rhubarbhaven::jobs {

// The share of its target latency up to which opportunistic tasks may raise the
// latency of a serving run. The rest is a margin: latencies are up to half a
// second old, and the load varies. The owner places opportunistic tasks by the
// same share.
inline constexpr double kTargetLatencyShare = 0.92;
// Lower pressures do not count as a disturbance of a run.
inline constexpr double kMinPressure = 0.5;

struct OpportunisticPacingOptions {
  double target_share = kTargetLatencyShare;
  // If a run's latency without opportunistic tasks exceeds this share of its
  // target, the run misses its target in any case, and opportunistic tasks need
  // not yield to it.
  double max_base_share = 1.1;
  // After a run has exceeded its target for this long, its opportunistic tasks
  // are stopped regardless of the pressures, until it is below its target again
  // or was seen above it while no opportunistic task ran. Latencies are delayed
  // by up to 1 s, and the platform allows a run to exceed its target for 4 s.
  std::chrono::milliseconds max_over_target{1200};
  // Minimum time between two decisions. Each latency covers half a second.
  std::chrono::milliseconds interval{300};
};

struct PaceChange {
  PacedRun run;
  uint32_t percent = 100;
};

// Paces the opportunistic tasks of one worker, which use spare processors, so
// that the tasks that serve beside them meet their target latencies. Each
// opportunistic task is slowed for the serving tasks that it disturbs,
// according to the pressures that the owner has learned. The opportunistic task
// that has run longest gets its speed first: a job ends with its last task, so
// running some at full speed completes more jobs in time than running all of
// them at half speed.
class OpportunisticPacing {
 public:
  explicit OpportunisticPacing(OpportunisticPacingOptions options)
      : options_(options) {}

  auto SetRuns(const std::vector<PacedRun>& runs) -> void;
  auto SetPressures(const std::vector<ImagePressure>& pressures) -> void;
  // Returns the changes to order, computed from one listing of the tasks that
  // run on a worker with this capacity.
  auto OnListing(TimePoint now,
                 const std::vector<RunningTask>& running,
                 uint32_t capacity_millicores) -> std::vector<PaceChange>;
  // The order to pace a run may not have taken effect and is given again.
  auto OnUnconfirmed(uint64_t run) -> void;

 private:
  struct Run {
    PacedRun paced;
    // As ordered, or `kUnconfirmed`.
    uint32_t percent = 100;
    // From the newest listing.
    uint32_t load = 0;
    bool listed = false;
    // For a serving run: since when its latency has exceeded its target.
    std::optional<TimePoint> over_since;
    // Number of consecutive samples at which the run exceeded its target while
    // no opportunistic task ran.
    int over_by_itself = 0;
  };

  auto NoteListing(const std::vector<RunningTask>& running) -> void;
  auto Observe(TimePoint now, double capacity) -> void;
  auto PressureOf(const Run& serving, const Run& opportunistic) const -> double;
  // The growth of each serving run's latency that is still allowed, as a share
  // of its base.
  auto HeadroomByRun() const -> std::map<uint64_t, double>;
  auto OpportunisticRunsInOrder() const -> std::vector<uint64_t>;
  auto TrackOverTarget(TimePoint now, double capacity) -> void;
  auto MustStopOpportunistic(TimePoint now) const -> bool;
  // Returns the speed that the remaining headroom allows to an opportunistic
  // run, and deducts its part from the headroom of each serving run.
  auto AllocateSpeed(const Run& opportunistic,
                     double capacity,
                     std::map<uint64_t, double>* headroom_by_run) const
      -> uint32_t;

  OpportunisticPacingOptions options_;
  std::map<uint64_t, Run> runs_;
  // Pressures that the owner has learned from all workers, and what this worker
  // has reported since.
  ImageInterference interference_;
  TimePoint decided_at_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_OPPORTUNISTIC_PACING_H_

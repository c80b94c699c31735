#ifndef RHUBARBHAVEN_JOBS_FILLER_PACING_H_
#define RHUBARBHAVEN_JOBS_FILLER_PACING_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Jobs/image_interference.h"

namespace rhubarbhaven::jobs {

// Share of a target latency that fillers may bring a run that serves to. The
// figures are up to half a second old, and its load swings. The owner places
// fillers by the same.
inline constexpr double kFillerAim = 0.92;
// Pressures below this do not count as a disturbance of a run.
inline constexpr double kLeastPressure = 0.5;

struct FillerPacingOptions {
  double aim = kFillerAim;
  // A run whose latency without fillers is beyond this share of its target is
  // over it anyway; fillers need not yield to it.
  double lost = 1.1;
  // After this long over its target, a run's fillers are stopped altogether,
  // whatever the pressures say, until it is under it again or was seen to be
  // over it alone. The platform allows 4 s; the figures lag by up to 1 s.
  std::chrono::milliseconds longest_over{1200};
  // Shortest time between two decisions: the figures cover half a second.
  std::chrono::milliseconds interval{300};
};

struct PaceChange {
  PacedRun run;
  uint32_t percent = 100;
};

// Slows tasks that use spare processors as far as the tasks that serve beside
// them need it for their target latency. Each filler is slowed for those that
// it disturbs, by the pressures that the owner has learned. The longest running
// filler is served first: a job ends with its last task, so some fillers at
// full speed finish more jobs in time than all of them at half. One worker.
class FillerPacing {
 public:
  explicit FillerPacing(FillerPacingOptions options) : options_(options) {}

  auto SetRuns(const std::vector<PacedRun>& runs) -> void;
  auto SetPressures(const std::vector<ImagePressure>& pressures) -> void;
  // Changes to order, from one listing of what runs on a worker with these
  // processors.
  auto OnListing(TimePoint now,
                 const std::vector<RunningTask>& running,
                 uint32_t capacity_millicores) -> std::vector<PaceChange>;
  // The order to pace a run may not have taken effect; it is given again.
  auto OnUnsure(uint64_t run) -> void;

 private:
  struct Run {
    PacedRun paced;
    // As ordered; none if that is not known.
    uint32_t percent = 100;
    // By the newest listing.
    uint32_t load = 0;
    bool listed = false;
    // Of a run that serves: since when its latency is over its target.
    std::optional<TimePoint> over_since;
    // Looks in a row at which it was over its target while no filler worked.
    int over_alone = 0;
  };

  auto NoteListing(const std::vector<RunningTask>& running) -> void;
  auto Observe(TimePoint now, double capacity) -> void;
  auto PressureOf(const Run& serving, const Run& filler) const -> double;
  // How much more, as a share of its base, each serving run's latency may grow.
  auto Rooms() const -> std::map<uint64_t, double>;
  auto FillersInOrder() const -> std::vector<uint64_t>;
  auto NoteOver(TimePoint now, double capacity) -> void;
  auto MustStopFillers(TimePoint now) const -> bool;
  // The speed that the rooms leave to a filler; takes its part of them.
  auto TakeSpeed(const Run& filler,
                 double capacity,
                 std::map<uint64_t, double>* rooms) const -> uint32_t;

  FillerPacingOptions options_;
  std::map<uint64_t, Run> runs_;
  // The owner's, from all workers, and what this worker told since.
  ImageInterference interference_;
  TimePoint decided_at_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_FILLER_PACING_H_

#include <algorithm>

#include "Jobs/job_owner.h"
#include "Jobs/opportunistic_speed.h"

// Moves opportunistic tasks that are slowed down for long to workers where they
// would not be.
//
// A job ends with its last task. On days when the workers serve heavy load,
// most late jobs waited for one or two tasks that their agents had slowed to a
// tenth for 8 s and more, while tasks of the same step took 2 s elsewhere.
namespace rhubarbhaven::jobs {
namespace {

// Cost of a move: a stop, a start and the time to resume.
constexpr std::chrono::milliseconds kMoveTime{1000};
// A move must bring the end forward by at least this, since the figures are
// approximate.
constexpr std::chrono::milliseconds kMinGain{1000};
// A new run's speed is not known earlier: workers report the mean of half a
// second, and agents adjust the pace each 300 ms.
constexpr std::chrono::milliseconds kSpeedSettlingTime{900};
constexpr std::chrono::milliseconds kMoveInterval{300};
// How long a place is held for a task that is moved. A stop takes effect and is
// reported within a second.
constexpr std::chrono::milliseconds kHoldTime{2000};
// Speed assumed for a stalled run, so that times stay finite.
constexpr double kMinSpeed = 0.05;
constexpr double kWholePercent = 100.0;

using Seconds = std::chrono::duration<double>;

// Remaining time of a run at full speed.
auto RunTimeLeft(const TaskPlace& place, uint32_t percent) -> Seconds {
  const double left = 1.0 - std::min(1.0, percent / kWholePercent);
  return ExpectedRunTime(place.spec(), place.step_work()) * left;
}

auto IsMovable(TimePoint now, const TaskPlace& place, const RunWork& run)
    -> bool {
  return run.phase == RunPhase::kRunning && run.speed &&
         now - run.ordered_at >= kSpeedSettlingTime &&
         place.spec().uses_spare_processors() && !place.spec().gang() &&
         place.work->outlook != JobOutlook::kTooLate;
}

}  // namespace

auto JobOwner::SlowedOpportunisticRuns(TimePoint now)
    -> std::vector<SlowedOpportunisticRun> {
  std::vector<SlowedOpportunisticRun> slowed;
  for (const auto& [name, worker] : workers_) {
    if (!worker->Accepts(now)) {
      continue;
    }
    for (const auto& [number, place] : worker->runs) {
      for (auto& run : place.task().runs) {
        if (run.worker != worker.get() || !IsMovable(now, place, run)) {
          continue;
        }
        const Seconds left = RunTimeLeft(place, run.percent);
        const Seconds here = left / std::max(kMinSpeed, *run.speed);
        const Seconds elsewhere =
            kMoveTime + (place.spec().checkpointing()
                             ? left
                             : RunTimeLeft(place, /*percent=*/0));
        if (here - elsewhere >= kMinGain) {
          slowed.push_back({place, run.run, here - elsewhere});
        }
      }
    }
  }
  std::sort(slowed.begin(), slowed.end(),
            [](const SlowedOpportunisticRun& left,
               const SlowedOpportunisticRun& right) -> bool {
              return std::tie(left.place.work->outlook, right.gain) <
                     std::tie(right.place.work->outlook, left.gain);
            });
  return slowed;
}

auto JobOwner::MoveSlowedRuns(TimePoint now) -> void {
  if (now - moved_at_ < kMoveInterval) {
    return;
  }
  moved_at_ = now;
  for (const auto& slowed : SlowedOpportunisticRuns(now)) {
    auto& runs = slowed.place.task().runs;
    const auto run = std::find_if(
        runs.begin(), runs.end(),
        [&slowed](const RunWork& other) { return other.run == slowed.run; });
    WorkerView* to =
        ChoosePlace(now, changes_.Since(0), slowed.place, interference_);
    if (to == nullptr || run == runs.end() || to == run->worker) {
      continue;
    }
    held_places_.Hold(now + kHoldTime, slowed.place, *to);
    Log("hold", slowed.place, slowed.run, to, "its task is moved here");
    StopRun(slowed.place, *run, "it is slowed here and would not be elsewhere");
  }
}

}  // namespace rhubarbhaven::jobs

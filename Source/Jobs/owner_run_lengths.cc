#include <algorithm>
#include <cmath>

#include "Jobs/job_owner.h"

// What the owner learns about the lengths of runs.
namespace rhubarbhaven::jobs {
namespace {

constexpr double kWholePercent = 100.0;
// The total time of a run that did less than this share is too uncertain.
constexpr double kMinShare = 0.25;
// From this progress on, the total time of a run is extrapolated.
constexpr uint32_t kExtrapolationPercent = 50;
// Change of an expected time that is worth ranking its job again.
constexpr double kRankedChange = 0.05;
constexpr std::chrono::seconds kRecordInterval{10};

auto KeyOf(const TaskPlace& place) -> RunLengthKey {
  return {place.work->job().queue(), place.step, place.spec().image()};
}

auto RunTimesOf(const StepWork& step) -> StepRunTimes {
  StepRunTimes times;
  for (std::size_t index = 0; index < step.run_times.size(); ++index) {
    if (step.run_times[index].count() > 0) {
      times.known.push_back(step.run_times[index]);
    } else if (!step.tasks()[index].runs.empty()) {
      ++times.unknown;
    }
  }
  return times;
}

// Whether the run times of the step's tasks apply to other tasks: they are not
// slowed by other members of a gang, or by the distance from their data.
auto IsRepresentative(const JobStep& step, const WorkerView& worker) -> bool {
  const bool near_data =
      step.data_rack().empty() || step.data_rack() == worker.rack;
  return !step.long_running() && !step.gang() && step.estimated_ms() > 0 &&
         near_data;
}

}  // namespace

auto JobOwner::MeasureRun(TimePoint now, const TaskPlace& place, RunWork& run)
    -> void {
  const double speed = place.spec().uses_spare_processors()
                           ? std::min(1.0, run.speed.value_or(1.0))
                           : 1.0;
  run.full_speed_time +=
      std::chrono::duration_cast<Duration>((now - run.measured_at) * speed);
  run.measured_at = now;
}

auto JobOwner::NoteProgress(const TaskPlace& place, RunWork& run) -> void {
  if (!run.first_percent) {
    // A run that resumes from a checkpoint does not begin at zero.
    run.first_percent = place.task().checkpoint.empty() ? 0 : run.percent;
  }
  if (run.percent >= kExtrapolationPercent && !run.extrapolated) {
    run.extrapolated = true;
    SetRunTime(place, run, run.percent);
  }
}

auto JobOwner::NoteRunDone(TimePoint now,
                           const TaskPlace& place,
                           uint64_t number,
                           const WorkerView& worker) -> void {
  auto& runs = place.task().runs;
  const auto run =
      std::find_if(runs.begin(), runs.end(), [&](const RunWork& other) -> bool {
        return other.run == number && other.worker == &worker;
      });
  if (run == runs.end() || run->phase == RunPhase::kStarting) {
    return;
  }
  MeasureRun(now, place, *run);
  const auto length =
      SetRunTime(place, *run, static_cast<uint32_t>(kWholePercent));
  if (!length) {
    return;
  }
  const auto ratio = [&length](std::chrono::milliseconds expected) -> double {
    return static_cast<double>(length->count()) /
           static_cast<double>(std::max<int64_t>(1, expected.count()));
  };
  const std::chrono::milliseconds estimate(place.spec().estimated_ms());
  hooks_.report_run_length({ratio(estimate), ratio(run->expected_at_start)});
  run_lengths_.Record(KeyOf(place), ratio(estimate));
}

auto JobOwner::SetRunTime(const TaskPlace& place,
                          const RunWork& run,
                          uint32_t percent)
    -> std::optional<std::chrono::milliseconds> {
  const double share =
      (percent - std::min(percent, run.first_percent.value_or(0))) /
      kWholePercent;
  if (share < kMinShare || !IsRepresentative(place.spec(), *run.worker)) {
    return std::nullopt;
  }
  auto& step = place.step_work();
  step.run_times.resize(step.tasks().size());
  const auto length =
      std::max(std::chrono::milliseconds(1),
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   run.full_speed_time / share));
  step.run_times[place.index] = length;
  UpdateExpectedRunTime(place);
  return length;
}

auto JobOwner::UpdateExpectedRunTime(const TaskPlace& place) -> void {
  auto& step = place.step_work();
  const auto& spec = place.spec();
  const auto before = ExpectedRunTime(spec, step);
  const auto expected = ExpectedRunTime(
      std::chrono::milliseconds(spec.estimated_ms()),
      run_lengths_.ExpectedRatio(KeyOf(place)), RunTimesOf(step));
  const auto change =
      static_cast<double>(std::abs((expected - before).count()));
  if (change > kRankedChange * static_cast<double>(before.count())) {
    step.expected_run_time = expected;
    order_.MarkChanged(*place.work);
  }
}

auto JobOwner::SetExpectedRunTimes(JobWork& work, uint32_t occurrence) -> void {
  const auto steps = static_cast<uint32_t>(work.job().steps_size());
  for (uint32_t step = 0; step < steps; ++step) {
    UpdateExpectedRunTime({&work, occurrence, step, 0});
  }
}

auto JobOwner::StoreRunLengthsIfDue(TimePoint now) -> void {
  if (now - run_lengths_stored_at_ >= kRecordInterval) {
    run_lengths_stored_at_ = now;
    run_lengths_due_ = run_lengths_due_ || run_lengths_.HasChanged();
  }
}

}  // namespace rhubarbhaven::jobs

#include "Jobs/job_work.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace rhubarbhaven::jobs {
auto StepWork::Waits(uint32_t index) const -> bool {
  return !tasks_[index].done && tasks_[index].runs.empty();
}

auto StepWork::AddRun(uint32_t index, const RunWork& run) -> RunWork& {
  const bool waited = Waits(index);
  auto& added = tasks_[index].runs.emplace_back(run);
  UpdateCounts(index, waited);
  return added;
}

auto StepWork::RemoveRun(uint32_t index, std::vector<RunWork>::iterator run)
    -> void {
  const bool waited = Waits(index);
  tasks_[index].runs.erase(run);
  UpdateCounts(index, waited);
}

auto StepWork::SetDone(uint32_t index) -> void {
  // Counts a task once, also if its completion is reported twice: a step with
  // more completions than tasks would never count as complete.
  if (tasks_[index].done) {
    return;
  }
  const bool waited = Waits(index);
  tasks_[index].done = true;
  ++done_;
  UpdateCounts(index, waited);
}

auto StepWork::UpdateCounts(uint32_t index, bool waited) -> void {
  const bool waits = Waits(index);
  if (waits && !waited) {
    ++waiting_;
    first_waiting_ = std::min(first_waiting_, index);
  }
  if (!waits && waited) {
    --waiting_;
  }
  while (first_waiting_ < tasks_.size() && !Waits(first_waiting_)) {
    ++first_waiting_;
  }
}

auto ExpectedRunTime(const JobStep& spec, const StepWork& step)
    -> std::chrono::milliseconds {
  return step.expected_run_time.value_or(
      std::chrono::milliseconds(spec.estimated_ms()));
}

auto OccurrenceWork::complete() const -> bool {
  return std::all_of(
      steps.begin(), steps.end(),
      [](const StepWork& step) -> bool { return step.complete(); });
}

auto OccurrenceWork::has_runs() const -> bool {
  return std::any_of(
      steps.begin(), steps.end(), [](const StepWork& step) -> bool {
        return std::any_of(
            step.tasks().begin(), step.tasks().end(),
            [](const TaskWork& task) -> bool { return !task.runs.empty(); });
      });
}

auto JobWork::total_occurrences() const -> uint32_t {
  return std::max(1U, job().occurrences());
}

auto JobWork::open() const -> bool {
  return !entry->over() && state < JOB_COMPLETED;
}

auto JobWork::NothingRuns() const -> bool {
  return std::all_of(
      occurrences.begin(), occurrences.end(), [](const auto& item) -> bool {
        const auto& steps = item.second.steps;
        return std::all_of(
            steps.begin(), steps.end(),
            [](const StepWork& step) -> bool { return step.running() == 0; });
      });
}

auto JobWork::Ready(const OccurrenceWork& occurrence, uint32_t step) const
    -> bool {
  const auto& after = job().steps(static_cast<int>(step)).after();
  return std::all_of(after.begin(), after.end(),
                     [&occurrence](uint32_t earlier) -> bool {
                       return occurrence.steps[earlier].complete();
                     });
}

auto JobWork::Open(TimePoint now, uint32_t number, bool uncertain)
    -> OccurrenceWork& {
  auto& occurrence = occurrences[number];
  opened = std::max(opened, number + 1);
  if (!occurrence.steps.empty()) {
    return occurrence;
  }
  TaskWork task;
  task.uncertain = uncertain;
  task.waiting_since = now;
  for (const auto& step : job().steps()) {
    occurrence.steps.emplace_back(step.count(), task);
  }
  return occurrence;
}

auto JobWork::CloseComplete() -> std::vector<uint32_t> {
  std::vector<uint32_t> numbers;
  for (const auto& [number, occurrence] : occurrences) {
    if (occurrence.complete() && !occurrence.has_runs()) {
      numbers.push_back(number);
    }
  }
  for (const uint32_t number : numbers) {
    closed.insert(number);
    occurrences.erase(number);
  }
  return numbers;
}

auto JobWork::AllComplete() const -> bool {
  return opened == total_occurrences() &&
         std::all_of(
             occurrences.begin(), occurrences.end(),
             [](const auto& item) -> bool { return item.second.complete(); });
}

auto JobWork::ready_tasks() const -> uint64_t {
  uint64_t tasks = 0;
  for (const auto& [number, occurrence] : occurrences) {
    for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const uint32_t waiting = occurrence.steps[step].waiting();
      tasks += waiting > 0 && Ready(occurrence, step) ? waiting : 0;
    }
  }
  return tasks;
}

auto TaskPlace::task() const -> TaskWork& {
  return step_work().tasks()[index];
}

auto TaskPlace::step_work() const -> StepWork& {
  return work->occurrences.at(occurrence).steps[step];
}

auto TaskPlace::crashes() const -> CrashRecord& {
  return spec().gang() ? step_work().tasks().front().crashes : task().crashes;
}

auto TaskPlace::spec() const -> const JobStep& {
  return work->job().steps(static_cast<int>(step));
}

auto TaskPlace::Name() const -> TaskName {
  TaskName name;
  name.set_job(work->job().id());
  name.set_occurrence(occurrence);
  name.set_step(step);
  name.set_index(index);
  return name;
}

auto DescribeTask(const TaskName& task) -> std::string {
  return absl::StrCat(task.job(), ".", task.occurrence(), ".", task.step(), ".",
                      task.index());
}

}  // namespace rhubarbhaven::jobs

#include "Jobs/job_work.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace rhubarbhaven::jobs {
namespace {

constexpr uint32_t kBitsPerByte = 8;

auto BitIsSet(const std::string& bits, uint32_t index) -> bool {
  const uint32_t byte = index / kBitsPerByte;
  return byte < bits.size() &&
         ((static_cast<unsigned char>(bits[byte]) >> (index % kBitsPerByte)) &
          1U) != 0;
}

auto SetBit(std::string* bits, uint32_t index) -> void {
  const uint32_t byte = index / kBitsPerByte;
  (*bits)[byte] = static_cast<char>(static_cast<unsigned char>((*bits)[byte]) |
                                    (1U << (index % kBitsPerByte)));
}

auto StepProgressOf(const StepWork& step, uint32_t number) -> StepProgress {
  StepProgress progress;
  progress.set_number(number);
  std::string* done = progress.mutable_done();
  const auto& tasks = step.tasks();
  done->assign((tasks.size() + kBitsPerByte - 1) / kBitsPerByte, '\0');
  for (uint32_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].done) {
      SetBit(done, index);
    }
    if (tasks[index].failures > 0) {
      (*progress.mutable_failures())[index] = tasks[index].failures;
    }
    const CrashRecord& crashes = tasks[index].crashes;
    if (crashes.in_all > 0) {
      auto& known = (*progress.mutable_crashes())[index];
      known.set_in_row(crashes.in_row);
      known.set_in_all(crashes.in_all);
      known.mutable_runs()->Assign(crashes.runs.begin(), crashes.runs.end());
    }
  }
  return progress;
}

auto RestoreStep(const StepProgress& known, StepWork* work) -> void {
  for (uint32_t index = 0; index < work->tasks().size(); ++index) {
    if (BitIsSet(known.done(), index)) {
      work->SetDone(index);
    }
  }
  for (const auto& [index, failures] : known.failures()) {
    if (index < work->tasks().size()) {
      work->tasks()[index].failures = failures;
    }
  }
  for (const auto& [index, crashes] : known.crashes()) {
    if (index < work->tasks().size()) {
      work->tasks()[index].crashes = {
          crashes.in_row(),
          crashes.in_all(),
          {crashes.runs().begin(), crashes.runs().end()}};
    }
  }
}

}  // namespace

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

auto JobWork::Restore(TimePoint now, bool uncertain) -> void {
  state = entry->progress.state();
  for (const auto& known : entry->progress.occurrences()) {
    // Rows beyond the job's own occurrences come from another writer; see
    // `CheckProgress`.
    if (known.number() >= total_occurrences()) {
      continue;
    }
    auto& occurrence = Open(now, known.number(), uncertain);
    for (const auto& step : known.steps()) {
      if (step.number() < occurrence.steps.size()) {
        RestoreStep(step, &occurrence.steps[step.number()]);
      }
    }
  }
}

auto JobWork::Progress() const -> JobProgress {
  JobProgress progress;
  progress.set_state(state);
  for (const auto& [number, occurrence] : occurrences) {
    auto* known = progress.add_occurrences();
    known->set_number(number);
    for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      *known->add_steps() = StepProgressOf(occurrence.steps[step], step);
    }
  }
  return progress;
}

auto JobWork::AllComplete() const -> bool {
  return occurrences.size() == total_occurrences() &&
         std::all_of(
             occurrences.begin(), occurrences.end(),
             [](const auto& item) -> bool { return item.second.complete(); });
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

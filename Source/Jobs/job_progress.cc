#include "Jobs/job_progress.h"

#include <algorithm>
#include <string>

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

// With `failures`, also the failures and crashes of tasks.
auto StepProgressOf(const StepWork& step, uint32_t number, bool failures)
    -> StepProgress {
  StepProgress progress;
  progress.set_number(number);
  std::string* done = progress.mutable_done();
  const auto& tasks = step.tasks();
  done->assign((tasks.size() + kBitsPerByte - 1) / kBitsPerByte, '\0');
  for (uint32_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].done) {
      SetBit(done, index);
    }
    if (!failures) {
      continue;
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

// The progress of a complete step of which nothing else is known.
auto CompleteStep(const JobStep& spec, uint32_t number) -> StepProgress {
  StepProgress progress;
  progress.set_number(number);
  std::string* done = progress.mutable_done();
  done->assign((spec.count() + kBitsPerByte - 1) / kBitsPerByte, '\xff');
  const uint32_t rest = spec.count() % kBitsPerByte;
  if (rest > 0) {
    done->back() = static_cast<char>((1U << rest) - 1);
  }
  return progress;
}

auto AddOccurrence(const JobWork& work,
                   uint32_t number,
                   bool failures,
                   JobProgress* progress) -> void {
  auto* known = progress->add_occurrences();
  known->set_number(number);
  const auto open = work.occurrences.find(number);
  for (int step = 0; step < work.job().steps_size(); ++step) {
    const auto index = static_cast<uint32_t>(step);
    *known->add_steps() =
        open == work.occurrences.end()
            ? CompleteStep(work.job().steps(step), index)
            : StepProgressOf(open->second.steps[index], index, failures);
  }
}

// Whether a record has to tell something about the occurrence.
auto IsTouched(const OccurrenceWork& occurrence) -> bool {
  return std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
                     [](const StepWork& step) -> bool {
                       return std::any_of(
                           step.tasks().begin(), step.tasks().end(),
                           [](const TaskWork& task) -> bool {
                             return task.done || task.failures > 0 ||
                                    task.crashes.in_all > 0;
                           });
                     });
}

auto ListAll(const JobWork& work) -> JobProgress {
  JobProgress progress;
  progress.set_state(work.state);
  for (uint32_t number = 0; number < work.opened; ++number) {
    AddOccurrence(work, number, /*failures=*/true, &progress);
  }
  return progress;
}

auto ListOpen(const JobWork& work, bool failures) -> JobProgress {
  JobProgress progress;
  progress.set_state(work.state);
  progress.set_opened(work.opened);
  OccurrenceSet completed = work.closed;
  for (const auto& [number, occurrence] : work.occurrences) {
    if (occurrence.complete()) {
      completed.insert(number);
    }
  }
  for (const auto& interval : completed) {
    auto* range = progress.add_completed();
    range->set_first(boost::icl::first(interval));
    range->set_count(boost::icl::last(interval) - boost::icl::first(interval) +
                     1);
  }
  const uint32_t last = work.opened - 1;
  for (const auto& [number, occurrence] : work.occurrences) {
    if (number != last && !occurrence.complete() && IsTouched(occurrence)) {
      AddOccurrence(work, number, failures, &progress);
    }
  }
  // Earlier releases skip a record whose rows leave out occurrences. Without
  // this row, they could take it for one of a job that has completed less.
  AddOccurrence(work, last, failures, &progress);
  return progress;
}

auto RestoreOccurrence(TimePoint now,
                       bool uncertain,
                       const OccurrenceProgress& known,
                       JobWork* work) -> void {
  // Rows beyond the job's own occurrences come from another writer; see
  // `CheckProgress`.
  if (known.number() >= work->total_occurrences() ||
      boost::icl::contains(work->closed, known.number())) {
    return;
  }
  auto& occurrence = work->Open(now, known.number(), uncertain);
  for (const auto& step : known.steps()) {
    if (step.number() < occurrence.steps.size()) {
      RestoreStep(step, &occurrence.steps[step.number()]);
    }
  }
  if (occurrence.complete()) {
    work->closed.insert(known.number());
    work->occurrences.erase(known.number());
  }
}

}  // namespace

auto MakeProgress(const JobWork& work, std::size_t max_bytes)
    -> ProgressRecord {
  ProgressRecord record;
  // The number of a step and its tasks, each with a tag and a length.
  constexpr std::size_t kMinStepBytes = 5;
  const std::size_t min_bytes =
      std::size_t{work.opened} *
      static_cast<std::size_t>(work.job().steps_size()) * kMinStepBytes;
  if (min_bytes <= max_bytes || work.opened == 0) {
    record.progress = ListAll(work);
    if (record.progress.ByteSizeLong() <= max_bytes || work.opened == 0) {
      return record;
    }
  }
  if (work.state >= JOB_COMPLETED) {
    record.progress.Clear();
    record.progress.set_state(work.state);
    return record;
  }
  record.progress = ListOpen(work, /*failures=*/true);
  if (record.progress.ByteSizeLong() > max_bytes) {
    record.progress = ListOpen(work, /*failures=*/false);
    record.without_failures = true;
  }
  return record;
}

auto RestoreProgress(TimePoint now, bool uncertain, JobWork* work) -> void {
  const JobProgress& progress = work->entry->progress;
  work->state = progress.state();
  for (const auto& range : progress.completed()) {
    work->closed.insert(OccurrenceSet::interval_type::right_open(
        range.first(), range.first() + range.count()));
  }
  for (const auto& known : progress.occurrences()) {
    RestoreOccurrence(now, uncertain, known, work);
  }
  for (uint32_t number = 0; number < progress.opened(); ++number) {
    if (!boost::icl::contains(work->closed, number)) {
      work->Open(now, number, uncertain);
    }
  }
  work->opened = std::max(work->opened, progress.opened());
}

auto MaxOccurrenceBytes(const Job& job) -> std::size_t {
  // Tags, lengths and numbers: of the occurrence and of a range of completed
  // ones beside it, and of a step.
  constexpr std::size_t kOccurrenceBytes = 24;
  constexpr std::size_t kStepBytes = 16;
  std::size_t bytes = kOccurrenceBytes;
  for (const auto& step : job.steps()) {
    bytes += kStepBytes + step.count() / kBitsPerByte + 1;
  }
  return bytes;
}

}  // namespace rhubarbhaven::jobs

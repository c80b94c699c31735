#include "Jobs/overload_order.h"

#include <algorithm>
#include <cstddef>
#include <queue>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

constexpr double kWholePercent = 100.0;
constexpr double kMillicoresPerCore = 1000.0;

using Indexes = std::vector<std::size_t>;

// The unfinished part of a task that has a run.
auto ShareLeft(const TaskWork& task) -> double {
  uint32_t percent = 0;
  for (const auto& run : task.runs) {
    percent = std::max(percent, run.percent);
  }
  return 1.0 - std::min(1.0, percent / kWholePercent);
}

auto IndexesOf(const std::vector<OverloadJob>& jobs,
               const std::vector<OverloadClass>& classes,
               OverloadClass wanted) -> Indexes {
  Indexes found;
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    if (classes[index] == wanted) {
      found.push_back(index);
    }
  }
  return found;
}

// Work of the jobs that are served one after the other, against the times at
// which they are due.
class Schedule {
 public:
  Schedule(double cores, CoreSeconds work, std::chrono::milliseconds now)
      : cores_(cores), work_(work), now_(now) {}

  auto Add(const OverloadJob& job) -> void { work_ += job.work_left.waiting; }
  auto Remove(const OverloadJob& job) -> void {
    work_ -= job.work_left.waiting;
  }
  // Time from the predicted end of a job that is served next until it is due.
  // Its last task takes its whole run time even if there is room for all tasks.
  auto SlackOf(const OverloadJob& job) const -> CoreSeconds {
    const CoreSeconds served = job.work_left.waiting / cores_;
    return CoreSeconds(job.due - now_) - work_ / cores_ -
           std::max(served, CoreSeconds(job.chain_left));
  }

 private:
  double cores_;
  CoreSeconds work_;
  std::chrono::milliseconds now_;
};

// Displaces jobs until all others can be in time. `in_time` is sorted by due
// time.
auto Displace(const std::vector<OverloadJob>& jobs,
              const Indexes& in_time,
              Schedule schedule,
              std::vector<OverloadClass>* classes) -> void {
  // The job with the most work waiting first.
  std::priority_queue<std::pair<CoreSeconds, std::size_t>> kept;
  for (const std::size_t index : in_time) {
    if (schedule.SlackOf(jobs[index]) < CoreSeconds(0)) {
      Schedule without_largest = schedule;
      const bool any = !kept.empty();
      const std::size_t largest = any ? kept.top().second : index;
      if (any) {
        without_largest.Remove(jobs[largest]);
      }
      const bool gains = any &&
                         kept.top().first > jobs[index].work_left.waiting &&
                         without_largest.SlackOf(jobs[index]) >= CoreSeconds(0);
      if (!gains) {
        (*classes)[index] = OverloadClass::kLate;
        continue;
      }
      kept.pop();
      (*classes)[largest] = OverloadClass::kLate;
      schedule = without_largest;
    }
    kept.emplace(jobs[index].work_left.waiting, index);
    schedule.Add(jobs[index]);
  }
}

// The longest time by which all jobs in time may be delayed.
auto SlackOfAll(const std::vector<OverloadJob>& jobs,
                const Indexes& in_time,
                const std::vector<OverloadClass>& classes,
                Schedule schedule) -> CoreSeconds {
  CoreSeconds slack = CoreSeconds::max();
  for (const std::size_t index : in_time) {
    if (classes[index] == OverloadClass::kInTime) {
      slack = std::min(slack, schedule.SlackOf(jobs[index]));
      schedule.Add(jobs[index]);
    }
  }
  return slack;
}

}  // namespace

auto WorkLeftOf(const JobWork& work) -> WorkLeft {
  WorkLeft left;
  for (const auto& [number, occurrence] : work.occurrences) {
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      const auto& state = occurrence.steps[step];
      if (state.complete()) {
        continue;
      }
      const auto& spec = work.job().steps(static_cast<int>(step));
      const CoreSeconds of_task =
          CoreSeconds(ExpectedRunTime(spec, state)) *
          (spec.need().millicores() / kMillicoresPerCore);
      left.waiting += of_task * state.waiting();
      if (state.running() == 0) {
        continue;
      }
      for (const auto& task : state.tasks()) {
        if (!task.done && !task.runs.empty()) {
          left.running += of_task * ShareLeft(task);
        }
      }
    }
  }
  return left;
}

auto ClassOf(JobOutlook outlook) -> OverloadClass {
  switch (outlook) {
    case JobOutlook::kInTime:
      return OverloadClass::kInTime;
    case JobOutlook::kLate:
      return OverloadClass::kLate;
    case JobOutlook::kTooLate:
      break;
  }
  return OverloadClass::kTooLate;
}

auto ClassifyJobs(const std::vector<OverloadJob>& jobs,
                  double cores,
                  CoreSeconds work_before,
                  std::chrono::milliseconds now) -> std::vector<OverloadClass> {
  std::vector<OverloadClass> classes;
  classes.reserve(jobs.size());
  for (const auto& job : jobs) {
    classes.push_back(ClassOf(job.outlook));
  }
  if (cores <= 0) {
    return classes;
  }
  for (const auto& job : jobs) {
    work_before += job.work_left.running;
  }
  const Schedule schedule(cores, work_before, now);
  Indexes in_time = IndexesOf(jobs, classes, OverloadClass::kInTime);
  std::sort(in_time.begin(), in_time.end(),
            [&jobs](std::size_t left, std::size_t right) -> bool {
              return std::pair(jobs[left].due, left) <
                     std::pair(jobs[right].due, right);
            });
  Displace(jobs, in_time, schedule, &classes);
  CoreSeconds slack = SlackOfAll(jobs, in_time, classes, schedule);
  Indexes late = IndexesOf(jobs, classes, OverloadClass::kLate);
  std::sort(late.begin(), late.end(),
            [&jobs](std::size_t left, std::size_t right) -> bool {
              return std::pair(jobs[left].work_left.waiting, left) <
                     std::pair(jobs[right].work_left.waiting, right);
            });
  for (const std::size_t index : late) {
    const CoreSeconds needed = jobs[index].work_left.waiting / cores;
    if (needed > slack) {
      break;
    }
    slack -= needed;
    classes[index] = OverloadClass::kFinishFirst;
  }
  return classes;
}

}  // namespace rhubarbhaven::jobs

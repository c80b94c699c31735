#include <algorithm>

#include "Jobs/job_owner.h"

// What the ends of runs and the results of orders mean.
namespace rhubarbhaven::jobs {
namespace {

// A worker that failed this many runs in a row takes none for a while; then
// its next run is a probe.
constexpr int kFailuresToSetAside = 3;
constexpr std::chrono::milliseconds kSetAside{3000};
constexpr std::chrono::milliseconds kNoRoomPause{150};
constexpr std::chrono::milliseconds kUnhealthyPause{700};
// Before a failed task is tried again.
constexpr std::chrono::milliseconds kFailurePause{50};

}  // namespace

auto JobOwner::OnEnd(TimePoint now,
                     WorkerView& worker,
                     const EndedTask& row,
                     bool census) -> void {
  const auto place = Locate(row.task());
  if (!place) {
    return;
  }
  auto& task = place->task();
  const bool known = RemoveRun(now, *place, row.run(), &worker);
  if (!known && !census) {
    // The run was taken for lost and its worker's lease had run out: the end
    // does not count, and the task may run elsewhere by now.
    Log("end_ignored", *place, row.run(), &worker, "the run was lost");
    return;
  }
  if (task.done) {
    return;
  }
  if (!row.checkpoint().empty()) {
    task.checkpoint = row.checkpoint();
  }
  Log("end", *place, row.run(), &worker, RunEnd_Name(row.end()));
  switch (row.end()) {
    case RUN_DONE:
      worker.failures_in_row = 0;
      OnDone(*place);
      break;
    case RUN_FAILED:
      OnFailed(now, worker, *place);
      break;
    default:
      break;
  }
  ForgetJobIfIdle(now, row.task().job());
}

auto JobOwner::OnDone(const TaskPlace& place) -> void {
  auto& step = place.step_work();
  if (place.spec().long_running()) {
    return;
  }
  for (uint32_t index = 0; index < step.tasks().size(); ++index) {
    // One end of a gang's member stands for all.
    if (index != place.index && !place.spec().gang()) {
      continue;
    }
    step.SetDone(index);
    TaskPlace member = place;
    member.index = index;
    for (auto& run : step.tasks()[index].runs) {
      if (!place.spec().gang()) {
        StopRun(member, run, "another run of the task is done");
      }
    }
  }
  NoteProgressOf(*place.work);
  if (place.work->state == JOB_QUEUED) {
    place.work->state = JOB_RUNNING;
  }
  if (place.work->AllComplete()) {
    SetState(*place.work, JOB_COMPLETED);
  }
  place_due_ = true;
}

auto JobOwner::OnFailed(TimePoint now,
                        WorkerView& worker,
                        const TaskPlace& place) -> void {
  auto& task = place.task();
  // A gang fails as one: its first member's count stands for all.
  auto& counted =
      place.spec().gang() ? place.step_work().tasks().front() : task;
  ++counted.failures;
  task.not_before = now + kFailurePause;
  retry_at_ = std::min(retry_at_, task.not_before);
  NoteProgressOf(*place.work);
  ++worker.failures_in_row;
  if (worker.failures_in_row >= kFailuresToSetAside) {
    SetAside(worker, now + kSetAside);
  }
  const uint32_t limit = place.work->rules.max_attempts();
  if (limit > 0 && counted.failures >= limit && !place.spec().long_running()) {
    SetState(*place.work, JOB_FAILED);
    EndJob(*place.work, "its job has failed");
  }
}

auto JobOwner::OnOrderResult(TimePoint now,
                             WorkerView& worker,
                             const OrderResult& result) -> void {
  const auto found = worker.orders.find(result.order());
  if (found == worker.orders.end()) {
    return;
  }
  const auto start = found->second.start;
  worker.orders.erase(found);
  worker.results_seen = worker.orders.empty()
                            ? next_order_ - 1
                            : worker.orders.begin()->first - 1;
  if (start) {
    OnStartResult(now, worker, *start, result.outcome());
  }
}

auto JobOwner::OnStartResult(TimePoint now,
                             WorkerView& worker,
                             const StartOrder& start,
                             OrderOutcome outcome) -> void {
  const auto place = Locate(start.task());
  if (!place) {
    return;
  }
  if (outcome == ORDER_DONE) {
    place->work->standing = {};
    for (auto& run : place->task().runs) {
      if (run.run == start.run() && run.worker == &worker &&
          run.phase == RunPhase::kStarting) {
        run.phase = RunPhase::kRunning;
        run.progress_at = now;
        run.seen_at = now;
      }
    }
    if (place->work->state == JOB_QUEUED) {
      SetState(*place->work, JOB_RUNNING);
    }
    return;
  }
  if (!RemoveRun(now, *place, start.run(), &worker)) {
    return;
  }
  Log("start_refused", *place, start.run(), &worker,
      OrderOutcome_Name(outcome));
  if (outcome == ORDER_NO_ROOM) {
    SetAside(worker, now + kNoRoomPause);
  } else if (outcome == ORDER_BAD_TICKET) {
    tickets_.Drop(start.task(), start.worker_id());
    place->task().not_before = now + kFailurePause;
  } else if (outcome == ORDER_UNHEALTHY) {
    ++worker.failures_in_row;
    SetAside(worker, now + kUnhealthyPause);
  } else {
    place->task().not_before = now + kFailurePause;
  }
  retry_at_ = std::min(retry_at_,
                       std::max(worker.set_aside_until, now + kFailurePause));
  place_due_ = true;
  ForgetJobIfIdle(now, start.task().job());
}

auto JobOwner::RemoveRun(TimePoint now,
                         const TaskPlace& place,
                         uint64_t run,
                         const WorkerView* worker) -> bool {
  auto& task = place.task();
  const auto found =
      std::find_if(task.runs.begin(), task.runs.end(),
                   [run, worker](const RunWork& candidate) -> bool {
                     return candidate.run == run && candidate.worker == worker;
                   });
  if (found == task.runs.end()) {
    return false;
  }
  WorkerView& holder = *found->worker;
  holder.Release(place.spec(), run);
  const auto held =
      std::find_if(holder.runs.begin(), holder.runs.end(),
                   [&place](const auto& item) -> bool {
                     return item.second.work == place.work &&
                            item.second.occurrence == place.occurrence &&
                            item.second.step == place.step &&
                            item.second.index == place.index;
                   });
  if (held != holder.runs.end()) {
    holder.suspects.erase(held->first);
    holder.runs.erase(held);
  }
  // An order to start what is over would only be refused by the worker.
  std::erase_if(holder.orders, [run, &place](const auto& item) -> bool {
    const auto& start = item.second.start;
    return start && start->run() == run &&
           start->task().index() == place.index &&
           start->task().step() == place.step &&
           start->task().job() == place.work->job().id();
  });
  interference_.Forget(run);
  place.step_work().RemoveRun(place.index, found);
  task.waiting_since = now;
  order_.Touch(*place.work);
  changes_.Note(holder);
  place_due_ = true;
  return true;
}

}  // namespace rhubarbhaven::jobs

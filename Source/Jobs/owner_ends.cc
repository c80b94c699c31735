#include <absl/strings/str_cat.h>

#include <algorithm>

#include "Jobs/job_owner.h"

// Handles ends of runs and results of orders.
namespace rhubarbhaven::jobs {
namespace {

// A worker that fails this many runs in a row is given none for a while; its
// next run is then a probe.
constexpr int kFailuresToQuarantine = 3;
constexpr std::chrono::milliseconds kQuarantineTime{3000};
constexpr std::chrono::milliseconds kNoRoomQuarantineTime{150};
constexpr std::chrono::milliseconds kUnhealthyQuarantineTime{700};
// Delay before a failed task is tried again.
constexpr std::chrono::milliseconds kRetryDelay{50};
// The same after a start that came too late: this owner is slow, or does not
// know why the start is void.
constexpr std::chrono::milliseconds kOutdatedRetryDelay{500};

}  // namespace

auto JobOwner::OnEnd(TimePoint now,
                     WorkerView& worker,
                     const EndedTask& row,
                     bool reconciling) -> void {
  const auto place = LocateRun(now, row.task());
  if (!place) {
    return;
  }
  auto& task = place->task();
  if (row.end() == RUN_DONE) {
    NoteRunDone(now, *place, row.run(), worker);
  }
  const bool known = RemoveRun(now, *place, row.run(), &worker);
  const bool lost = row.run() <= worker.lost_through_run;
  if (!known && !reconciling && lost) {
    // The run was declared lost after its worker's lease had expired: the end
    // does not count, and the task may run elsewhere by now.
    Log("end_ignored", *place, row.run(), &worker,
        absl::StrCat(RunEnd_Name(row.end()), ": the run was declared lost"));
    return;
  }
  if (!known && !reconciling) {
    // The agent is told that the end is stored, so that it must count.
    Log("end_of_unknown_run", *place, row.run(), &worker,
        RunEnd_Name(row.end()));
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
    // The end of one member of a gang counts for all.
    if (index != place.index && !place.spec().gang()) {
      continue;
    }
    step.SetDone(index);
    TaskPlace member = place;
    member.index = index;
    held_places_.Release(member);
    for (auto& run : step.tasks()[index].runs) {
      if (!place.spec().gang()) {
        StopRun(member, run, "another run of the task is done");
      }
    }
  }
  MarkProgressDirty(*place.work);
  CloseWhenComplete(place);
  if (place.work->state == JOB_QUEUED) {
    place.work->state = JOB_RUNNING;
  }
  if (place.work->AllComplete()) {
    SetState(*place.work, JOB_COMPLETED);
  }
  placement_due_ = true;
}

auto JobOwner::CloseWhenComplete(const TaskPlace& place) -> void {
  const bool recurs = place.work->job().occurrences() > 0;
  if (recurs && place.work->occurrences.at(place.occurrence).complete()) {
    jobs_to_close_.insert(place.work->job().id());
  }
}

auto JobOwner::OnFailed(TimePoint now,
                        WorkerView& worker,
                        const TaskPlace& place) -> void {
  auto& task = place.task();
  // A gang fails as a whole; the failures are counted at its first member.
  auto& counted =
      place.spec().gang() ? place.step_work().tasks().front() : task;
  ++counted.failures;
  task.not_before = now + kRetryDelay;
  retry_at_ = std::min(retry_at_, task.not_before);
  MarkProgressDirty(*place.work);
  ++worker.failures_in_row;
  if (worker.failures_in_row >= kFailuresToQuarantine) {
    QuarantineWorker(worker, now + kQuarantineTime);
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
  if (start) {
    longest_start_delay_ =
        std::max(longest_start_delay_, now - found->second.decided_at);
  }
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
    place->work->starved = {};
    for (auto& run : place->task().runs) {
      if (run.run == start.run() && run.worker == &worker &&
          run.phase == RunPhase::kStarting) {
        run.phase = RunPhase::kRunning;
        run.progress_at = now;
        run.seen_at = now;
        run.measured_at = now;
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
    QuarantineWorker(worker, now + kNoRoomQuarantineTime);
  } else if (outcome == ORDER_BAD_TICKET) {
    tickets_.Remove(start.task(), start.worker_id());
    place->task().not_before = now + kRetryDelay;
  } else if (outcome == ORDER_UNHEALTHY) {
    ++worker.failures_in_row;
    QuarantineWorker(worker, now + kUnhealthyQuarantineTime);
  } else {
    place->task().not_before =
        now + (outcome == ORDER_OUTDATED ? kOutdatedRetryDelay : kRetryDelay);
  }
  retry_at_ = std::min(retry_at_,
                       std::max(worker.quarantined_until, now + kRetryDelay));
  placement_due_ = true;
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
  // The worker would only reject an order to start a run that is over.
  std::erase_if(holder.orders, [run, &place](const auto& item) -> bool {
    return IsStartOf(item.second, place, run);
  });
  interference_.Forget(run);
  place.step_work().RemoveRun(place.index, found);
  CloseWhenComplete(place);
  task.waiting_since = now;
  order_.MarkChanged(*place.work);
  changes_.Record(holder);
  placement_due_ = true;
  return true;
}

}  // namespace rhubarbhaven::jobs

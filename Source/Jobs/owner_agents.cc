#include <algorithm>
#include <utility>

#include "Jobs/job_owner.h"
#include "Jobs/worker_id.h"

// Handles agents' reports: which workers exist, what runs on them, and
// interference.
namespace rhubarbhaven::jobs {
namespace {

// Positions of a worker's labels: its kind, then its rack.
constexpr std::size_t kKindLabel = 0;
constexpr std::size_t kRackLabel = 1;

}  // namespace

auto JobOwner::EndWorkerLifetime(TimePoint now,
                                 WorkerView& worker,
                                 WorkerExit how) -> void {
  DeclareRunsLost(now, worker, LostRuns::kAll,
                  how == WorkerExit::kCrashed ? "its worker has crashed"
                                              : "its worker has left");
  keys_to_delete_.push_back(MakeKey(RecordKind::kWorkerEnds, worker.worker_id));
  worker.worker_id.clear();
  // A restarted instance counts its time from zero. A lease that begins by the
  // previous clock would last until the new clock reaches that time.
  worker.reported_us = 0;
  SetConfirmed(worker, false);
  worker.failures_in_row = 0;
  worker.quarantined_until = TimePoint();
  quarantines_.Cancel(worker.number);
}

auto JobOwner::RefineWorkerId(WorkerView& worker, const std::string& worker_id)
    -> void {
  keys_to_delete_.push_back(MakeKey(RecordKind::kWorkerEnds, worker.worker_id));
  worker.worker_id = worker_id;
  // What the log holds under the earlier id is recorded anew.
  worker.ends_logged = 0;
  ends_due_.insert(worker.agent);
  grants_to_record_.insert(worker.agent);
}

auto JobOwner::UpdateWorker(TimePoint now,
                            WorkerView& worker,
                            const AgentReport& report) -> bool {
  worker.last_contact_at = now;
  if (AddsStart(report.worker_id(), worker.worker_id)) {
    RefineWorkerId(worker, report.worker_id());
  }
  worker.earlier_runs_ended =
      worker.earlier_runs_ended || report.worker_lapsed();
  const bool left =
      !worker.worker_id.empty() && worker.worker_id == report.left_worker_id();
  const bool new_lifetime = !worker.worker_id.empty() &&
                            !report.worker_id().empty() &&
                            worker.worker_id != report.worker_id();
  const bool keeps_name = new_lifetime && WorkerNameOf(worker.worker_id) ==
                                              WorkerNameOf(report.worker_id());
  if (left || new_lifetime) {
    // The record that the log may have about the previous worker must not apply
    // to the next one: a new owner would not wait for an agent whose worker is
    // recorded as having left. An agent process that has seen no worker leave
    // has not written such a record.
    const bool crashed = !left && report.left_worker_id().empty() &&
                         report.incarnation() != 0 &&
                         report.incarnation() == worker.agent_incarnation;
    const bool still_recorded = worker.grants_recorded && crashed;
    // A draining worker ends as planned, even if it does not report leaving.
    if (new_lifetime && !left && !worker.draining &&
        report.incarnation() != worker.agent_incarnation) {
      RecordUnreportedCrash(worker);
    }
    EndWorkerLifetime(
        now, worker,
        left || worker.draining ? WorkerExit::kPlanned : WorkerExit::kCrashed);
    worker.grants_recorded = still_recorded;
    if (still_recorded) {
      // Once the log names the next worker process, the record that it leaves
      // counts for a new owner.
      grants_to_record_.insert(worker.agent);
    }
  }
  worker.left = (worker.left || left) && report.worker_id().empty();
  if (report.worker_id().empty()) {
    // An agent that has just started does not know its worker yet. Its runs
    // continue under the lease of the previous process: if they were declared
    // lost, they would be started elsewhere while they run.
    worker.silent = true;
    worker.reported_us = 0;
    return false;
  }
  if (worker.worker_id.empty()) {
    worker.worker_id = report.worker_id();
    worker.ends_logged = fold_->ends_logged(worker.worker_id);
    worker.ends_processed = worker.ends_logged;
  }
  if (worker.agent_incarnation != report.incarnation()) {
    worker.followed_agent_incarnations.insert(
        std::exchange(worker.agent_incarnation, report.incarnation()));
    worker.reported_us = 0;
    worker.received_us = 0;
    window_.Forget(worker.number);
    // The previous process may have recorded that it stops. If this one were
    // granted to before the log names it, a new owner would rely on that record
    // and start elsewhere what runs here.
    worker.grants_recorded = false;
    if (worker.confirmed) {
      grants_to_record_.insert(worker.agent);
    }
  }
  const bool accepted = worker.Accepts(now);
  const ResourceAmounts capacity = worker.capacity;
  const bool other =
      worker.service != report.service() ||
      !std::equal(worker.labels.begin(), worker.labels.end(),
                  report.labels().begin(), report.labels().end());
  worker.reported_at = now;
  worker.reported_us = std::max(worker.reported_us, report.sent_us());
  worker.service = report.service();
  worker.failure_domain = report.failure_domain();
  worker.evacuated = hooks_.is_evacuated(worker.failure_domain);
  worker.capacity = AmountsOf(report.capacity());
  worker.labels.assign(report.labels().begin(), report.labels().end());
  worker.kind =
      worker.labels.size() > kKindLabel ? worker.labels[kKindLabel] : "";
  worker.rack =
      worker.labels.size() > kRackLabel ? worker.labels[kRackLabel] : "";
  worker.draining = report.draining();
  worker.silent = report.worker_silent();
  worker.agent_pacing_version = report.pacing_version();
  const bool begins = !accepted && worker.Accepts(now);
  const bool grows = !capacity.Covers(worker.capacity);
  if (begins || grows || other) {
    changes_.Record(worker);
    placement_due_ = true;
  }
  return keeps_name;
}

auto JobOwner::AdoptListing(TimePoint now,
                            WorkerView& worker,
                            const AgentReport& report) -> void {
  SetConfirmed(worker, true);
  if (reconciliation_done_) {
    // Runs of earlier owners were assumed to be over.
    worker.lost_through_run = NewestRun();
  }
  changes_.Record(worker);
  if (!worker.grants_recorded) {
    grants_to_record_.insert(worker.agent);
  }
  // It has answered under this fence, so no other owner leases to it any more,
  // and any earlier lease began before now. The reconciliation deadline is no
  // bound for it: it may be long past, and the worker would be declared lost at
  // once, or far ahead, and the loss of runs on an agent that vanishes would go
  // unnoticed until then.
  SetLeaseBound(worker, LeaseBound(now));
  for (const auto& row : report.running()) {
    AdoptRun(now, worker, row);
  }
  placement_due_ = true;
}

auto JobOwner::LeaseBound(TimePoint granted_from) const -> TimePoint {
  return granted_from + options_.LongestLease();
}

auto JobOwner::AdoptRun(TimePoint now,
                        WorkerView& worker,
                        const RunningTask& row) -> void {
  const auto place = LocateRun(now, row.task());
  if (!place) {
    StopOrphan(worker, row);
    return;
  }
  auto& task = place->task();
  for (const auto& run : task.runs) {
    if (run.worker == &worker && run.run == row.run()) {
      UpdateProgress(now, worker, row);
      return;
    }
  }
  RunWork run;
  run.worker = &worker;
  run.run = row.run();
  run.phase = RunPhase::kRunning;
  run.ordered_at = now;
  run.progress_at = now;
  run.seen_at = now;
  run.percent = row.percent();
  // It began before this owner; only its share from now on is measured.
  run.measured_at = now;
  run.first_percent = row.percent();
  run.expected_at_start = ExpectedRunTime(place->spec(), place->step_work());
  const bool wanted = !task.done && !place->work->entry->over() &&
                      (task.runs.empty() || place->spec().allow_duplicates());
  RunWork& adopted = place->step_work().AddRun(place->index, run);
  place->work->starved = {};
  order_.MarkChanged(*place->work);
  worker.Hold(place->spec(), row.run());
  AddRunTo(worker, next_order_++, *place);
  ++worker.pacing_version;
  if (!row.checkpoint().empty()) {
    task.checkpoint = row.checkpoint();
  }
  if (!wanted) {
    StopRun(*place, adopted, "the task is done or runs elsewhere");
    return;
  }
  task.uncertain = false;
  if (place->work->state == JOB_QUEUED) {
    SetState(*place->work, JOB_RUNNING);
  }
  Log("adopt", *place, row.run(), &worker, "found on the worker");
}

auto JobOwner::UpdateProgress(TimePoint now,
                              WorkerView& worker,
                              const RunningTask& row) -> void {
  const auto place = Locate(row.task());
  if (!place) {
    return;
  }
  for (auto& run : place->task().runs) {
    if (run.worker != &worker || run.run != row.run()) {
      continue;
    }
    run.seen_at = now;
    if (run.phase != RunPhase::kStarting) {
      MeasureRun(now, *place, run);
    }
    if (run.percent != row.percent()) {
      run.percent = row.percent();
      run.progress_at = now;
    }
    if (!row.checkpoint().empty()) {
      place->task().checkpoint = row.checkpoint();
    }
    const auto& step = place->spec();
    if (step.uses_spare_processors() && step.need().millicores() > 0) {
      run.speed = static_cast<double>(row.load()) / step.need().millicores();
    }
    if (run.phase != RunPhase::kStarting) {
      NoteProgress(*place, run);
    }
  }
}

auto JobOwner::StopStalled(TimePoint now, WorkerView& worker) -> void {
  if (worker.silent || worker.draining) {
    return;
  }
  for (const auto& [number, place] : worker.runs) {
    const auto& step = place.spec();
    // Long-running tasks report no progress, and opportunistic tasks may be
    // slowed to a halt.
    if (step.long_running() || step.uses_spare_processors()) {
      continue;
    }
    for (auto& run : place.task().runs) {
      const bool stalled = run.worker == &worker &&
                           run.phase == RunPhase::kRunning &&
                           now - run.progress_at > options_.stalled_after;
      if (stalled) {
        StopRun(place, run, "it makes no progress");
        QuarantineWorker(worker, now + options_.stalled_quarantine);
      }
    }
  }
}

auto JobOwner::LearnInterference(TimePoint now,
                                 WorkerView& worker,
                                 const AgentReport& report) -> void {
  if (worker.capacity.millicores <= 0) {
    return;
  }
  std::vector<ServingSample> serving;
  std::vector<OpportunisticSample> fillers;
  for (const auto& row : report.running()) {
    const auto place = Locate(row.task());
    if (!place) {
      continue;
    }
    const auto& step = place->spec();
    if (step.target_latency_ms() > 0) {
      serving.push_back(
          {step.image(), row.run(), std::chrono::milliseconds(row.load())});
    } else if (step.uses_spare_processors()) {
      const auto capacity = static_cast<double>(worker.capacity.millicores);
      fillers.push_back({step.image(), row.load() / capacity});
    }
  }
  interference_.Observe(now, serving, fillers);
  ++worker.load_version;
  if (!worker.serving.empty()) {
    changes_.Record(worker);
  }
}

auto JobOwner::DeclareRunsLost(TimePoint now,
                               WorkerView& worker,
                               LostRuns which,
                               const std::string& why) -> void {
  const auto runs = worker.runs;
  worker.lost_through_run = NewestRun();
  std::vector<NamedRun> lost_runs;
  for (const auto& [number, place] : runs) {
    std::vector<uint64_t> lost;
    for (const auto& run : place.task().runs) {
      const bool answered = run.phase != RunPhase::kStarting;
      if (run.worker == &worker && (which == LostRuns::kAll || answered)) {
        lost.push_back(run.run);
      }
    }
    for (const uint64_t run : lost) {
      lost_runs.push_back({place.Name(), run});
      RemoveRun(now, place, run, &worker);
    }
  }
  LogRuns("lost", lost_runs, worker.agent, why);
  if (which == LostRuns::kAll) {
    worker.runs.clear();
    worker.suspects.clear();
    worker.orders.clear();
  }
  placement_due_ = true;
  for (const auto& run : lost_runs) {
    ForgetJobIfIdle(now, run.task.job());
  }
}

auto JobOwner::DeclareWorkersLost(TimePoint now) -> void {
  constexpr Duration kPast{1};
  // Later leases may have been renewed by a successor that this owner does not
  // know of: the runs continue, or have ended and the successor knows.
  const TimePoint certain = hooks_.exclusive_until();
  while (const auto number = leases_.PopDue(certain - kPast)) {
    WorkerView& worker = *numbered_.at(*number);
    if (certain <= worker.lease_bound) {
      // The lease has been renewed since.
      leases_.Set(worker.number, worker.lease_bound);
      continue;
    }
    if (worker.confirmed || !worker.runs.empty()) {
      MarkRunsSuspected(worker);
      DeclareRunsLost(now, worker, LostRuns::kAll,
                      "its agent does not answer and the lease has expired");
      SetConfirmed(worker, false);
    }
  }
}

}  // namespace rhubarbhaven::jobs

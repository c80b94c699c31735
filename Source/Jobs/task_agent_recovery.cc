#include <utility>

#include "Jobs/task_agent.h"
#include "Jobs/worker_id.h"

// How an agent that has just started finds its worker, before a heartbeat has
// come.
namespace rhubarbhaven::jobs {

auto TaskAgent::RecoverWorker(TimePoint now, const std::string& recorded_id)
    -> void {
  if (stopped_ || answered_ || worker_left_ ||
      recorded_id == heartbeat_.worker_id ||
      AddsStart(heartbeat_.worker_id, recorded_id) ||
      ended_worker_ids_.contains(recorded_id)) {
    return;
  }
  const auto worker_id = recovery_.Next(now, recorded_id);
  if (!worker_id) {
    return;
  }
  ListCall call;
  call.fence = fence_;
  call.worker_id = *worker_id;
  hooks_.worker.list(call,
                     [this, worker_id = *worker_id, epoch = epoch_](
                         TimePoint then, const WorkerListing& listing) -> void {
                       OnRecoveryAnswer(then, worker_id, epoch, listing);
                     });
}

auto TaskAgent::OnRecoveryAnswer(TimePoint now,
                                 const std::string& recorded_id,
                                 uint64_t epoch,
                                 const WorkerListing& listing) -> void {
  const WorkerProcess process = ProcessOf(listing);
  recovery_.OnAnswer(now, recorded_id, process);
  if (process == WorkerProcess::kEnded) {
    hooks_.log_worker({"worker_recovery_rejected", recorded_id});
  }
  const std::string worker_id = AddsStart(listing.worker_id, recorded_id)
                                    ? listing.worker_id
                                    : recorded_id;
  // Meanwhile a heartbeat or a notice that the worker has left may have come,
  // or an owner with another fence.
  if (stopped_ || epoch != epoch_ || process != WorkerProcess::kPresent ||
      ended_worker_ids_.contains(worker_id)) {
    return;
  }
  hooks_.log_worker({"worker_recovered", worker_id});
  if (!heartbeat_.worker_id.empty()) {
    ended_worker_ids_.insert(heartbeat_.worker_id);
  }
  WorkerHeartbeat recovered;
  recovered.worker_id = worker_id;
  UseWorker(now, recovered);
  described_ = false;
  answered_ = true;
}

auto TaskAgent::VerifyHeartbeat(const WorkerHeartbeat& heartbeat) -> void {
  if (stopped_) {
    return;
  }
  if (unverified_heartbeat_) {
    if (unverified_heartbeat_->worker_id == heartbeat.worker_id) {
      unverified_heartbeat_ = heartbeat;
    }
    return;
  }
  unverified_heartbeat_ = heartbeat;
  ListCall call;
  call.fence = fence_;
  call.worker_id = heartbeat.worker_id;
  hooks_.worker.list(
      call, [this](TimePoint then, const WorkerListing& listing) -> void {
        OnHeartbeatVerified(then, listing);
      });
}

auto TaskAgent::OnHeartbeatVerified(TimePoint now, const WorkerListing& listing)
    -> void {
  const auto heartbeat = std::exchange(unverified_heartbeat_, std::nullopt);
  if (stopped_ || !heartbeat || heartbeat->worker_id == heartbeat_.worker_id ||
      ended_worker_ids_.contains(heartbeat->worker_id)) {
    return;
  }
  switch (ProcessOf(listing)) {
    case WorkerProcess::kPresent:
      if (AddsStart(listing.worker_id, heartbeat->worker_id)) {
        // Another writer's heartbeat, since the worker says when it started.
        break;
      }
      hooks_.log_worker({"worker_replaced", heartbeat->worker_id});
      if (!heartbeat_.worker_id.empty()) {
        ended_worker_ids_.insert(heartbeat_.worker_id);
        NoteCrash(now);
        crashed_worker_ = heartbeat_;
        if (WorkerNameOf(heartbeat_.worker_id) !=
            WorkerNameOf(heartbeat->worker_id)) {
          listing_ = WorkerListing();
          NoteCrash(now);
        }
      }
      UseWorker(now, *heartbeat);
      answered_ = true;
      break;
    case WorkerProcess::kEnded:
      hooks_.log_worker({"heartbeat_of_ended_worker", heartbeat->worker_id});
      ended_worker_ids_.insert(heartbeat->worker_id);
      break;
    case WorkerProcess::kUnknown:
      // The process's next heartbeat is verified again.
      break;
  }
}

}  // namespace rhubarbhaven::jobs

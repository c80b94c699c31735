#include "Jobs/worker_changes.h"

namespace rhubarbhaven::jobs {

auto WorkerChanges::Note(WorkerView& worker) -> void {
  Forget(worker);
  worker.changed_at = ++mark_;
  workers_.emplace(mark_, &worker);
}

auto WorkerChanges::Forget(const WorkerView& worker) -> void {
  workers_.erase(worker.changed_at);
}

auto WorkerChanges::Clear() -> void {
  workers_.clear();
}

}  // namespace rhubarbhaven::jobs

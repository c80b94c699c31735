#include "Jobs/worker_changes.h"

namespace rhubarbhaven::jobs {

auto WorkerChanges::Record(WorkerView& worker) -> void {
  Forget(worker);
  worker.change_mark = ++mark_;
  workers_.emplace(mark_, &worker);
}

auto WorkerChanges::Forget(const WorkerView& worker) -> void {
  workers_.erase(worker.change_mark);
}

auto WorkerChanges::Clear() -> void {
  workers_.clear();
}

}  // namespace rhubarbhaven::jobs

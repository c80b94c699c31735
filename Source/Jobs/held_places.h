#ifndef RHUBARBHAVEN_JOBS_HELD_PLACES_H_
#define RHUBARBHAVEN_JOBS_HELD_PLACES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "Base/base.h"
#include "Jobs/job_work.h"
#include "Jobs/worker_view.h"

namespace rhubarbhaven::jobs {

// Places that are held at workers for tasks that are being moved there, from
// the order to stop the previous run until the next one starts. Other tasks
// would take them meanwhile, and the moved task would wait or be slowed again.
class HeldPlaces {
 public:
  // Called when a place of the worker has become free.
  using OnRelease = std::function<auto(WorkerView&)->void>;

  explicit HeldPlaces(OnRelease on_release)
      : on_release_(std::move(on_release)) {}

  auto Hold(TimePoint until, const TaskPlace& place, WorkerView& worker)
      -> void;
  // Releases the place held for the task, if any.
  auto Release(const TaskPlace& place) -> void;
  auto ReleaseJob(const JobWork& work) -> void;
  auto ReleaseWorker(const WorkerView& worker) -> void;
  // Releases places that were held for long enough, and those of workers that
  // no longer accept tasks.
  auto Expire(TimePoint now) -> void;
  // Forgets all places; their workers are about to be forgotten as well.
  auto Clear() -> void { places_.clear(); }
  auto size() const -> std::size_t { return places_.size(); }

 private:
  struct HeldPlace {
    uint64_t number = 0;
    TimePoint until;
    TaskPlace task;
    WorkerView* worker = nullptr;
  };

  auto ReleaseIf(const std::function<auto(const HeldPlace&)->bool>& applies)
      -> void;

  OnRelease on_release_;
  std::vector<HeldPlace> places_;
  uint64_t next_number_ = 1;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_HELD_PLACES_H_

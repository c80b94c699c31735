#ifndef RHUBARBHAVEN_JOBS_WORKER_CHANGES_H_
#define RHUBARBHAVEN_JOBS_WORKER_CHANGES_H_

#include <cstdint>

#include "Jobs/worker_view.h"
#include "absl/container/btree_map.h"

namespace rhubarbhaven::jobs {

// Workers in the order of their latest change that may let them accept tasks
// that they rejected before. A caller that has tried all workers only tries
// again those that have changed since.
//
// Invariant: a worker that rejected a task at some mark rejects it until its
// own mark is higher.
class WorkerChanges {
 public:
  using ByMark = absl::btree_map<uint64_t, WorkerView*>;

  // Workers with their marks, until the next change.
  class Changed {
   public:
    Changed(ByMark::const_iterator first, ByMark::const_iterator last)
        : first_(first), last_(last) {}
    auto begin() const -> ByMark::const_iterator { return first_; }
    auto end() const -> ByMark::const_iterator { return last_; }

   private:
    ByMark::const_iterator first_;
    ByMark::const_iterator last_;
  };

  // To be called when capacity, state, speed or labels of the worker improve. A
  // reduction of its free capacity needs no call.
  auto Record(WorkerView& worker) -> void;
  auto Forget(const WorkerView& worker) -> void;
  auto Clear() -> void;
  // The mark of the newest change.
  auto mark() const -> uint64_t { return mark_; }
  // Workers that have changed after the mark; all of them for zero.
  auto Since(uint64_t mark) const -> Changed {
    return {workers_.upper_bound(mark), workers_.end()};
  }

 private:
  uint64_t mark_ = 0;
  ByMark workers_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_WORKER_CHANGES_H_

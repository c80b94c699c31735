#ifndef RHUBARBHAVEN_PLACEMENT_TASK_KEY_H_
#define RHUBARBHAVEN_PLACEMENT_TASK_KEY_H_

#include <cstdint>
#include <utility>

namespace rhubarbhaven {

// Index of a job in a `JobTable`.
using JobId = uint32_t;

// Identifies a task within one placer by its job and its index in the job.
struct TaskKey {
  JobId job = 0;
  uint32_t index = 0;

  auto operator==(const TaskKey& other) const -> bool = default;

  template <typename H>
  friend auto AbslHashValue(H state, const TaskKey& key) -> H {
    return H::combine(std::move(state), key.job, key.index);
  }
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_TASK_KEY_H_

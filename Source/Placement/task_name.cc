#include "Placement/placer.h"

namespace rhubarbhaven {

auto TaskName(const schema::TaskId& task) -> std::string {
  return task.partner() + "/" + task.job() + "#" +
         std::to_string(task.index()) + "@" +
         std::to_string(task.job_version());
}

}  // namespace rhubarbhaven

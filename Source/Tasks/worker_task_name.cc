#include "Tasks/worker_task_name.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <array>

namespace rhubarbhaven::tasks {
namespace {

constexpr std::size_t kNumbers = 7;

}  // namespace

auto FormatWorkerTaskName(const WorkerTaskName& name) -> std::string {
  const schema::TaskId& task = name.task;
  return absl::StrCat(task.job_version(), ".", task.index(), ".", name.attempt,
                      ".", name.admitted.millicores(), ".",
                      name.admitted.memory_mb(), ".",
                      name.admitted.accelerators(), ".", task.partner().size(),
                      ".", task.partner(), "/", task.job());
}

auto ParseWorkerTaskName(const std::string& text)
    -> std::optional<WorkerTaskName> {
  std::array<uint64_t, kNumbers> numbers{};
  std::size_t from = 0;
  for (uint64_t& number : numbers) {
    const std::size_t dot = text.find('.', from);
    if (dot == std::string::npos ||
        !absl::SimpleAtoi(text.substr(from, dot - from), &number)) {
      return std::nullopt;
    }
    from = dot + 1;
  }
  const std::string rest = text.substr(from);
  const uint64_t length = numbers[6];
  if (length >= rest.size() || rest[length] != '/') {
    return std::nullopt;
  }
  WorkerTaskName name;
  name.task.set_job_version(numbers[0]);
  name.task.set_index(static_cast<uint32_t>(numbers[1]));
  name.attempt = static_cast<uint32_t>(numbers[2]);
  name.admitted.set_millicores(static_cast<uint32_t>(numbers[3]));
  name.admitted.set_memory_mb(numbers[4]);
  name.admitted.set_accelerators(static_cast<uint32_t>(numbers[5]));
  name.task.set_partner(rest.substr(0, length));
  name.task.set_job(rest.substr(length + 1));
  return name;
}

auto AttemptKey(const schema::TaskId& task, uint32_t attempt) -> std::string {
  return absl::StrCat(task.job_version(), ".", task.index(), ".", attempt, ".",
                      task.partner(), "/", task.job());
}

}  // namespace rhubarbhaven::tasks

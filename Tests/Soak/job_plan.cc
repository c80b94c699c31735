#include "Tests/Soak/job_plan.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <array>
#include <functional>

namespace rhubarbhaven::soak {
namespace {

using std::chrono::milliseconds;

struct KindRow {
  char digit;
  // Number of tasks of each step; each step depends on the previous one.
  std::vector<int> steps;
  milliseconds min_duration;
  milliseconds max_duration;
};

auto FindRow(JobKind kind) -> const KindRow& {
  static const std::array<KindRow, 4> rows = {{
      {'a', {2}, milliseconds(1500), milliseconds(9000)},
      {'b', {2, 1}, milliseconds(50), milliseconds(700)},
      {'c', {12}, milliseconds(100), milliseconds(600)},
      {'d', {1}, milliseconds(50), milliseconds(300)},
  }};
  return rows.at(static_cast<std::size_t>(kind));
}

auto PayloadOf(const std::string& id,
               const std::optional<PayloadSizes>& payloads) -> std::string {
  if (!payloads) {
    return "soak";
  }
  const std::size_t span = payloads->most - payloads->least + 1;
  const std::size_t hash = std::hash<std::string>()(id);
  return std::string(payloads->least + hash % span, 'p');
}

}  // namespace

auto MakeJobId(JobKind kind, uint64_t random) -> std::string {
  constexpr uint64_t kFirstDigit = uint64_t{0xf} << 60;
  return absl::StrFormat("%c%015x", FindRow(kind).digit, random & ~kFirstDigit);
}

auto KindOf(const std::string& id) -> JobKind {
  return static_cast<JobKind>(id.at(0) - 'a');
}

auto JobBody(const std::string& id, const std::optional<PayloadSizes>& payloads)
    -> std::string {
  const JobKind kind = KindOf(id);
  std::string steps;
  int number = 0;
  for (const int count : FindRow(kind).steps) {
    const std::string after =
        number == 0 ? "" : absl::StrCat(R"("After":[)", number - 1, "],");
    const std::string long_running =
        kind == JobKind::kLongRunning ? R"("LongRunning":true,)" : "";
    absl::StrAppend(&steps, number == 0 ? "" : ",", "{", after, long_running,
                    R"("Cpu":1000,"EstimatedMs":300,"Count":)", count, "}");
    ++number;
  }
  return absl::StrCat(R"({"Spec":")", PayloadOf(id, payloads), R"(","Steps":[)",
                      steps, "]}");
}

auto TasksOf(const std::string& id) -> std::vector<std::string> {
  std::vector<std::string> tasks;
  int step = 0;
  for (const int count : FindRow(KindOf(id)).steps) {
    for (int index = 0; index < count; ++index) {
      tasks.push_back(absl::StrCat(id, ".0.", step, ".", index));
    }
    ++step;
  }
  return tasks;
}

auto RunDuration(const jobs::TaskName& task) -> milliseconds {
  const KindRow& row = FindRow(KindOf(task.job()));
  const auto span =
      static_cast<std::size_t>((row.max_duration - row.min_duration).count());
  const std::size_t hash = std::hash<std::string>()(DescribeTask(task));
  return row.min_duration + milliseconds(hash % span);
}

auto RunFails(const jobs::TaskName& task) -> bool {
  const JobKind kind = KindOf(task.job());
  return kind == JobKind::kLongRunning || kind == JobKind::kFailing;
}

}  // namespace rhubarbhaven::soak

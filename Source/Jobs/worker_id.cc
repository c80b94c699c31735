#include "Jobs/worker_id.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <cstdint>

namespace rhubarbhaven::jobs {
namespace {

// No name contains it; see CheckWorkerName.
constexpr char kSeparator = '/';

}  // namespace

auto MakeWorkerId(const std::string& name, std::optional<WorkerStart> start)
    -> std::string {
  return start ? absl::StrCat(name, std::string(1, kSeparator),
                              start->time_since_epoch().count())
               : name;
}

auto WorkerNameOf(const std::string& worker_id) -> std::string {
  return worker_id.substr(0, worker_id.find(kSeparator));
}

auto WorkerStartOf(const std::string& worker_id) -> std::optional<WorkerStart> {
  const auto separator = worker_id.find(kSeparator);
  int64_t start_ms = 0;
  if (separator == std::string::npos ||
      !absl::SimpleAtoi(worker_id.substr(separator + 1), &start_ms)) {
    return std::nullopt;
  }
  return WorkerStart(std::chrono::milliseconds(start_ms));
}

auto AddsStart(const std::string& worker_id, const std::string& name_only)
    -> bool {
  return !name_only.empty() && worker_id != name_only &&
         WorkerNameOf(worker_id) == name_only;
}

auto MayBeSameWorker(const std::string& left, const std::string& right)
    -> bool {
  return left == right || AddsStart(left, right) || AddsStart(right, left);
}

}  // namespace rhubarbhaven::jobs

#include "Tasks/usage_reporter.h"

#include <utility>

#include "Tasks/resource_math.h"
#include "Tasks/worker_task_name.h"

namespace rhubarbhaven::tasks {
namespace {

// Reports measured less than this apart belong to the same window.
constexpr std::chrono::milliseconds kSameWindow{500};
// A report of increased usage may have been lost; it is repeated after this
// time.
constexpr std::chrono::seconds kRepeatInterval{60};

}  // namespace

auto UsageReporter::OnWorkerStatus(TimePoint now,
                                   const schema::WorkerStatus& status) -> void {
  for (const schema::WorkerUsage& usage : status.usage()) {
    const TimePoint measured = now - std::chrono::milliseconds(usage.age_ms());
    if (usage.service_p99_us() > 0 &&
        measured >= service_measured_ + kSameWindow) {
      service_measured_ = measured;
      pending_service_ = PendingReport{.measured = measured, .report = {}};
      pending_service_->report.set_service_p99_us(usage.service_p99_us());
    }
    UpdateTask(now, measured, usage);
  }
  std::erase_if(reported_, [&](const auto& reported) {
    return now - reported.second.at > 2 * kRepeatInterval;
  });
}

auto UsageReporter::UpdateTask(TimePoint now,
                               TimePoint measured,
                               const schema::WorkerUsage& usage) -> void {
  const auto reported = reported_.find(usage.name());
  if (reported != reported_.end() &&
      Fits(usage.used(), reported->second.used) &&
      now - reported->second.at < kRepeatInterval) {
    return;
  }
  const auto name = ParseWorkerTaskName(usage.name());
  if (!name.has_value()) {
    return;
  }
  Reported& latest = reported_[usage.name()];
  latest = {.used = Larger(latest.used, usage.used()), .at = now};
  PendingReport& pending = pending_[usage.name()];
  pending.measured = measured;
  *pending.report.mutable_used() = latest.used;
  *pending.report.mutable_task() = name->task;
}

auto UsageReporter::Take(TimePoint now) -> std::vector<schema::UsageReport> {
  std::vector<schema::UsageReport> reports;
  const auto add_report = [&](PendingReport pending) -> void {
    const auto age =
        std::chrono::ceil<std::chrono::milliseconds>(now - pending.measured);
    pending.report.set_age_ms(static_cast<uint32_t>(age.count()));
    reports.push_back(std::move(pending.report));
  };
  if (pending_service_.has_value()) {
    add_report(*std::exchange(pending_service_, std::nullopt));
  }
  for (auto& [name, pending] : std::exchange(pending_, {})) {
    add_report(pending);
  }
  return reports;
}

auto UsageReporter::Reset() -> void {
  reported_.clear();
}

}  // namespace rhubarbhaven::tasks

#include "Tasks/usage_reporter.h"

#include <utility>

#include "Tasks/resource_math.h"
#include "Tasks/worker_task_name.h"

namespace rhubarbhaven::tasks {
namespace {

// Two reports that were measured closer than this are of one window.
constexpr std::chrono::milliseconds kSameWindow{500};
// A rise may have been lost under way; it is told again after this time.
constexpr std::chrono::seconds kTellAgain{60};

}  // namespace

auto UsageReporter::Note(TimePoint now, const schema::WorkerStatus& status)
    -> void {
  for (const schema::WorkerUsage& usage : status.usage()) {
    const TimePoint measured = now - std::chrono::milliseconds(usage.age_ms());
    if (usage.service_p99_us() > 0 &&
        measured >= service_measured_ + kSameWindow) {
      service_measured_ = measured;
      service_ = Due{.measured = measured, .report = {}};
      service_->report.set_service_p99_us(usage.service_p99_us());
    }
    NoteTask(now, measured, usage);
  }
  std::erase_if(told_, [&](const auto& told) {
    return now - told.second.at > 2 * kTellAgain;
  });
}

auto UsageReporter::NoteTask(TimePoint now,
                             TimePoint measured,
                             const schema::WorkerUsage& usage) -> void {
  const auto told = told_.find(usage.name());
  if (told != told_.end() && Fits(usage.used(), told->second.used) &&
      now - told->second.at < kTellAgain) {
    return;
  }
  const auto name = ParseWorkerTaskName(usage.name());
  if (!name.has_value()) {
    return;
  }
  Told& latest = told_[usage.name()];
  latest = {.used = Larger(latest.used, usage.used()), .at = now};
  Due& due = due_[usage.name()];
  due.measured = measured;
  *due.report.mutable_used() = latest.used;
  *due.report.mutable_task() = name->task;
}

auto UsageReporter::Take(TimePoint now) -> std::vector<schema::UsageReport> {
  std::vector<schema::UsageReport> reports;
  const auto take = [&](Due due) -> void {
    const auto age =
        std::chrono::ceil<std::chrono::milliseconds>(now - due.measured);
    due.report.set_age_ms(static_cast<uint32_t>(age.count()));
    reports.push_back(std::move(due.report));
  };
  if (service_.has_value()) {
    take(*std::exchange(service_, std::nullopt));
  }
  for (auto& [name, due] : std::exchange(due_, {})) {
    take(due);
  }
  return reports;
}

auto UsageReporter::Reset() -> void {
  told_.clear();
}

}  // namespace rhubarbhaven::tasks

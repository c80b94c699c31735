#include "Jobs/worker_view.h"

#include <algorithm>

namespace rhubarbhaven::jobs {
namespace {

// A worker whose agent has not reported for this long accepts no new runs:
// agents are polled each 300 ms, so two reports are missing.
constexpr std::chrono::milliseconds kReportTooOld{900};

}  // namespace

auto ResourceAmounts::Add(const schema::Resources& amounts, int sign) -> void {
  millicores += sign * static_cast<int64_t>(amounts.millicores());
  memory_mb += sign * static_cast<int64_t>(amounts.memory_mb());
  accelerators += sign * static_cast<int64_t>(amounts.accelerators());
}

auto ResourceAmounts::Covers(const ResourceAmounts& need) const -> bool {
  return need.millicores <= millicores && need.memory_mb <= memory_mb &&
         need.accelerators <= accelerators;
}

auto AmountsOf(const schema::Resources& amounts) -> ResourceAmounts {
  ResourceAmounts room;
  room.Add(amounts, 1);
  return room;
}

auto IsStartOf(const PendingOrder& order, const TaskPlace& place, uint64_t run)
    -> bool {
  const auto& start = order.start;
  return start && start->run() == run && start->task().index() == place.index &&
         start->task().step() == place.step &&
         start->task().job() == place.work->job().id();
}

auto WorkerView::Free() const -> ResourceAmounts {
  return {capacity.millicores - held.millicores,
          capacity.memory_mb - held.memory_mb,
          capacity.accelerators - held.accelerators};
}

auto WorkerView::Accepts(TimePoint now) const -> bool {
  return confirmed && grants_recorded && !worker_id.empty() && !draining &&
         !silent && !evacuated && now - reported_at < kReportTooOld &&
         now >= quarantined_until;
}

auto WorkerView::HasLabel(const std::string& label) const -> bool {
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

auto WorkerView::CountOf(const TaskPlace& place) const -> uint32_t {
  uint32_t count = 0;
  for (const auto& [run, other] : runs) {
    if (other.work == place.work && other.occurrence == place.occurrence &&
        other.step == place.step) {
      ++count;
    }
  }
  return count;
}

auto WorkerView::Hold(const JobStep& step, uint64_t run) -> void {
  ++load_version;
  held.Add(step.need(), 1);
  if (step.target_latency_ms() > 0) {
    serving[run] = {step.image(),
                    static_cast<double>(step.target_latency_ms())};
  }
  if (step.uses_spare_processors()) {
    held.millicores -= step.need().millicores();
    spare_millicores_used += step.need().millicores();
  }
}

auto WorkerView::Release(const JobStep& step, uint64_t run) -> void {
  ++load_version;
  held.Add(step.need(), -1);
  if (step.target_latency_ms() > 0) {
    serving.erase(run);
  }
  if (step.uses_spare_processors()) {
    held.millicores += step.need().millicores();
    spare_millicores_used -= step.need().millicores();
  }
}

auto WorkerView::HoldPlace(const JobStep& step, uint64_t number) -> void {
  held_places[number] = &step;
  Hold(step, /*run=*/0);
}

auto WorkerView::ReleasePlace(uint64_t number) -> void {
  const auto found = held_places.find(number);
  if (found != held_places.end()) {
    const JobStep& step = *found->second;
    held_places.erase(found);
    Release(step, /*run=*/0);
  }
}

}  // namespace rhubarbhaven::jobs

#include "Tests/Soak/fault_free_periods.h"

namespace rhubarbhaven::soak {

auto FaultFreePeriod::Begin(TimePoint now) -> void {
  const std::lock_guard lock(mutex_);
  ++active_;
  since_ = now;
}

auto FaultFreePeriod::End(TimePoint now) -> void {
  const std::lock_guard lock(mutex_);
  --active_;
  since_ = now;
}

auto FaultFreePeriod::since() const -> std::optional<TimePoint> {
  const std::lock_guard lock(mutex_);
  return active_ > 0 ? std::nullopt : std::optional(since_);
}

auto FaultFreePeriod::HasLasted(Duration span, TimePoint now) const -> bool {
  const auto begin = since();
  return begin && now - *begin >= span;
}

auto FaultFreePeriods::Begin(FaultKind kind, TimePoint now) -> void {
  all_.Begin(now);
  if (ExcusesLateStarts(kind)) {
    starts_.Begin(now);
  }
}

auto FaultFreePeriods::End(FaultKind kind, TimePoint now) -> void {
  all_.End(now);
  if (ExcusesLateStarts(kind)) {
    starts_.End(now);
  }
}

}  // namespace rhubarbhaven::soak

#ifndef RHUBARBHAVEN_TESTS_SOAK_FAULT_FREE_PERIODS_H_
#define RHUBARBHAVEN_TESTS_SOAK_FAULT_FREE_PERIODS_H_

#include <mutex>
#include <optional>

#include "Base/base.h"
#include "Tests/Soak/schedule.h"

namespace rhubarbhaven::soak {

// Tracks since when no fault has been active. Thread-safe.
class FaultFreePeriod {
 public:
  auto Begin(TimePoint now) -> void;
  auto End(TimePoint now) -> void;
  // Empty while a fault is active.
  auto since() const -> std::optional<TimePoint>;
  auto HasLasted(Duration span, TimePoint now) const -> bool;

 private:
  mutable std::mutex mutex_;
  int active_ = 0;
  TimePoint since_;
};

// Fault-free periods by what the faults excuse. Thread-safe.
class FaultFreePeriods {
 public:
  auto Begin(FaultKind kind, TimePoint now) -> void;
  auto End(FaultKind kind, TimePoint now) -> void;
  // No fault of any kind.
  auto all() const -> const FaultFreePeriod& { return all_; }
  // No fault that excuses a late start. A slow owner does not: the agents have
  // no fault and must reject what it ordered too long ago.
  auto starts() const -> const FaultFreePeriod& { return starts_; }

  auto owner_is_slow() const -> bool {
    return !all_.since() && starts_.since();
  }

 private:
  FaultFreePeriod all_;
  FaultFreePeriod starts_;
};

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_FAULT_FREE_PERIODS_H_

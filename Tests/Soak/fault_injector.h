#ifndef RHUBARBHAVEN_TESTS_SOAK_FAULT_INJECTOR_H_
#define RHUBARBHAVEN_TESTS_SOAK_FAULT_INJECTOR_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Tests/Soak/processes.h"
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

// Injects the faults of a schedule. `Step` is to be called by one thread.
class FaultInjector {
 public:
  FaultInjector(std::vector<Fault> schedule,
                TimePoint start,
                Processes* processes,
                FaultFreePeriod* fault_free);

  auto Step(TimePoint now) -> void;
  // Whether the injector has stopped this daemon and not yet restarted it.
  auto IsDown(const std::string& name) const -> bool;

 private:
  auto Begin(const Fault& fault) -> void;
  auto End(const Fault& fault) -> void;
  auto BeginAtProcess(const Fault& fault) -> void;
  auto EndAtProcess(const Fault& fault) -> void;
  auto BeginAtLink(const Fault& fault) -> void;
  auto BeginAtPlatform(const Fault& fault) -> void;
  auto LinkOf(const Fault& fault) -> test::FaultProxy&;
  auto ProcessOf(const Fault& fault) -> test::ChildProcess&;

  std::vector<Fault> schedule_;
  std::size_t next_ = 0;
  TimePoint start_;
  Processes* processes_;
  FaultFreePeriod* fault_free_;
  std::multimap<TimePoint, Fault> active_faults_;
  std::map<std::string, bool> down_;
};

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_FAULT_INJECTOR_H_

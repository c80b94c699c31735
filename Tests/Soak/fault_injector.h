#ifndef RHUBARBHAVEN_TESTS_SOAK_FAULT_INJECTOR_H_
#define RHUBARBHAVEN_TESTS_SOAK_FAULT_INJECTOR_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Tests/Soak/fault_free_periods.h"
#include "Tests/Soak/processes.h"
#include "Tests/Soak/schedule.h"

namespace rhubarbhaven::soak {

// Injects the faults of a schedule. `Step` is to be called by one thread.
class FaultInjector {
 public:
  FaultInjector(std::vector<Fault> schedule,
                TimePoint start,
                Processes* processes,
                FaultFreePeriods* fault_free);

  auto Step(TimePoint now) -> void;
  // Whether the injector has stopped this daemon and not yet restarted it.
  auto IsDown(const std::string& name) const -> bool;
  // Numbers of the workers on which tasks need not run.
  auto unreachable_workers() const -> std::set<int>;

 private:
  // An entry that runs for a short time between long pauses.
  struct SlowEntry {
    int number = 0;
    std::chrono::milliseconds pause{0};
    TimePoint runs_at;
  };

  // Returns the fault with the entry that owns the cell now, if it is a
  // momentary one for the owner. Returns none if that entry has such a fault
  // already, or if more than half of the entries would have one.
  auto Resolve(Fault fault) const -> std::optional<Fault>;
  auto Begin(const Fault& fault) -> void;
  auto End(const Fault& fault) -> void;
  auto SlowOwner(std::chrono::milliseconds pause) -> void;
  auto StepSlowEntry(TimePoint now) -> void;
  auto ResumeSlowEntry() -> void;
  // Whether a momentary fault is active at this entry.
  auto IsAffected(int entry) const -> bool;
  auto AffectedEntries() const -> int;
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
  FaultFreePeriods* fault_free_;
  std::multimap<TimePoint, Fault> active_faults_;
  std::optional<SlowEntry> slow_entry_;
  std::map<std::string, bool> down_;
};

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_FAULT_INJECTOR_H_

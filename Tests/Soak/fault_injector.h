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

// Since when the rig injects no fault. For all threads.
class Calm {
 public:
  auto Begin(TimePoint now) -> void;
  auto End(TimePoint now) -> void;
  // Empty while a fault lasts.
  auto since() const -> std::optional<TimePoint>;
  auto LastedFor(Duration span, TimePoint now) const -> bool;

 private:
  mutable std::mutex mutex_;
  int active_ = 0;
  TimePoint since_;
};

// Carries out a schedule, in steps of its one thread.
class FaultInjector {
 public:
  FaultInjector(std::vector<Fault> schedule,
                TimePoint start,
                Processes* processes,
                Calm* calm);

  auto Step(TimePoint now) -> void;
  // Whether the rig has ended this daemon itself, for now.
  auto IsDown(const std::string& name) const -> bool;

 private:
  auto Begin(const Fault& fault) -> void;
  auto End(const Fault& fault) -> void;
  auto BeginAtProcess(const Fault& fault) -> void;
  auto EndAtProcess(const Fault& fault) -> void;
  auto BeginAtLink(const Fault& fault) -> void;
  auto BeginAtPlatform(const Fault& fault) -> void;
  auto LinkOf(const Fault& fault) -> test::SilentRelay&;
  auto ProcessOf(const Fault& fault) -> test::ChildProcess&;

  std::vector<Fault> schedule_;
  std::size_t next_ = 0;
  TimePoint start_;
  Processes* processes_;
  Calm* calm_;
  std::multimap<TimePoint, Fault> lasting_;
  std::map<std::string, bool> down_;
};

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_FAULT_INJECTOR_H_

#ifndef RHUBARBHAVEN_ROUTING_WINDOW_PLANNER_H_
#define RHUBARBHAVEN_ROUTING_WINDOW_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven {

// Divides an agent's capacity between entries: each entry's window is the
// number of unanswered attempts that it may have. The division is max-min fair
// by recent demand, so that idle entries do not restrict busy ones and busy
// ones get equal windows.
class WindowPlanner {
 public:
  WindowPlanner(uint32_t capacity, std::chrono::milliseconds period);

  auto AddEntry(const std::string& entry) -> void;
  auto RemoveEntry(const std::string& entry) -> void;
  auto OnAccepted(TimePoint now, const std::string& entry) -> void;
  auto OnFinished(TimePoint now, const std::string& entry) -> void;
  auto Window(TimePoint now, const std::string& entry) -> uint32_t;

 private:
  struct Demand {
    uint32_t unanswered = 0;
    // Maximum number of unanswered attempts, in this period and in the previous
    // one.
    uint32_t peak = 0;
    uint32_t previous_peak = 0;
    uint32_t window = 0;
  };

  auto RollPeriod(TimePoint now) -> void;
  auto Plan() -> void;

  uint32_t capacity_;
  std::chrono::milliseconds period_;
  TimePoint period_start_;
  TimePoint planned_at_;
  std::map<std::string, Demand> demands_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_WINDOW_PLANNER_H_

#ifndef RHUBARBHAVEN_ROUTING_WINDOW_PLANNER_H_
#define RHUBARBHAVEN_ROUTING_WINDOW_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven {

// Shares an agent's places between entries: how many unanswered attempts each
// entry may have. Max-min fair by recent demand, so that idle entries do not
// hold back busy ones and busy ones are equal.
class WindowPlanner {
 public:
  WindowPlanner(uint32_t places, std::chrono::milliseconds period);

  auto AddEntry(const std::string& entry) -> void;
  auto RemoveEntry(const std::string& entry) -> void;
  auto OnAccepted(TimePoint now, const std::string& entry) -> void;
  auto OnFinished(TimePoint now, const std::string& entry) -> void;
  auto Window(TimePoint now, const std::string& entry) -> uint32_t;

 private:
  struct Demand {
    uint32_t unanswered = 0;
    // Most unanswered at a time, in this period and the one before.
    uint32_t peak = 0;
    uint32_t peak_before = 0;
    uint32_t window = 0;
  };

  auto Roll(TimePoint now) -> void;
  auto Plan() -> void;

  uint32_t places_;
  std::chrono::milliseconds period_;
  TimePoint rolled_;
  TimePoint planned_;
  std::map<std::string, Demand> demands_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_WINDOW_PLANNER_H_

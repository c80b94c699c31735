#include "Routing/window_planner.h"

#include <algorithm>
#include <vector>

namespace rhubarbhaven {
namespace {

// An idle entry can start this many requests before it receives a larger
// window.
constexpr uint32_t kMinWindow = 2;
// A window may grow to this multiple of the recent peak.
constexpr uint32_t kHeadroom = 2;
// Minimum time between two plans.
constexpr std::chrono::milliseconds kPlanInterval{5};

}  // namespace

WindowPlanner::WindowPlanner(uint32_t capacity,
                             std::chrono::milliseconds period)
    : capacity_(capacity), period_(period) {}

auto WindowPlanner::AddEntry(const std::string& entry) -> void {
  demands_.try_emplace(entry);
  Plan();
}

auto WindowPlanner::RemoveEntry(const std::string& entry) -> void {
  demands_.erase(entry);
  Plan();
}

auto WindowPlanner::OnAccepted(TimePoint now, const std::string& entry)
    -> void {
  RollPeriod(now);
  Demand& demand = demands_[entry];
  ++demand.unanswered;
  demand.peak = std::max(demand.peak, demand.unanswered);
}

auto WindowPlanner::OnFinished(TimePoint now, const std::string& entry)
    -> void {
  RollPeriod(now);
  Demand& demand = demands_[entry];
  demand.unanswered -= std::min(demand.unanswered, 1U);
}

auto WindowPlanner::Window(TimePoint now, const std::string& entry)
    -> uint32_t {
  RollPeriod(now);
  if (now - planned_at_ >= kPlanInterval) {
    planned_at_ = now;
    Plan();
  }
  const auto found = demands_.find(entry);
  return found == demands_.end() ? kMinWindow : found->second.window;
}

auto WindowPlanner::RollPeriod(TimePoint now) -> void {
  if (now - period_start_ < period_) {
    return;
  }
  period_start_ = now;
  for (auto& [entry, demand] : demands_) {
    demand.previous_peak = demand.peak;
    demand.peak = demand.unanswered;
  }
}

auto WindowPlanner::Plan() -> void {
  const auto need = [](const Demand& demand) {
    const uint32_t peak = std::max(demand.peak, demand.previous_peak);
    return std::max(kMinWindow, kHeadroom * peak);
  };
  std::vector<Demand*> by_need;
  by_need.reserve(demands_.size());
  for (auto& [entry, demand] : demands_) {
    by_need.push_back(&demand);
  }
  std::stable_sort(by_need.begin(), by_need.end(),
                   [&](const Demand* left, const Demand* right) {
                     return need(*left) < need(*right);
                   });
  uint32_t left = capacity_;
  auto remaining_entries = static_cast<uint32_t>(by_need.size());
  for (Demand* demand : by_need) {
    const uint32_t share = left / remaining_entries;
    demand->window = std::max(kMinWindow, std::min(need(*demand), share));
    left -= std::min(left, demand->window);
    --remaining_entries;
  }
  // Unclaimed capacity is divided equally, so that bursts can be admitted.
  for (Demand* demand : by_need) {
    demand->window += left / static_cast<uint32_t>(by_need.size());
  }
}

}  // namespace rhubarbhaven

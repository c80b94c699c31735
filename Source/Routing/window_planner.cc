#include "Routing/window_planner.h"

#include <algorithm>
#include <vector>

namespace rhubarbhaven {
namespace {

// An idle entry can start this many requests before it learns its window.
constexpr uint32_t kSmallestWindow = 2;
// An entry may grow to this multiple of its recent peak.
constexpr uint32_t kHeadroom = 2;
// Windows are planned again at most this often.
constexpr std::chrono::milliseconds kPlanInterval{5};

}  // namespace

WindowPlanner::WindowPlanner(uint32_t places, std::chrono::milliseconds period)
    : places_(places), period_(period) {}

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
  Roll(now);
  Demand& demand = demands_[entry];
  ++demand.unanswered;
  demand.peak = std::max(demand.peak, demand.unanswered);
}

auto WindowPlanner::OnFinished(TimePoint now, const std::string& entry)
    -> void {
  Roll(now);
  Demand& demand = demands_[entry];
  demand.unanswered -= std::min(demand.unanswered, 1U);
}

auto WindowPlanner::Window(TimePoint now, const std::string& entry)
    -> uint32_t {
  Roll(now);
  if (now - planned_ >= kPlanInterval) {
    planned_ = now;
    Plan();
  }
  const auto found = demands_.find(entry);
  return found == demands_.end() ? kSmallestWindow : found->second.window;
}

auto WindowPlanner::Roll(TimePoint now) -> void {
  if (now - rolled_ < period_) {
    return;
  }
  rolled_ = now;
  for (auto& [entry, demand] : demands_) {
    demand.peak_before = demand.peak;
    demand.peak = demand.unanswered;
  }
}

auto WindowPlanner::Plan() -> void {
  const auto need = [](const Demand& demand) {
    const uint32_t peak = std::max(demand.peak, demand.peak_before);
    return std::max(kSmallestWindow, kHeadroom * peak);
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
  uint32_t left = places_;
  auto sharers = static_cast<uint32_t>(by_need.size());
  for (Demand* demand : by_need) {
    const uint32_t share = left / sharers;
    demand->window = std::max(kSmallestWindow, std::min(need(*demand), share));
    left -= std::min(left, demand->window);
    --sharers;
  }
  // What nobody asked for is spread, so that a burst finds room.
  for (Demand* demand : by_need) {
    demand->window += left / static_cast<uint32_t>(by_need.size());
  }
}

}  // namespace rhubarbhaven

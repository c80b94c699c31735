#include "Jobs/agent_stops.h"

#include <algorithm>
#include <chrono>

namespace rhubarbhaven::jobs {
namespace {

// A foreign writer may state any duration. Larger ones exceed any lease and
// would overflow a time point.
constexpr uint64_t kMaxLeaseLeftMs = 600000;

}  // namespace

auto AgentStops::OnEntry(TimePoint now,
                         const std::string& agent,
                         const AgentEntry* entry) -> void {
  if (entry == nullptr || !entry->has_stop()) {
    stops_.erase(agent);
    return;
  }
  const std::chrono::milliseconds left(
      std::min(entry->stop().lease_left_ms(), kMaxLeaseLeftMs));
  const TimePoint lease_end =
      now + std::chrono::duration_cast<Duration>(left * (1.0 + clock_drift_));
  const auto [known, is_new] =
      stops_.try_emplace(agent, Stop{entry->incarnation(), lease_end});
  if (is_new) {
    return;
  }
  // The same record may be read again, after the log has lost its history.
  const bool repeated = known->second.incarnation == entry->incarnation();
  known->second = {
      entry->incarnation(),
      repeated ? std::min(known->second.lease_end, lease_end) : lease_end};
}

auto AgentStops::LeaseEnd(const std::string& agent) const
    -> std::optional<TimePoint> {
  const auto found = stops_.find(agent);
  return found == stops_.end() ? std::nullopt
                               : std::optional(found->second.lease_end);
}

}  // namespace rhubarbhaven::jobs

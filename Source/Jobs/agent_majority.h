#ifndef RHUBARBHAVEN_JOBS_AGENT_MAJORITY_H_
#define RHUBARBHAVEN_JOBS_AGENT_MAJORITY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// An agent follows one owner: once it has answered a new one, it answers none
// before it. So two owners that both hear from a majority of the same agents
// hear from one agent in common, and that agent's last answer to the earlier
// owner bounds what the earlier owner can know.

// The latest time since which more than half of `members` agents have reported;
// none if fewer have. `reported`: the newest report of each agent that has.
auto MajorityReportedSince(std::vector<TimePoint> reported, std::size_t members)
    -> std::optional<TimePoint>;

// The latest time at which more than half of `members` agents can have reported
// to an earlier owner; none if there is no bound. `last_reports`: for each
// agent that follows this owner, when it last reported to the earlier one. All
// others may do so forever.
auto LastPossibleMajority(std::vector<TimePoint> last_reports,
                          std::size_t members) -> std::optional<TimePoint>;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_AGENT_MAJORITY_H_

#include "Jobs/agent_majority.h"

#include <algorithm>
#include <functional>

namespace rhubarbhaven::jobs {
namespace {

auto MajorityOf(std::size_t members) -> std::size_t {
  return members / 2 + 1;
}

// The `rank`-th latest time; the latest has rank 1.
auto LatestByRank(std::vector<TimePoint>& times, std::size_t rank)
    -> TimePoint {
  const auto at = times.begin() + static_cast<std::ptrdiff_t>(rank - 1);
  std::nth_element(times.begin(), at, times.end(), std::greater<>());
  return *at;
}

}  // namespace

auto MajorityReportedSince(std::vector<TimePoint> reported, std::size_t members)
    -> std::optional<TimePoint> {
  const std::size_t majority = MajorityOf(members);
  if (members == 0 || reported.size() < majority) {
    return std::nullopt;
  }
  return LatestByRank(reported, majority);
}

auto LastPossibleMajority(std::vector<TimePoint> last_reports,
                          std::size_t members) -> std::optional<TimePoint> {
  const std::size_t majority = MajorityOf(members);
  const std::size_t known = std::min(last_reports.size(), members);
  const std::size_t unknown = members - known;
  if (members == 0 || unknown >= majority) {
    return std::nullopt;
  }
  return LatestByRank(last_reports, majority - unknown);
}

}  // namespace rhubarbhaven::jobs

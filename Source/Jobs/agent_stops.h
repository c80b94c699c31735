#ifndef RHUBARBHAVEN_JOBS_AGENT_STOPS_H_
#define RHUBARBHAVEN_JOBS_AGENT_STOPS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Base/base.h"
#include "Jobs/job_records.h"

namespace rhubarbhaven::jobs {

// Until when workers may hold leases from agents that were told to stop. Every
// entry notes it when it reads an agent's record, so that a new owner does not
// count from its own claim: of several owners in a row, each would wait again.
class AgentStops {
 public:
  // `clock_drift`: assumed maximum relative difference in clock speed.
  explicit AgentStops(double clock_drift) : clock_drift_(clock_drift) {}

  // Handles the newest entry of the agent in the log; null if it was removed.
  auto OnEntry(TimePoint now, const std::string& agent, const AgentEntry* entry)
      -> void;
  // When the lease of the agent's worker has expired; none if the newest entry
  // of the agent does not say that its process was told to stop.
  auto LeaseEnd(const std::string& agent) const -> std::optional<TimePoint>;

 private:
  struct Stop {
    uint64_t incarnation = 0;
    TimePoint lease_end;
  };

  double clock_drift_;
  std::map<std::string, Stop> stops_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_AGENT_STOPS_H_

#ifndef RHUBARBHAVEN_JOBS_JOB_OWNER_OPTIONS_H_
#define RHUBARBHAVEN_JOBS_JOB_OWNER_OPTIONS_H_

#include <chrono>
#include <cstdint>

#include "Base/base.h"
#include "Jobs/job_records.h"

namespace rhubarbhaven::jobs {

struct JobOwnerOptions {
  uint64_t incarnation = 0;
  // How long an agent may act on a grant. With a longer lease, runs survive
  // longer silence of their agent or owner; with a shorter one, tasks of a lost
  // worker start elsewhere sooner. Agents that lose power return within 3 to 5
  // seconds.
  std::chrono::milliseconds lease_ttl{5000};
  // Assumed maximum relative difference in clock speed.
  double clock_drift = 0.02;
  std::chrono::milliseconds lease_margin{300};
  std::chrono::milliseconds poll_interval{300};
  // Until an agent has listed its runs, it is polled at this shorter interval
  // during `first_poll_period`: the first poll only opens the connection, and a
  // takeover waits for the listing.
  std::chrono::milliseconds first_poll_interval{40};
  std::chrono::milliseconds first_poll_period{2000};
  // Minimum time between first polls to all agents together. A higher rate
  // would use up the processor of a small owner, which is needed to open
  // connections.
  std::chrono::milliseconds min_first_poll_spacing{1};
  // Bandwidth of this entry's link, in megabits per second; zero if unknown.
  double link_mbps = 0;
  // An order without a result is resent after this, once the agent has received
  // the message that contained it or a later one: until then the first copy is
  // probably still queued, and another one would only lengthen the queue. A
  // repeat also confirms that the order stands, see
  // `TaskAgentOptions::max_unconfirmed`.
  std::chrono::milliseconds repeat_after{400};
  // How often an agent is sent the learned interference of the images on its
  // worker.
  std::chrono::milliseconds pressure_send_interval{1000};
  // How often the learned interference is written to the log for the next
  // owner. An owner that starts without it would place opportunistic tasks
  // where they disturb serving tasks.
  std::chrono::milliseconds pressure_store_interval{3000};
  // A run without progress for this long is stopped and started elsewhere.
  // Workers report whole percents of tasks that take seconds.
  std::chrono::milliseconds stalled_after{2000};
  std::chrono::milliseconds stalled_quarantine{4000};
  // How long ended jobs stay readable; the platform requires 120 s.
  std::chrono::seconds ended_job_retention{150};
  // An agent that has not answered for this long, and holds no lease any more,
  // is removed from the members; it registers again if it is still running.
  // With a longer time, the reconciliation of the next owner waits for agents
  // on which this owner knows that nothing runs, and long-running tasks stay
  // down for that time, some 20 s. Covers a lease and its margin.
  std::chrono::milliseconds forget_agent_after{6000};
  // The same for an agent whose worker has ended as planned: five polls.
  std::chrono::milliseconds forget_left_after{1500};

  // Limits on the records that the owner writes.
  LogLimits log_limits{};

  // Longest time that a lease may be valid after the report it was granted for.
  auto LongestLease() const -> Duration {
    return std::chrono::duration_cast<Duration>(lease_ttl *
                                                (1.0 + clock_drift)) +
           lease_margin;
  }
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_OWNER_OPTIONS_H_

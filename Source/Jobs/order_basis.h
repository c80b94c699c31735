#ifndef RHUBARBHAVEN_JOBS_ORDER_BASIS_H_
#define RHUBARBHAVEN_JOBS_ORDER_BASIS_H_

#include <cstdint>
#include <optional>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// When an order was given and on what knowledge, on the agent's clock. The
// times are lower bounds, so that no order is taken for younger than it is. An
// owner of a version that does not state the age of its log is taken to have
// read it when it received the agent's report.
struct OrderBasis {
  TimePoint decided_at;
  // When the owner last stated that the order stands.
  TimePoint confirmed_at;
  // The owner knew of all records that the log had at this time, and of all
  // records before this offset.
  TimePoint log_as_of;
  // Zero if unknown.
  uint64_t log_read_to = 0;
};

// Returns the time of the agent's report to which the message refers; null if
// it refers to none of this process of the agent. The clock of another process
// may have been far ahead of this one.
auto ReportTime(TimePoint now, uint64_t incarnation, const AgentOrders& orders)
    -> std::optional<TimePoint>;

// Returns the basis of a start in a message that was received at `now` and
// refers to a report of the time `reported`.
auto BasisOf(TimePoint now,
             TimePoint reported,
             const AgentOrders& orders,
             const StartOrder& start) -> OrderBasis;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_ORDER_BASIS_H_

#include "Jobs/order_basis.h"

#include <algorithm>
#include <chrono>

namespace rhubarbhaven::jobs {
namespace {

// A foreign writer may send any value; larger ones would overflow a time point.
constexpr uint64_t kMaxAgeMs = 600000;

auto Before(TimePoint time, uint64_t age_ms) -> TimePoint {
  return time - std::chrono::milliseconds(std::min(age_ms, kMaxAgeMs));
}

}  // namespace

auto ReportTime(TimePoint now, uint64_t incarnation, const AgentOrders& orders)
    -> std::optional<TimePoint> {
  const TimePoint reported{std::chrono::microseconds(orders.granted_from_us())};
  const bool of_another_process =
      orders.granted_to_incarnation() != 0 &&
      orders.granted_to_incarnation() != incarnation;
  if (orders.granted_from_us() == 0 || of_another_process || reported > now) {
    return std::nullopt;
  }
  return reported;
}

auto BasisOf(TimePoint now,
             TimePoint reported,
             const AgentOrders& orders,
             const StartOrder& start) -> OrderBasis {
  const auto longest =
      std::chrono::duration_cast<std::chrono::microseconds>(now - reported);
  const TimePoint built =
      reported +
      std::chrono::microseconds(std::min(
          orders.built_after_us(), static_cast<uint64_t>(longest.count())));
  return {Before(built, start.decided_before_ms()), built,
          Before(built, orders.log_age_ms()), orders.log_read_to()};
}

}  // namespace rhubarbhaven::jobs

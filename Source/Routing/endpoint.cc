#include "Routing/endpoint.h"

#include <algorithm>

namespace rhubarbhaven {
namespace {

using std::chrono::microseconds;

// An endpoint slower than this multiple of the median receives one request at a
// time.
constexpr double kSlowFactor = 3;
constexpr std::size_t kMinMembersToCompare = 3;
// With fewer attempts, the estimate of the attempt time is too uncertain.
constexpr uint64_t kMinAttemptSamples = 16;
// Number of mean deviations above the mean within which nearly all attempts
// finish.
constexpr double kAttemptTimeDeviations = 4;

}  // namespace

auto IsLive(const Endpoint& endpoint) -> bool {
  return !endpoint.unresponsive && !endpoint.leaving && endpoint.healthy &&
         !endpoint.unreachable;
}

auto IsSlow(const Endpoint& endpoint) -> bool {
  const EndpointPool& pool = *endpoint.pool;
  return pool.members.size() >= kMinMembersToCompare &&
         pool.median_service_us > 0 &&
         static_cast<double>(endpoint.grant.service_time_us()) >
             kSlowFactor * pool.median_service_us;
}

auto Window(const Endpoint& endpoint) -> uint32_t {
  switch (endpoint.breaker.state()) {
    case CircuitBreaker::State::kOpen:
      return 0;
    case CircuitBreaker::State::kProbing:
      return std::min(1U, endpoint.grant.credits());
    case CircuitBreaker::State::kClosed:
      break;
  }
  return IsSlow(endpoint) ? std::min(1U, endpoint.grant.credits())
                          : endpoint.grant.credits();
}

auto ExpectedLatencyUs(const Endpoint& endpoint) -> double {
  const auto& grant = endpoint.grant;
  const uint64_t reported =
      uint64_t{grant.running()} + grant.queued() + endpoint.sent_since_report;
  const auto load =
      static_cast<double>(std::max<uint64_t>(reported, endpoint.unanswered));
  const auto service =
      static_cast<double>(std::max<uint64_t>(1, grant.service_time_us()));
  return service * (1 + load / endpoint.slots);
}

auto StateName(const Endpoint& endpoint) -> std::string {
  if (endpoint.unresponsive) {
    return "silent";
  }
  if (endpoint.leaving) {
    return "leaving";
  }
  if (!endpoint.healthy) {
    return "unhealthy";
  }
  if (endpoint.unreachable) {
    return "unreachable";
  }
  switch (endpoint.breaker.state()) {
    case CircuitBreaker::State::kOpen:
      return "failing";
    case CircuitBreaker::State::kProbing:
      return "probing";
    case CircuitBreaker::State::kClosed:
      break;
  }
  return IsSlow(endpoint) ? "slow" : "ready";
}

auto ExpectedWait(const EndpointPool& pool, std::size_t ahead) -> microseconds {
  if (pool.window_total == 0) {
    return microseconds(0);
  }
  const double rounds =
      static_cast<double>(ahead) / static_cast<double>(pool.window_total);
  return microseconds(static_cast<int64_t>(pool.mean_attempt_us * rounds));
}

auto AttemptTimeBound(const EndpointPool& pool) -> microseconds {
  if (pool.attempt_samples < kMinAttemptSamples) {
    return microseconds(0);
  }
  return microseconds(
      static_cast<int64_t>(pool.mean_attempt_us +
                           kAttemptTimeDeviations * pool.attempt_deviation_us));
}

}  // namespace rhubarbhaven

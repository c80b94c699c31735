#ifndef RHUBARBHAVEN_ROUTING_ENDPOINT_H_
#define RHUBARBHAVEN_ROUTING_ENDPOINT_H_

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "Base/base.h"
#include "Routing/circuit_breaker.h"

namespace rhubarbhaven {

struct EndpointPool;

// One endpoint, as announced by its agent.
struct Endpoint {
  std::string agent;
  uint64_t incarnation = 0;
  // Earlier incarnations, each with the sequence number of its last
  // announcement, so that delayed announcements are ignored.
  std::deque<std::pair<uint64_t, uint64_t>> previous_incarnations;
  uint64_t announce_sequence = 0;
  std::string failure_domain;
  uint32_t slots = 1;
  bool leaving = false;
  bool healthy = true;
  // True if it has announced nothing for the announce timeout.
  bool unresponsive = false;
  // True if the link failed to send to it since its last announcement.
  bool unreachable = false;
  // Time of its latest announcement.
  TimePoint last_announced_at;
  schema::Grant grant;
  uint32_t next_credit = 0;
  // Attempts of this entry that have not been answered.
  uint32_t unanswered = 0;
  uint32_t sent_since_report = 0;
  TimePoint last_sent;
  CircuitBreaker breaker;
  EndpointPool* pool = nullptr;

  // This endpoint's contribution to the totals of its pool; maintained by
  // EndpointTable.
  bool counted_live = false;
  uint32_t counted_window = 0;
  std::ptrdiff_t ready_index = -1;
};

// The endpoints of one service.
struct EndpointPool {
  std::string partner;
  std::string service;
  std::vector<Endpoint*> members;
  // Members that can be sent a request now.
  std::vector<Endpoint*> ready;
  std::size_t live = 0;
  // Sum of the windows of the live members.
  uint64_t window_total = 0;
  // Median service time of the members, mean time from sending an attempt to
  // receiving its answer, and mean absolute deviation of that time. The means
  // are smoothed; a value is zero while unknown.
  double median_service_us = 0;
  double mean_attempt_us = 0;
  // Number of attempts in the smoothed means.
  uint64_t attempt_samples = 0;
  double attempt_deviation_us = 0;
  TimePoint median_updated_at;
  TimePoint next_idle_probe_at;
};

// True if the endpoint may receive new work: it announces itself, is healthy
// and reachable, and is not leaving.
auto IsLive(const Endpoint& endpoint) -> bool;
// True if its service time is far above the median of its pool.
auto IsSlow(const Endpoint& endpoint) -> bool;
// Maximum number of unanswered attempts at a time.
auto Window(const Endpoint& endpoint) -> uint32_t;
// Expected latency of a request at the endpoint, in microseconds.
auto ExpectedLatencyUs(const Endpoint& endpoint) -> double;
// State for operators, such as "ready", "leaving" or "silent".
auto StateName(const Endpoint& endpoint) -> std::string;

// Expected wait of a request that has `ahead` requests of this entry in front
// of it.
auto ExpectedWait(const EndpointPool& pool, std::size_t ahead)
    -> std::chrono::microseconds;
// Time within which nearly every attempt is answered; zero while there are too
// few samples.
auto AttemptTimeBound(const EndpointPool& pool) -> std::chrono::microseconds;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ENDPOINT_H_

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

// One endpoint, as its agent announced it.
struct Endpoint {
  std::string agent;
  uint64_t incarnation = 0;
  // Earlier incarnations and the last announcement of each, so that late ones
  // are dropped.
  std::deque<std::pair<uint64_t, uint64_t>> former;
  uint64_t announce_sequence = 0;
  std::string failure_domain;
  uint32_t slots = 1;
  bool leaving = false;
  bool healthy = true;
  // It announced nothing for the announce timeout.
  bool silent = false;
  // The link could not send to it since its last announcement.
  bool unreachable = false;
  // Its latest announcement.
  TimePoint heard;
  schema::Grant grant;
  uint32_t next_credit = 0;
  // Attempts of this entry that have no answer yet.
  uint32_t unanswered = 0;
  uint32_t sent_since_report = 0;
  TimePoint last_sent;
  CircuitBreaker breaker;
  EndpointPool* pool = nullptr;

  // What the pool has counted of it; kept by EndpointTable.
  bool counted_live = false;
  uint32_t counted_window = 0;
  std::ptrdiff_t ready_position = -1;
};

// The endpoints of one service.
struct EndpointPool {
  std::string partner;
  std::string service;
  std::vector<Endpoint*> members;
  // Those that can be sent a request now.
  std::vector<Endpoint*> ready;
  std::size_t live = 0;
  // Sum of the windows of the live members.
  uint64_t window_total = 0;
  // Median service time of the members; smoothed time from sending an attempt
  // to its answer, and its smoothed deviation. Zero while unknown.
  double median_service_us = 0;
  double attempt_us = 0;
  double deviation_us = 0;
  TimePoint median_at;
  TimePoint idle_probe_at;
};

// True if it may get new work: it announces itself, is healthy, not leaving,
// and can be sent to.
auto IsLive(const Endpoint& endpoint) -> bool;
// True if its service time is far above that of its pool.
auto IsSlow(const Endpoint& endpoint) -> bool;
// Attempts that may be unanswered at a time.
auto Window(const Endpoint& endpoint) -> uint32_t;
// Expected time of a request there, in microseconds.
auto ExpectedUs(const Endpoint& endpoint) -> double;
// For operators: "ready", "leaving", "silent" and so on.
auto StateName(const Endpoint& endpoint) -> std::string;

// How long a request that waits behind `ahead` others of this entry would
// wait until it is sent.
auto ExpectedWait(const EndpointPool& pool, std::size_t ahead)
    -> std::chrono::microseconds;
// Within which time nearly every attempt is answered.
auto AttemptTime(const EndpointPool& pool) -> std::chrono::microseconds;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ENDPOINT_H_

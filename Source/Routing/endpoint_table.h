#ifndef RHUBARBHAVEN_ROUTING_ENDPOINT_TABLE_H_
#define RHUBARBHAVEN_ROUTING_ENDPOINT_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Base/base.h"
#include "Routing/circuit_breaker.h"
#include "Routing/timer_queue.h"

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

using PoolKey = std::pair<std::string, std::string>;

// Which endpoints there are, in what state, and which of them takes the next
// request.
class EndpointTable {
 public:
  enum class AnnounceResult { kStale, kFull, kKnown, kAdded, kRestarted };

  EndpointTable(std::string failure_domain,
                std::chrono::milliseconds announce_timeout,
                uint64_t seed);

  auto OnAnnounce(TimePoint now,
                  const std::string& agent,
                  uint64_t incarnation,
                  const schema::Announce& announce) -> AnnounceResult;
  auto OnGrant(TimePoint now, Endpoint& endpoint, const schema::Grant& grant)
      -> void;
  auto OnSent(TimePoint now, Endpoint& endpoint) -> schema::Credit;
  // An attempt was answered or given up.
  auto OnClosed(TimePoint now, Endpoint& endpoint) -> void;
  auto OnSuccess(TimePoint now, Endpoint& endpoint, Duration took) -> void;
  auto OnFailure(TimePoint now, Endpoint& endpoint) -> void;
  // Messages to it vanish although it announces itself: probe the path.
  auto OnPathLost(TimePoint now, Endpoint& endpoint) -> void;
  auto OnUnsent(TimePoint now, Endpoint& endpoint) -> void;
  // Endpoints that have fallen silent, by agent.
  auto OnTick(TimePoint now) -> std::vector<std::string>;
  auto next_wake() const -> TimePoint { return timers_.next(); }

  auto Find(const std::string& agent) -> Endpoint*;
  auto FindPool(const PoolKey& key) -> EndpointPool*;
  auto FindPool(const PoolKey& key) const -> const EndpointPool*;
  // The endpoint for the next request, not among `tried`; null for none.
  auto Choose(TimePoint now,
              EndpointPool& pool,
              const std::vector<std::string>& tried) -> Endpoint*;
  // How long a request that waits behind `ahead` others of this entry would
  // wait until it is sent.
  static auto ExpectedWait(const EndpointPool& pool, std::size_t ahead)
      -> std::chrono::microseconds;
  // Within which time nearly every attempt is answered.
  static auto AttemptTime(const EndpointPool& pool)
      -> std::chrono::microseconds;
  static auto StateName(const Endpoint& endpoint) -> std::string;
  static auto IsLive(const Endpoint& endpoint) -> bool;
  auto endpoints() const
      -> const std::map<std::string, std::unique_ptr<Endpoint>>& {
    return endpoints_;
  }

 private:
  auto Restart(Endpoint& endpoint, uint64_t incarnation) -> void;
  auto Join(Endpoint& endpoint, const PoolKey& key) -> void;
  auto LeavePool(Endpoint& endpoint) -> void;
  // Brings the pool's counts in line with the endpoint's state.
  auto Refresh(TimePoint now, Endpoint& endpoint) -> void;
  auto SetReady(Endpoint& endpoint, bool ready) -> void;
  auto UpdateMedian(TimePoint now, EndpointPool& pool) -> void;
  auto OpenCircuit(TimePoint now, Endpoint& endpoint) -> void;
  auto IsBetter(const Endpoint& left, const Endpoint& right) const -> bool;
  auto ChooseIdleProbe(TimePoint now,
                       EndpointPool& pool,
                       const std::vector<std::string>& tried) -> Endpoint*;
  auto ChooseBest(const EndpointPool& pool,
                  const std::vector<std::string>& tried) const -> Endpoint*;
  auto SetTimer(TimePoint now, const Endpoint& endpoint) -> void;

  std::string failure_domain_;
  std::chrono::milliseconds announce_timeout_;
  std::mt19937_64 random_;
  std::map<std::string, std::unique_ptr<Endpoint>> endpoints_;
  std::map<PoolKey, std::unique_ptr<EndpointPool>> pools_;
  TimerQueue<std::string> timers_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ENDPOINT_TABLE_H_
